"""Tests of the codecs for settings, registry, submissions and workers."""

import json
import pathlib
import tempfile
import unittest

from redwingrudder.coordination.gateways import Queue
from redwingrudder.exceptions import (
    BadRequestError,
    InvalidConfigurationError,
    SettingsError,
    UnavailableError,
)
from redwingrudder.platform.front_end import decode_submission
from redwingrudder.platform.http_client import JsonReply
from redwingrudder.platform.registry import PlatformConfiguration, PlatformRegistry
from redwingrudder.platform.settings import load_settings
from redwingrudder.platform.workers import (
    _decode_command_reply,
    _decode_report,
    parse_task_name,
    task_name,
)
from redwingrudder.workflows.model import EndKind, QueuePolicy, Resources, TaskKey

WORKFLOW_ID = "5c0e7a21d94b36f8"
QUEUE = Queue("r-1", "h.example", "/a/", False, 3.0, QueuePolicy("pool"))
ENTRY = {
    "service": "pool",
    "address": "10.0.0.9:8080",
    "zone": "domain",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "born": 5,
}
SETTINGS = """
nodeName = "n1"
ip = "10.0.0.1"
zone = "domain"
heartbeatMs = 1500
internalPorts = [7000, 7015]
[listen]
front = "10.0.0.1:80"
readiness = "10.0.0.1:81"
[bounds]
maxHoldMs = 6000
status_s = 120
graceS = 6
[platform]
address = "10.0.0.2:90"
"""


class SettingsTests(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "boot.toml")
            path.write_text(text, "utf-8")
            return load_settings(str(path))

    def test_reads_bounds_in_seconds(self):
        """Guards against a lease time that is read in the wrong unit."""
        settings = self.load(SETTINGS)
        self.assertEqual(settings.longest_lease_s, 6.0)
        self.assertEqual(settings.front, ("10.0.0.1", 80))
        self.assertEqual(settings.advice_address, "")

    def test_reads_the_times_of_workers(self):
        """Guards against times that do not follow the deployment's bounds."""
        bounds = "gangTimeoutMs = 5000\nstopTimeoutMs = 900\nremoteFactor = 2.5\n"
        settings = self.load(SETTINGS.replace("graceS", bounds + "graceS"))
        self.assertEqual(settings.gang_timeout_s, 5.0)
        self.assertEqual(settings.stop_timeout_s, 0.9)
        self.assertEqual(settings.remote_factor, 2.5)

    def test_unknown_fields_are_ignored(self):
        """Guards against a start that fails on a new field of the settings."""
        self.load('later = "x"\n' + SETTINGS)

    def test_missing_field_is_named_with_the_file(self):
        """Guards against a traceback instead of an error with a code."""
        with self.assertRaises(SettingsError) as caught:
            self.load(SETTINGS.replace("maxHoldMs = 6000", ""))
        self.assertIn("boot.toml", caught.exception.detail)
        self.assertIn("maxHoldMs", caught.exception.detail)


class RegistryTests(unittest.TestCase):
    def decode(self, **changes):
        document = json.dumps(ENTRY | changes)
        return PlatformRegistry().decode("servers/w1", document)

    def test_reads_an_entry(self):
        """Guards against a wrong rack or process start time of a worker."""
        facts = self.decode()
        self.assertEqual(
            (facts.worker_id, facts.rack, facts.process_started_ms), ("w1", "r1-3", 5)
        )
        self.assertEqual(facts.capacity, Resources(16000, 32768, 8))

    def test_invalid_entries_yield_no_worker(self):
        """Guards against an exception for an entry that is invalid."""
        for changes in (
            {"state": "odd"},
            {"service": 7},
            {"capacity": None},
            {"born": "x"},
            {"address": ""},
        ):
            self.assertIsNone(self.decode(**changes), changes)
        self.assertIsNone(PlatformRegistry().decode("servers/w1", "{"))


class ConfigurationTests(unittest.TestCase):
    def test_reads_guarantees_and_keys(self):
        """Guards against organisations that lose their guarantee or keys."""
        route = {
            "name": "r",
            "host": "h",
            "prefix": "/a/",
            "service": "pool",
            "priority": 0,
            "maxAttempts": 2,
            "stretchFactor": 1.5,
            "targetLatencyMs": 250,
        }
        tenant = {"name": "t", "apiKeys": ["k"], "guaranteed": {"gpu": 56}}
        document = {
            "version": 3,
            "routes": [route],
            "services": [{"name": "pool"}],
            "tenants": [tenant],
        }
        read = PlatformConfiguration().decode(json.dumps(document))
        self.assertEqual(read.organisations_by_key, {"k": "t"})
        self.assertEqual(read.guaranteed_by_organisation, {"t": 56})
        policy = read.find_queue("h", "/a/x").policy
        self.assertEqual((policy.priority, policy.latency_s), (0, 0.25))
        self.assertIsNone(read.find_queue("h", "/b/"))

    def test_invalid_document_is_a_coded_error(self):
        """Guards against a node that fails on an invalid document."""
        for document in ("{", "[]", '{"routes": [{}], "version": 1}'):
            with self.assertRaises(InvalidConfigurationError):
                PlatformConfiguration().decode(document)


class SubmissionTests(unittest.TestCase):
    def decode(self, body, workflow_id=WORKFLOW_ID):
        return decode_submission(
            workflow_id, json.dumps(body).encode(), QUEUE, "org", 1
        )

    def test_reads_steps(self):
        """Guards against fields of a step that are lost in decoding."""
        step = {
            "count": 4,
            "cpu": 500,
            "memMb": 256,
            "gpu": 2,
            "estimatedMs": 900,
            "gang": True,
            "sameRack": True,
            "dataRack": "r1-3",
            "maxPerServer": 2,
        }
        read = self.decode({"spec": "s", "steps": [step, {"count": 1, "after": [0]}]})
        first, second = read.steps
        self.assertEqual(first.demand, Resources(500, 256, 2))
        self.assertTrue(first.gang and first.same_rack)
        self.assertEqual((first.data_rack, first.worker_limit), ("r1-3", 2))
        self.assertEqual(second.after, (0,))
        self.assertEqual(read.occurrences, 1)

    def test_reads_times_in_seconds(self):
        """Guards against milliseconds that are taken for seconds."""
        body = {
            "spec": "s",
            "steps": [{"count": 1}],
            "repeats": 3,
            "startAtMs": 5000,
            "intervalMs": 2000,
        }
        read = self.decode(body)
        self.assertEqual(
            (read.occurrences, read.first_due_at, read.interval_s), (3, 5.0, 2.0)
        )

    def test_bad_bodies_are_coded_errors(self):
        """Guards against status 500 for an invalid request of a client."""
        for body in (
            {},
            {"steps": []},
            {"steps": [{"count": 0}]},
            {"steps": [{"count": 1, "after": [0]}]},
            {"steps": [{"count": 10**9}]},
            [],
        ):
            with self.assertRaises(BadRequestError, msg=str(body)):
                self.decode(body)
        with self.assertRaises(BadRequestError):
            self.decode({"steps": [{"count": 1}]}, "nothex")


class WorkerTests(unittest.TestCase):
    def test_task_names_are_encoded_and_decoded(self):
        """Guards against a report that is attributed to another task."""
        key = TaskKey(WORKFLOW_ID, 0, 1, 17)
        self.assertEqual(task_name(key), f"{WORKFLOW_ID}.0.1.17")
        self.assertEqual(parse_task_name(task_name(key)), key)

    def test_reads_reports_of_runs(self):
        """Guards against ends or checkpoints that are lost in decoding."""
        report = _decode_report(
            {
                "clockMs": 9,
                "born": 4,
                "running": [[f"{WORKFLOW_ID}.0.0.1", 2, "cp", 41, 7]],
                "ended": [[58, f"{WORKFLOW_ID}.0.0.2", 1, "broken", ""]],
            }
        )
        run = report.running[0]
        self.assertEqual((run.run, run.checkpoint, run.percent), (2, "cp", 41.0))
        self.assertEqual(report.ended[0].kind, EndKind.BROKEN)

    def test_full_list_of_ends_is_incomplete(self):
        """Guards against runs that seem gone without their ends."""
        rows = [[n, f"{WORKFLOW_ID}.0.0.2", n, "done", ""] for n in range(1, 501)]
        for ended, complete in ((rows, False), (rows[1:], True)):
            report = _decode_report({"clockMs": 9, "ended": ended})
            self.assertIs(report.ends_complete, complete)

    def test_malformed_report_is_unavailable(self):
        """Guards against runs that count as gone after a malformed report."""
        for body in (
            {},
            {"clockMs": 1, "running": [["x"]]},
            {"clockMs": 1, "ended": [[1, f"{WORKFLOW_ID}.0.0.2", 1, "odd", ""]]},
        ):
            with self.assertRaises(UnavailableError):
                _decode_report(body)

    def test_rejections_are_mapped_to_reasons(self):
        """Guards against a fenced coordinator that keeps sending commands."""
        reply = _decode_command_reply(JsonReply(409, {"clockMs": 3, "reason": "fence"}))
        self.assertEqual((reply.accepted, reply.reason), (False, "fenced"))
        self.assertEqual(_decode_command_reply(JsonReply(421, {})).reason, "other_life")
        self.assertEqual(_decode_command_reply(JsonReply(503, {})).reason, "unhealthy")


if __name__ == "__main__":
    unittest.main()

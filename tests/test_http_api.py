"""Tests of the HTTP front end: requests, limits and drain."""

import json
import math

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure
from twisted.trial import unittest

from redwingrudder import _http_server, exceptions, requests
from redwingrudder._http_server import BODY_LIMIT_BYTES
from redwingrudder._job_body import parse_job
from redwingrudder.actors import ActorSystem
from redwingrudder.http_api import HttpApi, HttpApiSettings
from redwingrudder.messages import ConfigurationChanged
from redwingrudder.metrics import NodeMetrics
from redwingrudder.model import Configuration, JobState, JobView

from .scripted import Scripted

QUEUED = JobView(
    "d1-a", "shop", "proof", JobState.QUEUED, "", True, False, 1.5, None, ()
)
DONE = QUEUED._replace(state=JobState.SUCCEEDED, finished_at=2.5, results=("r",))
CONFIGURATION = Configuration(7, {}, {}, ())
JOB = {"organisation": "shop", "class": "proof"}
JSON = "application/json"


class Response:
    """A parsed HTTP/1.1 response."""

    def __init__(self, raw):
        head, _, self.body = raw.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split()[1])
        pairs = (line.split(": ", 1) for line in lines[1:])
        self.headers = {name.lower(): value for name, value in pairs}

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def error(self):
        return self.status, self.json["code"]


class HttpApiTestCase(unittest.SynchronousTestCase):
    def setUp(self):
        self.clock = MemoryReactorClock()
        self.system = ActorSystem(self.clock)
        jobs = (requests.SubmitJob, requests.PollJob)
        self.router = Scripted(self.system, requests.ROUTER, jobs, DONE)
        change_types = (requests.ApplyConfiguration,)
        self.configuration = Scripted(
            self.system, requests.CONFIGURATION, change_types, CONFIGURATION
        )
        self.api = HttpApi(
            self.system,
            self.clock,
            HttpApiSettings("127.0.0.1", 0, requests_limit=3),
            NodeMetrics(),
        )

    def connect(self):
        channel = self.api.site.buildProtocol(None)
        transport = StringTransport()
        channel.makeConnection(transport)
        return channel, transport

    def send(self, method, path, body=b"", **headers):
        """Send a request on a new connection.

        Returns:
            The channel of the server, and the transport with its output.
        """
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: h"]
        lines.extend(f"{k.replace('_', '-')}: {v}" for k, v in headers.items())
        if "Transfer_Encoding" not in headers:
            lines.append(f"Content-Length: {len(body)}")
        channel, transport = self.connect()
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        channel.dataReceived(head + body)
        self.run_pending_calls()
        return channel, transport

    def run_pending_calls(self):
        self.clock.pump([0.0] * 6)

    def request(self, *arguments, **headers):
        _, transport = self.send(*arguments, **headers)
        return Response(transport.value())

    def submit(self, body, key="k", content_type=JSON):
        return self.request(
            "POST", "/v1/jobs", body, Idempotency_Key=key, Content_Type=content_type
        )


class HttpApiTests(HttpApiTestCase):
    def test_unfinished_job_is_answered_with_its_location(self):
        """Guards against a caller that cannot find its unfinished job."""
        self.router.script = [QUEUED]
        response = self.submit(JOB)
        self.assertEqual(response.status, 202)
        self.assertEqual(response.headers["location"], "/v1/jobs/d1-a")
        self.assertEqual(len(self.router.received), 1)

    def test_waiting_submission_returns_the_final_answer(self):
        """Guards against an answer before the end of the wait or the job."""
        self.router.script = [QUEUED]
        response = self.submit({**JOB, "wait_s": 5.0, "payload": {"b": [1, None]}})
        self.assertEqual(response.status, 200)
        self.assertEqual(response.json["results"], ["r"])
        submission, poll = self.router.received
        self.assertEqual(submission.spec.payload, '{"b":[1,null]}')
        self.assertEqual(poll, requests.PollJob("d1-a", 5.0))

    def test_accepted_job_is_answered_when_the_wait_fails(self):
        """Guards against an accepted job whose caller does not get its id."""
        self.router.script = [QUEUED, exceptions.OutcomeUnknownError("lost")]
        response = self.submit({**JOB, "wait_s": 5.0})
        self.assertEqual((response.status, response.json["job_id"]), (202, "d1-a"))

    def test_all_wrong_fields_are_named_at_once(self):
        """Guards against errors that name only the first invalid field."""
        body = {"organisation": "a b", "tasks": 0, "idempotent": "yes", "color": 1}
        response = self.submit({**body, "declared_run_s": -1, "cores_per_task": 1.5})
        self.assertEqual(response.error, (400, "invalid_body"))
        named = {text.partition(":")[0] for text in response.json["problems"]}
        self.assertEqual(named, {*body, "class", "declared_run_s", "cores_per_task"})
        self.assertEqual(self.router.received, [])

    def test_unusable_bodies_have_codes(self):
        """Guards against malformed bodies that are accepted or get no code."""
        deep = b'{"payload":' + b"[" * 90 + b"]" * 90 + b"}"
        cases = (
            (b"{", "malformed_json"),
            (b"\xff", "malformed_json"),
            (b'{"class":"a","class":"b"}', "malformed_json"),
            (b'{"declared_run_s":NaN}', "malformed_json"),
            (b'{"payload":[1e999]}', "malformed_json"),
            (b'{"payload":"\\ud800"}', "malformed_json"),
            (b'{"payload":' + b"9" * 5000 + b"}", "malformed_json"),
            (deep, "nested_too_deep"),
            (b"[" * 100_000, "nested_too_deep"),
            (b"[]", "invalid_body"),
        )
        for body, code in cases:
            self.assertEqual(self.submit(body).error, (400, code))
        self.assertEqual(self.submit(JOB, content_type="text/plain").status, 415)
        self.assertEqual(self.router.received, [])

    def test_wide_gangs_are_for_processors_only(self):
        """Guards against gangs of accelerator tasks above the limit of 64."""
        wide = {**JOB, "tasks": 1024}
        self.assertEqual(self.submit(wide).status, 200)
        response = self.submit({**wide, "accelerators_per_task": 1})
        self.assertEqual(response.json["problems"][0].partition(":")[0], "tasks")
        self.assertEqual(self.submit({**JOB, "tasks": 1025}).status, 400)

    def test_key_is_required_and_printable(self):
        """Guards against submissions without a usable idempotency key."""
        missing = self.request("POST", "/v1/jobs", JOB, Content_Type=JSON)
        self.assertEqual(missing.error, (400, "missing_idempotency_key"))
        for key in ("", "x" * 201, "a\x01b", "kéy"):
            error = self.submit(JOB, key=key).error
            self.assertEqual(error, (400, "invalid_idempotency_key"))

    def test_announced_body_above_the_limit_is_refused_before_it_is_read(self):
        """Guards against receiving a body that is refused anyway."""
        channel, transport = self.connect()
        channel.dataReceived(
            b"POST /v1/jobs HTTP/1.1\r\nExpect: 100-continue\r\n"
            b"Content-Length: %d\r\n\r\n" % (BODY_LIMIT_BYTES + 1)
        )
        self.assertNotIn(b"100 Continue", transport.value())
        error = Response(transport.value()).error
        self.assertEqual(error, (413, "payload_too_large"))

    def test_chunked_body_above_the_limit_is_refused_while_it_is_read(self):
        """Guards against a body without a length that exhausts the memory."""
        channel, transport = self.send(
            "POST", "/v1/jobs", Transfer_Encoding="chunked", Content_Type=JSON
        )
        for _ in range(20):
            channel.dataReceived(b"8000\r\n" + b"x" * 0x8000 + b"\r\n")
        self.assertEqual(Response(transport.value()).status, 413)
        self.assertEqual(len(channel.requests[0].content.getvalue()), 0)
        channel.dataReceived(b"0\r\n\r\n")
        self.clock.advance(1.0)
        self.assertTrue(transport.disconnecting)
        self.assertEqual(self.router.received, [])

    def test_bodies_together_are_bounded_and_released(self):
        """Guards against many allowed bodies that exhaust the memory."""
        self.patch(_http_server, "TOTAL_BODIES_LIMIT_BYTES", 1_500)
        head = b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 1000\r\n\r\n"
        (first, _), (second, refused) = self.connect(), self.connect()
        first.dataReceived(head + b"x" * 999)
        second.dataReceived(head + b"x" * 999)
        response = Response(refused.value())
        self.assertEqual(response.error, (503, "overloaded"))
        self.assertEqual(response.headers["retry-after"], "1")
        first.dataReceived(b"x")
        self.run_pending_calls()
        self.assertEqual(self.api.site.body_bytes, 0)
        third, _ = self.connect()
        third.dataReceived(head + b"x" * 999)
        third.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.api.site.body_bytes, 0)

    def test_malformed_http_requests_have_a_code(self):
        """Guards against malformed requests that get no error code."""
        for data in (
            b"HELLO\r\n\r\n",
            b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
            b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\n\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ):
            channel, transport = self.connect()
            channel.dataReceived(data + b"GET /livez HTTP/1.1\r\n\r\n")
            response = Response(transport.value())
            self.assertEqual(response.error, (400, "malformed_request"))
            self.assertTrue(transport.disconnecting)

    def test_unexpected_exception_is_coded_logged_and_not_shown(self):
        """Guards against error responses that expose internal details."""
        self.router.script = [ValueError("secret value")]
        with self.assertLogs("redwingrudder.http_api", "ERROR") as logs:
            response = self.request("GET", "/v1/jobs/d1-a", X_Correlation_Id="c-1")
        self.assertEqual(response.error, (500, "internal_error"))
        self.assertNotIn(b"secret", response.body)
        self.assertEqual(response.json["correlation_id"], "c-1")
        self.assertEqual(logs.records[0].correlation_id, "c-1")
        self.assertIn("secret value", logs.records[0].traceback)

    def test_retry_time_is_a_header(self):
        """Guards against a retry time that is missing or rounded down."""
        self.router.script = [exceptions.OverloadedError("full", retry_after_s=2.2)]
        response = self.submit(JOB)
        self.assertEqual(response.status, 429)
        self.assertEqual(response.headers["retry-after"], "3")

    def test_malformed_correlation_id_is_replaced(self):
        """Guards against arbitrary text of a caller as correlation id."""
        response = self.request("GET", "/livez", X_Correlation_Id="a b" + "c" * 99)
        self.assertRegex(response.headers["x-correlation-id"], "^[0-9a-f]{32}$")

    def test_invalid_paths_methods_and_parameters_are_refused(self):
        """Guards against invalid requests that reach the router."""
        cases = (
            ("GET", "/nope", 404),
            ("GET", "/v1/jobs", 405),
            ("BREW", "/v1/status", 405),
            ("GET", "/v1/jobs/%2e%2e%2fetc", 404),
            ("GET", "/v1/jobs/d1-a?wait=31", 400),
            ("GET", "/v1/jobs/d1-a?wait=nan", 400),
            ("GET", "/v1/jobs/d1-a?wait=1&wait=2", 400),
        )
        for method, path, status in cases:
            self.assertEqual(self.request(method, path).status, status, path)
        self.assertEqual(self.router.received, [])

    def test_configuration_changes_need_their_base_version(self):
        """Guards against an operator that overwrites another's change."""
        text = '{"a":1} // note'
        put = ("PUT", "/v1/configuration", text.encode())
        missing = self.request(*put, Content_Type=JSON)
        self.assertEqual(missing.error, (428, "precondition_required"))
        malformed = self.request(*put, Content_Type=JSON, If_Match="*")
        self.assertEqual(malformed.status, 400)
        response = self.request(*put, Content_Type=JSON, If_Match='"6"')
        self.assertEqual(response.headers["etag"], '"7"')
        self.assertEqual(response.json["version"], 7)
        self.assertEqual(response.json["document"]["organisations"], {})
        change = requests.ApplyConfiguration(text, 6)
        self.assertEqual(self.configuration.received, [change])

    def test_requests_above_the_limit_are_refused(self):
        """Guards against health checks that fail because of overload."""
        pending = self.router.script = [Deferred() for _ in range(3)]
        first = pending[0]
        for _ in range(3):
            self.send("GET", "/v1/jobs/d1-a?wait=30")
        response = self.request("GET", "/v1/jobs/d1-a")
        self.assertEqual(response.error, (503, "overloaded"))
        self.assertIn("retry-after", response.headers)
        self.assertEqual(self.request("GET", "/livez").status, 200)
        first.callback(DONE)
        self.run_pending_calls()
        self.assertEqual(self.request("GET", "/v1/jobs/d1-a").status, 200)

    def test_disconnected_caller_ends_only_its_waiting(self):
        """Guards against a disconnect that cancels the work on a request."""
        pending = Deferred()
        self.router.script = [pending]
        channel, transport = self.send("GET", "/v1/jobs/d1-a?wait=30")
        channel.connectionLost(Failure(ConnectionDone()))
        pending.callback(DONE)
        self.run_pending_calls()
        self.assertEqual(transport.value(), b"")
        self.assertEqual(self.router.received, [requests.PollJob("d1-a", 30.0)])


class DrainTests(HttpApiTestCase):
    def drain(self):
        drained = self.system.ask(requests.HTTP_API, requests.Drain())
        self.run_pending_calls()
        return drained

    def test_node_is_ready_only_with_a_configuration_and_until_its_drain(self):
        """Guards against traffic to a node that refuses its requests."""
        ready = ("GET", "/readyz")
        self.assertEqual(self.request(*ready).error, (503, "no_configuration"))
        self.system.tell(requests.HTTP_API, ConfigurationChanged(CONFIGURATION))
        self.run_pending_calls()
        self.assertEqual(self.request(*ready).status, 200)
        self.successResultOf(self.drain())
        self.assertEqual(self.request(*ready).error, (503, "draining"))
        self.assertEqual(self.request("GET", "/livez").status, 200)

    def test_drain_ends_after_the_last_request_in_progress(self):
        """Guards against a planned stop that interrupts a request (I7)."""
        pending = Deferred()
        self.router.script = [pending]
        _, transport = self.send("GET", "/v1/jobs/d1-a?wait=30")
        first, second = self.drain(), self.drain()
        late = self.request("GET", "/v1/jobs/d1-b")
        self.assertEqual((late.status, late.headers["connection"]), (200, "close"))
        self.assertNoResult(first)
        pending.callback(DONE)
        self.run_pending_calls()
        response = Response(transport.value())
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers["connection"], "close")
        self.assertTrue(transport.disconnecting)
        self.successResultOf(first)
        self.successResultOf(second)

    def test_caller_that_left_does_not_delay_the_drain(self):
        """Guards against a drain that waits for a disconnected caller."""
        self.router.script = [Deferred()]
        channel, _ = self.send("GET", "/v1/jobs/d1-a?wait=30")
        drained = self.drain()
        channel.connectionLost(Failure(ConnectionDone()))
        self.successResultOf(drained)


_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
_FIELDS = st.sampled_from(
    ["organisation", "class", "caller", "tasks", "accelerators_per_task",
     "cores_per_task", "memory_mb_per_task", "idempotent", "preemptible",
     "declared_run_s", "stop_bound_s", "expire_s", "payload", "wait_s", "x"]
)  # fmt: skip


class JobBodyTests(unittest.SynchronousTestCase):
    @given(st.dictionaries(_FIELDS, _VALUES, max_size=6))
    @settings(max_examples=300, derandomize=True, database=None)
    def test_any_object_gives_a_job_within_limits_or_a_coded_error(self, fields):
        body = json.dumps({**JOB, **fields}).encode()
        try:
            spec, wait_s = parse_job(body, JSON, "k")
        except exceptions.BadRequestError as error:
            if isinstance(error, exceptions.InvalidBodyError):
                self.assertTrue(error.problems)
            return
        self.assertTrue(1 <= spec.tasks <= 1024 and 0 <= wait_s <= 30)
        self.assertTrue(math.isfinite(spec.declared_run_s))
        self.assertIsInstance(spec.payload.encode("utf-8"), bytes)

    @given(st.binary(max_size=200))
    @settings(max_examples=200, derandomize=True, database=None)
    def test_any_bytes_give_a_coded_error(self, body):
        with self.assertRaises(exceptions.RedwingrudderError):
            parse_job(body, JSON, "k")

"""Malformed documents and unexpected errors: each affects only its sender."""

import base64
import copy
import json
import logging
import random
import types
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from redwingrudder import (
    _configuration_codec,
    _ownership_record,
    _store_codec,
    requests,
)
from redwingrudder._checked_json import MAX_INTEGER, is_address, parse_json
from redwingrudder._job_store import JobStore
from redwingrudder._store_requests import KeyValue
from redwingrudder._store_watch import Watch
from redwingrudder._wire.generated.coordination.ttypes import WireNodeSummary
from redwingrudder.coordination.configuration_feed import ConfigurationFeed
from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    CONFIGURATION,
    COORDINATOR,
    COORDINATOR_KEY,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    PROGRESS_PREFIX,
    TERM_KEY,
    AwaitChanges,
    ChannelFactory,
    FleetGateways,
    OperatorConfiguration,
    WorkerTimes,
)
from redwingrudder.coordination.intake import Intake
from redwingrudder.coordination.leadership import (
    CAMPAIGN_JITTER_S,
    Identity,
    Leadership,
)
from redwingrudder.coordination.messages import (
    BeginTerm,
    ConfigurationInForce,
    EndTerm,
    GetState,
    LeaseConfirmed,
    ReadStateForPeer,
    Resign,
    WorkflowStored,
)
from redwingrudder.coordination.metrics import METRICS, ErrorCounter, IncrementCounter
from redwingrudder.coordination.peers import (
    GetTimeOfDay,
    ListPeers,
    Peers,
    PeerView,
)
from redwingrudder.coordination.progress_writer import ProgressWriter
from redwingrudder.coordination.recorder import WriteOutcome
from redwingrudder.exceptions import (
    BadRequestError,
    RedwingrudderError,
    StoreUnavailableError,
)
from redwingrudder.model import Epoch
from redwingrudder.platform.advice import PlatformAdvice
from redwingrudder.platform.front_end import decode_submission
from redwingrudder.platform.http_client import JsonReply
from redwingrudder.platform.machines import PlatformMachines, PlatformWaves
from redwingrudder.platform.registry import PlatformConfiguration, PlatformRegistry
from redwingrudder.platform.workers import _decode_command_reply, _decode_report
from redwingrudder.simulation import MemoryStore, StoreContents
from redwingrudder.timers import TIMERS, Subscribe, TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.model import TaskKey

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, outcome, run_for
from .test_platform_codecs import ENTRY, QUEUE, WORKFLOW_ID

RETENTION_S = 150.0
# Valid JSON whose value is infinite in double precision.
HUGE = "1e400"
CONFIGURATION_DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "prefix": "/a/",
            "service": "pool",
            "timeoutMs": 3000,
            "priority": 0,
            "maxAttempts": 2,
            "stretchFactor": 1.5,
            "targetLatencyMs": 250,
            "public": False,
            "advice": {"decisionMs": 5},
        }
    ],
    "services": [{"name": "pool"}],
    "tenants": [{"name": "t", "apiKeys": ["k"], "guaranteed": {"gpu": 56}}],
}
SUBMISSION = {
    "spec": "s",
    "startAtMs": 5000,
    "intervalMs": 100,
    "repeats": 2,
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900, "gang": True},
        {"count": 1, "gpu": 1, "after": [0], "dataRack": "r1", "maxPerServer": 2},
    ],
}
REPORT = {
    "clockMs": 9,
    "born": 4,
    "running": [[f"{WORKFLOW_ID}.0.0.1", 2, "cp", 41, 7]],
    "ended": [[58, f"{WORKFLOW_ID}.0.0.2", 1, "broken", ""]],
}
COMMAND_REPLY = {"clockMs": 3, "reason": "fence"}
ADVICE = {"allowed": [["w1", "ticket"]], "validMs": 3000}
MACHINES = {"machines": [{"machine": "m", "state": "up", "id": "w1"}]}
WAVE = {"wave": 1, "machines": ["m"], "durationS": 20, "maxCount": 1}
# Marks a place where HUGE is written, which json.dumps cannot produce.
HUGE_MARK = "HUGE-NUMBER"

odd_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**400), 10**400),
    st.floats(allow_nan=False, allow_infinity=False),
    # Copies, since a value may be replaced within one that was drawn before.
    st.sampled_from([HUGE_MARK, "", "\ud800", "x", [], {}, [[]], [None], -1]).map(
        copy.deepcopy
    ),
)


def paths_of(value, path=()):
    """Return the paths of all values within a document."""
    entries = []
    if isinstance(value, dict):
        entries = list(value.items())
    elif isinstance(value, list):
        entries = list(enumerate(value))
    found = [path] if path else []
    for key, entry in entries:
        found += paths_of(entry, (*path, key))
    return found


@st.composite
def mutated(draw, document):
    """Return a document in which one to three values are replaced."""
    changed = copy.deepcopy(document)
    for _ in range(draw(st.integers(1, 3))):
        *parents, last = draw(st.sampled_from(paths_of(document)))
        place = changed
        for key in parents:
            place = place[key] if _has(place, key) else None
        if _has(place, last):
            place[last] = draw(odd_values)
    return json.dumps(changed).replace(f'"{HUGE_MARK}"', HUGE)


def _has(place, key):
    if isinstance(place, list):
        return isinstance(key, int) and key < len(place)
    return isinstance(place, dict) and key in place


class ReplyingClient:
    """HTTP client that gives one reply to all calls."""

    def __init__(self, body):
        self.body = body

    async def call(self, method, path, body, timeout_s, headers=None, **_):
        return JsonReply(200, self.body)


def completed(coroutine):
    """Return the result of a coroutine that does not wait."""
    result = outcome(Deferred.fromCoroutine(coroutine))
    if isinstance(result, Exception):
        raise result
    return result


def decode_reply(decode):
    """Return a decoder of text for a decoder of parsed replies."""

    def decode_text(text):
        body = parse_json(text)
        return decode(body if isinstance(body, dict) else {})

    return decode_text


DECODERS = {
    "configuration": (CONFIGURATION_DOCUMENT, PlatformConfiguration().decode),
    "worker entry": (ENTRY, lambda text: PlatformRegistry().decode("servers/w", text)),
    "submission": (
        SUBMISSION,
        lambda text: decode_submission(WORKFLOW_ID, text.encode(), QUEUE, "org", 1),
    ),
    "report": (REPORT, decode_reply(_decode_report)),
    "command reply": (
        COMMAND_REPLY,
        decode_reply(lambda body: _decode_command_reply(JsonReply(409, body))),
    ),
    "advice": (
        ADVICE,
        decode_reply(
            lambda body: completed(
                PlatformAdvice(ReplyingClient(body)).ask(
                    TaskKey("j", 0, 0, 0), ("w",), 5.0
                )
            )
        ),
    ),
    "machines": (
        MACHINES,
        decode_reply(
            lambda body: completed(
                PlatformMachines(ReplyingClient(body)).list_machines()
            )
        ),
    ),
    "wave": (WAVE, lambda text: PlatformWaves().decode("op/wave/1", text)),
    "workflow record": (
        json.loads(records.encode_workflow(fx.workflow())),
        lambda text: records.decode_workflow(text.encode()),
    ),
    "progress record": (
        json.loads(
            '{"term":1,"state":"running","done":[[0,0,0]],"failures":[[0,0,1,1]],'
            '"runs":[[0,0,1,2]],"placed":[[0,0,1,2,"w1",5]],'
            '"checkpoints":[[0,0,2,"cp"]]}'
        ),
        lambda text: records.decode_progress("job", text.encode()),
    ),
}


class DecoderTests(unittest.TestCase):
    def setUp(self):
        # Each invalid worker entry and wave is logged.
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def assert_coded(self, name, decode, text):
        """Check that a decoder returns or raises an error with a code.

        A reply that is not even JSON is handled by the HTTP client, which
        ``parse_json`` stands for here.
        """
        try:
            decode(text)
        except RedwingrudderError:
            pass
        except ValueError as error:
            self.assertRaises(ValueError, parse_json, text)
            self.assertIsInstance(error, ValueError, name)

    def test_originals_are_valid(self):
        """Guards against mutations of documents that are refused anyway."""
        for name, (document, decode) in DECODERS.items():
            with self.subTest(name):
                self.assertIsNotNone(decode(json.dumps(document)))

    def test_every_number_can_be_infinite(self):
        """Guards against an OverflowError that ends a watch or a recovery."""
        for name, (document, decode) in DECODERS.items():
            for path in paths_of(document):
                changed = copy.deepcopy(document)
                place = changed
                for key in path[:-1]:
                    place = place[key]
                place[path[-1]] = HUGE_MARK
                text = json.dumps(changed).replace(f'"{HUGE_MARK}"', HUGE)
                with self.subTest(name, path=path):
                    self.assert_coded(name, decode, text)

    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_mutated_documents(self, data):
        """Guards against uncoded errors for values of other types or sizes."""
        for name, (document, decode) in DECODERS.items():
            self.assert_coded(name, decode, data.draw(mutated(document)))

    @settings(max_examples=200, deadline=None)
    @given(st.one_of(st.text(max_size=40), st.sampled_from(["[" * 10**5, "1" * 5000])))
    def test_texts_that_are_not_documents(self, text):
        """Guards against uncoded errors for arbitrary text."""
        for name, (_, decode) in DECODERS.items():
            try:
                text.encode()
            except UnicodeEncodeError:
                return
            self.assert_coded(name, decode, text)

    def test_limits_and_times_are_finite(self):
        """Guards against limits that are infinite, negative or not numbers."""
        for field in ("timeoutMs", "maxAttempts", "stretchFactor", "targetLatencyMs"):
            for value in (HUGE, "NaN", "Infinity", "-1", '"1"', "true", "1" * 400):
                document = copy.deepcopy(CONFIGURATION_DOCUMENT)
                document["routes"][0][field] = HUGE_MARK
                text = json.dumps(document).replace(f'"{HUGE_MARK}"', value)
                with self.subTest(field, value=value[:9]):
                    self.assertRaises(
                        RedwingrudderError, PlatformConfiguration().decode, text
                    )

    def test_names_are_non_empty_texts(self):
        """Guards against pools, queues and keys without a usable name."""
        for path in (("routes", 0, "name"), ("services", 0, "name")):
            for value in ("", 7, [], "\ud800"):
                document = copy.deepcopy(CONFIGURATION_DOCUMENT)
                document[path[0]][path[1]][path[2]] = value
                with self.subTest(path=path, value=value):
                    self.assertRaises(
                        RedwingrudderError,
                        PlatformConfiguration().decode,
                        json.dumps(document),
                    )

    def test_submission_out_of_range_is_a_bad_request(self):
        """Guards against status 500 for a number that is out of range."""
        for value in (HUGE, "1" * 400, "-1", str(MAX_INTEGER + 1)):
            text = '{"spec":"s","steps":[{"count":1,"cpu":' + value + "}]}"
            with self.subTest(value[:9]), self.assertRaises(BadRequestError):
                decode_submission(WORKFLOW_ID, text.encode(), QUEUE, "org", 1)


class FailingOnceCodec:
    """Configuration codec that fails unexpectedly for one document."""

    key = "op/config"

    def decode(self, document):
        if document == "bad":
            raise OverflowError("unexpected")
        return OperatorConfiguration(int(document), (), {}, {}, frozenset())


class FeedTests(unittest.TestCase):
    def test_feed_survives_an_unexpected_error(self):
        """Guards against a node that never follows the configuration again."""
        clock, system, store = node_system()
        TimerService(system)
        subscriber = Recording(system, "subscriber", {ConfigurationInForce: None})
        store.contents.put("op/config", "bad")
        ConfigurationFeed(system, FailingOnceCodec(), ("subscriber",))
        system.tell(TIMERS, Subscribe(CONFIGURATION, "follow", 0.0))
        with self.assertLogs("redwingrudder", logging.ERROR):
            run_for(clock, 0.5, (store,))
        store.contents.put("op/config", "7")
        run_for(clock, 1.0, (store,))
        self.assertEqual(subscriber.received[-1].configuration.version, 7)


DEEP = "[" * 100_000


def stored_pair(key, value, revision=1):
    """Return a pair as the product's store sends it; ``value`` is bytes."""
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(value).decode(),
        "mod_revision": str(revision),
    }


class ProductStoreTests(unittest.TestCase):
    """Odd replies and entries in the store of the product's own interface."""

    def setUp(self):
        self.told = []
        self.reopened_after = []
        self.watch = Watch(
            requests.WatchPrefix("subscriber", "/owner/", 0),
            mock.Mock(),
            self.told.append,
            self.reopened_after.append,
            mock.Mock(),
            mock.Mock(),
            random.Random(1),
        )
        self.watch.open()

    def test_odd_line_reopens_the_watch(self):
        """Guards against a watch that neither reopens nor delivers."""
        for line in (
            '{"result":' + DEEP,
            '{"result":{"compact_revision":1e400}}',
            '{"result":{"events":[{"kv":{"mod_revision":1e400}}]}}',
            '{"result":{"events":[7]}}',
            '{"result":[]}',
        ):
            with self.subTest(line[:40]):
                self.reopened_after.clear()
                self.watch._line_received(line.encode())
                self.assertEqual(len(self.reopened_after), 1)

    def test_odd_entry_does_not_stop_the_watch(self):
        """Guards against a watch that meets the same entry again and again."""
        pairs = [stored_pair("/owner/a", b"\xff"), stored_pair("/owner/b", b"b", 2)]
        line = json.dumps({"result": {"events": [{"kv": pair} for pair in pairs]}})
        with self.assertLogs("redwingrudder", logging.WARNING):
            self.watch._line_received(line.encode())
        self.assertEqual(self.reopened_after, [])
        (message,) = self.told
        self.assertEqual([change.key for change in message.changes], ["/owner/b"])

    def test_odd_entry_does_not_hide_the_others_of_a_page(self):
        """Guards against a prefix that cannot be read for one bad value."""
        pairs = [stored_pair("/owner/a", b"\xff"), stored_pair("/owner/b", b"b")]
        body = {"header": {"revision": "4"}, "kvs": pairs}
        with self.assertLogs("redwingrudder", logging.WARNING):
            content = json.dumps(body).encode()
            reply = _store_codec.decode(requests.GetPrefix("/owner/"), content)
        self.assertEqual([pair.key for pair in reply.pairs], ["/owner/b"])

    def test_odd_last_entry_does_not_end_the_pages(self):
        """Guards against keys that are never read behind an odd one."""
        pairs = [stored_pair(f"/owner/{n:03}", b"v") for n in range(199)]
        last = stored_pair("", b"v")
        last["key"] = base64.b64encode(b"/owner/\xff").decode()
        body = {"header": {"revision": "4"}, "kvs": [*pairs, last]}
        with self.assertLogs("redwingrudder", logging.WARNING):
            content = json.dumps(body).encode()
            reply = _store_codec.decode(requests.GetPrefix("/owner/"), content)
        self.assertEqual(len(reply.pairs), 199)
        call = _store_codec.encode_page("/owner/", reply.next_key)
        key = base64.b64decode(json.loads(call.body)["key"])
        self.assertEqual(key, b"/owner/\xff\0")

    def test_odd_replies_are_value_errors(self):
        """Guards against an error that the store client does not expect."""
        for message in (requests.GetKey("k"), requests.GetPrefix("k")):
            for text in (DEEP, '{"kvs":[1e400]}', "7", '{"kvs":[{}]}'):
                with (
                    self.subTest(message, text=text[:20]),
                    self.assertRaises(ValueError),
                ):
                    _store_codec.decode(message, text.encode())

    def test_odd_configuration_is_a_value_error(self):
        """Guards against a node that stops following the configuration."""
        decoders = (
            _configuration_codec.decode_head,
            _configuration_codec.decode_change,
            _configuration_codec.decode_configuration,
            _ownership_record.decode_record,
        )
        texts = (DEEP, "{}", "7", '{"version":1e400}', '{"format_version":1}')
        for decode_text in decoders:
            for text in texts:
                with self.subTest(decode_text.__name__, text=text[:20]):
                    self.assertRaises(ValueError, decode_text, text)

    def test_odd_owner_record_hides_no_other(self):
        """Guards against a domain without owner for the record of another."""
        record = _ownership_record.OwnerRecord("n", "10.0.0.1:1", Epoch(1, 0, 0), "x")
        text = _ownership_record.encode_record(record)
        pairs = (KeyValue("/owner/a", "{}", 1), KeyValue("/owner/b", text, 2))

        async def answer(_):
            return requests.PrefixReply(pairs, 2)

        client = _ownership_record.OwnerRecordClient(
            answer, lambda: 0.0, "b", "n", "10.0.0.1:1", 0
        )
        with self.assertLogs("redwingrudder", logging.WARNING):
            owners = completed(client.read_all())
        self.assertEqual(owners.records_by_domain, {"b": record})

    def test_odd_owner_record_refuses_writes_with_a_code(self):
        """Guards against status 500 for a job while the owner is unknown."""
        _, system, _ = node_system()
        store = JobStore(system, "a", Epoch(1, 0, 0))
        for text in (DEEP, "{}"):
            pair = KeyValue("/owner/a", text, 1)
            store._ask = mock.AsyncMock(return_value=pair)
            with self.subTest(text[:9]), self.assertRaises(StoreUnavailableError):
                completed(store._compare_owner_record())

    def test_addresses_of_other_scripts_or_with_spaces_are_invalid(self):
        """Guards against a session to an address that no socket accepts."""
        for text in ("host:\u0663\u0663", "a b:80", "a\n:80", "h:0", "h:99999"):
            with self.subTest(text):
                self.assertFalse(is_address(text))
        for text in ("10.0.0.1:80", "store.example:81", "[fd00::1]:80"):
            with self.subTest(text):
                self.assertTrue(is_address(text))


class IdleChannels(ChannelFactory):
    """Channels whose calls are never answered."""

    def open(self, facts):
        channel = mock.Mock()
        channel.poll = channel.start = channel.stop = self._wait
        return channel

    async def _wait(self, *_):
        await Deferred()


class CoordinatorTests(unittest.TestCase):
    def setUp(self):
        self.contents = StoreContents()
        self.clock, self.system, self.store = node_system(self.contents)
        TimerService(self.system)
        self.leadership = Recording(self.system, LEADERSHIP, {Resign: None})
        Recording(self.system, PEERS, {ListPeers: PeerView((), 0), GetTimeOfDay: 0.0})
        gateways = FleetGateways(
            PlatformRegistry(), IdleChannels(), WorkerTimes(6.0, 1.5), RETENTION_S
        )
        self.coordinator = Coordinator(self.system, gateways)
        Intake(self.system, Identity("n1", "10.0.0.1:1", "life"), RETENTION_S)
        for job in ("a", "b"):
            document = records.encode_workflow(fx.workflow(job)).decode()
            self.contents.put(INTAKE_PREFIX + job, document)

    def begin_term(self):
        self.system.tell(COORDINATOR, BeginTerm(1, 1, 1e9))
        run_for(self.clock, 0.3, (self.store,))

    def ask_state(self, job, actor=COORDINATOR):
        message = ReadStateForPeer(job) if actor != COORDINATOR else GetState(job)
        reply = self.system.ask(actor, message)
        run_for(self.clock, 0.1, (self.store,))
        return outcome(reply)

    def put_worker(self, worker_id, **changes):
        text = json.dumps(ENTRY | changes).replace(f'"{HUGE_MARK}"', HUGE)
        self.contents.put(f"servers/{worker_id}", text)

    def known_workers(self):
        return set(self.coordinator._term.engine.workers_by_id)

    def test_malformed_worker_entry_does_not_stop_the_recovery(self):
        """Guards against a term that never begins because of one entry."""
        self.put_worker("bad", born=HUGE_MARK)
        self.put_worker("good")
        self.begin_term()
        self.assertEqual(self.ask_state("a"), "queued")
        self.assertEqual(self.known_workers(), {"good"})
        self.assertFalse(self.leadership.received)

    def test_malformed_worker_entry_does_not_end_the_watch(self):
        """Guards against a coordinator that hears of no worker any more."""
        self.begin_term()
        self.put_worker("bad", capacity={"cpu": HUGE_MARK})
        run_for(self.clock, 0.3, (self.store,))
        self.put_worker("good")
        run_for(self.clock, 0.5, (self.store,))
        self.assertEqual(self.known_workers(), {"good"})

    def test_unexpected_error_for_one_entry_does_not_end_the_watch(self):
        """Guards against changes that are lost beside one that fails."""
        self.begin_term()
        apply = self.coordinator._term.workers.set_entry

        def fail_for_odd(key, value):
            if key.endswith("odd"):
                raise ZeroDivisionError("unexpected")
            apply(key, value)

        with (
            mock.patch.object(
                type(self.coordinator._term.workers),
                "set_entry",
                lambda _, key, value: fail_for_odd(key, value),
            ),
            self.assertLogs("redwingrudder", logging.ERROR),
        ):
            self.put_worker("odd")
            self.put_worker("good")
            run_for(self.clock, 0.5, (self.store,))
            self.put_worker("later")
            run_for(self.clock, 0.5, (self.store,))
        self.assertEqual(self.known_workers(), {"good", "later"})

    def test_unreadable_progress_sets_only_its_job_aside(self):
        """Guards against a second run of tasks whose record is unreadable."""
        self.contents.put(PROGRESS_PREFIX + "a", '{"term":1,"state":"running"}')
        with self.assertLogs("redwingrudder", logging.ERROR):
            self.begin_term()
        self.assertEqual(self.ask_state("b"), "queued")
        self.assertEqual(self.ask_state("a"), "")
        # A repeated submission announces the job again.
        document = self.contents.items_by_key[INTAKE_PREFIX + "a"].value
        self.system.tell(COORDINATOR, WorkflowStored("a", document))
        self.assertEqual(self.ask_state("a"), "")
        error = self.ask_state("a", "intake")
        self.assertEqual((error.code, error.http_status), ("unreadable_record", 503))

    def test_unreadable_submission_does_not_stop_the_recovery(self):
        """Guards against other jobs that are lost with an unreadable one."""
        for document in ("[]", '{"format":1}', '{"format":1,"steps":' + HUGE + "}"):
            self.contents.put(INTAKE_PREFIX + "bad", document)
            with self.subTest(document), self.assertLogs("redwingrudder", "ERROR"):
                self.begin_term()
            self.assertEqual(self.ask_state("a"), "queued")

    def test_recovery_that_fails_unexpectedly_is_retried(self):
        """Guards against a node that holds the record without coordinating."""
        with (
            mock.patch(
                "redwingrudder.coordination.coordinator.restore_all",
                side_effect=ZeroDivisionError("unexpected"),
            ),
            self.assertLogs("redwingrudder", logging.ERROR),
        ):
            self.begin_term()
        run_for(self.clock, 0.5, (self.store,))
        self.assertEqual(self.ask_state("a"), "queued")

    def test_recovery_that_always_fails_ends_in_a_resignation(self):
        """Guards against keeping a coordinator that cannot recover."""
        with (
            mock.patch(
                "redwingrudder.coordination.coordinator.restore_all",
                side_effect=ZeroDivisionError("unexpected"),
            ),
            self.assertLogs("redwingrudder", logging.ERROR),
        ):
            self.begin_term()
            run_for(self.clock, 6.0, (self.store,))
        self.assertEqual(len(self.leadership.received), 1)


class LeadershipTests(unittest.TestCase):
    def setUp(self):
        self.contents = StoreContents()
        self.clock, self.system, self.store = node_system(self.contents)
        TimerService(self.system)
        Recording(
            self.system,
            COORDINATOR,
            {BeginTerm: None, EndTerm: None, LeaseConfirmed: None},
        )
        self.leadership = Leadership(
            self.system, Identity("n1", "10.0.0.1:1", "life"), ()
        )

    def elect(self):
        self.leadership.start()
        run_for(self.clock, 4 * CAMPAIGN_JITTER_S, (self.store,))

    def test_unreadable_record_is_replaced(self):
        """Guards against a fleet without a coordinator."""
        for record in ("x", "[]", '{"node":1}', "null"):
            with self.subTest(record):
                self.setUp()
                self.contents.put(COORDINATOR_KEY, record)
                with self.assertLogs("redwingrudder", logging.ERROR):
                    self.elect()
                self.assertTrue(self.leadership.leading)

    def test_unreadable_term_is_followed_by_a_higher_one(self):
        """Guards against a fencing token below that of an earlier term."""
        self.contents.revision = 40
        self.contents.put(TERM_KEY, "x")
        with self.assertLogs("redwingrudder", logging.ERROR):
            self.elect()
        self.assertTrue(self.leadership.leading)
        self.assertGreater(int(self.contents.items_by_key[TERM_KEY].value), 40)


class FailingWatchStore(MemoryStore):
    """Store whose first watch raises an unexpected error."""

    failures = 1

    def _watch(self, message: AwaitChanges):
        if self.failures:
            self.failures -= 1
            raise ZeroDivisionError("unexpected")
        return super()._watch(message)


class WatchTests(unittest.TestCase):
    def test_watch_of_the_record_survives_an_unexpected_error(self):
        """Guards against a node that never campaigns again."""
        contents = StoreContents()
        clock, system, store = node_system(contents)
        system.unregister(store)
        store = FailingWatchStore(system, contents)
        TimerService(system)
        Recording(
            system, COORDINATOR, {BeginTerm: None, EndTerm: None, LeaseConfirmed: None}
        )
        contents.put(
            COORDINATOR_KEY,
            json.dumps({"node": "n2", "address": "10.0.0.2:1", "life": "x", "term": 1}),
        )
        leadership = Leadership(system, Identity("n1", "10.0.0.1:1", "life"), ())
        with self.assertLogs("redwingrudder", logging.ERROR):
            leadership.start()
            run_for(clock, 0.5, (store,))
        contents.remove(COORDINATOR_KEY)
        run_for(clock, 1.0, (store,))
        self.assertTrue(leadership.leading)


class PeersTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        TimerService(self.system)
        identity = Identity("n1", "10.0.0.1:7000", "life")
        self.peers = Peers(self.system, self.clock, identity, ("10.0.0.1", 7000))

    def summary(self, **changes):
        fields = {
            "node_id": "n2",
            "address": "10.0.0.2:7000",
            "life": "x",
            "configuration_version": 0,
            "coordinator_id": "",
            "coordinator_address": "",
            "term": 0,
            "store_available": True,
            "unix_time": 1000.0,
        }
        return WireNodeSummary(**(fields | changes))

    def fresh_peers(self):
        reply = self.system.ask(PEERS, ListPeers())
        run_for(self.clock, 0.05)
        return outcome(reply).fresh

    def test_incomplete_summary_is_ignored(self):
        """Guards against clocks, addresses and terms that no peer has."""
        for changes in (
            {"unix_time": None},
            {"unix_time": float("nan")},
            {"term": None},
            {"address": "nowhere"},
            {"node_id": ""},
            {"coordinator_address": "x:99999"},
        ):
            with self.subTest(changes):
                self.peers._answer_exchange(self.summary(**changes))
                self.assertEqual(self.fresh_peers(), ())
        self.peers._answer_exchange(self.summary())
        self.assertEqual(len(self.fresh_peers()), 1)

    def test_discovery_survives_an_unexpected_error(self):
        """Guards against a node that never reads the list of nodes again."""
        with (
            mock.patch.object(
                self.peers, "_add_listed_node", side_effect=ZeroDivisionError
            ),
            self.assertLogs("redwingrudder", logging.ERROR),
        ):
            self.store.contents.put("node/n2", "10.0.0.2:7000")
            self.system.tell(TIMERS, Subscribe(PEERS, "discover", 0.0))
            run_for(self.clock, 0.1)
        run_for(self.clock, 10.0)
        self.assertEqual(self.peers._build_view().peer_count, 1)


class WriterTests(unittest.TestCase):
    def test_unexpected_error_loses_no_record(self):
        """Guards against an end that is never recorded nor acknowledged."""
        clock, system, _ = node_system()
        Recording(system, COORDINATOR, {})
        engine = fx.engine()
        engine.accept(fx.workflow(), 0.0)
        engine.dirty.add("job")
        written = []

        async def write(_, workflow_ids, starting_ids):
            if not written:
                written.append("failed")
                raise ZeroDivisionError("unexpected")
            written.append(tuple(workflow_ids))
            return WriteOutcome(tuple(workflow_ids))

        workers = mock.Mock()
        workers.find_unrecorded_ends.return_value = []
        recorder = types.SimpleNamespace(write=write, revision=lambda _: 0)
        writer = ProgressWriter(system, engine, recorder, workers, mock.Mock())
        with self.assertLogs("redwingrudder", logging.ERROR):
            writer.schedule_write()
            run_for(clock, 0.5)
        self.assertEqual(written, ["failed", ("job",)])


class ErrorCounterTests(unittest.TestCase):
    def test_errors_are_counted(self):
        """Guards against errors that no metric shows."""
        clock, system, _ = node_system()
        counter = ErrorCounter(system)
        logger = logging.getLogger("redwingrudder.test")
        logger.addHandler(counter)
        self.addCleanup(logger.removeHandler, counter)
        with mock.patch.object(logger, "propagate", False):
            logger.warning("not counted")
            logger.error("counted")
        run_for(clock, 0.05)
        metrics = system._find(METRICS)
        self.assertEqual(
            metrics.received, [IncrementCounter("errors", ("redwingrudder.test",))]
        )


if __name__ == "__main__":
    unittest.main()

"""Refusals and rejections that would be untrue after a lost answer."""

import unittest
from unittest import mock

from twisted.internet.defer import ensureDeferred

from redwingrudder._store_requests import GetKey, GetPrefix
from redwingrudder.coordination.gateways import COORDINATOR, INTAKE, PEERS
from redwingrudder.coordination.intake import Intake
from redwingrudder.coordination.leadership import Identity
from redwingrudder.coordination.messages import (
    CancelForPeer,
    CancelStored,
    CoordinatorKnown,
    StoreAvailability,
    StoreForPeer,
    SubmitWorkflow,
    WorkflowStored,
)
from redwingrudder.coordination.peers import (
    CallPeer,
    GetTimeOfDay,
    ListPeers,
    PeerView,
)
from redwingrudder.exceptions import (
    OutcomeUnknownError,
    StoreUnavailableError,
    UnavailableError,
)
from redwingrudder.platform.http_client import JsonReply
from redwingrudder.platform.workers import PlatformChannel
from redwingrudder.workflows import records
from redwingrudder.workflows.model import StartRun

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, outcome, run_for

RETENTION_S = 60.0


class IntakeTests(unittest.TestCase):
    """The store stops answering reads after a write."""

    def setUp(self):
        self.clock, self.system, self.store = node_system()
        Recording(
            self.system,
            PEERS,
            {
                ListPeers: PeerView((), 0),
                CallPeer: UnavailableError("peer cannot be reached"),
                GetTimeOfDay: 0.0,
            },
        )
        Recording(self.system, COORDINATOR, {WorkflowStored: None, CancelStored: None})
        Intake(self.system, Identity("n1", "10.0.0.1:1", "life"), RETENTION_S)
        self.system.tell(INTAKE, CoordinatorKnown("n1", "10.0.0.1:1", 1))

    def fail_reads(self):
        """Let the store carry out transactions only."""
        down = StoreUnavailableError("the store does not answer")
        reads = {GetKey: mock.Mock(side_effect=down)}
        reads[GetPrefix] = reads[GetKey]
        patch = mock.patch.dict(self.store._handlers_by_type, reads)
        patch.start()
        self.addCleanup(patch.stop)

    def ask(self, message, seconds=3.0):
        reply = self.system.ask(INTAKE, message)
        run_for(self.clock, seconds)
        return outcome(reply)

    def test_repeated_submission_is_not_refused(self):
        """Guards against a refusal of a job that an earlier call has stored.

        The caller repeats its submission, whose answer was lost.
        """
        submit = SubmitWorkflow(fx.workflow(), 2.0)
        self.assertIs(self.ask(submit), True)
        self.fail_reads()
        self.assertIsInstance(self.ask(submit), OutcomeUnknownError)

    def test_relayed_submission_is_not_refused(self):
        """Guards against the same at the peer that writes for another node."""
        document = records.encode_workflow(fx.workflow()).decode()
        message = StoreForPeer("job", document)
        self.assertIsNone(self.ask(message))
        self.fail_reads()
        self.assertIsInstance(self.ask(message), OutcomeUnknownError)

    def test_relayed_cancellation_is_not_refused(self):
        """Guards against a refusal of a cancellation that may be stored."""
        self.assertIs(self.ask(SubmitWorkflow(fx.workflow(), 2.0)), True)
        self.store.writes_to_delay = 1
        self.store.down_after_delayed_write = True
        error = self.ask(CancelForPeer("job"))
        self.assertIsInstance(error, OutcomeUnknownError)
        self.assertEqual(self.store.apply_delayed_writes(), [True])

    def test_cancellation_that_was_not_sent_is_refused(self):
        """Guards against an unknown outcome where a refusal is certain."""
        self.store.down = True
        error = self.ask(CancelForPeer("job"))
        self.assertIsInstance(error, StoreUnavailableError)
        self.system.tell(INTAKE, StoreAvailability(False))


class StatusClient:
    """Answers each call with one status and body."""

    def __init__(self, status, body):
        self.reply = JsonReply(status, body)

    async def call(self, *arguments, **options):
        return self.reply


class WorkerReplyTests(unittest.TestCase):
    def start(self, status, body):
        channel = PlatformChannel(StatusClient(status, body), "w1")
        run = StartRun("w1", fx.key(), 1, "payload", "")
        call = channel.start(run, 1000, 1, 0.4, lambda: True)
        return outcome(ensureDeferred(call))

    def test_answers_that_say_nothing_about_the_run(self):
        """Guards against a second run beside one that has begun.

        A worker that fails while it starts a run answers with a status that
        says nothing about that.
        """
        for status in (204, 404, 408, 500, 502, 504):
            with self.subTest(status=status):
                self.assertIsInstance(self.start(status, {}), OutcomeUnknownError)
        for body in ({}, {"reason": "other"}):
            with self.subTest(body=body):
                self.assertIsInstance(self.start(409, body), OutcomeUnknownError)

    def test_definite_rejections(self):
        """Guards against stops that delay the next run of a task."""
        for status, reason in (
            (400, "invalid"),
            (429, "unhealthy"),
            (503, "unhealthy"),
        ):
            with self.subTest(status=status):
                self.assertEqual(self.start(status, {}).reason, reason)
        reply = self.start(409, {"reason": "room", "clockMs": 7})
        self.assertEqual((reply.reason, reply.clock_ms), ("room", 7))


if __name__ == "__main__":
    unittest.main()

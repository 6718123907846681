"""Refusals and rejections that would be untrue after a lost answer."""

import unittest
from unittest import mock

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
from redwingrudder.workflows import records

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


if __name__ == "__main__":
    unittest.main()

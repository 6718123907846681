"""Tests of submission, election and recording with an in-memory store."""

import functools
import json
import logging
import unittest
from unittest import mock

from twisted.internet.defer import Deferred, ensureDeferred

from redwingrudder._store_requests import DeleteKey, PutKey, Transact
from redwingrudder.coordination import watching
from redwingrudder.coordination.authority import STORE_DOWN_EVIDENCE_S
from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    COORDINATOR_KEY,
    INTAKE,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    TERM_KEY,
    ChannelFactory,
    FleetGateways,
    RegistryCodec,
    WorkerTimes,
)
from redwingrudder.coordination.intake import Intake
from redwingrudder.coordination.leadership import (
    CAMPAIGN_JITTER_S,
    MAX_TERMS_SEEN,
    Identity,
    Leadership,
    NodeResources,
)
from redwingrudder.coordination.messages import (
    BeginTerm,
    CancelForPeer,
    CancelStored,
    CancelWorkflow,
    CoordinatorKnown,
    CoordinatorUnreachable,
    EndTerm,
    GetQueueLength,
    GetState,
    LeaseConfirmed,
    NodeSummary,
    Resign,
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
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.coordination.watching import WATCH_LATE_AFTER_S, follow_prefix
from redwingrudder.exceptions import (
    OutcomeUnknownError,
    RedwingrudderError,
    StoreUnavailableError,
    UnavailableError,
)
from redwingrudder.simulation import StoreContents
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.engine import EARLY_CANCEL_MEMORY_S
from redwingrudder.workflows.model import EndKind, WorkflowState

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, outcome, run_for

RETENTION_S = 150.0


class EmptyRegistry(RegistryCodec):
    prefix = "servers/"

    def decode(self, key, document):
        return None


class UnusedChannels(ChannelFactory):
    def open(self, facts):
        raise AssertionError(f"unexpected connection to worker {facts.worker_id}")


class IntakeTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.peers = Recording(
            self.system,
            PEERS,
            {
                ListPeers: PeerView((), 0),
                CallPeer: UnavailableError("peer cannot be reached"),
            },
        )
        self.coordinator = Recording(
            self.system,
            COORDINATOR,
            {
                WorkflowStored: None,
                CancelStored: None,
                GetState: "",
                GetQueueLength: UnavailableError(
                    "this node does not coordinate", code="not_coordinator"
                ),
            },
        )
        Intake(self.system, Identity("n1", "10.0.0.1:1", "life"), RETENTION_S)
        self.system.tell(INTAKE, CoordinatorKnown("n1", "10.0.0.1:1", 1))

    def ask(self, message, seconds=0.1):
        reply = self.system.ask(INTAKE, message)
        run_for(self.clock, seconds)
        return outcome(reply)

    def submit(self, seconds=0.1):
        return self.ask(SubmitWorkflow(fx.workflow(), 2.0), seconds)

    def test_coordinator_of_an_earlier_term_is_ignored(self):
        """Guards against a node that asks a former coordinator for good.

        A peer that was paused reports it between two messages of LEADERSHIP.
        """
        self.system.tell(INTAKE, CoordinatorKnown("", "", 0))
        self.system.tell(INTAKE, CoordinatorKnown("n3", "10.0.0.3:1", 9))
        self.system.tell(INTAKE, CoordinatorKnown("n2", "10.0.0.2:1", 8))
        self.ask(GetQueueLength("queue"))
        calls = [m.address for m in self.peers.received if isinstance(m, CallPeer)]
        self.assertEqual(calls, ["10.0.0.3:1"])

    def test_acceptance_is_stored_first(self):
        """Guards against accepting a workflow before it is in the store."""
        self.assertIs(self.submit(), True)
        self.assertIn(INTAKE_PREFIX + "job", self.store.contents.items_by_key)

    def test_lost_answer_is_resolved_by_a_second_write(self):
        """Guards against refusing a workflow that the store has recorded."""
        self.store.replies_to_lose = 1
        self.assertIs(self.submit(), True)

    def test_unconfirmed_write_is_not_called_not_run(self):
        """Guards against refusing a workflow that is stored afterwards.

        The store delays all writes, and carries them out after the reply to
        the caller.
        """
        self.store.writes_to_delay = 1000
        error = self.submit(seconds=2.5)
        self.assertIsInstance(error, OutcomeUnknownError)
        self.assertTrue(self.store.apply_delayed_writes()[0])

    def test_store_that_does_nothing_is_a_refusal_with_retry_time(self):
        """Guards against a refusal that gives the caller no retry time."""
        self.store.down = True
        error = self.submit()
        self.assertIsInstance(error, UnavailableError)
        self.assertNotIsInstance(error, OutcomeUnknownError)
        self.assertGreater(error.retry_after_s, 0)
        self.assertEqual(self.store.contents.items_by_key, {})

    def test_silent_store_gets_no_write(self):
        """Guards against an unknown outcome where a refusal would be certain.

        No write may be sent while the store does not answer.
        """
        self.system.tell(INTAKE, StoreAvailability(False))
        error = self.submit()
        self.assertNotIsInstance(error, OutcomeUnknownError)
        self.assertGreater(error.retry_after_s, 0)
        self.assertEqual(self.store.transactions, [])

    def test_refusal_after_an_unconfirmed_write_stays_unknown(self):
        """Guards against refusing a job that an earlier write may store."""
        self.store.writes_to_delay = 1
        self.store.down_after_delayed_write = True
        self.assertIsInstance(self.submit(seconds=2.5), OutcomeUnknownError)

    def test_same_id_again_is_the_same_job(self):
        """Guards against storing a repeated submission as a second job."""
        self.submit()
        before = dict(self.store.contents.items_by_key)
        self.assertIs(self.submit(), True)
        self.assertEqual(self.store.contents.items_by_key, before)

    def test_unknown_id_is_looked_up_in_the_store(self):
        """Guards against "no such job" for a job that is stored.

        The coordinator may not have seen the submission yet.
        """
        self.submit()
        self.assertEqual(self.ask(GetState("job")), WorkflowState.QUEUED)
        self.assertEqual(self.ask(GetState("other")), "")

    def test_cancel_is_stored(self):
        """Guards against a cancellation that is lost with the coordinator."""
        self.submit()
        self.assertIs(self.ask(CancelWorkflow("job", 1.0)), True)
        self.assertEqual(self.ask(GetState("job")), WorkflowState.CANCELLED)
        self.assertIs(self.ask(CancelWorkflow("other", 1.0)), False)

    def test_job_shown_as_cancelled_does_not_end_as_done(self):
        """Guards against an order that is shown as its effect.

        The job has ended at the coordinator when its cancellation is stored,
        but its end is recorded later. The state is read from the store.
        """
        self.submit()
        engine = fx.engine()
        progress = engine.accept(fx.workflow("job", fx.step(1)), 0.0)
        (start,) = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, [start])
        self.record(progress)
        engine.end(start.worker_id, fx.ended(start), 0.0)
        self.ask(CancelWorkflow("job", 1.0))
        shown = self.ask(GetState("job"))
        engine.cancel("job", 0.0)
        self.record(progress)
        if shown == WorkflowState.CANCELLED:
            self.assertEqual(self.ask(GetState("job")), shown)

    def record(self, progress):
        document = records.encode_progress(progress, 1, {}).decode()
        self.store.contents.put("progress/job", document)

    def test_queue_without_coordinator_is_unavailable_not_absent(self):
        """Guards against 404 for a configured queue without a coordinator."""
        error = self.ask(GetQueueLength("queue"))
        self.assertEqual(error.http_status, 503)


class CutOffIntakeTests(unittest.TestCase):
    """Load pattern: calls at a node whose store falls silent meanwhile.

    The first write has an unknown outcome; a peer still reaches the store.
    """

    def setUp(self):
        self.clock, self.system, self.store = node_system()
        peer = NodeSummary("n2", "10.0.0.2:1", "l", 1, "", "", 0, True, 0.0)
        self.peers = Recording(
            self.system, PEERS, {ListPeers: PeerView((peer,), 8), CallPeer: True}
        )
        Intake(self.system, Identity("n1", "10.0.0.1:1", "life"), RETENTION_S)

    def ask(self, message):
        """Send a call; the store counts as unavailable after 0.3 s."""
        reply = self.system.ask(INTAKE, message)
        run_for(self.clock, 0.3)
        self.system.tell(INTAKE, StoreAvailability(False))
        run_for(self.clock, 0.5)
        return outcome(reply)

    def relayed(self):
        return [m.method for m in self.peers.received if isinstance(m, CallPeer)]

    def test_peer_confirms_a_submission(self):
        """Guards against 504 for a job that a peer could confirm at once."""
        self.store.writes_to_delay = 1000
        self.assertIs(self.ask(SubmitWorkflow(fx.workflow(), 2.4)), True)
        self.assertEqual(self.relayed(), ["store_workflow"])
        self.assertTrue(self.store.apply_delayed_writes()[0])

    def test_peer_confirms_a_cancellation(self):
        """Guards against a cancellation that is unanswered until too late."""
        self.store.contents.put(INTAKE_PREFIX + "job", "document")
        self.store.writes_to_delay = 1000
        self.assertIs(self.ask(CancelWorkflow("job", 2.4)), True)
        self.assertEqual(self.relayed(), ["store_cancel"])

    def test_peer_that_cannot_confirm_leaves_the_outcome_unknown(self):
        """Guards against "not run" for a job that an earlier write stores."""
        self.store.writes_to_delay = 1000
        self.peers._replies[CallPeer] = UnavailableError(
            "no store", code="store_unavailable"
        )
        reply = self.system.ask(INTAKE, SubmitWorkflow(fx.workflow(), 1.0))
        run_for(self.clock, 0.3)
        self.system.tell(INTAKE, StoreAvailability(False))
        run_for(self.clock, 1.0)
        self.assertIsInstance(outcome(reply), OutcomeUnknownError)

    def test_node_that_is_cut_off_answers_while_the_caller_has_time(self):
        """Guards against a caller held until no time is left to try elsewhere.

        Load pattern: submissions in a failure domain that is cut off.
        """
        self.store.writes_to_delay = 1000
        self.peers._replies[ListPeers] = PeerView((), 8)
        error = self.ask(SubmitWorkflow(fx.workflow(), 2.4))
        self.assertIsInstance(error, OutcomeUnknownError)
        self.assertTrue(error.retry_after_s)

    def test_peer_that_heard_nothing_of_the_store_is_not_asked(self):
        """Guards against time lost on peers in the same cut-off domain."""
        self.store.writes_to_delay = 1000
        (peer,) = self.peers._replies[ListPeers].fresh
        self.peers._replies[ListPeers] = PeerView((peer,), 8, seen_at=1.0)
        self.ask(SubmitWorkflow(fx.workflow(), 2.4))
        self.assertEqual(self.relayed(), [])

    def test_store_that_answers_again_needs_no_peer(self):
        """Guards against a detour that takes longer than the store itself."""
        self.store.replies_to_lose = 1
        self.assertIs(self.ask(SubmitWorkflow(fx.workflow(), 2.4)), True)
        self.assertEqual(self.relayed(), [])


class EarlyCancelTests(unittest.TestCase):
    """Load pattern: cancellations of jobs whose submission is in flight.

    The store carries out writes seconds after the call has ended. Two nodes
    use the store.
    """

    def setUp(self):
        self.contents = StoreContents()
        self.clocks, self.systems, self.stores, self.coordinators = [], [], [], []
        for name in ("n1", "n2"):
            clock, system, store = node_system(self.contents)
            peer_replies = {ListPeers: PeerView((), 0), GetTimeOfDay: 0.0}
            Recording(system, PEERS, peer_replies)
            replies = {WorkflowStored: None, CancelStored: None, GetState: ""}
            self.coordinators.append(Recording(system, COORDINATOR, replies))
            Intake(system, Identity(name, f"10.0.0.1:{name}", "life"), RETENTION_S)
            system.tell(INTAKE, CoordinatorKnown(name, f"10.0.0.1:{name}", 1))
            self.clocks.append(clock)
            self.systems.append(system)
            self.stores.append(store)

    def ask(self, message, node=0, seconds=0.3):
        reply = self.systems[node].ask(INTAKE, message)
        run_for(self.clocks[node], seconds)
        return outcome(reply)

    def submit_without_answer(self):
        self.stores[0].writes_to_delay = 1000
        error = self.ask(SubmitWorkflow(fx.workflow(), 0.2), seconds=1.0)
        self.assertIsInstance(error, OutcomeUnknownError)
        self.stores[0].writes_to_delay = 0

    def announced(self, node=0):
        return [type(message) for message in self.coordinators[node].received]

    def stored_keys(self):
        return sorted(self.contents.items_by_key)

    def test_submission_after_its_cancellation_is_not_stored(self):
        """Guards against a cancelled job that a late write stores."""
        self.submit_without_answer()
        self.assertIs(self.ask(CancelWorkflow("job", 1.0), node=1), False)
        self.assertEqual(set(self.stores[0].apply_delayed_writes()), {False})
        self.assertEqual(self.stored_keys(), ["intake/job/cancel"])

    def test_cancellation_for_a_peer_is_kept_as_well(self):
        """Guards against a cancellation that is lost on its way by a peer."""
        self.submit_without_answer()
        self.assertIs(self.ask(CancelForPeer("job"), node=1), False)
        self.assertEqual(set(self.stores[0].apply_delayed_writes()), {False})

    def test_repeated_submission_is_accepted_as_cancelled(self):
        """Guards against a repeated submission that undoes a cancellation.

        Each repetition gets the same reply, and the job is not announced.
        Late writes of the submission change nothing.
        """
        self.submit_without_answer()
        self.ask(CancelWorkflow("job", 1.0))
        for node in (0, 1):
            with self.subTest(node):
                submission = SubmitWorkflow(fx.workflow(), 1.0)
                self.assertIs(self.ask(submission, node), True)
                shown = self.ask(GetState("job"), node)
                self.assertEqual(shown, WorkflowState.CANCELLED)
                self.assertNotIn(WorkflowStored, self.announced(node))
        self.assertEqual(set(self.stores[0].apply_delayed_writes()), {False})
        self.assertEqual(self.stored_keys(), ["intake/job", "intake/job/cancel"])

    def test_job_is_stored_together_with_its_cancellation(self):
        """Guards against running a job that callers see as cancelled.

        The cancellation may be much older than its job, and a coordinator
        does not remember cancellations of unknown jobs for long.
        """
        self.ask(CancelWorkflow("job", 1.0))
        self.ask(SubmitWorkflow(fx.workflow(), 1.0), node=1)
        revisions = {item.mod_revision for item in self.contents.items_by_key.values()}
        self.assertEqual(self.stored_keys(), ["intake/job", "intake/job/cancel"])
        self.assertEqual(len(revisions), 1)

    def test_cancelled_id_without_a_submission_is_unknown(self):
        """Guards against showing a job that nobody has submitted."""
        self.ask(CancelWorkflow("job", 1.0))
        self.assertEqual(self.ask(GetState("job")), "")

    def test_submission_follows_a_newer_cancellation(self):
        """Guards against an accepted job that is neither stored nor shown.

        The cancellation is replaced between the read and the write.
        """
        self.ask(CancelWorkflow("job", 1.0))
        transact, seen = self.contents.transact, []

        def cancel_again(message):
            seen.append(message)
            if len(seen) == 2:
                transact(Transact((), (PutKey("intake/job/cancel", "newer"),)))
            return transact(message)

        with mock.patch.object(self.contents, "transact", cancel_again):
            self.assertIs(self.ask(SubmitWorkflow(fx.workflow(), 1.0)), True)
        self.assertEqual(self.ask(GetState("job")), WorkflowState.CANCELLED)

    def test_submission_after_its_cancellation_was_removed(self):
        """Guards against a job that a removed cancellation cancels.

        The cancellation is removed between the read and the write.
        """
        self.ask(CancelWorkflow("job", 1.0))
        transact, seen = self.contents.transact, []

        def remove_cancellation(message):
            seen.append(message)
            if len(seen) == 2:
                transact(Transact((), (DeleteKey("intake/job/cancel"),)))
            return transact(message)

        with mock.patch.object(self.contents, "transact", remove_cancellation):
            self.assertIs(self.ask(SubmitWorkflow(fx.workflow(), 1.0)), True)
        self.assertEqual(self.stored_keys(), ["intake/job"])
        self.assertEqual(self.announced(), [WorkflowStored])

    def test_peer_announces_only_what_it_has_stored(self):
        """Guards against a cancelled job that a peer's caller announces."""
        document = records.encode_workflow(fx.workflow()).decode()
        self.ask(CancelWorkflow("job", 1.0))
        self.ask(StoreForPeer("job", document), node=1)
        self.assertEqual(self.announced(1), [])
        self.ask(StoreForPeer("other", document), node=1)
        self.assertEqual(self.announced(1), [WorkflowStored])

    def test_caller_of_a_peer_announces_nothing(self):
        """Guards against a cancelled job that is announced as stored.

        The reply of a peer does not tell whether it has stored the job.
        """
        peer = NodeSummary("n2", "10.0.0.2:1", "l", 1, "", "", 0, True, 0.0)
        clock, system, _ = node_system()
        Recording(system, PEERS, {ListPeers: PeerView((peer,), 1), CallPeer: None})
        coordinator = Recording(system, COORDINATOR, {WorkflowStored: None})
        Intake(system, Identity("n1", "10.0.0.1:1", "life"), RETENTION_S)
        system.tell(INTAKE, CoordinatorKnown("n1", "10.0.0.1:1", 1))
        system.tell(INTAKE, StoreAvailability(False))
        reply = system.ask(INTAKE, SubmitWorkflow(fx.workflow(), 1.0))
        run_for(clock, 0.3)
        self.assertIs(outcome(reply), True)
        self.assertEqual(coordinator.received, [])

    def test_job_that_appears_during_its_cancellation_is_cancelled(self):
        """Guards against "no such job" for one that is stored meanwhile.

        The submission is carried out between the read and the write of the
        cancellation.
        """
        self.submit_without_answer()
        transact = self.contents.transact

        def store_job_first(message):
            delayed, self.stores[0].delayed_writes = self.stores[0].delayed_writes, []
            for write in delayed:
                transact(write)
            return transact(message)

        with mock.patch.object(self.contents, "transact", store_job_first):
            self.assertIs(self.ask(CancelWorkflow("job", 1.0)), True)
        self.assertEqual(self.stored_keys(), ["intake/job", "intake/job/cancel"])
        self.assertEqual(self.announced(), [CancelStored])

    def test_cancellations_by_two_nodes(self):
        """Guards against a repeated cancellation that is not confirmed.

        Each node loses the answer to its write, and finds its own value.
        """
        for node in (0, 1, 0):
            with self.subTest(node):
                self.stores[node].replies_to_lose = 1
                self.assertIs(self.ask(CancelWorkflow("job", 1.0), node), False)
        self.assertEqual(self.stored_keys(), ["intake/job/cancel"])

    def test_unconfirmed_cancellation_is_unknown(self):
        """Guards against "no such job" before the cancellation is kept."""
        self.stores[0].writes_to_delay = 1000
        error = self.ask(CancelWorkflow("job", 0.2), seconds=1.0)
        self.assertIsInstance(error, OutcomeUnknownError)


class NotLeadingTests(unittest.TestCase):
    def test_idle_coordinator_refuses_with_503(self):
        """Guards against 404 for a queue while the coordinator changes."""
        clock, system, _ = node_system()
        gateways = FleetGateways(
            EmptyRegistry(), UnusedChannels(), WorkerTimes(6.0, 1.5), 150.0
        )
        Coordinator(system, gateways)
        reply = system.ask(COORDINATOR, GetQueueLength("queue"))
        run_for(clock, 0.05)
        error = outcome(reply)
        self.assertEqual((error.code, error.http_status), ("not_coordinator", 503))


class LeadingTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        TimerService(self.system)
        Recording(self.system, PEERS, {ListPeers: PeerView((), 0), GetTimeOfDay: 0.0})
        gateways = FleetGateways(
            EmptyRegistry(), UnusedChannels(), WorkerTimes(6.0, 1.5), 150.0
        )
        Coordinator(self.system, gateways)
        self.store.contents.put(TERM_KEY, "1")
        self.document = records.encode_workflow(fx.workflow()).decode()

    def lead(self):
        term_revision = self.store.contents.items_by_key[TERM_KEY].mod_revision
        self.system.tell(COORDINATOR, BeginTerm(1, term_revision, 1e9))
        run_for(self.clock, 0.3, (self.store,))

    def ask(self, message):
        reply = self.system.ask(INTAKE, message)
        run_for(self.clock, 0.3, (self.store,))
        return outcome(reply)

    def recorded_state(self):
        item = self.store.contents.items_by_key["progress/job"]
        return records.decode_progress("job", item.value.encode()).state

    def test_announced_cancellation_overtakes_the_submission(self):
        """Guards against a job that starts after its cancellation is known.

        The announcements come from different nodes, and the watch is late.
        """
        self.lead()
        self.store.contents.put(INTAKE_PREFIX + "job", self.document)
        self.store.contents.put(INTAKE_PREFIX + "job/cancel", "1.0")
        self.system.tell(COORDINATOR, CancelStored("job"))
        self.system.tell(COORDINATOR, WorkflowStored("job", self.document))
        run_for(self.clock, 0.3)
        self.assertIs(self.recorded_state(), WorkflowState.CANCELLED)

    def test_job_that_is_stored_long_after_its_cancellation(self):
        """Guards against running a job that callers see as cancelled."""
        self.lead()
        Intake(self.system, Identity("n1", "10.0.0.1:1", "life"), RETENTION_S)
        self.ask(CancelWorkflow("job", 1.0))
        self.clock.advance(EARLY_CANCEL_MEMORY_S + 1.0)
        self.ask(SubmitWorkflow(fx.workflow(), 1.0))
        self.assertIs(self.recorded_state(), WorkflowState.CANCELLED)

    def test_announced_submission_of_an_id_that_is_stored_as_cancelled(self):
        """Guards against a node that announces a job that is not stored.

        The cancellation was read at the start of the term.
        """
        self.store.contents.put(INTAKE_PREFIX + "job/cancel", "1.0")
        self.lead()
        self.system.tell(COORDINATOR, WorkflowStored("job", self.document))
        run_for(self.clock, 0.3)
        self.assertIs(self.recorded_state(), WorkflowState.CANCELLED)


class PeerViewTests(unittest.TestCase):
    def view(self, available, peer_count, asked_at=50.0):
        summary = NodeSummary("n", "a", "l", 1, "", "", 0, False, 0.0)
        fresh = [summary._replace(store_available=value) for value in available]
        times = [asked_at] * available.count(False)
        return PeerView(tuple(fresh), peer_count, tuple(times), 51.0)

    def test_minority_without_store_is_no_outage(self):
        """Guards against lease extensions by a partitioned coordinator."""
        for count in range(4):
            with self.subTest(count):
                self.assertEqual(self.view([False] * count, 8).store_down_until, 0.0)

    def test_majority_without_store_is_an_outage(self):
        """Guards against runs that are lost while the store is down for all.

        No successor can be elected then, so leases may be extended.
        """
        until = 50.0 + STORE_DOWN_EVIDENCE_S
        for count in (4, 5):
            with self.subTest(count):
                self.assertEqual(self.view([False] * count, 8).store_down_until, until)
        self.assertEqual(self.view([False] * 5 + [True], 8).store_down_until, 0.0)

    def test_outage_is_as_recent_as_its_majority(self):
        """Guards against an old reply that completes a majority."""
        view = PeerView((), 8, (10.0, 50.0, 50.0, 50.0, 20.0), 51.0)
        self.assertEqual(view.store_down_until, 20.0 + STORE_DOWN_EVIDENCE_S)

    def test_single_node_needs_no_replies(self):
        """Guards against a lone coordinator that stops in an outage."""
        view = PeerView((), 0, (), 51.0)
        self.assertEqual(view.store_down_until, 51.0 + STORE_DOWN_EVIDENCE_S)


class ElectionTests(unittest.TestCase):
    def setUp(self):
        self.contents = StoreContents()
        self.nodes = [self.node(f"n{index}") for index in range(3)]

    def node(self, name):
        clock, system, store = node_system(self.contents)
        TimerService(system)
        coordinator = Recording(
            system, COORDINATOR, {BeginTerm: None, EndTerm: None, LeaseConfirmed: None}
        )
        identity = Identity(name, f"10.0.0.1:{name}", f"life-{name}")
        leadership = Leadership(system, identity, ())
        leadership.start()
        return clock, system, store, coordinator, leadership

    def advance(self, seconds):
        for _ in range(int(seconds / 0.01)):
            for clock, _, store, _, _ in self.nodes:
                clock.advance(0.01)
                store.notify()

    def leaders(self):
        return [node[4] for node in self.nodes if node[4].leading]

    def answer_late(self, clock, handle, message):
        reply = Deferred()
        clock.callLater(0.3, reply.callback, handle(message))
        return reply

    def test_one_term_at_the_start(self):
        """Guards against replacing a record that was written just before."""
        self.advance(2.0)
        self.assertEqual(len(self.leaders()), 1)
        self.assertEqual(self.contents.items_by_key[TERM_KEY].value, "1")

    def test_weak_node_campaigns_later(self):
        """Guards against electing a weak node where a stronger one exists."""
        _, system, _ = node_system(self.contents)
        identity = Identity("weak", "10.0.0.1:9", "life-weak")
        constrained_node = Leadership(system, identity, (), NodeResources(0.25))
        unconstrained_node = self.nodes[0][4]
        self.assertGreater(constrained_node._campaign_delay_s(), CAMPAIGN_JITTER_S)
        self.assertLessEqual(unconstrained_node._campaign_delay_s(), CAMPAIGN_JITTER_S)

    def test_resigned_coordinator_is_replaced(self):
        """Guards against keeping a coordinator that cannot recover."""
        self.advance(1.0)
        leader = self.leaders()[0]
        leader.system.tell(LEADERSHIP, Resign("recovery failed"))
        self.advance(1.0)
        self.assertEqual(len(self.leaders()), 1)
        self.assertNotIn(leader, self.leaders())

    def test_node_on_a_narrow_link_campaigns_later(self):
        """Guards against reading megabytes at a takeover over a slow link."""
        narrow_link_node = NodeResources(link_bps=10e6)
        self.assertGreater(narrow_link_node.extra_campaign_delay_s(), CAMPAIGN_JITTER_S)
        self.assertEqual(NodeResources(2.0, 200e6).extra_campaign_delay_s(), 0.0)

    def test_old_change_does_not_end_a_term(self):
        """Guards against a term that a delayed watch event ends.

        The change is older than the record that this node wrote.
        """
        self.advance(1.0)
        leader = self.leaders()[0]
        record = self.contents.items_by_key[COORDINATOR_KEY]
        other = json.dumps(
            {"node": "n9", "address": "10.0.0.9:9", "life": "x", "term": 0}
        )
        for value in (None, other):
            leader._observe(value, record.mod_revision - 1)
            self.advance(0.5)
            self.assertEqual(self.leaders(), [leader])
        self.assertEqual(self.contents.items_by_key[TERM_KEY].value, "1")

    def test_vacant_record_begins_a_higher_term(self):
        """Guards against a new coordinator with an old fencing token."""
        self.advance(1.0)
        self.contents.remove(COORDINATOR_KEY)
        self.advance(1.0)
        self.assertEqual(len(self.leaders()), 1)
        self.assertEqual(self.contents.items_by_key[TERM_KEY].value, "2")

    def test_refused_connection_replaces_a_live_lease(self):
        """Guards against waiting for the lease of a killed process to expire.

        Its address refuses connections, so the process no longer exists.
        """
        self.advance(1.0)
        leader = self.leaders()[0]
        others = [node for node in self.nodes if node[4] is not leader]
        address = f"10.0.0.1:{leader._identity.node_id}"
        for _, system, _, _, _ in others:
            system.tell(LEADERSHIP, CoordinatorUnreachable(address))
        self.advance(1.0)
        self.assertEqual(self.contents.items_by_key[TERM_KEY].value, "2")
        self.assertNotIn(leader, self.leaders())

    def test_successor_saw_the_last_term_after_it_was_requested(self):
        """Guards against times since the last term that are too long.

        The store carries out the writes at once and answers them late.
        """
        for clock, _, store, _, _ in self.nodes:
            transact = store._handlers_by_type[Transact]
            store._handlers_by_type[Transact] = functools.partial(
                self.answer_late, clock, transact
            )
        self.advance(1.0)
        address = f"10.0.0.1:{self.leaders()[0]._identity.node_id}"
        for _, system, _, _, _ in self.nodes:
            system.tell(LEADERSHIP, CoordinatorUnreachable(address))
        self.advance(1.0)
        begun = {
            message.term: message
            for _, _, _, coordinator, _ in self.nodes
            for message in coordinator.received
            if isinstance(message, BeginTerm)
        }
        self.assertEqual(sorted(begun), [1, 2])
        for message in begun.values():
            self.assertEqual(message.authority_ends_at - message.requested_at, 1.5)
        seen_at = dict(begun[2].terms_seen_at)[1]
        self.assertGreaterEqual(seen_at, begun[1].requested_at)
        self.assertLess(seen_at, begun[1].requested_at + 0.2)

    def test_first_time_counts_at_which_a_term_was_seen(self):
        """Guards against a hold that each read of the record prolongs."""
        leadership = self.nodes[0][4]
        leadership._record_term(7)
        self.advance(1.0)
        for term in (7, *range(8, 8 + MAX_TERMS_SEEN)):
            leadership._record_term(term)
        seen_at_by_term = leadership._seen_at_by_term
        self.assertNotIn(7, seen_at_by_term)
        self.assertEqual(len(seen_at_by_term), MAX_TERMS_SEEN)
        term = max(seen_at_by_term)
        seen_at = seen_at_by_term[term]
        self.advance(1.0)
        leadership._record_term(term)
        self.assertEqual(seen_at_by_term[term], seen_at)


class WatchTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.seen = []
        watch = follow_prefix(
            lambda actor, message: self.system.ask(actor, message),
            self.clock,
            "a/",
            0,
            lambda: True,
            self.seen.extend,
            self.seen.extend,
        )
        self.store.down = True
        ensureDeferred(watch)

    def warnings(self, log):
        return [r.message for r in log.records if r.levelno >= logging.WARNING]

    def test_watch_that_stays_behind_is_logged_once(self):
        """Guards against a view that grows old without a sign of it."""
        with self.assertLogs(watching.__name__) as log:
            run_for(self.clock, WATCH_LATE_AFTER_S - 0.5, (self.store,))
        self.assertEqual(self.warnings(log), [])
        with self.assertLogs(watching.__name__) as log:
            run_for(self.clock, 10.0, (self.store,))
        self.assertEqual(self.warnings(log), ["watch of a key prefix is behind"])
        self.store.down = False
        self.store.contents.put("a/key", "value")
        with self.assertLogs(watching.__name__) as log:
            run_for(self.clock, 1.0, (self.store,))
        messages = [record.message for record in log.records]
        self.assertEqual(messages, ["watch of a key prefix is answered again"])
        self.assertGreater(log.records[0].behind_s, 10.0)
        self.assertEqual([change.value for change in self.seen], ["value"])


class RecorderTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.store.contents.put(TERM_KEY, "1")
        term = self.store.contents.items_by_key[TERM_KEY]
        self.recorder = Recorder(self.system, 1, term.mod_revision)
        self.engine = fx.engine()
        self.engine.accept(fx.workflow("job", fx.step(2)), 0.0)

    def write(self, workflow_id="job", starting_ids=()):
        reply = ensureDeferred(
            self.recorder.write(self.engine, [workflow_id], starting_ids)
        )
        run_for(self.clock, 0.05)
        return outcome(reply)

    def record(self, workflow_id="job"):
        item = self.store.contents.items_by_key[f"progress/{workflow_id}"]
        return records.decode_progress(workflow_id, item.value.encode())

    def test_record_restores_the_progress(self):
        """Guards against a successor that runs completed tasks again."""
        begun = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, begun)
        self.engine.end(begun[0].worker_id, fx.ended(begun[0]), 0.0)
        self.write()
        record = self.record()
        self.assertEqual(record.done, (begun[0].key,))
        self.assertEqual([p.key for p in record.placed], [begun[1].key])

    def test_checkpoint_is_recorded_until_the_next_run_begins(self):
        """Guards against work that is lost with the end of its run.

        The end is acknowledged when the task has been placed again, and the
        successor finds that this run has not begun.
        """
        step = fx.step(checkpoints=True)
        self.engine.accept(fx.workflow("job 2", step), 0.0)
        begun = fx.starts(self.engine.plan(0.0, 0.0))[-1]
        fx.confirm(self.engine, [begun])
        end = fx.ended(begun, EndKind.STOPPED, checkpoint="saved")
        self.engine.end(begun.worker_id, end, 0.0)
        again = fx.starts(self.engine.plan(0.0, 0.0))
        self.assertEqual([start.checkpoint for start in again], ["saved"])
        self.write("job 2")
        checkpoints = self.record("job 2").checkpoints
        self.assertEqual(checkpoints, ((begun.key, "saved"),))

    def test_late_write_cannot_replace_a_newer_one(self):
        """Guards against a delayed write that replaces a newer record."""
        self.store.writes_to_delay = 1
        self.assertIsInstance(self.write(), OutcomeUnknownError)
        begun = fx.starts(self.engine.plan(0.0, 0.0))
        self.write()
        self.assertEqual(self.store.apply_delayed_writes(), [False])
        self.assertEqual(len(self.record().placed), len(begun))

    def test_write_of_an_older_term_is_refused(self):
        """Guards against progress records by a deposed coordinator."""
        self.store.contents.put(TERM_KEY, "2")
        written = self.write()
        self.assertTrue(written.deposed)
        self.assertNotIn("progress/job", self.store.contents.items_by_key)

    def test_effect_of_an_earlier_write_does_not_confirm_a_later_one(self):
        """Guards against a start on a condition that held long before.

        A write is carried out while the store does not answer this node.
        After the cancellation it is repeated, and gets no answer in time.
        """
        begun = self.engine.plan(0.0, 0.0)
        self.assertTrue(fx.starts(begun))
        self.store.writes_to_delay, self.store.down_after_delayed_write = 1, True
        self.assertIsInstance(self.write(starting_ids={"job"}), RedwingrudderError)
        self.assertEqual(self.store.apply_delayed_writes(), [True])
        self.store.contents.put("intake/job/cancel", "0.0")
        self.store.down = False
        self.store.answers_to_withhold = 1
        reply = ensureDeferred(self.recorder.write(self.engine, ["job"], {"job"}))
        run_for(self.clock, 1.0)
        written = outcome(reply)
        if not isinstance(written, OutcomeUnknownError):
            self.assertEqual(written.workflow_ids, ())

    def test_cancellation_of_an_ended_job_allows_its_record(self):
        """Guards against a write that a cancellation rejects each time.

        The engine ignores the cancellation of a job that has ended.
        """
        self.engine.plan(0.0, 0.0)
        self.engine.workflows_by_id["job"].ended_at = 1.0
        self.store.contents.put("intake/job/cancel", "0.0")
        written = self.write(starting_ids={"job"})
        self.assertEqual(written.workflow_ids, ("job",))

    def test_state_shows_only_what_is_recorded(self):
        """Guards against showing callers a state that is not recorded.

        A takeover could set such a state back.
        """
        self.store.down = True
        begun = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, begun)
        for number, start in enumerate(begun, 1):
            self.engine.end(start.worker_id, fx.ended(start, number=number), 0.0)
        self.assertIsInstance(self.write(), StoreUnavailableError)
        progress = self.engine.workflows_by_id["job"]
        self.assertIs(progress.recorded_state, WorkflowState.QUEUED)
        self.store.down = False
        self.write()
        self.assertIs(progress.recorded_state, WorkflowState.DONE)


if __name__ == "__main__":
    unittest.main()

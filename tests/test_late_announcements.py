"""Tests of announcements and changes of jobs whose records were removed."""

import json
import math
import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from redwingrudder._background import pause
from redwingrudder._store_requests import GetKey, GetPrefix, KeyValue
from redwingrudder.actors import Actor, ActorSystem
from redwingrudder.coordination._announced_cancellations import (
    MAX_READS_IN_FLIGHT,
    RETRY_DELAY_S,
    WATCH_HEAD_START_S,
    AnnouncedCancellations,
)
from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    INTAKE,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    STORE,
    TERM_KEY,
    FleetGateways,
    WorkerTimes,
    intake_keys,
)
from redwingrudder.coordination.intake import Intake
from redwingrudder.coordination.leadership import Identity
from redwingrudder.coordination.messages import (
    BeginTerm,
    CancelStored,
    EndTerm,
    Fenced,
    Resign,
    StoreForPeer,
    WorkflowStored,
)
from redwingrudder.coordination.peers import (
    AskAllPeers,
    GetTimeOfDay,
    ListPeers,
    PeerView,
)
from redwingrudder.exceptions import OutcomeUnknownError, StoreUnavailableError
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.simulation import ProtocolWorkers, StoreContents
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.model import EndKind

from . import workflow_fixtures as fx
from .coordination_fakes import (
    Recording,
    node_system,
    outcome,
    run_for,
    time_out_watches,
)

RETENTION_S = 20.0
SWEEP_S = 6.0  # longer than the interval between two removals of records
UNIX_TIME_S = 1_000_000.0
TIMES = WorkerTimes(6.0, 1.5)
READ_DELAY_S = 0.2
MASS_TIME_LIMIT_S = 3.0  # within which a cancelled job starts no more tasks
ROOM = {"cpu": 128_000, "memMb": 262_144, "gpu": 8}


class LateAnnouncementTests(unittest.TestCase):
    """A job has run, and its records were removed after their retention."""

    def setUp(self):
        self.contents = StoreContents()
        self.clock, self.system, self.store = node_system(self.contents)
        TimerService(self.system)
        Recording(self.system, LEADERSHIP, {Resign: None, Fenced: None})
        self.peer_replies = {
            ListPeers: PeerView((), 8),
            GetTimeOfDay: UNIX_TIME_S,
            AskAllPeers: None,
        }
        Recording(self.system, PEERS, self.peer_replies)
        self.channels = ProtocolWorkers(self.clock, "w1")
        self.worker = self.channels.workers_by_id["w1"]
        self.coordinator = Coordinator(
            self.system,
            FleetGateways(PlatformRegistry(), self.channels, TIMES, RETENTION_S),
        )
        entry = {
            "service": "pool",
            "address": "10.0.0.1:80",
            "zone": "domain",
            "state": "ready",
            "born": self.worker.process.started_ms,
            "capacity": ROOM,
            "labels": ["a", "r1"],
        }
        self.contents.put("servers/w1", json.dumps(entry))
        self.begin_term(1)

    def begin_term(self, number):
        self.contents.put(TERM_KEY, str(number))
        revision = self.contents.items_by_key[TERM_KEY].mod_revision
        self.system.tell(COORDINATOR, BeginTerm(number, revision, math.inf))
        self.run_for(0.5)

    def run_for(self, seconds):
        run_for(self.clock, seconds, (self.store,))

    def document(self, job="job"):
        workflow = fx.workflow(job)._replace(accepted_at=UNIX_TIME_S)
        return records.encode_workflow(workflow).decode()

    def run_job(self, stores):
        """Run the job to its end, and wait until its records are removed.

        Only the watches of the given stores are answered meanwhile.
        """
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.announce()
        self.assertIn(fx.key("job"), self.worker.process.runs_by_key)
        self.worker.process.end(fx.key("job"), EndKind.DONE)
        run_for(self.clock, RETENTION_S + 2 * SWEEP_S, stores)
        self.assertNotIn(INTAKE_PREFIX + "job", self.contents.items_by_key)

    def set_time_of_day(self, seconds):
        self.peer_replies[GetTimeOfDay] = seconds
        self.run_for(0.5)

    def announce(self, job="job"):
        self.system.tell(COORDINATOR, WorkflowStored(job, self.document(job)))
        run_for(self.clock, 1.0)

    def running(self):
        return set(self.worker.process.runs_by_key)

    def test_announcement_of_a_removed_job_does_not_run_it_again(self):
        """Guards against a second run of a job by a late announcement.

        The node that stored the job was paused before it announced the job.
        """
        self.run_job((self.store,))
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        self.announce()
        self.assertEqual(self.running(), set())

    def test_new_coordinator_does_not_run_a_removed_job_again(self):
        """Guards against relying on the memory of the previous coordinator."""
        self.run_job((self.store,))
        self.system.tell(COORDINATOR, EndTerm("test"))
        self.begin_term(2)
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        self.announce()
        self.assertEqual(self.running(), set())

    def test_announcement_in_time_needs_no_watch(self):
        """Guards against starts that wait for a store that is slow."""
        self.announce("next")
        self.assertEqual(self.running(), {fx.key("next")})

    def test_damaged_announcement_does_not_set_a_job_aside(self):
        """Guards against a job that is not run for a damaged announcement."""
        damaged = WorkflowStored("job", self.document()[:-5])
        self.system.tell(COORDINATOR, damaged)
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("job")})

    def test_job_with_an_old_time_of_acceptance_is_run(self):
        """Guards against a job that is ignored as its node's clock is late."""
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        self.announce("next")
        self.contents.put(INTAKE_PREFIX + "next", self.document("next"))
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("next")})

    def test_change_of_a_key_that_was_removed_since_is_not_applied(self):
        """Guards against a second run of a job by a watch that lags behind."""
        self.run_job(stores=())
        self.run_for(1.0)
        self.assertEqual(self.running(), set())

    def test_read_that_began_before_the_removal(self):
        """Guards against a second run of a job by a read that takes long.

        The store does not answer watches, so all documents are read.
        """
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.run_for(1.0)
        self.worker.process.end(fx.key("job"), EndKind.DONE)
        self.run_for(RETENTION_S - 1.0)
        held = []
        answer = self.store._handlers_by_type[GetPrefix]

        def hold(message):
            reply = Deferred()
            held.append((reply, answer(message)))
            return reply

        self.store._handlers_by_type[GetPrefix] = hold
        time_out_watches(self.store)
        # The watch that waits ends with a change.
        self.contents.put(intake_keys("other")[1], "0.0")
        self.run_for(2 * SWEEP_S)
        self.assertNotIn(INTAKE_PREFIX + "job", self.contents.items_by_key)
        self.assertTrue(held)
        self.store._handlers_by_type[GetPrefix] = answer
        for reply, pairs in held:
            reply.callback(pairs)
        self.contents.put(INTAKE_PREFIX + "next", self.document("next"))
        self.run_for(1.5)
        self.assertEqual(self.running(), {fx.key("next")})

    def test_relayed_write_after_removal(self):
        """Guards against a second run by a relayed submission that is late."""
        Intake(self.system, Identity("n1", "n1:1", "life"), RETENTION_S)
        self.run_job((self.store,))
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        reply = self.system.ask(INTAKE, StoreForPeer("job", self.document()))
        self.run_for(1.0)
        self.assertEqual(self.running(), set())
        self.assertIsInstance(outcome(reply), OutcomeUnknownError)
        self.assertNotIn(INTAKE_PREFIX + "job", self.contents.items_by_key)

    def test_relayed_write_in_time_is_stored(self):
        """Guards against relayed submissions that are refused as too late."""
        Intake(self.system, Identity("n1", "n1:1", "life"), RETENTION_S)
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S / 3)
        self.system.ask(INTAKE, StoreForPeer("job", self.document()))
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("job")})

    def test_late_cancel_of_reused_id(self):
        """Guards against a cancellation of a later job of the same id."""
        self.run_job((self.store,))
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.run_for(1.0)
        self.system.tell(COORDINATOR, CancelStored("job"))
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("job")})

    def test_late_cancel_before_its_id_is_used_again(self):
        """Guards against a late cancellation that is kept for a later job."""
        self.run_job((self.store,))
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        self.system.tell(COORDINATOR, CancelStored("job"))
        self.run_for(1.0)
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("job")})

    def test_id_is_used_again_after_a_removal_without_an_answer(self):
        """Guards against a job that is lost with an earlier one of its id.

        The removal of those records has taken effect, and its answer was lost.
        """
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.announce()
        self.worker.process.end(fx.key("job"), EndKind.DONE)
        self.run_for(1.0)
        self.store.replies_to_lose = 1
        while INTAKE_PREFIX + "job" in self.contents.items_by_key:
            self.run_for(0.1)
        self.assertEqual(self.store.replies_to_lose, 0)
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("job")})
        self.run_for(2 * SWEEP_S)
        self.assertIn(INTAKE_PREFIX + "job", self.contents.items_by_key)

    def cancel_unseen(self):
        """Cancel a running job while the watches are not answered."""
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("job")})
        self.store.watches_hang = True
        self.contents.put(INTAKE_PREFIX + "job/cancel", "1.0")

    def test_announced_cancellation_needs_no_watch(self):
        """Guards against runs of a cancelled job while the watch is behind."""
        self.cancel_unseen()
        self.system.tell(COORDINATOR, CancelStored("job"))
        self.run_for(0.3)
        self.assertEqual(self.running(), set())

    def test_announced_cancellation_while_the_store_is_down(self):
        """Guards against a cancellation that is lost with its read."""
        self.cancel_unseen()
        self.store.down = True
        self.system.tell(COORDINATOR, CancelStored("job"))
        self.run_for(2.0)
        self.assertEqual(self.running(), {fx.key("job")})
        self.store.down = False
        self.run_for(0.5)
        self.assertEqual(self.running(), set())


class SlowStore(Actor):
    """Store that answers each read after a delay with a cancellation.

    Attributes:
        fails: Whether reads fail after the delay instead.
        reads: Number of reads.
        most_in_flight: Largest number of reads at the same time.
    """

    def __init__(self, system):
        self.fails = False
        self.reads = 0
        self.in_flight = 0
        self.most_in_flight = 0
        super().__init__(system, STORE)

    def handlers(self):
        return {GetKey: self._get}

    async def _get(self, message):
        self.reads += 1
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        await pause(self.system.clock, READ_DELAY_S)
        self.in_flight -= 1
        if self.fails:
            raise StoreUnavailableError("no answer")
        return KeyValue(message.key, "1.0", 7)


class AnnouncedCancellationsTests(unittest.TestCase):
    """Load pattern: many jobs are cancelled while the store is slow."""

    def setUp(self):
        self.clock = Clock()
        self.system = ActorSystem(self.clock)
        self.store = SlowStore(self.system)
        self.jobs = [f"job{number}" for number in range(100)]
        self.engine = fx.engine()
        self.applied = []
        self.cancellations = AnnouncedCancellations(
            self.system, self.engine.workflows_by_id.get, self.apply
        )

    def apply(self, item):
        self.applied.append(item.key.split("/")[1])

    def accept(self, job):
        self.engine.accept(fx.workflow(job), 0.0)

    def announce_all(self):
        for job in self.jobs:
            self.accept(job)
            self.cancellations.add(job)

    def test_mass_of_cancellations(self):
        """Guards against reads one by one, and against all at once."""
        self.announce_all()
        run_for(self.clock, MASS_TIME_LIMIT_S)
        self.assertEqual(self.applied, self.jobs)
        self.assertEqual(self.store.most_in_flight, MAX_READS_IN_FLIGHT)

    def test_failed_reads_are_repeated_at_a_limited_rate(self):
        """Guards against a load of reads on a store that does not answer."""
        self.store.fails = True
        self.announce_all()
        run_for(self.clock, 10.0)
        self.assertEqual(self.applied, [])
        rounds = 10.0 / (READ_DELAY_S + RETRY_DELAY_S)
        self.assertLessEqual(self.store.reads, MAX_READS_IN_FLIGHT * (rounds + 1))
        self.store.fails = False
        run_for(self.clock, MASS_TIME_LIMIT_S)
        self.assertEqual(sorted(self.applied), sorted(self.jobs))

    def test_cancellation_that_the_watch_reports_is_not_read(self):
        """Guards against a read for each of a mass of cancellations."""
        self.announce_all()
        for job in self.jobs:
            self.engine.cancel(job, 0.0)
        run_for(self.clock, 1.0)
        self.assertEqual(self.store.reads, 0)

    def test_watch_reports_the_cancellation_while_reads_fail(self):
        """Guards against reads that go on for ever."""
        self.store.fails = True
        self.announce_all()
        run_for(self.clock, 1.0)
        for job in self.jobs:
            self.engine.cancel(job, 0.0)
        run_for(self.clock, 1.0)
        reads = self.store.reads
        run_for(self.clock, 1.0)
        self.assertEqual(self.store.reads, reads)

    def test_id_is_used_again_during_the_read(self):
        """Guards against an answer that is older than the job of its id."""
        self.accept("job")
        self.cancellations.add("job")
        run_for(self.clock, WATCH_HEAD_START_S + READ_DELAY_S / 2)
        self.engine.forget("job")
        self.accept("job")
        run_for(self.clock, READ_DELAY_S)
        self.assertEqual(self.applied, [])
        run_for(self.clock, READ_DELAY_S)
        self.assertEqual(self.applied, ["job"])

    def test_answer_after_the_end_of_the_term(self):
        """Guards against a cancellation in an engine that has been closed."""
        self.cancellations.add("job")
        run_for(self.clock, WATCH_HEAD_START_S + READ_DELAY_S / 2)
        self.cancellations.clear()
        run_for(self.clock, 1.0)
        self.assertEqual(self.applied, [])


if __name__ == "__main__":
    unittest.main()

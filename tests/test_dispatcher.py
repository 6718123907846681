"""Tests of the dispatcher with real scheduler, worker links and workers.

The workers and the store run in memory on a simulated clock.
"""

import itertools
import json
import unittest
from unittest import mock

from twisted.internet.task import Clock
from twisted.python.failure import Failure

from redwingrudder import _job_waiters
from redwingrudder import requests as r
from redwingrudder._job_records import body_digest, job_id_for, record_key
from redwingrudder._ownership_record import OwnerRecord, encode_record
from redwingrudder.actors import ActorSystem
from redwingrudder.dispatcher import Dispatcher, DispatcherSettings, JobObserver
from redwingrudder.exceptions import (
    ConflictError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    ResultExpiredError,
    StoreUnavailableError,
    UnavailableError,
)
from redwingrudder.messages import ConfigurationChanged
from redwingrudder.model import (
    Configuration,
    Epoch,
    JobClass,
    JobSpec,
    JobState,
    Organisation,
    WorkerInfo,
)
from redwingrudder.policies import slack_policies
from redwingrudder.scheduler import Scheduler
from redwingrudder.standins._key_value import Put
from redwingrudder.timers import TimerService
from redwingrudder.workers import WorkerResponse
from tests.fakes import FakeStore, Recorder, list_vm
from tests.worker_fakes import FakeTransport, run_clock

DOMAIN = "hobart"
LEASE_S = 12.0
CONFIGURATION = Configuration(
    1,
    {"huon": Organisation("huon", ())},
    {"proof": JobClass("proof", 60.0, None)},
    (),
)
WORKERS = [
    WorkerInfo(f"w{i}", f"w{i}:1", DOMAIN, "r1", 2, 4, 16, 1_000) for i in (1, 2)
]
SPEC = JobSpec(
    "huon", "proof", "shop", "key", 2, 1, 1, 1, True, False, 1.0, 1.0, '{"run_s": 1}'
)
ONCE = SPEC._replace(idempotent=False)


class CountingObserver(JobObserver):
    """Records the submitted specs and the final states of jobs."""

    def __init__(self):
        self.finished = []
        self.submitted = []

    def job_submitted(self, spec):
        self.submitted.append(spec)

    def job_finished(self, view, spec):
        self.finished.append(view.state)

    def target_missed(self, spec):
        pass

    def shortages(self, shortages):
        pass


class RefusingTransport(FakeTransport):
    """Transport whose replies to starts can be lost or replaced.

    Attributes:
        refuse_start_after_lost_reply: Whether the next start is executed
            without a reply, and its repetition refused by HTTP status 429.
    """

    def __init__(self, clock, worker_infos):
        super().__init__(clock, worker_infos)
        self.refuse_start_after_lost_reply = False
        self._refuse = False

    async def post(self, address, path, body, timeout_s):
        if path == "/v1/start" and self._refuse:
            self._refuse = False
            self.posted.append((address, path, body))
            return WorkerResponse(429, b"{}")
        if path == "/v1/start" and self.refuse_start_after_lost_reply:
            self.refuse_start_after_lost_reply = False
            self._refuse = True
            self.replies_to_drop = 1
        return await super().post(address, path, body, timeout_s)


class Node:
    """One node with its own actors; clock, store and workers may be shared."""

    def __init__(self, clock, core, transport, store_writes_per_s=50.0):
        self.clock = clock
        self.system = ActorSystem(clock)
        TimerService(self.system)
        self.store = FakeStore(self.system, core)
        Recorder(self.system, r.PEERS, r.LocalLoad)
        self.ownership = Recorder(self.system, r.OWNERSHIP, r.Fenced)
        self.observer = CountingObserver()
        self.dispatcher = Dispatcher(
            self.system,
            DispatcherSettings(DOMAIN, "node", LEASE_S, store_writes_per_s),
            lambda: Scheduler(DOMAIN, slack_policies()),
            transport,
            self.observer,
        )
        self.system.tell(r.DISPATCHER, ConfigurationChanged(CONFIGURATION))
        self.list_workers(*(list_vm(info) for info in WORKERS))

    def list_workers(self, *vms):
        self.system.tell(r.DISPATCHER, r.MembersChanged(vms))

    def own(self, term):
        """Write the owner record of a store term and start the ownership."""
        owner = OwnerRecord("node", "", Epoch(term, 0, 0), "")
        self.store.put(f"/owner/{DOMAIN}", encode_record(owner))
        self.system.tell(r.DISPATCHER, r.OwnershipGained(Epoch(term, 0, 0)))
        self.run_for(1.0)

    def run_for(self, duration_s):
        run_clock(self.clock, duration_s)

    def ask(self, message, wait_s=0.5):
        """Return the answer within a time, None if there is none.

        Raises the error if the answer is one.
        """
        outcomes = []
        self.system.ask(r.DISPATCHER, message).addBoth(outcomes.append)
        self.run_for(wait_s)
        if not outcomes:
            return None
        if isinstance(outcomes[0], Failure):
            outcomes[0].raiseException()
        return outcomes[0]

    def submit(self, spec=SPEC):
        return self.ask(r.SubmitJob(spec, "c-1"))

    def poll(self, job_id, wait_s=0.0):
        return self.ask(r.PollJob(job_id, wait_s), wait_s + 0.5)


class DispatcherTests(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(1_000.0)
        self.transport = RefusingTransport(self.clock, WORKERS)
        self.node = Node(self.clock, None, self.transport)
        self.core = self.node.store.core
        self.node.own(1)

    def second_node(self, term):
        """Start a successor, which fences the first node by its term."""
        node = Node(self.clock, self.core, self.transport)
        node.own(term)
        return node

    def record(self, spec=SPEC):
        """Return the stored record of a job, None if there is none."""
        return json.loads(self.node.store.value(record_key(spec)) or "null")

    def starts(self):
        """Return the task starts in the histories of all workers."""
        cores = self.transport.cores_by_address.values()
        entries = itertools.chain.from_iterable(core.history for core in cores)
        return [entry for entry in entries if entry.what == "started"]

    def members(self):
        """Return the gang members that all workers hold."""
        cores = self.transport.cores_by_address.values()
        return [
            m for core in cores for m in core.state(self.clock.seconds())["members"]
        ]

    def test_a_job_runs_whole_and_is_released_after_its_final_record(self):
        """Workers must keep the results until the final record is written."""
        view = self.node.submit()
        self.assertTrue(view.durable)
        self.node.store.set_available(False)
        done = self.node.poll(view.job_id, 3.0)
        self.assertEqual((done.state, len(done.results)), (JobState.SUCCEEDED, 2))
        self.assertEqual({m["state"] for m in self.members()}, {"ended"})
        self.node.store.set_available(True)
        self.node.run_for(2.0)
        self.assertEqual(self.record()["results"], list(done.results))
        self.assertEqual(self.members(), [])
        self.assertEqual(self.node.observer.finished, [JobState.SUCCEEDED])

    def test_a_key_gives_one_job_and_rejects_another_body(self):
        """A repeated key must return the same job and reject another body."""
        first = self.node.submit()
        self.assertEqual(self.node.submit().job_id, first.job_id)
        with self.assertRaises(ConflictError) as caught:
            self.node.submit(SPEC._replace(payload="other"))
        self.assertEqual(caught.exception.code, "idempotency_key_reused")
        self.assertEqual(len(self.node.observer.submitted), 1)

    def test_concurrent_submissions_of_a_key_start_one_job(self):
        """Repeats during the first write must not start a second job."""
        views = []
        for _ in range(3):
            asked = self.node.system.ask(r.DISPATCHER, r.SubmitJob(ONCE, ""))
            asked.addCallback(views.append)
        self.node.run_for(3.0)
        self.assertEqual(len({view.job_id for view in views}), 1)
        self.assertEqual((len(views), len(self.starts())), (3, 1))

    def test_a_lost_reply_of_the_store_does_not_lose_or_repeat_a_job(self):
        """A record write with a lost reply must be found by reading."""
        self.node.store.lost_replies = 1
        view = self.node.submit(ONCE)
        self.node.store.lost_replies = 2
        done = self.node.poll(view.job_id, 4.0)
        self.assertIs(done.state, JobState.SUCCEEDED)
        self.assertEqual(len(self.starts()), 1)

    def test_a_key_of_another_domain_names_that_domain(self):
        """The refusal of a key accepted elsewhere starts with its domain."""
        record = {"domain": "launceston", "job_id": "launceston-1"}
        self.node.submit()
        stored = {**self.record(), **record}
        other = SPEC._replace(idempotency_key="other")
        stored["spec"]["idempotency_key"] = "other"
        stored["digest"] = ""
        self.node.store.put(record_key(other), json.dumps(stored))
        with self.assertRaises(ConflictError) as caught:
            self.node.submit(other)
        self.assertEqual(caught.exception.code, "idempotency_key_reused")
        stored["digest"] = body_digest(other)
        self.node.store.put(record_key(other), json.dumps(stored))
        with self.assertRaises(ConflictError) as caught:
            self.node.submit(other)
        self.assertEqual(caught.exception.code, "other_domain")
        self.assertEqual(caught.exception.detail.split()[0], "launceston")

    def test_an_outage_admits_idempotent_work_only_and_records_it_later(self):
        """Without a record, a job that is not idempotent might run twice."""
        self.node.store.set_available(False)
        view = self.node.submit()
        self.assertFalse(view.durable)
        with self.assertRaises(StoreUnavailableError):
            self.node.submit(ONCE._replace(idempotency_key="once"))
        done = self.node.poll(view.job_id, 3.0)
        self.assertIs(done.state, JobState.SUCCEEDED)
        self.node.store.set_available(True)
        self.node.run_for(2.0)
        self.assertEqual(self.record()["state"], "succeeded")
        self.assertTrue(self.node.poll(view.job_id).durable)

    def test_a_recorded_job_waits_in_an_outage_instead_of_starting_twice(self):
        """Without a recorded start, the next owner might start the job too."""
        for core in self.transport.cores_by_address.values():
            core.draining = True
        view = self.node.submit(ONCE)
        self.node.store.set_available(False)
        for core in self.transport.cores_by_address.values():
            core.draining = False
        self.node.run_for(2.0)
        self.assertEqual(self.starts(), [])
        self.assertIn(self.node.poll(view.job_id).state, ("queued", "placing"))

    def test_a_new_owner_keeps_running_gangs_and_fences_the_old_one(self):
        """A takeover must not restart or lose a running gang."""
        view = self.node.submit(ONCE._replace(payload='{"run_s": 4}'))
        self.node.run_for(1.0)
        self.assertEqual(len(self.starts()), 1)
        successor = self.second_node(2)
        self.assertIs(successor.poll(view.job_id).state, JobState.RUNNING)
        done = successor.poll(view.job_id, 5.0)
        self.assertIs(done.state, JobState.SUCCEEDED)
        self.assertEqual(len(self.starts()), 1)
        fenced = r.Fenced(Epoch(1, 0, 0), Epoch(2, 0, 0))
        self.assertIn(fenced, self.node.ownership.messages)

    def test_a_recorded_start_without_a_gang_is_never_repeated(self):
        """A job with a recorded start may have run, so it is interrupted."""
        view = self.node.submit(ONCE._replace(payload='{"run_s": 40}'))
        self.node.run_for(0.5)
        self.assertEqual(self.record(ONCE)["state"], "starting")
        self.node.system.tell(r.DISPATCHER, r.OwnershipEnded("test"))
        for info in WORKERS:
            self.transport.restart(info.address)
        successor = self.second_node(2)
        done = successor.poll(view.job_id, 2.0)
        self.assertIs(done.state, JobState.INTERRUPTED)
        self.assertEqual(self.starts(), [])

    def test_a_recorded_start_is_undecided_while_a_worker_is_unreachable(self):
        """A job that an unreachable worker may run must not be interrupted."""
        view = self.node.submit(ONCE._replace(payload='{"run_s": 6}'))
        self.node.run_for(0.5)
        (held,) = self.members()
        self.assertEqual(held["state"], "started")
        (busy,) = (
            address
            for address, core in self.transport.cores_by_address.items()
            if core.history
        )
        self.node.system.tell(r.DISPATCHER, r.OwnershipEnded("test"))
        self.transport.cut.add(busy)
        successor = self.second_node(2)
        successor.run_for(3.0)
        with self.assertRaises(UnavailableError) as caught:
            successor.poll(view.job_id)
        self.assertEqual(caught.exception.code, "recovering")
        self.transport.cut.clear()
        successor.run_for(3.0)
        done = successor.poll(view.job_id, 5.0)
        self.assertIs(done.state, JobState.SUCCEEDED)

    def test_recovery_without_the_store_still_places_new_work(self):
        """Recovery must end by its time limit if records cannot be loaded."""
        successor = Node(self.clock, self.core, self.transport)
        successor.store.set_available(False)
        successor.own(2)
        successor.run_for(3.0)
        view = successor.submit()
        self.assertIs(successor.poll(view.job_id, 3.0).state, JobState.SUCCEEDED)

    def test_a_cancelled_job_is_not_run_only_after_that_is_recorded(self):
        """Until "not run" is recorded, another owner could run the job."""
        for core in self.transport.cores_by_address.values():
            core.draining = True
        view = self.node.submit()
        self.node.store.set_available(False)
        self.assertIsNone(self.node.ask(r.CancelJob(view.job_id)))
        self.assertIs(self.node.poll(view.job_id).state, JobState.QUEUED)
        self.node.store.set_available(True)
        self.node.run_for(2.0)
        self.assertIs(self.node.poll(view.job_id).state, JobState.NOT_RUN)
        self.assertEqual(self.record()["state"], "not_run")

    def test_a_cancellation_without_confirmation_has_an_unknown_outcome(self):
        """A cancellation must not wait for the store without a limit."""
        for core in self.transport.cores_by_address.values():
            core.draining = True
        view = self.node.submit()
        self.node.store.set_available(False)
        with self.assertRaises(OutcomeUnknownError):
            self.node.ask(r.CancelJob(view.job_id), 31.0)

    def test_a_cancelled_job_does_not_run_again_under_the_next_owner(self):
        """Guards against a final answer that only the previous owner knew."""
        view = self.node.submit(SPEC._replace(payload='{"run_s": 4}'))
        self.node.run_for(1.0)
        self.assertEqual(len(self.starts()), 1)
        self.node.store.set_available(False)
        answer = self.node.ask(r.CancelJob(view.job_id), 2.0)
        self.node.system.tell(r.DISPATCHER, r.OwnershipEnded("test"))
        successor = self.second_node(2)
        successor.run_for(5.0)
        if answer is not None:
            self.assertIs(answer.state, JobState.INTERRUPTED)
            self.assertIs(successor.poll(view.job_id).state, answer.state)
            self.assertEqual(len(self.starts()), 1)

    def test_a_cancellation_waits_for_the_record_of_a_new_job(self):
        """Guards against a job that runs after "no such job" for its cancel.

        The caller knows the id of the job before its submission is answered.
        """
        job_id = job_id_for(DOMAIN, ONCE.organisation, ONCE.idempotency_key)
        spec = ONCE._replace(payload='{"run_s": 40}')
        views, outcomes = [], []
        self.node.system.ask(r.DISPATCHER, r.SubmitJob(spec, "")).addCallback(
            views.append
        )
        self.node.system.ask(r.DISPATCHER, r.CancelJob(job_id)).addBoth(outcomes.append)
        self.node.run_for(3.0)
        self.assertEqual([view.job_id for view in views], [job_id])
        self.assertIn(outcomes[0].state, (JobState.NOT_RUN, JobState.INTERRUPTED))
        self.assertNotIn("started", [member["state"] for member in self.members()])

    def submit_without_answer(self, spec=ONCE):
        """Return the id of a submission that failed, and its last write."""
        self.node.store.requests_to_lose = 4
        with self.assertRaises(OutcomeUnknownError):
            self.node.submit(spec)
        writes = [c for c in self.node.store.calls if isinstance(c, r.Transact)]
        job_id = job_id_for(DOMAIN, spec.organisation, spec.idempotency_key)
        return job_id, writes[-1]

    def run_under_successor(self):
        self.node.system.tell(r.DISPATCHER, r.OwnershipEnded("test"))
        successor = self.second_node(2)
        successor.run_for(5.0)
        return successor

    def test_late_record_of_a_cancelled_job_is_not_run(self):
        """Guards against a job that runs although its cancel was answered.

        The write of the submission is carried out after the cancellation.
        """
        job_id, write = self.submit_without_answer()
        answer = self.node.ask(r.CancelJob(job_id))
        self.assertIs(answer.state, JobState.NOT_RUN)
        self.assertFalse(self.node.store._transact(write).succeeded)
        self.assertIs(self.node.poll(job_id).state, JobState.NOT_RUN)
        self.assertIs(self.node.submit(ONCE).state, JobState.NOT_RUN)
        successor = self.run_under_successor()
        self.assertEqual(self.starts(), [])
        self.assertIs(successor.poll(job_id).state, JobState.NOT_RUN)

    def test_cancel_after_a_late_record_ends_the_job(self):
        """Guards against a cancel that overlooks a record made meanwhile."""
        job_id, write = self.submit_without_answer()
        self.assertTrue(self.node.store._transact(write).succeeded)
        answer = self.node.ask(r.CancelJob(job_id))
        self.assertIs(answer.state, JobState.NOT_RUN)
        self.run_under_successor()
        self.assertEqual(self.starts(), [])

    def test_cancel_that_is_not_recorded_has_no_answer_yet(self):
        """Guards against "no such job" while a late record is possible."""
        job_id, write = self.submit_without_answer()
        self.node.store.set_available(False)
        with self.assertRaises(UnavailableError):
            self.node.ask(r.CancelJob(job_id))
        self.node.store.set_available(True)
        self.assertIs(self.node.ask(r.CancelJob(job_id)).state, JobState.NOT_RUN)
        self.assertFalse(self.node.store._transact(write).succeeded)

    def test_cancel_of_a_job_that_was_submitted_again(self):
        """Guards against "not run" for a job that runs by a repetition."""
        spec = ONCE._replace(payload='{"run_s": 40}')
        job_id, _ = self.submit_without_answer(spec)
        self.node.submit(spec)
        self.node.run_for(1.0)
        self.assertEqual(len(self.starts()), 1)
        answer = self.node.ask(r.CancelJob(job_id), 3.0)
        self.assertIs(answer.state, JobState.INTERRUPTED)

    def test_cancel_of_an_unknown_job_is_refused(self):
        """Guards against records of jobs that were never submitted."""
        with self.assertRaises(NotFoundError):
            self.node.ask(r.CancelJob(f"{DOMAIN}-1"))
        self.assertEqual(self.node.store.core.range(b"/jobs/", b"/jobs0"), ())

    def test_a_job_cancelled_before_its_start_is_sent_is_never_started(self):
        """Guards against a late start, and a member that is never released.

        The workers cannot be reached from the reservation to the stop.
        """
        submitted = []
        spec = SPEC._replace(payload='{"run_s": 40}')
        self.node.system.ask(r.DISPATCHER, r.SubmitJob(spec, "c-1")).addCallback(
            submitted.append
        )
        for _ in range(1000):
            if "/v1/start" not in self.transport.paths():
                self.clock.advance(0.0005)
        self.assertIn("/v1/start", self.transport.paths())
        self.transport.cut.update(info.address for info in WORKERS)
        self.node.run_for(0.1)
        answers = []
        self.node.system.ask(
            r.DISPATCHER, r.CancelJob(submitted[0].job_id)
        ).addCallback(answers.append)
        self.node.run_for(0.1)
        self.transport.cut.clear()
        self.node.run_for(8.0)
        self.assertEqual([view.state for view in answers], [JobState.INTERRUPTED])
        self.assertEqual(self.starts(), [])
        self.assertEqual(self.members(), [])

    def test_a_worker_that_returns_does_not_go_on_with_an_ended_job(self):
        """Guards against a cancelled job that a later owner lets run on.

        The worker runs the job, cannot be reached while the job is cancelled,
        and is claimed by the next owner after the job records were loaded.
        """
        view = self.node.submit(SPEC._replace(payload='{"run_s": 40}'))
        self.node.run_for(0.5)
        (busy,) = (
            address
            for address, core in self.transport.cores_by_address.items()
            if core.history
        )
        self.transport.cut.add(busy)
        self.node.system.tell(r.DISPATCHER, r.OwnershipEnded("test"))
        for core in self.transport.cores_by_address.values():
            core.draining = True
        second = self.second_node(2)
        second.run_for(3.0)
        answer = second.ask(r.CancelJob(view.job_id))
        self.assertIs(answer.state, JobState.INTERRUPTED)
        second.system.tell(r.DISPATCHER, r.OwnershipEnded("test"))
        third = self.second_node(3)
        self.transport.cut.clear()
        third.run_for(4.0)
        self.assertNotIn("started", [member["state"] for member in self.members()])
        self.assertIs(third.poll(view.job_id).state, JobState.INTERRUPTED)

    def test_a_refusal_after_a_lost_reply_does_not_mean_not_started(self):
        """Guards against a started member that is never released."""
        self.transport.refuse_start_after_lost_reply = True
        view = self.node.submit()
        done = self.node.poll(view.job_id, 20.0)
        self.assertIn(
            done.state, (JobState.SUCCEEDED, JobState.FAILED, JobState.INTERRUPTED)
        )
        self.node.run_for(1.0)
        self.assertEqual(self.members(), [])

    def test_a_leaving_worker_gets_no_new_work(self):
        """Jobs must be placed on the workers that stay."""
        leaving = list_vm(WORKERS[0], "leaving")
        self.node.list_workers(leaving, list_vm(WORKERS[1]))
        self.node.run_for(0.1)
        for i in range(3):
            self.node.submit(SPEC._replace(idempotency_key=f"k{i}"))
        self.node.run_for(4.0)
        self.assertFalse(self.transport.cores_by_address["w1:1"].history)
        self.assertEqual(len(self.starts()), 3)

    def test_a_new_owner_places_nothing_on_a_leaving_worker(self):
        """A worker listed as leaving must stay so when claimed later."""
        for core in self.transport.cores_by_address.values():
            core.draining = True
        view = self.node.submit(ONCE)
        for info in WORKERS:
            self.transport.restart(info.address)
        self.node.system.tell(r.DISPATCHER, r.OwnershipEnded("test"))
        successor = Node(self.clock, self.core, self.transport)
        leaving = [list_vm(info, "leaving") for info in WORKERS]
        successor.list_workers(*leaving)
        self.transport.cut.update(info.address for info in WORKERS)
        successor.own(2)
        successor.run_for(3.0)
        self.transport.cut.clear()
        successor.run_for(4.0)
        self.assertIs(successor.poll(view.job_id).state, JobState.QUEUED)
        cores = self.transport.cores_by_address.values()
        self.assertEqual([entry for core in cores for entry in core.history], [])

    def test_a_worker_that_left_the_list_is_lost_only_after_its_lease(self):
        """A worker missing from the VM list must still finish its job."""
        view = self.node.submit(ONCE._replace(payload='{"run_s": 3}'))
        self.node.run_for(0.5)
        self.node.list_workers()
        self.assertIs(self.node.poll(view.job_id, 4.0).state, JobState.SUCCEEDED)
        self.transport.cut.update(info.address for info in WORKERS)
        self.node.run_for(20.0)
        names = self.node.system.names()
        self.assertFalse([name for name in names if name.startswith("worker:")])

    def test_limits_refuse_with_a_code_and_run_nothing(self):
        """Waits and submissions above the limits must have no effect."""
        with mock.patch.object(_job_waiters, "MAX_WAITERS", 0):
            view = self.node.submit(SPEC._replace(payload='{"run_s": 9}'))
            with self.assertRaises(OverloadedError):
                self.node.poll(view.job_id, 1.0)
        slow = Node(
            self.clock, None, FakeTransport(self.clock, WORKERS), store_writes_per_s=1.0
        )
        slow.own(1)
        slow.submit()
        with self.assertRaises(OverloadedError) as caught:
            slow.submit(SPEC._replace(idempotency_key="second"))
        self.assertEqual(caught.exception.code, "store_busy")
        self.assertEqual(len(slow.store.core.range(b"/jobs/", b"/jobs0")), 1)

    def test_refusal_of_a_key_that_runs_elsewhere_does_not_say_not_run(self):
        """A retry refused by a full domain must not look like a job not run.

        Another domain may have accepted the key and run the job.
        """
        self.node.submit(ONCE)
        self.node.run_for(4.0)
        key = record_key(ONCE).encode()
        record = self.record()
        record["domain"] = "devonport"
        self.core.transact((), (Put(key, json.dumps(record).encode()),), 0.0)
        full = Node(self.clock, self.core, FakeTransport(self.clock, WORKERS), 1.0)
        full.own(9)
        full.submit(SPEC._replace(idempotency_key="second"))
        with self.assertRaises(ConflictError) as caught:
            full.submit(ONCE)
        self.assertEqual(caught.exception.code, "other_domain")
        full.store.set_available(False)
        with self.assertRaises(OutcomeUnknownError):
            full.submit(ONCE)

    def test_large_results_stay_at_the_workers_for_ten_minutes(self):
        """Results that exceed the record limit must survive a takeover."""
        payload = json.dumps({"run_s": 0.1, "result": "x" * 40_000})
        view = self.node.submit(SPEC._replace(payload=payload))
        done = self.node.poll(view.job_id, 2.0)
        self.assertEqual(sum(map(len, done.results)), 80_000)
        self.assertFalse(self.record()["results_kept"])
        successor = self.second_node(2)
        self.assertEqual(successor.poll(view.job_id).results, done.results)
        run_clock(self.clock, 640.0, 1.0)
        with self.assertRaises(ResultExpiredError):
            successor.poll(view.job_id)
        self.assertEqual(self.members(), [])

    def test_old_records_are_deleted_in_one_transaction(self):
        """Expired records must be deleted without a write for each."""
        for i in range(3):
            self.node.submit(SPEC._replace(idempotency_key=f"k{i}"))
        self.node.run_for(6.0)
        self.node.store.calls.clear()
        run_clock(self.clock, 3_640.0, 1.0)
        self.assertFalse(self.core.range(b"/jobs/", b"/jobs0"))
        writes = [c for c in self.node.store.calls if isinstance(c, r.Transact)]
        self.assertEqual(len(writes), 1)
        with self.assertRaises(NotFoundError):
            self.node.poll(job_id_for(DOMAIN, "huon", "k0"))

    def test_waiting_callers_learn_that_the_owner_changed(self):
        """Waiting callers must be answered when the ownership ends."""
        view = self.node.submit(SPEC._replace(payload='{"run_s": 9}'))
        outcomes = []
        waiting = self.node.system.ask(r.DISPATCHER, r.PollJob(view.job_id, 9.0))
        waiting.addBoth(outcomes.append)
        self.node.run_for(0.2)
        self.node.system.tell(r.DISPATCHER, r.OwnershipEnded("fenced"))
        self.node.run_for(0.2)
        self.assertEqual(outcomes[0].value.code, "not_owner")
        self.assertEqual(len(self.members()), 1)

    def test_drain_waits_for_records_in_progress(self):
        """A drain ends after the writes and refuses new jobs."""
        self.node.submit()
        drained = []
        self.node.system.ask(r.DISPATCHER, r.Drain()).addCallback(drained.append)
        self.node.run_for(0.5)
        self.assertEqual(drained, [None])
        with self.assertRaises(UnavailableError) as caught:
            self.node.submit(SPEC._replace(idempotency_key="late"))
        self.assertEqual(caught.exception.code, "draining")

    def test_drain_waits_for_answers_that_are_not_recorded(self):
        """Guards against a planned stop that loses a final answer.

        The first write of the answer has failed, and the next one is due in a
        second.
        """
        spec = SPEC._replace(payload='{"run_s": 4}')
        view = self.node.submit(spec)
        self.node.run_for(1.0)
        self.node.store.set_available(False)
        answer = self.node.ask(r.CancelJob(view.job_id), 0.2)
        self.node.store.set_available(True)
        drained = []
        self.node.system.ask(r.DISPATCHER, r.Drain()).addBoth(drained.append)
        while not drained:
            self.node.run_for(0.1)
        if answer is not None:
            self.assertIs(answer.state, JobState.INTERRUPTED)
            self.assertEqual(self.record(spec)["state"], "interrupted")

    def test_drain_waits_for_recorded_starts(self):
        """A drained owner must send a start that it has recorded (I7).

        The next owner would end the job as interrupted, since the start may
        have been sent.
        """
        once = SPEC._replace(idempotent=False)
        self.node.system.ask(r.DISPATCHER, r.SubmitJob(once, ""))
        self.step_until(lambda: (self.record(once) or {}).get("state") == "starting")
        self.assertEqual(self.starts(), [])
        drained = []
        self.node.system.ask(r.DISPATCHER, r.Drain()).addCallback(drained.append)
        self.step_until(lambda: drained)
        self.assertTrue(self.starts())
        self.node.system.tell(r.DISPATCHER, r.OwnershipEnded("drained"))
        successor = self.second_node(2)
        view = successor.poll(job_id_for(DOMAIN, "huon", once.idempotency_key), 5.0)
        self.assertEqual(view.state, JobState.SUCCEEDED)

    def step_until(self, condition):
        """Advance in steps of 0.2 ms until a condition holds."""
        for _ in range(2_000):
            if condition():
                return
            self.clock.advance(0.0002)
        self.fail("the condition did not hold within 2,000 steps of 0.2 ms")

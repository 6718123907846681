"""Simulation of a scheduler with workers that answer in any order."""

import random
from collections import defaultdict

from redwingrudder import messages as m
from redwingrudder.guarantees import CellTable
from redwingrudder.model import (
    FINAL_JOB_STATES,
    CellAssignment,
    Configuration,
    JobClass,
    JobSpec,
    JobState,
    MemberState,
    Organisation,
    Shape,
    TaskOutcome,
)
from redwingrudder.policies import slack_policies
from redwingrudder.scheduler import Scheduler

from .scheduler_worker import DOMAIN, FakeWorker, make_worker

CONFIGURATION = Configuration(
    1,
    {
        "gold": Organisation("gold", (Shape(4, 1),)),
        "iron": Organisation("iron", ()),
    },
    {
        "urgent": JobClass("urgent", 5.0, None),
        "later": JobClass("later", 600.0, None),
    },
    (CellAssignment("gold", 0, 0, DOMAIN),),
)
SPEC = JobSpec(
    "iron", "urgent", "counter-1", "key", 1, 1, 1, 1, True, False, 2.0, 1.0, ""
)


WORKER_COUNT = 6
TAKEOVER_S = 3  # time between the last event of an owner and its successor
REPEATED_RECORD_ANSWER_SHARE = 0.2
FAILED_TASK_SHARE = 0.2
# Share of lost workers that were only disconnected; the others restart.
DISCONNECTED_SHARE = 0.3
# Share of drains that are reported before the worker refuses a reservation.
REPORTED_DRAIN_SHARE = 0.5
MAX_FINISH_STEPS = 5000


class World:
    """A scheduler, its workers and the store, driven by a seeded generator.

    Commands and events are queued and delivered one at a time in random
    order. The assertions check every effect of the scheduler.

    Attributes:
        record_share: Share of start records that the store accepts.
        events: Events and start records that have not been delivered yet.
        start_recorded: Jobs whose start the store has recorded.
        final_states: Final state of each job that has ended.
        previously_final: Jobs that had ended when the present owner started.
        started_gangs_by_job: Gangs to which a start was sent, by job.
        workers_by_gang: Workers with a member of the gang.
        confirmed_members: Pairs of gang and worker whose reservation the
            worker has confirmed or reported.
        reported_draining: Workers whose drain was reported to the scheduler
            with ``WorkerDraining`` after their last claim.
        unnoticed_restarts: Workers that restarted without an event.
        claimed_workers: Workers that the present owner has claimed and not
            lost.
        unclaimed: Workers that the present owner has not claimed yet.
    """

    def __init__(self, seed, policies=slack_policies, record_share=0.8):
        self.record_share = record_share
        self.configuration = CONFIGURATION
        self.random = random.Random(seed)
        self.now = 1_700_000_000.0
        self.workers = {
            info.worker_id: FakeWorker(info)
            for info in map(make_worker, range(WORKER_COUNT))
        }
        self.events = []
        self.wake_at = None
        self.specs, self.submitted_at = {}, {}
        self.start_recorded = set()
        self.final_states = {}
        self.started_gangs_by_job = defaultdict(set)
        self.job_ids_by_gang, self.workers_by_gang = {}, {}
        self.confirmed_members = set()
        self.reported_draining = set()
        self.effects = []
        self.unnoticed_restarts = set()
        self.policies = policies
        self.claimed_workers = set()
        self.recovering = False
        self.take_over()
        while self.recovering:
            self.claim_next()

    def take_over(self):
        """Start a new owner; drop commands and events of the previous one."""
        self.recovering = True
        self.guarantees = CellTable()
        self.scheduler = Scheduler(DOMAIN, self.policies(), self.guarantees)
        self.events.clear()
        self.unnoticed_restarts.clear()
        for worker in self.workers.values():
            worker.commands.clear()
        self.previously_final = set(self.final_states)
        self.now += TAKEOVER_S
        self.handle(m.ConfigurationChanged(self.configuration))
        open_jobs = [job_id for job_id in self.specs if job_id not in self.final_states]
        for job_id in open_jobs:
            self.submit_recorded(job_id)
        self.unclaimed = sorted(self.workers)
        self.random.shuffle(self.unclaimed)
        self.claimed_workers = set()

    def claim_next(self):
        """Claim a worker, or end the recovery if all have been claimed."""
        if self.unclaimed:
            self.claim(self.unclaimed.pop())
        else:
            self.recovering = False
            self.handle(m.RecoveryEnded())

    def claim(self, worker_id):
        worker = self.workers[worker_id]
        self.claimed_workers.add(worker_id)
        self.reported_draining.discard(worker_id)
        if worker_id in self.unnoticed_restarts:
            self.unnoticed_restarts.discard(worker_id)
            worker.commands.clear()
        for gang_id in worker.members:
            self.confirmed_members.add((gang_id, worker_id))
        self.handle(m.WorkerClaimed(worker.report()))

    def submit(self, **changes):
        job_id = f"{DOMAIN}-{len(self.specs)}"
        self.specs[job_id] = SPEC._replace(**changes)
        self.submitted_at[job_id] = self.now
        self.submit_recorded(job_id)
        return job_id

    def submit_recorded(self, job_id):
        recorded = job_id in self.start_recorded
        submitted_at = self.submitted_at[job_id]
        event = m.JobSubmitted(job_id, self.specs[job_id], submitted_at, True, recorded)
        self.handle(event)

    def handle(self, event):
        if isinstance(event, m.WorkerDraining):
            self.reported_draining.add(event.worker_id)
        if isinstance(event, m.ReserveAnswered) and event.accepted:
            self.confirmed_members.add((event.gang_id, event.worker_id))
        for effect in self.scheduler.handle(event, self.now):
            self.carry_out(effect)
        if not self.recovering:
            # During recovery the cells are assigned again only at intervals.
            violations = self.guarantees.violations(self.scheduler.fleet)
            assert not violations, violations

    def carry_out(self, effect):
        self.effects.append(effect)
        if isinstance(effect, m.ReserveMember):
            assert effect.member.worker_id not in self.reported_draining, (
                "reservation on a draining worker"
            )
            self.job_ids_by_gang[effect.gang_id] = effect.job_id
            members = self.workers_by_gang.setdefault(effect.gang_id, set())
            members.add(effect.member.worker_id)
            self.send_command(effect.member.worker_id, effect)
        elif isinstance(effect, m.StartMember):
            self.check_start(effect)
            self.send_command(effect.worker_id, effect)
        elif isinstance(effect, m.ReleaseMember | m.StopMember):
            self.send_command(effect.worker_id, effect)
        elif isinstance(effect, m.RecordStart):
            self.events.append(effect)
        elif isinstance(effect, m.JobChanged):
            self.check_change(effect)
        elif isinstance(effect, m.ScheduleWakeUp):
            self.wake_at = effect.at

    def send_command(self, worker_id, command):
        if worker_id in self.claimed_workers:
            self.workers[worker_id].commands.append(command)

    def check_start(self, effect):
        job_id = self.job_ids_by_gang[effect.gang_id]
        for worker_id in self.workers_by_gang[effect.gang_id]:
            reserved = (effect.gang_id, worker_id) in self.confirmed_members
            assert reserved, "start before all members were reserved"
        started = effect.gang_id in self.started_gangs_by_job[job_id]
        is_new_work = effect.worker_id in self.reported_draining and not started
        assert not is_new_work, "start of new work on a draining worker"
        self.started_gangs_by_job[job_id].add(effect.gang_id)
        if not self.specs[job_id].idempotent:
            assert len(self.started_gangs_by_job[job_id]) == 1, (
                "two gangs of one job started"
            )
            assert job_id in self.start_recorded, "start without a start record"

    def check_change(self, effect):
        job_id, state = effect.job_id, effect.state
        if job_id in self.previously_final:
            # The store keeps the final state that a previous owner recorded.
            return
        if state not in FINAL_JOB_STATES:
            assert job_id not in self.final_states, (
                "a job in a final state changed its state"
            )
            return
        assert self.final_states.setdefault(job_id, state) == state, (
            "a job reached two final states"
        )
        if state is JobState.NOT_RUN:
            assert not self.started_gangs_by_job[job_id], (
                "not_run after a start was sent"
            )
        if state is JobState.SUCCEEDED:
            gangs = {result.rpartition(":")[0] for result in effect.results}
            tasks = [int(result.rpartition(":")[2]) for result in effect.results]
            assert len(gangs) == 1, "results come from several gangs"
            assert tasks == list(range(self.specs[job_id].tasks))

    def deliver_command(self):
        busy = [worker for worker in self.workers.values() if worker.commands]
        if not busy:
            return False
        worker = self.random.choice(busy)
        command = worker.commands.pop(0)
        if isinstance(command, m.StopMember):
            self.stop_member(worker, command)
            return True
        answer = worker.execute(command)
        if answer is not None:
            self.events.append(answer)
        return True

    def stop_member(self, worker, command):
        member = worker.members.get(command.gang_id)
        if member is not None:
            for task in member.placement.tasks:
                self.end_task(worker, command.gang_id, task, TaskOutcome.STOPPED)

    def end_task(self, worker, gang_id, task, outcome):
        event = worker.end_task(gang_id, task, outcome)
        if event is not None:
            self.events.append(event)

    def deliver_event(self, repeat=False):
        if not self.events:
            return False
        index = self.random.randrange(len(self.events))
        event = self.events[index] if repeat else self.events.pop(index)
        if isinstance(event, m.RecordStart):
            if not repeat:
                self.answer_record(event)
            return True
        self.handle(event)
        return True

    def answer_record(self, event, accepted=None):
        if accepted is None:
            accepted = self.random.random() < self.record_share
        if accepted:
            self.start_recorded.add(event.job_id)
        answer = m.StartRecordAnswered(event.gang_id, accepted)
        self.handle(answer)
        if self.random.random() < REPEATED_RECORD_ANSWER_SHARE:
            self.events.append(answer)

    def end_some_task(self, failure_share):
        running = [
            (worker, member)
            for worker in self.workers.values()
            for member in worker.members.values()
            if member.state is MemberState.STARTED
        ]
        if not running:
            return False
        worker, member = self.random.choice(running)
        failed = self.random.random() < failure_share
        outcome = TaskOutcome.FAILED if failed else TaskOutcome.SUCCEEDED
        task = self.random.choice(member.placement.tasks)
        self.end_task(worker, member.gang_id, task, outcome)
        return True

    def lose_worker(self):
        """Report a worker as lost; an unclaimed one only restarts."""
        worker_id = self.random.choice(sorted(self.workers))
        worker = self.workers[worker_id]
        if worker_id not in self.claimed_workers:
            worker.restart()
            return
        worker.commands.clear()
        is_disconnected = self.random.random() < DISCONNECTED_SHARE
        if is_disconnected:
            # The worker stopped its tasks when its lease expired.
            for member in list(worker.members.values()):
                for task in member.placement.tasks:
                    worker.end_task(member.gang_id, task, TaskOutcome.STOPPED)
        else:
            worker.restart()
        self.claimed_workers.discard(worker_id)
        self.handle(m.WorkerLost(worker_id, "lease_lapsed"))

    def restart_unnoticed(self):
        """Restart a worker to which queued commands are still delivered."""
        worker_id = self.random.choice(sorted(self.claimed_workers))
        worker = self.workers[worker_id]
        commands = list(worker.commands)
        worker.restart()
        worker.commands.extend(commands)
        self.unnoticed_restarts.add(worker_id)

    def drain_worker(self):
        worker_id = self.random.choice(sorted(self.workers))
        self.workers[worker_id].draining = True
        if (
            worker_id in self.claimed_workers
            and self.random.random() < REPORTED_DRAIN_SHARE
        ):
            self.handle(m.WorkerDraining(worker_id))

    def return_workers(self):
        """Claim the workers that were lost or restarted without an event."""
        for worker_id in sorted(self.workers):
            claim_pending = self.recovering and worker_id in self.unclaimed
            is_claimed = worker_id in self.claimed_workers - self.unnoticed_restarts
            if not is_claimed and not claim_pending:
                self.claim(worker_id)

    def submit_random(self):
        choose = self.random.choice
        idempotent = choose([True, False])
        self.submit(
            organisation=choose(["gold", "iron"]),
            job_class=choose(["urgent", "later"]),
            caller=choose(["a", "b"]),
            tasks=choose([1, 1, 2, 4, 8]),
            accelerators_per_task=choose([0, 1, 1, 2]),
            idempotent=idempotent,
            preemptible=idempotent and choose([True, False]),
            declared_run_s=choose([1.0, 100.0]),
            expire_s=choose([0.0, 0.0, 20.0]),
        )

    def tick(self, step):
        self.now += step
        if self.wake_at is not None and self.wake_at <= self.now:
            self.wake_at = None
            self.handle(m.Tick())

    def cancel_random(self):
        if self.specs:
            self.handle(m.CancelRequested(self.random.choice(sorted(self.specs))))

    def step(self):
        actions = [
            (20, self.deliver_command),
            (20, self.deliver_event),
            (3, lambda: self.deliver_event(repeat=True)),
            (6, self.submit_random),
            (8, lambda: self.end_some_task(FAILED_TASK_SHARE)),
            (2, self.cancel_random),
            (1, self.lose_worker),
            (2, self.return_workers),
            (0.5, self.drain_worker),
            (0.5, lambda: self.claimed_workers and self.restart_unnoticed()),
            (4, lambda: self.tick(self.random.choice([0.01, 1, 10]))),
            (0.4, self.take_over),
            (4, lambda: self.recovering and self.claim_next()),
        ]
        weights, calls = zip(*actions, strict=True)
        self.random.choices(calls, weights)[0]()

    def finish(self):
        """Stop the faults and run until every job has ended."""
        while self.recovering:
            self.claim_next()
        for worker_id, worker in self.workers.items():
            if worker.draining:
                self.claimed_workers.discard(worker_id)
                worker.restart()
                self.handle(m.WorkerLost(worker_id, "stopped"))
        self.return_workers()
        for _ in range(MAX_FINISH_STEPS):
            if self.all_final():
                return
            self.make_progress()
        raise AssertionError(f"jobs that did not end: {self.open_jobs()}")

    def make_progress(self):
        if self.deliver_command() or self.deliver_event():
            return
        if not self.end_some_task(0.0):
            self.tick(max(0.0, (self.wake_at or self.now + 1) - self.now))

    def deliver_all(self):
        """Deliver commands and events until none is left."""
        while self.deliver_command() or self.deliver_event():
            pass

    def submit_and_start(self, **changes):
        """Submit a job, deliver all messages and return the id of the job."""
        job_id = self.submit(**changes)
        self.deliver_all()
        return job_id

    def end_job(self, job_id, outcome=TaskOutcome.SUCCEEDED):
        """End all tasks of a job with an outcome and deliver all messages."""
        for worker in self.workers.values():
            for member in list(worker.members.values()):
                if member.job_id == job_id:
                    for task in member.placement.tasks:
                        self.end_task(worker, member.gang_id, task, outcome)
        self.deliver_all()

    def holders(self, job_id):
        """Return the ids of the workers that hold resources for a job."""
        return [
            worker_id
            for worker_id, worker in self.workers.items()
            for member in worker.members.values()
            if member.job_id == job_id and member.state is not MemberState.ENDED
        ]

    def state(self, job_id):
        return self.scheduler.view(job_id).state

    def advance_time(self, seconds):
        """Let time pass and send each tick that the scheduler requests."""
        until = self.now + seconds
        while self.wake_at is not None and self.wake_at <= until:
            self.tick(max(0.0, self.wake_at - self.now))
            self.deliver_all()
        self.now = until

    def open_jobs(self):
        return [
            self.scheduler.explain(job_id, self.now)
            for job_id in self.specs
            if job_id not in self.final_states
        ]

    def all_final(self):
        return len(self.final_states) == len(self.specs)

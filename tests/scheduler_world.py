"""A scheduler with workers that answer in any order, for tests."""

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


class World:
    """A scheduler, its workers and the store, driven by a seeded generator."""

    def __init__(self, seed, policies=slack_policies, record_share=0.8):
        self.record_share = record_share
        self.configuration = CONFIGURATION
        self.random = random.Random(seed)
        self.now = 1_700_000_000.0
        self.workers = {w.worker_id: FakeWorker(w) for w in map(make_worker, range(6))}
        self.events = []
        self.wake_at = None
        self.specs, self.submitted_at = {}, {}
        self.start_recorded = set()
        self.final = {}
        self.start_sent = defaultdict(set)
        self.job_of_gang, self.members_of_gang = {}, {}
        self.acknowledged = set()
        self.told_draining = set()
        self.effects = []
        self.restarted = set()
        self.policies = policies
        self.known_workers = set()
        self.recovering = False
        self.take_over()
        while self.recovering:
            self.claim_next()

    def take_over(self):
        """Start a new owner; commands and events of the old one are void."""
        self.recovering = True
        self.guarantees = CellTable()
        self.scheduler = Scheduler(DOMAIN, self.policies(), self.guarantees)
        self.events.clear()
        self.restarted.clear()
        for worker in self.workers.values():
            worker.commands.clear()
        self.final_before = set(self.final)
        self.now += 3
        self.send(m.ConfigurationChanged(self.configuration))
        open_jobs = [job_id for job_id in self.specs if job_id not in self.final]
        for job_id in open_jobs:
            self.submit_recorded(job_id)
        self.unclaimed = sorted(self.workers)
        self.random.shuffle(self.unclaimed)
        self.known_workers = set()

    def claim_next(self):
        if self.unclaimed:
            self.claim(self.unclaimed.pop())
        else:
            self.recovering = False
            self.send(m.RecoveryEnded())

    def claim(self, worker_id):
        worker = self.workers[worker_id]
        self.known_workers.add(worker_id)
        self.told_draining.discard(worker_id)
        if worker_id in self.restarted:
            self.restarted.discard(worker_id)
            worker.commands.clear()
        for gang_id in worker.members:
            self.acknowledged.add((gang_id, worker_id))
        self.send(m.WorkerClaimed(worker.report()))

    def submit(self, **changes):
        job_id = f"{DOMAIN}-{len(self.specs)}"
        self.specs[job_id] = SPEC._replace(**changes)
        self.submitted_at[job_id] = self.now
        self.submit_recorded(job_id)
        return job_id

    def submit_recorded(self, job_id):
        recorded = job_id in self.start_recorded
        at = self.submitted_at[job_id]
        event = m.JobSubmitted(job_id, self.specs[job_id], at, True, recorded)
        self.send(event)

    def send(self, event):
        if isinstance(event, m.WorkerDraining):
            self.told_draining.add(event.worker_id)
        if isinstance(event, m.ReserveAnswered) and event.accepted:
            self.acknowledged.add((event.gang_id, event.worker_id))
        for effect in self.scheduler.handle(event, self.now):
            self.carry_out(effect)
        if not self.recovering:
            # During recovery the cells are laid out again only at intervals.
            violations = self.guarantees.violations(self.scheduler.fleet)
            assert not violations, violations

    def carry_out(self, effect):
        self.effects.append(effect)
        if isinstance(effect, m.ReserveMember):
            assert effect.member.worker_id not in self.told_draining, "new work"
            self.job_of_gang[effect.gang_id] = effect.job_id
            members = self.members_of_gang.setdefault(effect.gang_id, set())
            members.add(effect.member.worker_id)
            self.command(effect.member.worker_id, effect)
        elif isinstance(effect, m.StartMember):
            self.check_start(effect)
            self.command(effect.worker_id, effect)
        elif isinstance(effect, m.ReleaseMember | m.StopMember):
            self.command(effect.worker_id, effect)
        elif isinstance(effect, m.RecordStart):
            self.events.append(effect)
        elif isinstance(effect, m.JobChanged):
            self.check_change(effect)
        elif isinstance(effect, m.ScheduleWakeUp):
            self.wake_at = effect.at

    def command(self, worker_id, command):
        if worker_id in self.known_workers:
            self.workers[worker_id].commands.append(command)

    def check_start(self, effect):
        job_id = self.job_of_gang[effect.gang_id]
        for worker_id in self.members_of_gang[effect.gang_id]:
            reserved = (effect.gang_id, worker_id) in self.acknowledged
            assert reserved, "start before all reserved"
        started = effect.gang_id in self.start_sent[job_id]
        new_work = effect.worker_id in self.told_draining and not started
        assert not new_work, "start of new work on a draining worker"
        self.start_sent[job_id].add(effect.gang_id)
        if not self.specs[job_id].idempotent:
            assert len(self.start_sent[job_id]) == 1, "two gangs of one job started"
            assert job_id in self.start_recorded, "start without its record"

    def check_change(self, effect):
        job_id, state = effect.job_id, effect.state
        if job_id in self.final_before:
            # The store keeps the final state that a previous owner recorded.
            return
        if state not in FINAL_JOB_STATES:
            assert job_id not in self.final, "a final job went on"
            return
        assert self.final.setdefault(job_id, state) == state, "two final states"
        if state is JobState.NOT_RUN:
            assert not self.start_sent[job_id], "not_run after a start"
        if state is JobState.SUCCEEDED:
            gangs = {result.rpartition(":")[0] for result in effect.results}
            tasks = [int(result.rpartition(":")[2]) for result in effect.results]
            assert len(gangs) == 1, "results of two gangs"
            assert tasks == list(range(self.specs[job_id].tasks))

    def deliver_command(self):
        busy = [w for w in self.workers.values() if w.commands]
        if not busy:
            return False
        worker = self.random.choice(busy)
        command = worker.commands.pop(0)
        if isinstance(command, m.StopMember):
            self.stop(worker, command)
            return True
        answer = worker.execute(command)
        if answer is not None:
            self.events.append(answer)
        return True

    def stop(self, worker, command):
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
        self.send(event)
        return True

    def answer_record(self, event, accepted=None):
        if accepted is None:
            accepted = self.random.random() < self.record_share
        if accepted:
            self.start_recorded.add(event.job_id)
        answer = m.StartRecordAnswered(event.gang_id, accepted)
        self.send(answer)
        if self.random.random() < 0.2:
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
        worker_id = self.random.choice(sorted(self.workers))
        worker = self.workers[worker_id]
        if worker_id not in self.known_workers:
            worker.restart()
            return
        worker.commands.clear()
        stays = self.random.random() < 0.3
        if stays:
            # Cut off for longer than its lease: it stopped its tasks.
            for member in list(worker.members.values()):
                for task in member.placement.tasks:
                    worker.end_task(member.gang_id, task, TaskOutcome.STOPPED)
        else:
            worker.restart()
        self.known_workers.discard(worker_id)
        self.send(m.WorkerLost(worker_id, "lease_lapsed"))

    def restart_unseen(self):
        """Restart a worker that still gets commands from its link."""
        worker_id = self.random.choice(sorted(self.known_workers))
        worker = self.workers[worker_id]
        commands = list(worker.commands)
        worker.restart()
        worker.commands.extend(commands)
        self.restarted.add(worker_id)

    def drain_worker(self):
        worker_id = self.random.choice(sorted(self.workers))
        self.workers[worker_id].draining = True
        if worker_id in self.known_workers and self.random.random() < 0.5:
            self.send(m.WorkerDraining(worker_id))

    def return_workers(self):
        for worker_id in sorted(self.workers):
            waits = self.recovering and worker_id in self.unclaimed
            known = worker_id in self.known_workers - self.restarted
            if not known and not waits:
                self.claim(worker_id)

    def submit_random(self):
        pick = self.random.choice
        idempotent = pick([True, False])
        self.submit(
            organisation=pick(["gold", "iron"]),
            job_class=pick(["urgent", "later"]),
            caller=pick(["a", "b"]),
            tasks=pick([1, 1, 2, 4, 8]),
            accelerators_per_task=pick([0, 1, 1, 2]),
            idempotent=idempotent,
            preemptible=idempotent and pick([True, False]),
            declared_run_s=pick([1.0, 100.0]),
            expire_s=pick([0.0, 0.0, 20.0]),
        )

    def tick(self, step):
        self.now += step
        if self.wake_at is not None and self.wake_at <= self.now:
            self.wake_at = None
            self.send(m.Tick())

    def cancel_random(self):
        if self.specs:
            self.send(m.CancelRequested(self.random.choice(sorted(self.specs))))

    def step(self):
        actions = [
            (20, self.deliver_command),
            (20, self.deliver_event),
            (3, lambda: self.deliver_event(repeat=True)),
            (6, self.submit_random),
            (8, lambda: self.end_some_task(0.2)),
            (2, self.cancel_random),
            (1, self.lose_worker),
            (2, self.return_workers),
            (0.5, self.drain_worker),
            (0.5, lambda: self.known_workers and self.restart_unseen()),
            (4, lambda: self.tick(self.random.choice([0.01, 1, 10]))),
            (0.4, self.take_over),
            (4, lambda: self.recovering and self.claim_next()),
        ]
        weights, calls = zip(*actions, strict=True)
        self.random.choices(calls, weights)[0]()

    def finish(self):
        """Let the faults stop and everything run to its end."""
        while self.recovering:
            self.claim_next()
        for worker_id, worker in self.workers.items():
            if worker.draining:
                self.known_workers.discard(worker_id)
                worker.restart()
                self.send(m.WorkerLost(worker_id, "stopped"))
        self.return_workers()
        for _ in range(5000):
            if self.settled():
                return
            self.advance()
        raise AssertionError(f"open jobs: {self.open_jobs()}")

    def advance(self):
        if self.deliver_command() or self.deliver_event():
            return
        if not self.end_some_task(0.0):
            self.tick(max(0.0, (self.wake_at or self.now + 1) - self.now))

    def exchange(self):
        """Deliver all commands and answers."""
        while self.deliver_command() or self.deliver_event():
            pass

    def run(self, **changes):
        """Submit a job and let it start if it can."""
        job_id = self.submit(**changes)
        self.exchange()
        return job_id

    def end(self, job_id, outcome=TaskOutcome.SUCCEEDED):
        """End all tasks of a job on their workers."""
        for worker in self.workers.values():
            for member in list(worker.members.values()):
                if member.job_id == job_id:
                    for task in member.placement.tasks:
                        self.end_task(worker, member.gang_id, task, outcome)
        self.exchange()

    def holders(self, job_id):
        """Return the workers on which a job runs."""
        return [
            worker_id
            for worker_id, worker in self.workers.items()
            for member in worker.members.values()
            if member.job_id == job_id and member.state is not MemberState.ENDED
        ]

    def state(self, job_id):
        return self.scheduler.view(job_id).state

    def wait(self, seconds):
        """Let time pass with a tick whenever the scheduler wants one."""
        until = self.now + seconds
        while self.wake_at is not None and self.wake_at <= until:
            self.tick(max(0.0, self.wake_at - self.now))
            self.exchange()
        self.now = until

    def open_jobs(self):
        return [
            self.scheduler.explain(job_id, self.now)
            for job_id in self.specs
            if job_id not in self.final
        ]

    def settled(self):
        return len(self.final) == len(self.specs)

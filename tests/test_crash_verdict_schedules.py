"""Drawn schedules of cuts, crashes and changes of the coordinator.

Sound tasks and tasks that crash their workers run on workers that are cut off
and that crash by themselves. Neither kind may be taken for the other.
"""

import collections
import random
import unittest
from typing import NamedTuple

from redwingrudder.workflows import records
from redwingrudder.workflows.engine import Engine
from redwingrudder.workflows.model import EndKind, RunEnd, RunReport, WorkflowState

from . import workflow_fixtures as fx
from .test_crashing_tasks import (
    LEASE_S,
    MAX_CRASHES,
    REPORT_S,
    RUN_S,
    STEP_S,
    CrashingFleet,
    adopt_placed_runs,
)

FAULTS_S = 60.0
LIMIT_S = 600.0
# A run is known to have gone on for 0.5 s with the next report, and one whose
# start got no reply with the one after that.
JUST_STARTED_S = 0.5 + 2 * REPORT_S + 2 * STEP_S
# Evidence that allows giving up a job: runs with crashes just after their
# starts on this many workers, or such runs on any.
MIN_CRASHED_RUNS = 3
MIN_CRASHED_WORKERS = 2


class Hit(NamedTuple):
    """What hits a worker after the start of a job.

    Attributes:
        delay_s: Time from the start on.
        crashes: Whether the worker crashes. It is cut off otherwise.
        away_s: Time until it answers again.
        takeover_s: Time from the hit until the coordinator changes, None if it
            doesn't.
        gap_s: Time without a coordinator.
    """

    delay_s: float
    crashes: bool
    away_s: float
    takeover_s: float | None
    gap_s: float


class Absence(NamedTuple):
    """Why a worker doesn't answer, and until when."""

    crashed: bool
    ends_at: float
    lapses_at: float


class ScheduledFleet(CrashingFleet):
    """A fleet with drawn faults, whose coordinator works from its records.

    Attributes:
        crashes_by_holder: Addresses of the workers that crashed just after a
            start, by task or gang and by number of the run.
    """

    def __init__(self, workers, random_):
        super().__init__(workers)
        self.random = random_
        self.crashes_by_holder = collections.defaultdict(
            lambda: collections.defaultdict(set)
        )
        self._absences = {}
        self._hits_by_job = {}
        self._faults = []  # (time, function)
        self._ends_by_worker = collections.defaultdict(list)
        self._unanswered = set()
        self._term_by_start = {}
        self._documents = {}
        self._has_coordinator = True
        self._crashed_runs_by_worker = collections.defaultdict(list)
        self._hit_runs = set()

    @property
    def _gone(self):
        return set(self._absences)

    def hit(self, workflow_id, *hits):
        """Disturb a worker after each of the next starts of a job."""
        self._hits_by_job[workflow_id] = list(hits)

    def at(self, time_s, function):
        self._faults.append((time_s, function))

    def has_ended(self):
        return all(
            progress.ended_at is not None
            for progress in self.engine.workflows_by_id.values()
        )

    def run_until(self, end_s):
        while self.now < end_s:
            self._trigger_faults()
            self._bring_back()
            self._finish_runs()
            if self._has_coordinator:
                if self.now >= self._report_at:
                    self._report_at = self.now + REPORT_S
                    self._report()
                effects = self.engine.plan(self.now, self.now)
                self.engine.supervise(self.now)
                effects += self.engine.take_effects()
                self._save()
                self._execute(effects)
            self.now += STEP_S

    def crash(self, *worker_ids, away_s=None):
        for worker_id in worker_ids:
            if worker_id in self._absences:
                continue
            away = self._away_s() if away_s is None else away_s
            self._leave(worker_id, True, away)
            runs = self._running_by_worker.pop(worker_id, {})
            self._ends_by_worker.pop(worker_id, None)
            for key, (start, started_at) in runs.items():
                just_started = self.now - started_at < JUST_STARTED_S
                self._crashed_runs_by_worker[worker_id].append((start, just_started))
                self._break_gang_of(key)

    def cut(self, *worker_ids, away_s=None):
        for worker_id in worker_ids:
            if worker_id not in self._absences:
                away = self._away_s() if away_s is None else away_s
                self._leave(worker_id, False, away)

    def change_coordinator(self, gap_s=0.0):
        """End the term; the next one begins after a while."""
        if self._has_coordinator:
            self._has_coordinator = False
            self.at(self.now + gap_s, self._take_over)

    def _away_s(self):
        return self.random.choice((0.7, 3.0, 3.0, 9.0, 20.0, 45.0))

    def _leave(self, worker_id, crashed, away_s):
        self._absences[worker_id] = Absence(
            crashed, self.now + away_s, self.now + LEASE_S
        )

    def _break_gang_of(self, key):
        if self.engine.find(key).stage.spec.gang:
            self._break_gang(key)

    def _trigger_faults(self):
        due = [fault for fault in self._faults if fault[0] <= self.now]
        self._faults = [fault for fault in self._faults if fault[0] > self.now]
        for _, function in due:
            function()

    def _bring_back(self):
        for worker_id, absence in list(self._absences.items()):
            if absence.lapses_at <= self.now:
                self._absences[worker_id] = absence._replace(lapses_at=LIMIT_S)
                self._lapse(worker_id)
            if absence.ends_at <= self.now and self._has_coordinator:
                del self._absences[worker_id]
                if absence.crashed:
                    self._restart(worker_id)
                self.engine.workers_by_id[worker_id].reachable = False

    def _lapse(self, worker_id):
        for key in self._running_by_worker.pop(worker_id, {}):
            self._break_gang_of(key)
        if self._has_coordinator:
            self.engine.workers_by_id[worker_id].reachable = False
            self.engine.worker_lost(worker_id, self.now, self._unanswered)
            self.engine.interrupt_worker(worker_id, self.now, "lease_lapsed")

    def _restart(self, worker_id):
        facts = self.facts_by_id[worker_id]
        facts = facts._replace(process_started_ms=facts.process_started_ms + 1)
        self.facts_by_id[worker_id] = facts
        for start, just_started in self._crashed_runs_by_worker.pop(worker_id, ()):
            # A later coordinator doesn't know how long the run had gone on.
            if just_started or self._term_by_start[start] != self.engine.term:
                holder = self._holder(start.key)
                self.crashes_by_holder[holder][start.run].add(facts.address)
        self.engine.replace_process(
            worker_id, facts.process_started_ms, self.now, self._unanswered
        )
        self.engine.set_worker(facts, self.now)

    def _holder(self, key):
        gang = self.engine.find(key).stage.spec.gang
        return key._replace(index=0) if gang else key

    def _finish_runs(self):
        for worker_id, runs in self._running_by_worker.items():
            for key, (start, started_at) in list(runs.items()):
                if self.now - started_at >= RUN_S and worker_id not in self._absences:
                    del runs[key]
                    self._end(start, EndKind.DONE)

    def _end(self, start, kind):
        end = RunEnd(next(self._numbers), start.key, start.run, kind)
        self._ends_by_worker[start.worker_id].append(end)

    def _report(self):
        for worker_id in self.facts_by_id:
            worker = self.engine.workers_by_id[worker_id]
            if worker_id in self._absences:
                continue
            runs = self._running_by_worker[worker_id].values()
            listed = {(start.key, start.run) for start, _ in runs}
            first = not worker.reachable
            worker.reachable = True
            if first:
                for key, run in listed:
                    self.engine.adopt_run(key, run, worker_id, True, self.now)
            reports = [
                RunReport(s.key, s.run, "", 100 * (self.now - at) / RUN_S)
                for s, at in runs
            ]
            self.engine.report(worker_id, reports, self.now, self.now)
            for end in self._ends_by_worker.pop(worker_id, ()):
                self.engine.end(worker_id, end, self.now)
            if first:
                self.engine.reconcile(worker_id, listed, True, self.now)

    def _execute(self, effects):
        for start in fx.starts(effects):
            if start.worker_id in self._absences:
                continue
            if self.random.random() < 0.9:
                self.engine.start_confirmed(start.key, start.run, self.now)
            else:
                self._unanswered.add((start.key, start.run))
            self._running_by_worker[start.worker_id][start.key] = (start, self.now)
            self._term_by_start[start] = self.engine.term
            if start.key in self.deadly:
                delay_s = self.random.choice((0.0, 0.05, 0.2))
                self.at(self.now + delay_s, lambda s=start: self._strike(s))
            self._plan_hit(start)
        for stop in fx.stops(effects):
            if stop.worker_id not in self._absences:
                runs = self._running_by_worker[stop.worker_id]
                if stop.key in runs and runs[stop.key][0].run == stop.run:
                    self._end(runs.pop(stop.key)[0], EndKind.STOPPED)

    def _strike(self, start):
        """Crash the worker of a task that crashes its workers."""
        started = self._running_by_worker[start.worker_id].get(start.key)
        if started is not None and started[0].run == start.run:
            self.crashes_by_key[start.key] += 1
            self._absences.pop(start.worker_id, None)
            self.crash(start.worker_id)

    def _plan_hit(self, start):
        hits = self._hits_by_job.get(start.key.workflow_id)
        run = (self._holder(start.key), start.run)
        if not hits or run in self._hit_runs:
            return
        self._hit_runs.add(run)
        hit = hits.pop()
        self.at(self.now + hit.delay_s, lambda: self._carry_out(hit, start))

    def _carry_out(self, hit, start):
        workers = [
            worker_id
            for worker_id, runs in self._running_by_worker.items()
            if any(key[:3] == start.key[:3] for key in runs)
            and worker_id not in self._absences
        ]
        if not workers or self.now >= FAULTS_S:
            return
        disturb = self.crash if hit.crashes else self.cut
        disturb(self.random.choice(workers), away_s=hit.away_s)
        if hit.takeover_s is not None:
            self.at(
                self.now + hit.takeover_s, lambda: self.change_coordinator(hit.gap_s)
            )

    def _save(self):
        started_ms_by_worker = {
            worker_id: worker.facts.process_started_ms
            for worker_id, worker in self.engine.workers_by_id.items()
        }
        for workflow_id in self.engine.dirty:
            self._documents[workflow_id] = records.encode_progress(
                self.engine.workflows_by_id[workflow_id],
                self.engine.term,
                started_ms_by_worker,
                self.now,
            )
        self.engine.dirty.clear()

    def _take_over(self):
        earlier, self.engine = self.engine, Engine()
        self.engine.term = earlier.term + 1
        for facts in self.facts_by_id.values():
            self.engine.set_worker(facts, self.now)
            self.engine.workers_by_id[facts.worker_id].reachable = False
        for workflow_id, progress in earlier.workflows_by_id.items():
            restored = self.engine.accept(progress.workflow, self.now)
            document = self._documents.get(workflow_id)
            if document is None:
                continue
            record = records.decode_progress(workflow_id, document)
            records.restore_progress(restored, record)
            if record.state in (WorkflowState.DONE, WorkflowState.FAILED):
                self.engine.restore_final_state(
                    workflow_id,
                    record.state,
                    self.now,
                    {placed.key for placed in record.placed},
                )
            adopt_placed_runs(self.engine, record, self.now)
        for worker_id, absence in self._absences.items():
            self._absences[worker_id] = absence._replace(lapses_at=self.now + LEASE_S)
        self._has_coordinator = True


def draw_fleet(seed):
    """Return a fleet with jobs and faults drawn from a seed."""
    random_ = random.Random(seed)
    fleet = ScheduledFleet(random_.choice((2, 5, 8, 12)), random_)
    takeover_share = random_.choice((0.0, 0.2, 0.7))
    for index in range(random_.randint(1, 4)):
        deadly = random_.random() < 0.4
        tasks = random_.randint(1, 3)
        name = f"{'deadly' if deadly else 'sound'}{index}"
        fleet.accept(
            name,
            fx.step(tasks, gang=random_.random() < 0.5),
            deadly=range(random_.randint(1, tasks)) if deadly else (),
        )
        if not deadly:
            fleet.hit(
                name,
                *(
                    Hit(
                        random_.choice((0.05, 0.1, 0.3, 0.45, 1.7)),
                        random_.random() < 0.3,
                        random_.choice((0.7, 3.0, 9.0, 20.0, 45.0)),
                        random_.choice((0.1, 2.0, 7.0))
                        if random_.random() < takeover_share
                        else None,
                        random_.choice((0.0, 0.0, 1.0)),
                    )
                    for _ in range(random_.randint(0, 6))
                ),
            )
    for _ in range(random_.randint(0, 4)):
        hit = random_.sample(sorted(fleet.facts_by_id), random_.randint(1, 2))
        disturb = random_.choice((fleet.cut, fleet.crash))
        fleet.at(random_.uniform(0.0, FAULTS_S), lambda d=disturb, h=hit: d(*h))
    for _ in range(random_.randint(0, 6) if takeover_share else 0):
        fleet.at(random_.uniform(0.0, FAULTS_S), fleet.change_coordinator)
    return fleet


def may_be_given_up(fleet, workflow_id):
    """Return whether crashes just after starts allow giving up a job."""
    for holder, addresses_by_run in fleet.crashes_by_holder.items():
        workers = set().union(*addresses_by_run.values())
        if holder.workflow_id == workflow_id and (
            len(addresses_by_run) >= MAX_CRASHES
            or len(addresses_by_run) >= MIN_CRASHED_RUNS
            and len(workers) >= MIN_CRASHED_WORKERS
        ):
            return True
    return False


def broken_rules(fleet):
    """Play a fleet and return what went wrong."""
    while fleet.now < FAULTS_S or not fleet.has_ended() and fleet.now < LIMIT_S:
        fleet.run_until(fleet.now + 5.0)
    broken = [
        f"{key.workflow_id}: {count} crashes"
        for key, count in fleet.crashes_by_key.items()
        if count > MAX_CRASHES
    ]
    for workflow_id, progress in fleet.engine.workflows_by_id.items():
        state = progress.state
        if workflow_id.startswith("deadly"):
            allowed = {WorkflowState.FAILED}
        else:
            allowed = {WorkflowState.DONE}
            if may_be_given_up(fleet, workflow_id):
                allowed.add(WorkflowState.FAILED)
        if state not in allowed:
            broken.append(f"{workflow_id}: {state}")
    return broken


class ScheduleTests(unittest.TestCase):
    """Each job ends as it should, whatever hits its workers."""

    def check(self, *seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertEqual(broken_rules(draw_fleet(seed)), [])

    def test_drawn_schedules(self):
        """Guards against verdicts on uncertain evidence, and late ones."""
        self.check(*range(40))

    def test_tasks_that_crash_workers_beside_cuts(self):
        """Guards against a sixth crash where others explain some of them."""
        self.check(50, 72, 152, 297, 313, 403)

    def test_tasks_that_crash_workers_around_changes(self):
        """Guards against crashes that a change of the coordinator hides."""
        self.check(44, 56, 65, 227, 333, 359)

    def test_sound_job_on_a_worker_that_crashes_again_and_again(self):
        """Guards against a worker that counts as two after a long absence."""
        self.check(890)


if __name__ == "__main__":
    unittest.main()

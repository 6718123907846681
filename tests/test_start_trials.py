"""Tests of workers that answer polls and begin no run.

Load pattern: jobs come evenly to a fleet that is mostly idle, and some of its
workers leave starts unanswered or reject them.
"""

import unittest

from redwingrudder.simulation import RunBehaviour
from redwingrudder.workflows.model import EndKind
from redwingrudder.workflows.start_trials import LONGEST_REST_S

from . import workflow_fixtures as fx
from .advice_case import RUN_S, WHOLE_WORKER, AdviceCase

FINISH_S = 14.0  # time in which the users ask for all jobs after the traffic
TRAFFIC_S = 20.0
JOBS = 14
LATE_BY_S = 4.1
MAX_STARTS = 100  # to the workers that begin no run
# Time after the last disruption in which a task that lasts has to begin if it
# has room: 4 s until the users ask for it, and 3 s that it may wait.
BEGUN_WITHIN_S = 7.0
TWO_GPUS = fx.ONE_GPU._replace(accelerators=2)
JOB = fx.step(7, TWO_GPUS)._replace(estimate_s=RUN_S)
GANG = fx.step(7, WHOLE_WORKER, gang=True)._replace(estimate_s=RUN_S)


class TimedRuns(RunBehaviour):
    """Runs that end as done after ``RUN_S``."""

    def __init__(self, clock):
        self._clock = clock

    def stop_duration_s(self, key, run):
        return 0.0

    def progress_percent(self, key, elapsed_s):
        return min(100 * elapsed_s / RUN_S, 100.0)

    def begun(self, process, key, run):
        self._clock.callLater(RUN_S, process.finish, key, run, EndKind.DONE)


class StartTrialCase(AdviceCase):
    """Twelve workers, jobs without advice, and workers that begin no run."""

    worker_count = 12

    def build_runs(self):
        return TimedRuns(self.clock)

    def unfit(self, count):
        return [self.workers.workers_by_id[f"w{index:02}"] for index in range(count)]

    def play_traffic(self, step=JOB):
        for index in range(JOBS):
            self.submit(f"job{index:03}", step, queue="plain")
            self.run_for(TRAFFIC_S / JOBS)

    def assert_few_starts(self, workers):
        starts = sum(len(worker.starts) for worker in workers)
        self.assertLessEqual(starts, MAX_STARTS)


class UnansweredStartTests(StartTrialCase):
    """Workers that answer polls carry out each start some seconds later."""

    def play(self, count, step):
        workers = self.unfit(count)
        for worker in workers:
            worker.delays_s["start"] = LATE_BY_S
        self.play_traffic(step)
        self.assert_all_done(FINISH_S)
        self.assert_few_starts(workers)

    def test_tasks(self):
        """Guards against tasks that return to a worker without an answer."""
        for count in (1, 2, 3):
            with self.subTest(workers=count):
                self.setUp()
                self.play(count, JOB)

    def test_gangs(self):
        """Guards against gangs that fail to begin for one of their workers."""
        for count in (1, 2, 3):
            with self.subTest(workers=count):
                self.setUp()
                self.play(count, GANG)

    def test_each_worker(self):
        """Guards against an order of workers that hides the fault.

        One job comes to an idle fleet, and the worker begins to leave starts
        unanswered before.
        """
        for index in range(self.worker_count):
            with self.subTest(worker=index):
                self.setUp()
                worker = self.workers.workers_by_id[f"w{index:02}"]
                worker.delays_s["start"] = LATE_BY_S
                self.submit("job", JOB, queue="plain")
                self.assert_all_done(FINISH_S)

    def test_worker_that_falls_silent_afterwards(self):
        """Guards against tasks that are held for it beside an idle fleet.

        The entry of the worker stays, so that it may be there.
        """
        for step in (JOB, GANG):
            with self.subTest(gang=step.gang):
                self.setUp()
                (worker,) = self.unfit(1)
                worker.late = {"start"}
                self.play_traffic(step)
                worker.silent = True
                self.assert_all_done(FINISH_S)

    def test_all_workers_for_a_while(self):
        """Guards against workers that get no start after they recover."""
        workers = self.unfit(self.worker_count)
        for worker in workers:
            worker.delays_s["start"] = LATE_BY_S
        self.submit("job", JOB, queue="plain")
        self.run_for(10.0)
        for worker in workers:
            worker.delays_s.clear()
        self.assert_all_done(FINISH_S)


class RejectedStartTests(StartTrialCase):
    """Workers that answer polls reject all starts."""

    def play(self, reason, count, step):
        workers = self.unfit(count)
        for worker in workers:
            worker.rejections_by_name["start"] = reason
        self.play_traffic(step)
        self.assert_all_done(FINISH_S)
        self.assert_few_starts(workers)

    def test_starts_are_rejected(self):
        """Guards against starts that are repeated with each planning pass."""
        for reason in ("unhealthy", "room"):
            for step in (JOB, GANG):
                for count in (1, 3):
                    with self.subTest(reason=reason, gang=step.gang, workers=count):
                        self.setUp()
                        self.play(reason, count, step)


class OnlyWorkerTests(StartTrialCase):
    """The only worker for a task carries out no starts for a while."""

    worker_count = 1

    def play(self, outage_s, begin_outage, end_outage):
        self.setUp()
        (worker,) = self.unfit(1)
        begin_outage(worker)
        self.submit("job", fx.step(service=True), queue="plain")
        self.run_for(outage_s)
        end_outage(worker)
        self.run_for(BEGUN_WITHIN_S)
        self.assertTrue(worker.process.runs_by_key)

    def test_starts_are_rejected(self):
        """Guards against a rest that outlasts the outage by far."""
        for outage_s in (16.0, 20.0, 24.0, 25.0):
            with self.subTest(outage_s=outage_s):
                self.play(
                    outage_s,
                    lambda w: w.rejections_by_name.update(start="unhealthy"),
                    lambda w: w.rejections_by_name.clear(),
                )

    def test_starts_get_no_reply(self):
        """Guards against a rest that outlasts the outage by far."""
        for outage_s in (16.0, 20.0, 24.0, 25.0):
            with self.subTest(outage_s=outage_s):
                self.play(
                    outage_s,
                    lambda w: w.late.add("start"),
                    lambda w: w.late.clear(),
                )


class TrialTests(unittest.TestCase):
    """What the first planning pass after a start without success places."""

    def refuse(self, worker_id, *workers):
        """Let a worker leave the start of a job unanswered."""
        self.engine = fx.engine(fx.worker(worker_id))
        self.engine.accept(fx.workflow("first"), 0.0)
        (start,) = fx.starts(self.engine.plan(0.0, 0.0))
        self.engine.start_rejected(start.key, start.run, "unanswered", 2.0)
        self.engine.cancel("first", 2.0)
        for other_id in workers:
            self.engine.set_worker(fx.worker(other_id), 2.0)

    def place(self, step, now=2.1, workflow_id="job"):
        self.engine.accept(fx.workflow(workflow_id, step), now)
        return fx.starts(self.engine.plan(now, now))

    def test_gang_with_several_members_on_a_worker(self):
        """Guards against a gang that waits for a trial which never comes."""
        self.refuse("w1", "w2")
        self.assertEqual(len(self.place(fx.step(12, gang=True))), 12)
        self.assertEqual(self.place(fx.step(), 2.2, "other"), [])
        trials = self.engine.workers_by_id["w1"].start_trials
        for member in self.engine.workflows_by_id["job"].tasks():
            key, run = member.key, member.run
            if member.worker_id == "w1":
                self.engine.start_rejected(key, run, "unanswered", 4.2)
        self.assertEqual((trials.state, trials.rest_until), ("resting", 5.2))

    def test_start_whose_record_cannot_be_written(self):
        """Guards against a trial that is never sent and keeps others away."""
        self.refuse("w1")
        self.assertEqual(len(self.place(fx.step())), 1)
        self.assertEqual(self.place(fx.step(), 2.2, "other"), [])
        started = fx.starts(self.engine.plan(5.0, 5.0))
        self.assertEqual([s.key.workflow_id for s in started], ["other"])
        self.engine.start_sent(started[0].key, started[0].run, 5.1)
        self.assertEqual(self.place(fx.step(), 9.0, "third"), [])

    def test_gang_stays_in_the_only_rack_with_room(self):
        """Guards against a gang that is spread over racks for a trial."""
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True, same_rack=True)
        self.refuse("w1", "w2")
        for worker_id, rack in (("w3", "r2"), ("w4", "r3")):
            self.engine.set_worker(fx.worker(worker_id, rack), 2.0)
        started = self.place(gang)
        self.assertEqual({s.worker_id for s in started}, {"w1", "w2"})

    def test_gang_leaves_out_a_trial_for_another_rack(self):
        """Guards against a gang that fails to begin for one of its workers."""
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True, same_rack=True)
        self.refuse("w1", "w2")
        for worker_id in ("w3", "w4"):
            self.engine.set_worker(fx.worker(worker_id, "r2"), 2.0)
        started = self.place(gang)
        self.assertEqual({s.worker_id for s in started}, {"w3", "w4"})

    def test_gang_waits_for_room_on_the_others(self):
        """Guards against a gang that waits beside workers that recovered.

        A worker may have recovered when its longest rest began.
        """
        self.refuse("w1", "w2")
        long_runs = self.place(fx.step(8), workflow_id="other")
        fx.confirm(self.engine, long_runs, 2.1)
        self.assertEqual({s.worker_id for s in long_runs}, {"w2"})
        self.assertEqual(self.place(fx.step(4, gang=True)), [])
        now = 2.0 + BEGUN_WITHIN_S - LONGEST_REST_S
        started = fx.starts(self.engine.plan(now, now))
        self.assertEqual([s.worker_id for s in started], ["w1"] * 4)

    def test_suspect_is_observed_on_a_fit_worker(self):
        """Guards against a step that waits for one suspect without a start."""
        self.refuse("w1")
        self.engine.set_worker(fx.worker("w3", address="10.0.0.3:80"), 2.0)
        (start,) = self.place(fx.step())
        self.assertEqual(start.worker_id, "w3")
        fx.confirm(self.engine, [start], 2.1)
        self.engine.worker_restarted("w3", 2.2)
        self.engine.interrupt_worker("w3", 2.2, "crashed")
        self.engine.set_worker(fx.worker("w2"), 2.3)
        (start,) = fx.starts(self.engine.plan(3.0, 3.0))
        self.assertEqual(start.worker_id, "w2")


class OtherRejectionTests(unittest.TestCase):
    """One of two idle workers rejects each start of a task."""

    def assert_moves_on(self, reason):
        engine = fx.engine()
        engine.accept(fx.workflow(), 0.0)
        for hundredths in range(MAX_STARTS):
            now = hundredths / 100
            (start,) = fx.starts(engine.plan(now, now))
            if start.worker_id == "w2":
                return
            engine.start_rejected(start.key, start.run, reason, now)
        self.fail(f"all of {MAX_STARTS} starts went to the same worker")

    def test_deadline_has_passed_by_the_clock_of_the_worker(self):
        """Guards against a return to a worker whose clock is wrong."""
        self.assert_moves_on("lapsed")

    def test_start_concerns_the_run(self):
        """Guards against a task that returns to a worker in each pass."""
        for reason in ("invalid", "outdated"):
            with self.subTest(reason):
                self.assert_moves_on(reason)


if __name__ == "__main__":
    unittest.main()

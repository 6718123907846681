"""Tests of queues that move to another pool while their jobs wait or run."""

import json
import math
import unittest

from twisted.internet.defer import Deferred

from redwingrudder.coordination.configuration_feed import ConfigurationFeed
from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    PROGRESS_PREFIX,
    TERM_KEY,
    AwaitChanges,
    FleetGateways,
)
from redwingrudder.coordination.messages import (
    BeginTerm,
    ConfigurationInForce,
    EndTerm,
    Fenced,
    Resign,
    WorkflowStored,
)
from redwingrudder.coordination.peers import (
    AskAllPeers,
    GetTimeOfDay,
    ListPeers,
    PeerView,
)
from redwingrudder.platform.registry import PlatformConfiguration, PlatformRegistry
from redwingrudder.simulation import ProtocolWorkers, StoreContents
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.engine import Engine
from redwingrudder.workflows.model import AskAdvice, EndKind, QueuePolicy, StartRun
from redwingrudder.workflows.planner import GUARANTEED_RANK, rank
from redwingrudder.workflows.queue_policies import QueuePolicies
from redwingrudder.workflows.run_times import RunTimeEstimates, SiblingProjections

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for
from .late_call_case import ROOM, TIMES

KEY = fx.key("job")
NEXT_STEP_KEY = fx.key("job", step_index=1)
OLD, NEW = "pool", "new"
WORKERS_BY_POOL = {OLD: {"w1", "w2"}, NEW: {"w3", "w4"}}


class MovedQueueCase(unittest.TestCase):
    """Nodes that coordinate in turn, and two workers in each pool."""

    def setUp(self):
        self.contents = StoreContents()
        self.nodes = []
        self.term = 0
        self.add_node()
        self.channels = ProtocolWorkers(self.nodes[0][0], "w1", "w2", "w3", "w4")
        for pool, worker_ids in WORKERS_BY_POOL.items():
            for worker_id in worker_ids:
                self.register(worker_id, pool)

    def add_node(self):
        clock, system, store = node_system(self.contents)
        TimerService(system)
        Recording(system, LEADERSHIP, {Resign: None, Fenced: None})
        Recording(
            system,
            PEERS,
            {ListPeers: PeerView((), 8), GetTimeOfDay: 0.0, AskAllPeers: None},
        )
        self.nodes.append((clock, system, store))

    def begin_term(self, node=0):
        """Make a node the coordinator, with the configuration in the store."""
        _, system, _ = self.nodes[node]
        gateways = FleetGateways(PlatformRegistry(), self.channels, TIMES, 150.0)
        Coordinator(system, gateways)
        feed = ConfigurationFeed(system, PlatformConfiguration(), (COORDINATOR,))
        feed.start()
        self.run_for(0.1)
        self.term += 1
        self.contents.put(TERM_KEY, str(self.term))
        revision = self.contents.items_by_key[TERM_KEY].mod_revision
        system.tell(COORDINATOR, BeginTerm(self.term, revision, math.inf))
        self.run_for(0.5)

    def end_term(self, node=0):
        self.nodes[node][1].tell(COORDINATOR, EndTerm("test"))
        self.run_for(0.1)

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.01)):
            for clock, _, store in self.nodes:
                run_for(clock, 0.01, (store,))

    def register(self, worker_id, pool, state="ready"):
        process = self.channels.workers_by_id[worker_id].process
        entry = {
            "service": pool,
            "address": "10.0.0.1:80",
            "zone": "domain",
            "state": state,
            "born": process.started_ms,
            "capacity": ROOM,
            "labels": ["a", "r1"],
        }
        self.contents.put("servers/" + worker_id, json.dumps(entry))

    def document(self, version, pool):
        """Return a configuration, without the queue if ``pool`` is None."""
        route = {
            "name": "queue",
            "host": "h",
            "prefix": "/q/",
            "service": pool,
            "priority": 1,
            "maxAttempts": 2,
            "stretchFactor": 3.0,
            "targetLatencyMs": 1000,
        }
        document = {
            "version": version,
            "routes": [route] if pool else [],
            "services": [{"name": OLD}, {"name": NEW}],
            "tenants": [],
        }
        return json.dumps(document)

    def configure(self, version, pool):
        self.contents.put("op/config", self.document(version, pool))
        self.run_for(0.3)

    def tell_configuration(self, version, pool):
        """Tell the first node a configuration that the store does not have."""
        decoded = PlatformConfiguration().decode(self.document(version, pool))
        self.nodes[0][1].tell(COORDINATOR, ConfigurationInForce(decoded))

    def submit(self, workflow):
        document = records.encode_workflow(workflow).decode()
        self.contents.put(INTAKE_PREFIX + workflow.workflow_id, document)
        self.run_for(0.3)

    def workers_of(self, key=KEY):
        return {
            worker_id
            for worker_id, worker in self.channels.workers_by_id.items()
            if key in worker.process.runs_by_key
        }

    def assert_runs_in(self, pool, key=KEY):
        workers = self.workers_of(key)
        self.assertTrue(workers)
        self.assertLessEqual(workers, WORKERS_BY_POOL[pool])

    def process_of(self, key=KEY):
        (worker_id,) = self.workers_of(key)
        return self.channels.workers_by_id[worker_id].process


class ConfigurationTests(MovedQueueCase):
    """The configuration of a coordinator changes."""

    def setUp(self):
        super().setUp()
        self.configure(1, OLD)
        self.begin_term()

    def test_waiting_step_starts_in_the_new_pool(self):
        """Guards against jobs that wait for workers of the old pool."""
        self.submit(fx.workflow("job", fx.step(), fx.step(after=(0,))))
        self.assert_runs_in(OLD)
        self.configure(2, NEW)
        self.process_of().end(KEY, EndKind.DONE)
        self.run_for(1.0)
        self.assert_runs_in(NEW, NEXT_STEP_KEY)

    def test_run_in_the_old_pool_goes_on(self):
        """Guards against work that is thrown away or run twice by a move."""
        self.submit(fx.workflow("job", fx.step(service=True)))
        before = self.workers_of()
        self.configure(2, NEW)
        self.run_for(3.0)
        self.assertEqual(self.workers_of(), before)
        self.assertEqual(self.channels.overlapping_runs(), [])

    def test_lasting_task_follows_once_its_worker_has_left(self):
        """Guards against a lasting task that is never restarted."""
        self.submit(fx.workflow("job", fx.step(service=True)))
        self.configure(2, NEW)
        for worker_id in WORKERS_BY_POOL[OLD]:
            self.register(worker_id, OLD, "draining")
        self.run_for(2.0)
        self.assert_runs_in(NEW)

    def test_gang_starts_in_one_pool(self):
        """Guards against gangs with members in two pools.

        One member ends after the move, so the gang is started anew.
        """
        step = fx.step(2, fx.WHOLE_WORKER, gang=True)
        self.submit(fx.workflow("job", step))
        self.configure(2, NEW)
        self.process_of().end(KEY, EndKind.FAILED)
        self.run_for(2.0)
        members = [self.workers_of(fx.key("job", index=index)) for index in range(2)]
        self.assertEqual(set().union(*members), WORKERS_BY_POOL[NEW])

    def test_start_that_was_not_sent_is_given_up(self):
        """Guards against starts in a pool that the queue has left.

        The store does not answer while the start is to be recorded.
        """
        _, system, store = self.nodes[0]
        store.down = True
        document = records.encode_workflow(fx.workflow()).decode()
        system.tell(COORDINATOR, WorkflowStored("job", document))
        self.run_for(0.3)
        self.tell_configuration(2, NEW)
        store.down = False
        self.run_for(2.0)
        self.assert_runs_in(NEW)

    def test_job_of_a_removed_queue_stays_in_its_last_pool(self):
        """Guards against accepted jobs that end with their queue."""
        self.submit(fx.workflow("job", fx.step(), fx.step(after=(0,))))
        self.configure(2, NEW)
        self.configure(3, None)
        self.process_of().end(KEY, EndKind.DONE)
        self.run_for(1.0)
        self.assert_runs_in(NEW, NEXT_STEP_KEY)

    def test_submission_by_a_node_that_is_behind(self):
        """Guards against an older pool that replaces a newer one."""
        self.configure(2, NEW)
        self.submit(fx.workflow()._replace(policy_version=1))
        self.assert_runs_in(NEW)

    def test_submission_by_a_node_that_is_ahead(self):
        """Guards against starts by a configuration older than the job."""
        ahead = fx.workflow()
        policy = ahead.policy._replace(pool=NEW)
        self.submit(ahead._replace(policy=policy, policy_version=2))
        self.assert_runs_in(NEW)


class RecoveryTests(MovedQueueCase):
    """The coordinator changes after the queue has moved."""

    def setUp(self):
        super().setUp()
        self.configure(1, OLD)
        self.begin_term()
        self.submit(fx.workflow("job", fx.step(), fx.step(after=(0,))))

    def take_over(self):
        self.end_term()
        self.resume()

    def resume(self):
        """Let another node coordinate, and end the run of the first step."""
        self.add_node()
        self.begin_term(1)
        self.process_of().end(KEY, EndKind.DONE)
        self.run_for(1.0)
        self.assert_runs_in(NEW, NEXT_STEP_KEY)

    def test_new_coordinator_uses_the_new_pool(self):
        """Guards against jobs that a takeover moves back to the old pool."""
        self.configure(2, NEW)
        self.take_over()

    def test_queue_that_moves_while_there_is_no_coordinator(self):
        """Guards against a configuration that only a running term follows."""
        self.end_term()
        self.configure(2, NEW)
        self.resume()

    def test_new_coordinator_after_the_queue_was_removed(self):
        """Guards against jobs of a removed queue that return to a pool."""
        self.configure(2, NEW)
        self.configure(3, None)
        self.take_over()

    def test_new_coordinator_that_is_behind(self):
        """Guards against an older pool that replaces a recorded newer one."""
        self.configure(2, NEW)
        self.configure(1, OLD)
        self.take_over()


class RecoveredRecordTests(MovedQueueCase):
    def test_recorded_policy_is_not_recorded_again(self):
        """Guards against a takeover that writes the records of all jobs."""
        self.configure(1, OLD)
        self.begin_term()
        self.submit(fx.workflow("job", fx.step(worker_label="none")))
        self.configure(2, NEW)
        revision = self.contents.items_by_key[PROGRESS_PREFIX + "job"].mod_revision
        self.end_term()
        self.add_node()
        self.begin_term(1)
        item = self.contents.items_by_key[PROGRESS_PREFIX + "job"]
        self.assertEqual(item.mod_revision, revision)


class UnseenCancellationTests(MovedQueueCase):
    def test_first_record_does_not_hide_a_cancellation(self):
        """Guards against a state that is taken back after a cancellation.

        A changed policy is recorded before the job has begun. The coordinator
        does not know of the cancellation, as its watch gets no answer.
        """
        _, system, store = self.nodes[0]
        store._handlers_by_type[AwaitChanges] = lambda _: Deferred()
        self.configure(1, OLD)
        self.begin_term()
        job = fx.workflow("job", fx.step(worker_label="none"))
        document = records.encode_workflow(job).decode()
        self.contents.put(INTAKE_PREFIX + "job", document)
        system.tell(COORDINATOR, WorkflowStored("job", document))
        self.run_for(0.1)
        self.assertNotIn(PROGRESS_PREFIX + "job", self.contents.items_by_key)
        self.contents.put(INTAKE_PREFIX + "job/cancel", "1.0")
        self.tell_configuration(2, NEW)
        self.run_for(0.2)
        item = self.contents.items_by_key[PROGRESS_PREFIX + "job"]
        record = records.decode_progress("job", item.value.encode())
        self.assertEqual(record.state, "cancelled")


class PolicyTests(unittest.TestCase):
    """What a new configuration changes for an accepted job."""

    def setUp(self):
        self.engine = fx.engine(fx.worker("w1"), fx.worker("w2", pool=NEW))
        self.progress = self.engine.accept(fx.workflow("job", fx.step()), 0.0)

    def configure(self, version, **changes):
        policy = QueuePolicy(OLD, 1, 2, 3.0, 1.0)._replace(**changes)
        policies = QueuePolicies(version, {"queue": policy})
        self.engine.configure(policies, {"org": 8})

    def starts(self, now=0.0):
        return fx.starts(self.engine.plan(now, now))

    def test_priority_and_guarantee_follow(self):
        """Guards against urgent work that is ranked as it was submitted."""
        self.configure(1, priority=0)
        stage = self.progress.occurrences[0].stages[0]
        self.assertEqual(rank(stage, frozenset({"org"})), GUARANTEED_RANK)

    def test_advice_follows(self):
        """Guards against starts without a ticket, which workers reject."""
        self.configure(1, advised=True)
        self.assertEqual(self.starts(), [])
        self.configure(2, advised=False)
        self.assertEqual([start.ticket for start in self.starts()], [""])

    def test_start_has_no_ticket_without_need_for_advice(self):
        """Guards against a ticket of an earlier configuration."""
        self.configure(1, advised=True)
        (request,) = self.engine.plan(0.0, 0.0)
        tickets = dict.fromkeys(request.worker_ids, "ticket")
        fx.advise(self.engine, request, tickets, 10.0, 0.0)
        self.configure(2, advised=False)
        self.assertEqual([start.ticket for start in self.starts()], [""])

    def test_advice_about_the_old_pool_is_not_waited_for(self):
        """Guards against a step that waits for an answer it cannot use."""
        self.configure(1, advised=True)
        self.engine.plan(0.0, 0.0)
        self.configure(2, advised=True, pool=NEW)
        requests = [e for e in self.engine.plan(0.0, 0.0) if isinstance(e, AskAdvice)]
        self.assertEqual([request.worker_ids for request in requests], [("w2",)])

    def test_attempts_stay(self):
        """Guards against a job that fails by a change of the configuration."""
        self.configure(1, attempts=1)
        (start,) = self.starts()
        fx.confirm(self.engine, [start])
        self.engine.end(start.worker_id, fx.ended(start, EndKind.FAILED), 1.0)
        self.assertEqual(self.progress.state, "running")

    def test_any_order_ends_in_the_same_policy(self):
        """Guards against a policy that depends on what a node learns first."""
        newest = QueuePolicy(NEW, 0, 2, 2.0, 0.5)
        document = records.encode_workflow(fx.workflow())
        self.configure(3, pool=NEW, priority=0, stretch=2.0, latency_s=0.5)
        record = records.decode_progress(
            "job", records.encode_progress(self.progress, 1, {})
        )
        for config_first in (True, False):
            with self.subTest(config_first=config_first):
                engine = Engine()
                older = QueuePolicies(2, {"queue": newest._replace(pool=OLD)})
                if config_first:
                    engine.configure(older, {})
                progress = engine.accept(records.decode_workflow(document), 0.0)
                records.restore_progress(progress, record)
                if not config_first:
                    engine.configure(older, {})
                self.assertEqual(progress.policy, newest)
                self.assertEqual(progress.policy_version, 3)

    def test_record_of_an_earlier_release(self):
        """Guards against records without a policy that cannot be read."""
        document = json.loads(records.encode_progress(self.progress, 1, {}))
        del document["policy"], document["policy_version"]
        record = records.decode_progress("job", json.dumps(document).encode())
        records.restore_progress(self.progress, record)
        self.assertEqual(self.progress.policy.pool, OLD)

    def test_run_that_is_listed_late_in_the_old_pool(self):
        """Guards against a second run beside one of which no answer came."""
        (start,) = self.starts()
        self.configure(1, pool=NEW)
        self.engine.report("w1", [fx.running(start)], 1.0)
        effects = self.engine.plan(1.0, 1.0)
        self.assertFalse([e for e in effects if isinstance(e, StartRun)])
        self.assertEqual(self.progress.find(start.key).worker_id, "w1")

    def test_run_is_compared_with_runs_of_its_pool(self):
        """Guards against a pool that looks slow beside the other one."""
        stage = (
            self.engine.accept(fx.workflow("pair", fx.step(2)), 0.0)
            .occurrences[0]
            .stages[0]
        )
        for task, pool, percent in zip(
            stage.tasks, (OLD, NEW), (80.0, 20.0), strict=True
        ):
            task.state, task.pool, task.percent = "running", pool, percent
            task.started_at, task.reported_at = 0.0, 4.0
        slower = stage.tasks[1]
        self.assertIsNone(SiblingProjections().median_of_others(slower))
        slower.pool = OLD
        self.assertEqual(SiblingProjections().median_of_others(slower), 5.0)

    def test_run_times_are_learned_for_each_pool(self):
        """Guards against a new pool that counts as slow by other workers."""
        (start,) = self.starts()
        fx.confirm(self.engine, [start])
        self.engine.end("w1", fx.ended(start), 1.0)
        self.configure(1, pool=NEW)
        progress = self.engine.accept(fx.workflow("next"), 1.0)
        (start,) = self.starts(1.0)
        self.assertEqual(start.worker_id, "w2")
        task = progress.find(start.key)
        run_times: RunTimeEstimates = self.engine.run_times
        self.assertFalse(run_times.has_observed(task))
        self.assertEqual(run_times.expected_run_s(task), 5.0)


if __name__ == "__main__":
    unittest.main()

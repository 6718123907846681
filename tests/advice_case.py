"""Base class of tests with a queue that needs advice, on a virtual clock."""

import json
import math
import unittest

from redwingrudder.coordination.advisor import Advisor
from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    CANCEL_SUFFIX,
    COORDINATOR,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    PROGRESS_PREFIX,
    TERM_KEY,
    FleetGateways,
)
from redwingrudder.coordination.messages import (
    BeginTerm,
    ConfigurationInForce,
    EndTerm,
    Fenced,
    Resign,
)
from redwingrudder.coordination.peers import (
    AskAllPeers,
    GetTimeOfDay,
    ListPeers,
    PeerView,
)
from redwingrudder.platform.registry import PlatformConfiguration, PlatformRegistry
from redwingrudder.simulation import (
    AdviceModel,
    ProtocolWorkers,
    RunBehaviour,
    StoreContents,
)
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.model import EndKind, Resources

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for
from .late_call_case import ROOM, TIMES

RUN_S = 2.0
RACK_SIZE = 6
# The work of the review: 16 tasks on one accelerator each.
JOB = fx.step(16, fx.ONE_GPU)._replace(estimate_s=RUN_S)
WHOLE_WORKER = Resources(*ROOM.values())


class TicketedRuns(RunBehaviour):
    """Runs of ``RUN_S`` that begin only with a valid ticket.

    Those of jobs whose ids begin with "plain" need none and go on until they
    are stopped.

    Attributes:
        rejected: Number of starts without a valid ticket.
    """

    def __init__(self, clock, services):
        self._clock = clock
        self._services = services
        self.rejected = 0

    def stop_duration_s(self, key, run):
        return 0.0

    def accepts_ticket(self, process, key, ticket):
        if _is_plain(key):
            return True
        accepted = any(
            service.is_valid(ticket, key, process.worker_id)
            for service in self._services
        )
        self.rejected += not accepted
        return accepted

    def begun(self, process, key, run):
        if _is_plain(key):
            return
        self._clock.callLater(RUN_S, process.finish, key, run, EndKind.DONE)


def _is_plain(key):
    return key.workflow_id.startswith("plain")


class AdviceCase(unittest.TestCase):
    """Two nodes that may coordinate, and workers that check tickets.

    The times are those of the advice service, in seconds.
    """

    decision_s, period_s, valid_s = 0.2, 0.025, 3.0
    worker_count = 24
    times = TIMES

    def setUp(self):
        self.contents = StoreContents()
        self.clock, *first = node_system(self.contents)
        self.systems = [first]
        self.services = [self.build_service() for _ in range(2)]
        self.runs = self.build_runs()
        ids = [f"w{index:02}" for index in range(self.worker_count)]
        self.workers = ProtocolWorkers(self.clock, *ids, behaviour=self.runs)
        self.term = 0
        self.submitted = []
        for index, worker_id in enumerate(ids):
            self.register(worker_id, f"r{index // RACK_SIZE}")
        self.build_node(0, *first)
        self.begin_term(0)

    def is_allowed(self, step, worker_id):
        return True

    def build_runs(self):
        return TicketedRuns(self.clock, self.services)

    def build_service(self):
        return AdviceModel(
            self.clock,
            self.decision_s,
            self.period_s,
            self.valid_s,
            lambda step, worker_id: self.is_allowed(step, worker_id),
        )

    def build_node(self, index, system, store):
        TimerService(system)
        Recording(system, LEADERSHIP, {Resign: None, Fenced: None})
        Recording(
            system,
            PEERS,
            {ListPeers: PeerView((), 8), GetTimeOfDay: 0.0, AskAllPeers: None},
        )
        Advisor(system, self.services[index])
        gateways = FleetGateways(PlatformRegistry(), self.workers, self.times, 150.0)
        Coordinator(system, gateways)

    def add_node(self):
        _, system, store = node_system(self.contents)
        system.clock = self.clock
        self.systems.append([system, store])
        self.build_node(len(self.systems) - 1, system, store)

    def begin_term(self, node):
        """Make a node the coordinator, with the configuration in force."""
        system = self.systems[node][0]
        self.term += 1
        self.contents.put(TERM_KEY, str(self.term))
        revision = self.contents.items_by_key[TERM_KEY].mod_revision
        system.tell(COORDINATOR, BeginTerm(self.term, revision, math.inf))
        decoded = PlatformConfiguration().decode(json.dumps(self.configuration()))
        system.tell(COORDINATOR, ConfigurationInForce(decoded))
        self.run_for(0.5)

    def end_term(self, node):
        self.systems[node][0].tell(COORDINATOR, EndTerm("test"))

    def configuration(self):
        advice = {
            "decisionMs": int(1000 * self.decision_s),
            "periodMs": int(1000 * self.period_s),
            "validMs": int(1000 * self.valid_s),
        }
        routes = [
            {
                "name": name,
                "host": "h",
                "prefix": f"/{name}/",
                "service": "pool",
                "priority": priority,
                "maxAttempts": 2,
                "stretchFactor": 3.0,
                "targetLatencyMs": 1000,
                **options,
            }
            for name, priority, options in (
                ("queue", 1, {"advice": advice}),
                ("urgent", 0, {"advice": advice}),
                ("plain", 2, {}),
            )
        ]
        return {
            "version": 1,
            "routes": routes,
            "services": [{"name": "pool"}],
            "tenants": [],
        }

    def register(self, worker_id, rack):
        process = self.workers.workers_by_id[worker_id].process
        entry = {
            "service": "pool",
            "address": f"10.0.0.1:{1000 + int(worker_id[1:])}",
            "zone": "domain",
            "state": "ready",
            "born": process.started_ms,
            "capacity": ROOM,
            "labels": ["a", rack],
        }
        self.contents.put("servers/" + worker_id, json.dumps(entry))

    def run_for(self, seconds):
        run_for(self.clock, seconds, [store for _, store in self.systems])

    def run_until(self, condition, limit_s):
        """Run until a condition holds; return whether it does."""
        end_at = self.clock.seconds() + limit_s
        while not condition() and self.clock.seconds() < end_at:
            self.run_for(0.05)
        return condition()

    def submit(self, job, *steps, queue="queue"):
        document = fx.workflow(job, *(steps or (JOB,)))
        priority = {"queue": 1, "urgent": 0, "plain": 2}[queue]
        policy = document.policy._replace(advised=queue != "plain", priority=priority)
        document = document._replace(queue=queue, policy=policy)
        self.contents.put(
            INTAKE_PREFIX + job, records.encode_workflow(document).decode()
        )
        self.submitted.append(job)

    def submit_for(self, seconds, jobs_per_s):
        """Submit jobs at a rate, evenly spaced."""
        for _ in range(round(seconds * jobs_per_s)):
            self.submit(f"job{len(self.submitted):03}")
            self.run_for(1 / jobs_per_s)

    def cancel(self, job):
        self.contents.put(INTAKE_PREFIX + job + CANCEL_SUFFIX, "1")

    def state(self, job):
        item = self.contents.items_by_key.get(PROGRESS_PREFIX + job)
        return json.loads(item.value)["state"] if item else "queued"

    def states(self, jobs=None):
        return [self.state(job) for job in jobs or self.submitted]

    def assert_all_done(self, limit_s, jobs=None):
        jobs = list(jobs or self.submitted)
        self.run_until(lambda: set(self.states(jobs)) == {"done"}, limit_s)
        undone = [job for job in jobs if self.state(job) != "done"]
        self.assertEqual(undone, [], f"{len(undone)} of {len(jobs)} are not done")

"""A cluster on a virtual clock: two nodes, three workers and a store."""

import json
from typing import Any

from twisted.internet.task import Clock

from ..actors import Actor, ActorSystem, Handler
from ..coordination.authority import LEASE_TTL_S
from ..coordination.coordinator import Coordinator
from ..coordination.gateways import (
    CANCEL_SUFFIX,
    COORDINATOR,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    PROGRESS_PREFIX,
    TERM_KEY,
    FleetGateways,
    WorkerTimes,
)
from ..coordination.leadership import RENEW_INTERVAL_S
from ..coordination.messages import (
    BeginTerm,
    CancelStored,
    EndTerm,
    Fenced,
    LeaseConfirmed,
    Resign,
    WorkflowStored,
)
from ..coordination.metrics import (
    METRICS,
    IncrementCounter,
    ObserveDuration,
    SetGauge,
)
from ..coordination.peers import AskAllPeers, GetTimeOfDay, ListPeers, PeerView
from ..timers import TimerService
from ..workflows import records
from ..workflows.model import FINAL_STATES, WorkflowState
from ._disruptions import Lead, find_disruptions
from ._entries import EntryCodec, entry_document
from ._faults import MODEL_BY_KIND, FaultModel
from ._history import Cancellation, Event, History, JobOutcome
from ._runs import GANG_TIMEOUT_S, DrawnRuns
from ._schedule import (
    DURATION_S,
    MAX_STOP_S,
    NODES,
    WORKERS,
    Fault,
    FaultKind,
    Job,
    Schedule,
)
from ._store import MemoryStore, StoreContents
from ._worker_process import MAX_LEASE_S
from ._workers import ProtocolWorker, ProtocolWorkers

UNIX_TIME_S = 1_800_000_000.0  # time of day at the begin of a schedule
HEARTBEAT_S = 1.5
RETENTION_S = 150.0
# Longest time until a node that was replaced without its consent learns it.
DEPOSED_AFTER_S = 3.0
MIN_ADVANCE_S = 0.001
OTHER_NODES = 8  # that the nodes know of; none of them replies
TIMES = WorkerTimes(MAX_LEASE_S, HEARTBEAT_S, GANG_TIMEOUT_S, MAX_STOP_S)


class FixedReplies(Actor):
    """Gives each type of message a fixed reply.

    Args:
        system: The node's actor system.
        name: Name of the actor.
        replies_by_type: Reply to each type of message.
    """

    def __init__(
        self, system: ActorSystem, name: str, replies_by_type: dict[type, Any]
    ) -> None:
        self._replies_by_type = replies_by_type
        super().__init__(system, name)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {message_type: self._reply for message_type in self._replies_by_type}

    def _reply(self, message: Any) -> Any:
        return self._replies_by_type[type(message)]


class SilentPeers(FixedReplies):
    """Peers of a node that hears of no other node.

    Args:
        system: The node's actor system.
    """

    def __init__(self, system: ActorSystem) -> None:
        super().__init__(
            system, PEERS, {ListPeers: PeerView((), OTHER_NODES), AskAllPeers: None}
        )

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            **super().handlers(),
            GetTimeOfDay: lambda _: self.system.unix_time(),
        }


class GivenLeadership(Actor):
    """Leadership of a node whose terms the cluster begins and ends.

    Args:
        system: The node's actor system.
        cluster: The cluster.
        index: Index of the node.
    """

    def __init__(self, system: ActorSystem, cluster: "Cluster", index: int) -> None:
        self._cluster = cluster
        self._index = index
        super().__init__(system, LEADERSHIP)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            Fenced: lambda m: self._cluster.leave(self._index, f"fenced: {m.source}"),
            Resign: lambda m: self._cluster.leave(self._index, m.reason),
        }


class Node:
    """The actors of a node.

    Args:
        cluster: The cluster.
        index: Index of the node.

    Attributes:
        system: The actor system.
        store: The store actor.
        notified_revision: Revision of the store up to which the watches were
            notified.
    """

    def __init__(self, cluster: "Cluster", index: int) -> None:
        clock = cluster.clock
        self.system = ActorSystem(clock, lambda: UNIX_TIME_S + clock.seconds())
        FixedReplies(
            self.system,
            METRICS,
            {IncrementCounter: None, ObserveDuration: None, SetGauge: None},
        )
        SilentPeers(self.system)
        self.store = MemoryStore(self.system, cluster.contents)
        self.notified_revision = 0
        TimerService(self.system)
        GivenLeadership(self.system, cluster, index)
        gateways = FleetGateways(EntryCodec(), cluster.workers, TIMES, RETENTION_S)
        Coordinator(self.system, gateways)


class Cluster:
    """Plays one schedule.

    Args:
        schedule: The schedule.

    Attributes:
        clock: Clock of everything in the cluster.
        contents: Contents of the store.
        workers: The workers.
        nodes: The nodes.
    """

    def __init__(self, schedule: Schedule) -> None:
        self.clock = Clock()
        self.contents = StoreContents()
        self._schedule = schedule
        self._events: list[Event] = []
        self._active_faults: list[Fault] = []
        self._cancellations: list[Cancellation] = []
        self._ended_by_id: dict[str, tuple[WorkflowState, float]] = {}
        self._seen_changes = 0
        self._term = 0
        self._leader: int | None = None
        self._leads: list[Lead] = []
        self._lease_confirmed_at = 0.0
        self.workers = ProtocolWorkers(
            self.clock,
            *(f"w{index + 1}" for index in range(WORKERS)),
            behaviour=DrawnRuns(self.clock, schedule),
            log=self.log,
        )
        self.nodes = [Node(self, index) for index in range(NODES)]

    def play(self) -> History:
        """Play the schedule to its end."""
        for worker in self.workers.workers_by_id.values():
            self.register(worker)
        self.begin_term(0)
        self.clock.callLater(RENEW_INTERVAL_S, self._renew_lease)
        for job in self._schedule.jobs:
            self.clock.callLater(job.at_s, self._submit, job)
        for fault in self._schedule.faults:
            model = MODEL_BY_KIND[fault.kind]
            self.clock.callLater(fault.at_s, self._begin_fault, model, fault)
        while self.clock.seconds() < DURATION_S:
            next_at = self.clock.getDelayedCalls()[0].getTime()
            self.clock.advance(max(next_at - self.clock.seconds(), MIN_ADVANCE_S))
            self._notify_watches()
            self._note_recorded_ends()
        return self._history()

    def log(self, line: str) -> None:
        """Add an event to the history."""
        self._events.append(Event(self.clock.seconds(), line))

    # Workers.

    def worker(self, index: int) -> ProtocolWorker:
        """Return a worker by its index."""
        return list(self.workers.workers_by_id.values())[index % WORKERS]

    def register(self, worker: ProtocolWorker) -> None:
        """Write the registry entry of a worker's process."""
        document = entry_document(worker.process.started_ms)
        self.contents.put(EntryCodec.prefix + worker.worker_id, json.dumps(document))

    def unregister(self, worker: ProtocolWorker) -> None:
        """Remove the registry entry of a worker."""
        self.contents.remove(EntryCodec.prefix + worker.worker_id)

    # Faults.

    def is_active(self, kind: FaultKind, target: int) -> bool:
        """Return whether a fault of a kind befalls a target now."""
        return any(
            fault.kind is kind and fault.target == target
            for fault in self._active_faults
        )

    def _begin_fault(self, model: FaultModel, fault: Fault) -> None:
        self._active_faults.append(fault)
        self.log(f"fault: {model.describe(fault)}")
        model.begin(self, fault)
        self.clock.callLater(fault.duration_s, self._end_fault, model, fault)

    def _end_fault(self, model: FaultModel, fault: Fault) -> None:
        self._active_faults.remove(fault)
        model.end(self, fault)

    # Terms.

    def begin_term(self, index: int) -> None:
        """Let a node begin a new term."""
        self._term += 1
        self._leader = index
        self._leads.append(Lead(self.clock.seconds(), index))
        self.contents.put(TERM_KEY, str(self._term))
        revision = self.contents.items_by_key[TERM_KEY].mod_revision
        self._lease_confirmed_at = self.clock.seconds()
        ends_at = self._lease_confirmed_at + LEASE_TTL_S
        self.log(f"n{index + 1} begins term {self._term}")
        self._tell(index, BeginTerm(self._term, revision, ends_at))

    def leave(self, index: int, reason: str) -> None:
        """Let a node end its term; another one takes over if it led."""
        self.log(f"n{index + 1} ends its term: {reason}")
        self._tell(index, EndTerm(reason))
        if self._leader == index:
            self._leader = None
            self._leads.append(Lead(self.clock.seconds(), None))

    def take_over(self) -> None:
        """Begin a term on the next node, which the last one does not know."""
        last = self._leader
        if last is None:
            return
        successor = (last + 1) % NODES
        if self.nodes[successor].store.down:
            return
        self.begin_term(successor)
        self.clock.callLater(DEPOSED_AFTER_S, self._depose, last, self._term)

    def hand_over(self) -> None:
        """End the current term; the next node takes over."""
        if self._leader is not None:
            successor = (self._leader + 1) % NODES
            self.leave(self._leader, "hand-over")
            if not self.nodes[successor].store.down:
                self.begin_term(successor)

    def _depose(self, index: int, term: int) -> None:
        if self._leader != index and self._term == term:
            self._tell(index, EndTerm("deposed"))

    def _renew_lease(self) -> None:
        """Renew the lease of the leader, or elect another node."""
        self.clock.callLater(RENEW_INTERVAL_S, self._renew_lease)
        now = self.clock.seconds()
        if self._leader is None:
            for index, node in enumerate(self.nodes):
                if not node.store.down:
                    self.begin_term(index)
                    return
        elif not self.nodes[self._leader].store.down:
            self._lease_confirmed_at = now
            self._tell(self._leader, LeaseConfirmed(self._term, now + LEASE_TTL_S))
        elif now > self._lease_confirmed_at + LEASE_TTL_S:
            self.take_over()

    def _tell(self, index: int, message: Any) -> None:
        self.nodes[index].system.tell(COORDINATOR, message)

    # Jobs.

    def _submit(self, job: Job) -> None:
        workflow = job.workflow(UNIX_TIME_S + self.clock.seconds())
        document = records.encode_workflow(workflow).decode()
        gang = "gang of " if job.gang else ""
        self.log(f"{job.workflow_id} is submitted: {gang}{job.tasks} tasks")
        self.contents.put(INTAKE_PREFIX + job.workflow_id, document)
        if self._leader is not None:
            self._tell(self._leader, WorkflowStored(job.workflow_id, document))
        if job.cancel_after_s is not None:
            self.clock.callLater(job.cancel_after_s, self._cancel, job.workflow_id)

    def _cancel(self, workflow_id: str) -> None:
        self.log(f"{workflow_id} is cancelled")
        now = self.clock.seconds()
        self._cancellations.append(Cancellation(workflow_id, now))
        self.contents.put(INTAKE_PREFIX + workflow_id + CANCEL_SUFFIX, str(now))
        if self._leader is not None:
            self._tell(self._leader, CancelStored(workflow_id))

    # The store.

    def _notify_watches(self) -> None:
        for node in self.nodes:
            is_behind = node.notified_revision < self.contents.revision
            if is_behind and not (node.store.down or node.store.watches_hang):
                node.notified_revision = self.contents.revision
                node.store.notify()

    def _note_recorded_ends(self) -> None:
        for change in self.contents.history[self._seen_changes :]:
            if change.key.startswith(PROGRESS_PREFIX) and change.value is not None:
                workflow_id = change.key.removeprefix(PROGRESS_PREFIX)
                state = WorkflowState(json.loads(change.value)["state"])
                if state in FINAL_STATES and workflow_id not in self._ended_by_id:
                    self.log(f"{workflow_id} is recorded as {state}")
                    self._ended_by_id[workflow_id] = (state, self.clock.seconds())
        self._seen_changes = len(self.contents.history)

    def _history(self) -> History:
        unended = (WorkflowState.RUNNING, None)
        workers = self.workers.workers_by_id.values()
        return History(
            tuple(self.workers.intervals()),
            tuple(end for worker in workers for end in worker.acknowledged),
            tuple(stop for worker in workers for stop in worker.stops),
            tuple(self._cancellations),
            tuple(
                JobOutcome(
                    job.workflow_id,
                    job.at_s,
                    *self._ended_by_id.get(job.workflow_id, unended),
                )
                for job in self._schedule.jobs
            ),
            tuple(self._events),
            find_disruptions(
                self._schedule,
                self._leads,
                DEPOSED_AFTER_S,
                workers,
                [node.store for node in self.nodes],
            ),
            self.clock.seconds(),
        )


def play_schedule(schedule: Schedule) -> History:
    """Play a schedule in a new cluster and return its history."""
    return Cluster(schedule).play()

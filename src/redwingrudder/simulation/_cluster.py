"""A cluster on a virtual clock: two nodes, some workers and a store."""

import json
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from ..coordination.authority import LEASE_TTL_S
from ..coordination.gateways import (
    CANCEL_SUFFIX,
    COORDINATOR,
    INTAKE,
    INTAKE_PREFIX,
    PROGRESS_PREFIX,
    TERM_KEY,
)
from ..coordination.leadership import RENEW_INTERVAL_S
from ..coordination.messages import (
    BeginTerm,
    CancelStored,
    CoordinatorKnown,
    EndTerm,
    LeaseConfirmed,
    StoreAvailability,
    WorkflowStored,
)
from ..workflows import records
from ..workflows.model import FINAL_STATES, WorkflowState
from ._announcements import Announcement, Announcements
from ._clients import Clients
from ._disruptions import Lead, find_disruptions
from ._faults import MODEL_BY_KIND, FaultModel
from ._generations import Generations
from ._history import Cancellation, Event, History, JobOutcome
from ._node import UNIX_TIME_S, Node
from ._peers import node_address, node_name
from ._registry import Registry
from ._runs import DrawnRuns
from ._schedule import (
    DURATION_S,
    NODES,
    Fault,
    FaultKind,
    Job,
    Schedule,
)
from ._store import StoreContents
from ._workers import ProtocolWorker, ProtocolWorkers

# Longest time until a node that was replaced without its consent learns it.
DEPOSED_AFTER_S = 3.0
MIN_ADVANCE_S = 0.001
# Time until a node tells its actors, and the other node, of what has changed.
NEWS_DELAY_S = 0.4


class Cluster:
    """Plays one schedule.

    Args:
        schedule: The schedule.

    Attributes:
        clock: Clock of everything in the cluster.
        contents: Contents of the store.
        workers: The workers.
        registry: Entries of the workers.
        announcements: Carries announcements to the coordinators.
        has_intake: Whether clients call the nodes; otherwise submissions and
            cancellations are written to the store.
        retention_s: Seconds for which the records of an ended job are kept.
        peer_replies_lost: Whether calls between nodes get no reply.
        nodes: The nodes.
    """

    def __init__(self, schedule: Schedule) -> None:
        self.clock = Clock()
        self.contents = StoreContents()
        self.registry = Registry(self.contents, self._is_entry_removed, schedule.racks)
        self._schedule = schedule
        self._events: list[Event] = []
        self._active_faults: list[Fault] = []
        self._cancellations: list[Cancellation] = []
        self._ended_by_id: dict[str, tuple[WorkflowState, float]] = {}
        self._seen_changes = 0
        self._term = 0
        self._began_at_by_term: dict[int, float] = {}
        self._leader: int | None = None
        self._leads: list[Lead] = []
        self._lease_confirmed_at = 0.0
        self._runs = DrawnRuns(self.clock, schedule)
        self.workers = ProtocolWorkers(
            self.clock,
            *(f"w{index + 1}" for index in range(schedule.workers)),
            behaviour=self._runs,
            log=self.log,
        )
        self.announcements = Announcements(self.clock, self._tell, self.log)
        self.has_intake = bool(schedule.clients)
        self.retention_s = schedule.retention_s
        self.peer_replies_lost = False
        self._generations = Generations(schedule.jobs)
        self._clients = Clients(
            self.clock,
            schedule.clients,
            self._ask_intake,
            self._unix_time,
            self._generations.add_submission,
            self.log,
        )
        self.nodes = [Node(self, index) for index in range(NODES)]

    def play(self) -> History:
        """Play the schedule to its end."""
        for worker in self.workers.workers_by_id.values():
            self.registry.write(worker)
        self.begin_term(0)
        self.clock.callLater(RENEW_INTERVAL_S, self._renew_lease)
        submit = self._clients.submit if self.has_intake else self._submit
        for job in self._schedule.jobs:
            self.clock.callLater(job.at_s, submit, job)
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
        workers = list(self.workers.workers_by_id.values())
        return workers[index % len(workers)]

    # Faults.

    def is_active(self, kind: FaultKind, target: int | None = None) -> bool:
        """Return whether a fault of a kind befalls a target, or any, now."""
        return any(
            fault.kind is kind and target in (None, fault.target)
            for fault in self._active_faults
        )

    def _is_entry_removed(self, worker: ProtocolWorker) -> bool:
        target = list(self.workers.workers_by_id).index(worker.worker_id)
        kinds = (FaultKind.REMOVED_ENTRY, FaultKind.LONG_REMOVED_ENTRY)
        return any(self.is_active(kind, target) for kind in kinds)

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
        now = self._lease_confirmed_at = self.clock.seconds()
        ends_at = now + LEASE_TTL_S
        self.log(f"n{index + 1} begins term {self._term}")
        self._began_at_by_term[self._term] = now
        seen_at = tuple(
            (term, began_at + NEWS_DELAY_S)
            for term, began_at in self._began_at_by_term.items()
            if began_at + NEWS_DELAY_S <= now
        )
        self._tell(index, BeginTerm(self._term, revision, ends_at, now, seen_at))
        if self.has_intake:
            known = CoordinatorKnown(node_name(index), node_address(index), self._term)
            self.nodes[index].system.tell(INTAKE, known)
            for other, node in enumerate(self.nodes):
                if other != index:
                    self.clock.callLater(NEWS_DELAY_S, node.system.tell, INTAKE, known)

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

    def _unix_time(self) -> float:
        return UNIX_TIME_S + self.clock.seconds()

    def _ask_intake(self, index: int, message: Any) -> Deferred:
        return self.nodes[index].system.ask(INTAKE, message)

    def _submit(self, job: Job) -> None:
        workflow = job.workflow(self._unix_time())
        document = records.encode_workflow(workflow).decode()
        self.log(f"{job.workflow_id} is submitted: {job.describe()}")
        self.contents.put(INTAKE_PREFIX + job.workflow_id, document)
        self._announce(WorkflowStored(job.workflow_id, document))
        if job.cancel_after_s is not None:
            self.clock.callLater(job.cancel_after_s, self._cancel, job.workflow_id)

    def _cancel(self, workflow_id: str) -> None:
        self.log(f"{workflow_id} is cancelled")
        now = self.clock.seconds()
        self._cancellations.append(Cancellation(workflow_id, now))
        self.contents.put(INTAKE_PREFIX + workflow_id + CANCEL_SUFFIX, str(now))
        self._announce(CancelStored(workflow_id))

    def _announce(self, message: Announcement) -> None:
        if self._leader is not None:
            self.announcements.send(self._leader, message)

    # The store.

    def set_store_down(self, index: int, down: bool) -> None:
        """Let the store stop or begin to answer a node."""
        node = self.nodes[index]
        if down and not node.store.down:
            node.store_down_since = self.clock.seconds()
        node.store.down = down
        if self.has_intake:
            self.clock.callLater(NEWS_DELAY_S, self._tell_store_availability, node)

    def _tell_store_availability(self, node: Node) -> None:
        node.system.tell(INTAKE, StoreAvailability(not node.store.down))

    def _notify_watches(self) -> None:
        for node in self.nodes:
            is_behind = node.notified_revision < self.contents.revision
            if is_behind and not (node.store.down or node.store.watches_hang):
                node.notified_revision = self.contents.revision
                node.store.notify()

    def _note_recorded_ends(self) -> None:
        for change in self.contents.history[self._seen_changes :]:
            if change.key.startswith(PROGRESS_PREFIX) and change.value is not None:
                workflow_id = self._generations.id_at(
                    change.key.removeprefix(PROGRESS_PREFIX), self.clock.seconds()
                )
                state = WorkflowState(json.loads(change.value)["state"])
                if state in FINAL_STATES and workflow_id not in self._ended_by_id:
                    self.log(f"{workflow_id} is recorded as {state}")
                    self._ended_by_id[workflow_id] = (state, self.clock.seconds())
        self._seen_changes = len(self.contents.history)

    def _history(self) -> History:
        unended = (WorkflowState.RUNNING, None)
        workers = self.workers.workers_by_id.values()
        history = History(
            tuple(self.workers.intervals()),
            tuple(end for worker in workers for end in worker.acknowledged),
            tuple(stop for worker in workers for stop in worker.stops),
            (*self._cancellations, *self._clients.cancellations),
            tuple(
                JobOutcome(
                    job.workflow_id,
                    job.at_s,
                    *self._ended_by_id.get(job.workflow_id, unended),
                    job.payload,
                    job.tasks_by_step,
                    job.gang,
                    job.demand,
                    job.run_s,
                )
                for job in self._schedule.jobs
            ),
            tuple(self._events),
            submissions=tuple(self._clients.submissions_by_id.values()),
            cancelled_ids=tuple(self._clients.cancelled_ids),
            early_runs=tuple(self._runs.early),
            disruptions=find_disruptions(
                self._schedule,
                self._leads,
                DEPOSED_AFTER_S,
                workers,
                [node.store for node in self.nodes],
            ),
            ended_at=self.clock.seconds(),
            starts=tuple(start for worker in workers for start in worker.starts),
            checkpoints=tuple(
                produced
                for worker in workers
                for produced in worker.checkpoints.values()
            ),
            worker_ids=tuple(self.workers.workers_by_id),
        )
        return self._generations.rename(history)


def play_schedule(schedule: Schedule) -> History:
    """Play a schedule in a new cluster and return its history."""
    return Cluster(schedule).play()

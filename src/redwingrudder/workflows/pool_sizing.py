"""Sizes of worker pools: which machines leave standby, and which return."""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from ..statecharts import load_chart
from .machines import Machine, MachineState
from .model import NO_RESOURCES, Resources
from .placement import stop_cost
from .planner import ready_stages, waiting_tasks
from .room import count_fitting
from .state import Worker, WorkflowProgress, resources_used

MOVE_CHART = load_chart(
    "machine_move",
    frozenset({"needed", "recorded", "accepted", "refused", "arrived", "gone"}),
    frozenset(),
)
# A pool gets more machines once work has waited for capacity this long.
SHORTAGE_DELAY_S = 0.4
# A pool keeps the capacity that it needed within this time.
PEAK_WINDOW_S = 20.0
# Machines that a pool keeps beyond its need, so that the next job does not
# wait for a machine to start.
SPARE_MACHINES = 1


class PoolRoles(NamedTuple):
    """What the operators' configuration says about the pools.

    Attributes:
        serving: Pools that run work.
        standby: Pools whose machines are off and cost nothing.
        guaranteed_by_pool: Accelerators that a pool must always have, for the
            guarantees of its organisations.
    """

    serving: frozenset[str]
    standby: frozenset[str]
    guaranteed_by_pool: dict[str, int]

    def guaranteed(self, pool: str) -> Resources:
        """Return the capacity that a pool must always have."""
        return Resources(accelerators=self.guaranteed_by_pool.get(pool, 0))

    def allows_move(self, source: str, target: str) -> bool:
        """Return whether machines move between two pools in this direction."""
        spares = source in self.serving and target in self.standby
        return spares or (source in self.standby and target in self.serving)


NO_POOLS = PoolRoles(frozenset(), frozenset(), {})


class PoolNeed(NamedTuple):
    """Capacity that the work of a pool holds and lacks.

    Attributes:
        used: Capacity that runs hold.
        lacking: Capacity that waiting tasks need beyond what is idle.
        labels: Worker labels that steps with such tasks require.
    """

    used: Resources = NO_RESOURCES
    lacking: Resources = NO_RESOURCES
    labels: frozenset[str] = frozenset()

    @property
    def total(self) -> Resources:
        """Capacity with which all of the work would run."""
        return self.used.plus(self.lacking)


class MachineMove:
    """Move of a machine into another pool.

    Attributes:
        machine_id: Id of the machine.
        target: Pool that the machine joins.
        worker_id: Last known worker on the machine before the move, "" if
            none ran.
        state: State in ``MOVE_CHART``.
    """

    def __init__(self, machine: Machine, target: str) -> None:
        self.machine_id = machine.machine_id
        self.target = target
        self.worker_id = machine.worker_id
        self.state = MOVE_CHART.initial

    def step(self, event: str) -> None:
        """Apply an event of the chart."""
        self.state = MOVE_CHART.step(self.state, event).target

    @property
    def ended(self) -> bool:
        """Whether the machine has moved or will not move."""
        return self.state in MOVE_CHART.final_states

    def observe(self, machine: Machine | None) -> None:
        """Update the move from the listed machine, None if it is missing."""
        if machine is None:
            self.step("gone")
        elif machine.pool != self.target:
            # The worker may have been replaced since the machine was chosen.
            self.worker_id = machine.worker_id or self.worker_id
        elif machine.state is not MachineState.CHANGING:
            self.step("arrived")


class PoolSizing:
    """Decides when pools need machines from standby and when they spare some.

    Needs are sampled. A shortage has to last, and a machine is spared only if
    the pool has not needed it for some time, which keeps machines from moving
    back and forth.
    """

    def __init__(self) -> None:
        self._samples_by_pool: dict[str, deque[tuple[float, Resources]]] = {}
        self._needs_by_pool: dict[str, PoolNeed] = {}
        self._lacking_since_by_pool: dict[str, float] = {}
        self._first_sample_at = math.inf
        self._refused: set[tuple[str, str]] = set()

    def sample(self, needs_by_pool: dict[str, PoolNeed], now: float) -> None:
        """Record the present needs; ``now`` is in node-clock seconds."""
        self._first_sample_at = min(self._first_sample_at, now)
        self._needs_by_pool = needs_by_pool
        for pool, need in needs_by_pool.items():
            samples = self._samples_by_pool.setdefault(pool, deque())
            samples.append((now, need.total))
            while samples[0][0] < now - PEAK_WINDOW_S:
                samples.popleft()
        self._lacking_since_by_pool = {
            pool: self._lacking_since_by_pool.get(pool, now)
            for pool, need in needs_by_pool.items()
            if need.lacking != NO_RESOURCES
        }

    def refuse(self, move: MachineMove) -> None:
        """Record that the platform does not accept a machine for a pool."""
        self._refused.add((move.machine_id, move.target))

    def is_short(self, pool: str, now: float) -> bool:
        """Return whether work of a pool has lacked capacity for too long."""
        since = self._lacking_since_by_pool.get(pool, math.inf)
        return now - since >= SHORTAGE_DELAY_S

    def choose(
        self,
        roles: PoolRoles,
        machines: Iterable[Machine],
        workers_by_id: dict[str, Worker],
        moves_by_machine: dict[str, MachineMove],
        now: float,
    ) -> list[MachineMove]:
        """Choose machines to move.

        Args:
            roles: The pools.
            machines: Machines that the platform lists.
            workers_by_id: All workers.
            moves_by_machine: Moves that have not ended, by machine id.
            now: Node-clock seconds.

        Returns:
            New moves in state "emptying".
        """
        listed = list(machines)
        staying = [m for m in listed if m.machine_id not in moves_by_machine]
        # Machines on standby are off, so they may be listed as down.
        on_standby = [
            m
            for m in staying
            if m.pool in roles.standby and m.state is not MachineState.CHANGING
        ]
        moves: list[MachineMove] = []
        for pool in sorted(roles.serving):
            members = [
                m
                for m in staying
                if m.pool == pool and m.state is not MachineState.DOWN
            ]
            arriving = [
                m
                for m in listed
                if m.machine_id in moves_by_machine
                and moves_by_machine[m.machine_id].target == pool
            ]
            missing = self._missing(pool, members, arriving, roles, now)
            if missing != NO_RESOURCES:
                for machine in self._take(pool, members, on_standby, missing):
                    on_standby.remove(machine)
                    moves.append(MachineMove(machine, pool))
            elif roles.standby:
                moves += self._spare(pool, members, roles, workers_by_id, now)
        return moves

    def _missing(
        self,
        pool: str,
        members: list[Machine],
        arriving: list[Machine],
        roles: PoolRoles,
        now: float,
    ) -> Resources:
        """Return what a pool lacks for its work and for its guarantees."""
        capacity = _total(members).plus(_total(arriving))
        missing = roles.guaranteed(pool).minus(capacity)
        if self.is_short(pool, now):
            lacking = self._needs_by_pool[pool].lacking
            missing = _maximum(missing, lacking.minus(_total(arriving)))
        return _maximum(missing, NO_RESOURCES)

    def _take(
        self,
        pool: str,
        members: list[Machine],
        on_standby: list[Machine],
        missing: Resources,
    ) -> list[Machine]:
        """Choose machines on standby that cover what a pool lacks."""
        kinds = {m.kind for m in members}
        labels = self._needs_by_pool.get(pool, PoolNeed()).labels
        usable = [
            m
            for m in on_standby
            if (not kinds or m.kind in kinds or m.labels & labels)
            and (m.machine_id, pool) not in self._refused
        ]
        usable.sort(key=lambda m: (not labels <= m.labels, m.machine_id))
        taken: list[Machine] = []
        for machine in usable:
            if _total(taken).covers(missing):
                break
            taken.append(machine)
        return taken

    def _spare(
        self,
        pool: str,
        members: list[Machine],
        roles: PoolRoles,
        workers_by_id: dict[str, Worker],
        now: float,
    ) -> list[MachineMove]:
        """Choose machines that a pool does not need, the cheapest first."""
        if now - self._first_sample_at < PEAK_WINDOW_S:
            return []
        peak = roles.guaranteed(pool)
        for _, total in self._samples_by_pool.get(pool, ()):
            peak = _maximum(peak, total)
        kept = _total(members)
        target = min(roles.standby)
        candidates = [
            (m, workers_by_id[m.worker_id])
            for m in members
            if m.state is MachineState.UP
            and m.worker_id in workers_by_id
            and (m.machine_id, target) not in self._refused
        ]
        candidates.sort(key=lambda pair: _emptying_cost(pair[1], now))
        moves = []
        for machine, worker in candidates:
            rest = kept.minus(machine.capacity)
            spare = Resources(*(SPARE_MACHINES * x for x in machine.capacity))
            if not rest.covers(peak.plus(spare)):
                break
            if _ends_by_itself(worker):
                kept = rest
                moves.append(MachineMove(machine, target))
        return moves


def pool_needs(
    active: list[WorkflowProgress],
    workers: Iterable[Worker],
    machine_sizes: Iterable[Resources],
    now: float,
    wall: float,
) -> dict[str, PoolNeed]:
    """Return what the work of each pool holds and lacks.

    Args:
        active: Workflows that have not ended.
        workers: All workers.
        machine_sizes: Capacities of all machines. A step that fits into none
            of them, or whose gang does not fit into all together, lacks
            nothing that more machines would give.
        now: Node-clock seconds.
        wall: Unix seconds; occurrences that are due later need nothing yet.
    """
    needs: dict[str, PoolNeed] = {}
    idle_by_pool: dict[str, list[Worker]] = {}
    for worker in workers:
        pool = worker.facts.pool
        need = needs.get(pool, PoolNeed())
        needs[pool] = need._replace(used=need.used.plus(worker.used))
        if worker.usable(now):
            idle_by_pool.setdefault(pool, []).append(worker)
    sizes = list(machine_sizes)
    for stage in ready_stages(active, now, wall):
        pool = stage.workflow.policy.pool
        demand = resources_used(stage.spec)
        count = len(waiting_tasks(stage))
        room = sum(count_fitting(size, demand, count) for size in sizes)
        if not room or (stage.spec.gang and room < count):
            continue
        label = stage.spec.worker_label
        fitting = sum(
            count_fitting(worker.idle, demand, count)
            for worker in idle_by_pool.get(pool, ())
            if not label or label in worker.facts.labels
        )
        lacking = max(count - fitting, 0)
        if lacking:
            need = needs.get(pool, PoolNeed())
            needs[pool] = PoolNeed(
                need.used,
                need.lacking.plus(Resources(*(lacking * x for x in demand))),
                need.labels | ({label} - {""}),
            )
    return needs


def _total(machines: Iterable[Machine]) -> Resources:
    total = NO_RESOURCES
    for machine in machines:
        total = total.plus(machine.capacity)
    return total


def _maximum(left: Resources, right: Resources) -> Resources:
    return Resources(*map(max, left, right))


def _ends_by_itself(worker: Worker) -> bool:
    """Return whether a worker can be emptied without stopping a run."""
    return (
        not worker.emptying
        and not worker.facts.draining
        and not any(task.stage.spec.service for task in worker.tasks_by_key.values())
    )


def _emptying_cost(worker: Worker, now: float) -> tuple[float, str]:
    cost = math.fsum(stop_cost(task, now) for task in worker.tasks_by_key.values())
    return cost, worker.facts.worker_id

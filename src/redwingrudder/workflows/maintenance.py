"""Which machines of a maintenance wave are emptied and taken down next."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from ..statecharts import load_chart
from .placement import remaining_run_s, stop_cost
from .run_times import RunTimeEstimates
from .state import Task, Worker

UPKEEP_CHART = load_chart(
    "machine_upkeep",
    frozenset({"chosen", "emptied", "accepted", "rejected", "returned", "gone"}),
    frozenset(),
)
# Machines that count against the wave's limit.
BUSY_STATES = frozenset({"emptying", "ordered", "down"})
# Share of a machine's part of the wave's time in which its runs may end.
EMPTYING_SHARE = 0.4


class MachineState(enum.StrEnum):
    """What the platform says of a machine."""

    UP = "up"
    CHANGING = "changing"
    DOWN = "down"


class Machine(NamedTuple):
    """A machine of the fleet; ``worker_id`` names its present worker."""

    machine_id: str
    state: MachineState
    worker_id: str


class MaintenanceWave(NamedTuple):
    """Machines that are to be taken down for upkeep.

    Attributes:
        wave_id: Number of the wave.
        machine_ids: Its machines.
        limit: Machines that may be down for it at a time.
        duration_s: Time for the whole wave.
    """

    wave_id: int
    machine_ids: tuple[str, ...]
    limit: int
    duration_s: float


class MachineUpkeep:
    """How far one machine of a wave has come.

    Attributes:
        worker_id: Its worker when it was chosen.
        empty_by: Steady-clock seconds until which runs may end on it.
    """

    def __init__(self, machine_id: str) -> None:
        self.machine_id = machine_id
        self.state = UPKEEP_CHART.initial
        self.worker_id = ""
        self.empty_by = 0.0

    def step(self, event: str) -> bool:
        """Take a transition; returns whether the state changed."""
        target = UPKEEP_CHART.step(self.state, event).target
        changed, self.state = target != self.state, target
        return changed

    @property
    def ended(self) -> bool:
        """Whether nothing is left to do."""
        return self.state in UPKEEP_CHART.final_states


class WaveProgress:
    """A wave and the upkeep of its machines."""

    def __init__(self, wave: MaintenanceWave) -> None:
        self.wave = wave
        self.machines_by_id = {name: MachineUpkeep(name) for name in wave.machine_ids}

    @property
    def done(self) -> bool:
        """Whether every machine that stays has had its upkeep."""
        return all(machine.ended for machine in self.machines_by_id.values())

    def in_state(self, *states: str) -> list[MachineUpkeep]:
        """Return the machines that are in one of some states."""
        return [m for m in self.machines_by_id.values() if m.state in states]

    def observe(self, listed: Iterable[Machine]) -> None:
        """Take over the platform's list of machines."""
        by_id = {machine.machine_id: machine for machine in listed}
        for upkeep in self.machines_by_id.values():
            if upkeep.ended:
                continue
            machine = by_id.get(upkeep.machine_id)
            if machine is None:
                upkeep.step("gone")
            elif (
                machine.state is MachineState.UP
                and upkeep.worker_id
                and machine.worker_id != upkeep.worker_id
            ):
                upkeep.step("returned")

    def choose(
        self,
        listed: Iterable[Machine],
        workers_by_id: dict[str, Worker],
        now: float,
    ) -> list[MachineUpkeep]:
        """Begin to empty as many machines as the limit leaves.

        Those whose runs are the cheapest to stop come first. A machine that
        is not up has no worker to empty and is chosen later.
        """
        free = self.wave.limit - len(self.in_state(*BUSY_STATES))
        by_id = {machine.machine_id: machine for machine in listed}
        ready = []
        for upkeep in self.in_state("waiting"):
            machine = by_id.get(upkeep.machine_id)
            if machine is not None and machine.state is MachineState.UP:
                ready.append((upkeep, machine.worker_id))
        ready.sort(key=lambda pair: _cost(workers_by_id.get(pair[1]), now))
        chosen = []
        for upkeep, worker_id in ready[: max(free, 0)]:
            upkeep.worker_id = worker_id
            upkeep.empty_by = now + self._emptying_s()
            upkeep.step("chosen")
            chosen.append(upkeep)
        return chosen

    def _emptying_s(self) -> float:
        rounds = -(-len(self.wave.machine_ids) // max(self.wave.limit, 1))
        return EMPTYING_SHARE * self.wave.duration_s / max(rounds, 1)


def runs_to_stop(
    worker: Worker, empty_by: float, run_times: RunTimeEstimates, now: float
) -> list[Task]:
    """Return the runs to stop on a worker that is being emptied.

    Runs that end in time are left alone. Of the tasks of a service only as
    many are taken away as its bound on unavailable tasks allows.
    """
    stopped: list[Task] = []
    for task in worker.tasks_by_key.values():
        if task.state != "running":
            continue
        spec = task.stage.spec
        if spec.service and spec.unavailable_limit:
            away = sum(not _at_work(other) for other in task.stage.tasks)
            taken = sum(other.stage is task.stage for other in stopped)
            if away + taken < spec.unavailable_limit:
                stopped.append(task)
        elif spec.service or now + remaining_run_s(task, run_times, now) > empty_by:
            stopped.append(task)
    return stopped


def _at_work(task: Task) -> bool:
    return task.state == "running" and task.percent >= 100


def _cost(worker: Worker | None, now: float) -> float:
    if worker is None:
        return 0.0
    return sum(stop_cost(task, now) for task in worker.tasks_by_key.values())

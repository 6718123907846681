"""Maintenance waves: which machines are emptied and taken down next."""

from collections.abc import Iterable
from typing import NamedTuple

from ..statecharts import load_chart
from .machines import Machine, MachineState
from .placement import remaining_run_s, stop_cost
from .run_times import COMPLETE_PERCENT, RunTimeEstimates
from .state import Task, Worker

UPKEEP_CHART = load_chart(
    "machine_upkeep",
    frozenset(
        {
            "chosen",
            "emptied",
            "restored",
            "restored_accepted",
            "unanswered",
            "accepted",
            "rejected",
            "up",
            "replaced",
            "gone",
        }
    ),
    frozenset(),
)
# States in which a machine counts against the wave's limit.
BUSY_STATES = frozenset({"emptying", "ordered", "unconfirmed", "down"})
# States in which the order to take a machine down is sent.
ORDERED_STATES = frozenset({"ordered", "unconfirmed"})
# States after an order that the machine service has accepted.
ACCEPTED_STATES = frozenset({"down", "done"})
# A wave's time is divided evenly among its batches of machines. This share of
# a batch's time is given to the runs on a machine to end by themselves.
EMPTYING_TIME_SHARE = 0.4


class MaintenanceWave(NamedTuple):
    """A set of machines to take down for upkeep.

    Attributes:
        wave_id: Number of the wave.
        machine_ids: Machines that need upkeep.
        limit: Largest number of these machines that may be emptied or down at
            the same time.
        duration_s: Seconds available for the whole wave.
    """

    wave_id: int
    machine_ids: tuple[str, ...]
    limit: int
    duration_s: float


class MachineUpkeep:
    """Upkeep state of one machine of a wave.

    Attributes:
        machine_id: Id of the machine.
        state: State in ``UPKEEP_CHART``.
        worker_id: Worker that is emptied before the order, "" before the
            machine is chosen.
        empty_by: Node-clock seconds until which runs may end by themselves.
    """

    def __init__(self, machine_id: str) -> None:
        self.machine_id = machine_id
        self.state = UPKEEP_CHART.initial
        self.worker_id = ""
        self.empty_by = 0.0

    def step(self, event: str) -> bool:
        """Apply an event of the chart; return whether the state changed."""
        target = UPKEEP_CHART.step(self.state, event).target
        changed, self.state = target != self.state, target
        return changed

    @property
    def ended(self) -> bool:
        """Whether the machine is in a final state."""
        return self.state in UPKEEP_CHART.final_states


class WaveProgress:
    """A maintenance wave and the upkeep state of each of its machines."""

    def __init__(self, wave: MaintenanceWave) -> None:
        self.wave = wave
        self.machines_by_id = {name: MachineUpkeep(name) for name in wave.machine_ids}

    @property
    def done(self) -> bool:
        """Whether each machine has had its upkeep or has left the platform."""
        return all(machine.ended for machine in self.machines_by_id.values())

    def in_state(self, *states: str) -> list[MachineUpkeep]:
        """Return the machines that are in any of the given states."""
        return [m for m in self.machines_by_id.values() if m.state in states]

    def observe(self, listed: Iterable[Machine]) -> list[MachineUpkeep]:
        """Update the machines from the platform's list.

        A machine that is missing from the list is gone. One that is up has had
        its upkeep if an order was accepted before the list was requested.
        Otherwise another worker on it has to be emptied too.

        Returns:
            The machines whose state or worker has changed.
        """
        by_id = {machine.machine_id: machine for machine in listed}
        changed = []
        for upkeep in self.machines_by_id.values():
            if upkeep.ended:
                continue
            machine = by_id.get(upkeep.machine_id)
            if machine is None:
                is_changed = upkeep.step("gone")
            elif machine.state is not MachineState.UP:
                continue
            elif machine.worker_id == upkeep.worker_id:
                is_changed = upkeep.step("up")
            else:
                is_changed = upkeep.step("replaced")
                if upkeep.state == "unconfirmed":
                    upkeep.worker_id = machine.worker_id
                    is_changed = True
            if is_changed:
                changed.append(upkeep)
        return changed

    def choose(
        self,
        listed: Iterable[Machine],
        workers_by_id: dict[str, Worker],
        now: float,
    ) -> list[MachineUpkeep]:
        """Choose machines to empty next, as many as the limit allows.

        The machines whose runs are cheapest to stop come first. A machine
        that is not up has no worker to empty, so it is chosen later.

        Args:
            listed: Machines that the platform lists.
            workers_by_id: All workers.
            now: Node-clock seconds.

        Returns:
            The machines that were chosen, now in state "emptying".
        """
        free = self.wave.limit - len(self.in_state(*BUSY_STATES))
        by_id = {machine.machine_id: machine for machine in listed}
        ready = []
        for upkeep in self.in_state("waiting"):
            machine = by_id.get(upkeep.machine_id)
            if machine is not None and machine.state is MachineState.UP:
                ready.append((upkeep, machine.worker_id))
        ready.sort(key=lambda pair: _total_stop_cost(workers_by_id.get(pair[1]), now))
        chosen = []
        for upkeep, worker_id in ready[: max(free, 0)]:
            upkeep.worker_id = worker_id
            upkeep.empty_by = now + self.emptying_s
            upkeep.step("chosen")
            chosen.append(upkeep)
        return chosen

    @property
    def emptying_s(self) -> float:
        """Seconds for which the runs on a machine may end by themselves."""
        batches = -(-len(self.wave.machine_ids) // max(self.wave.limit, 1))
        return EMPTYING_TIME_SHARE * self.wave.duration_s / max(batches, 1)


def runs_to_stop(
    worker: Worker,
    workers_by_id: dict[str, Worker],
    empty_by: float,
    run_times: RunTimeEstimates,
    now: float,
) -> list[Task]:
    """Return the runs to stop on a worker that is being emptied.

    Runs that are expected to end in time are not stopped. For a service with
    a limit on unavailable tasks, only as many runs are stopped as it allows;
    runs of other services are always stopped.

    Args:
        worker: The worker.
        workers_by_id: All workers.
        empty_by: Node-clock seconds until which runs may end by themselves.
        run_times: Expected run times.
        now: Node-clock seconds.
    """
    stopped: list[Task] = []
    for task in worker.tasks_by_key.values():
        if task.state != "running":
            continue
        spec = task.stage.spec
        if spec.service and spec.unavailable_limit:
            unavailable = sum(
                not _is_serving(other, workers_by_id) for other in task.stage.tasks
            )
            already_chosen = sum(other.stage is task.stage for other in stopped)
            if unavailable + already_chosen < spec.unavailable_limit:
                stopped.append(task)
        elif spec.service or now + remaining_run_s(task, run_times, now) > empty_by:
            stopped.append(task)
    return stopped


def _is_serving(task: Task, workers_by_id: dict[str, Worker]) -> bool:
    """Return whether a task of a service is at work.

    It reports 100 percent while it serves requests. What a worker has reported
    says nothing once it is silent or has no registry entry.
    """
    worker = workers_by_id.get(task.worker_id)
    is_known = worker is not None and worker.reachable and worker.listed
    return is_known and task.state == "running" and task.percent >= COMPLETE_PERCENT


def _total_stop_cost(worker: Worker | None, now: float) -> float:
    if worker is None:
        return 0.0
    return sum(stop_cost(task, now) for task in worker.tasks_by_key.values())

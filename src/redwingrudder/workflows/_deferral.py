"""How long a step may wait for better room while it has room.

A step waits beside idle capacity if that is reserved for other steps, or if
its tasks would run slower there: away from their data, in several racks or on
slow workers. What it waits for may be hours away or never come, so all these
waits have one limit, which is independent of estimates.
"""

import enum
import math
from collections.abc import Iterable
from typing import NamedTuple

from .model import NO_RESOURCES, Resources
from .state import Stage, Task, Worker, WorkflowProgress, resources_used

# Time for which a step may wait for better room. The users' limit is 3 s; the
# rest is for the interval between planning passes and the delay of a start.
MAX_DEFERRAL_S = 1.5
# Share of a pool in use from which on steps wait without a limit. The users'
# limit is a half; runs that have just ended still count as capacity in use.
UNLIMITED_SHARE = 0.55


class DeferralEnd(enum.StrEnum):
    """What a step uses whose wait for better room has ended.

    RESERVED: Capacity that is reserved for other steps.
    SLOWER: Capacity on which its tasks run slower.
    """

    RESERVED = "reserved"
    SLOWER = "slower"


class Deferral(NamedTuple):
    """A step that waits for better room.

    Attributes:
        stage: The step.
        tasks: Its tasks that may start.
        workers: Workers on which they may start once the wait ends.
        end: What they use then.
    """

    stage: Stage
    tasks: list[Task]
    workers: list[Worker]
    end: DeferralEnd


class PoolUsage:
    """Capacity of a pool and the part that runs and planned starts use."""

    def __init__(self) -> None:
        self._capacity = NO_RESOURCES
        self._used = NO_RESOURCES

    def add_worker(self, worker: Worker) -> None:
        """Add the capacity of a worker and of its runs."""
        self._capacity = self._capacity.plus(worker.facts.capacity)
        self._used = self._used.plus(worker.used)

    def add_start(self, demand: Resources) -> None:
        """Add a planned start."""
        self._used = self._used.plus(demand)

    @property
    def is_mostly_idle(self) -> bool:
        """Whether steps may wait beside idle capacity for a limited time only.

        A pool is in use if one kind of resource is: steps that wait need
        several kinds.
        """
        return all(used < limit for used, limit in self._kinds())

    def count_startable(self, demand: Resources, wanted: int) -> int:
        """Return how many tasks may start until the pool is mostly in use.

        Args:
            demand: Resources that each task uses.
            wanted: Upper bound of the result.
        """
        for (used, limit), amount in zip(self._kinds(), demand, strict=True):
            if used >= limit:
                return 0
            if amount:
                wanted = min(wanted, math.ceil((limit - used) / amount))
        return wanted

    def _kinds(self) -> list[tuple[float, float]]:
        """Return the amount in use and the limit of each kind of resource."""
        return [
            (used, UNLIMITED_SHARE * capacity)
            for used, capacity in zip(self._used, self._capacity, strict=True)
        ]


class DeferralLimit:
    """Limits the waits of steps for better room, within one planning pass.

    The wait of a step is limited while its job has nothing running and its
    pool is mostly idle. That of a service is limited in any case, as each of
    its tasks has to be at work.

    A pool whose first step has waited for ``MAX_DEFERRAL_S`` gives up its
    reservations for all steps that wait at that moment. The next steps wait
    anew, so that short runs of a steady flow end together in between, and the
    reservations can be used. A step that also waits for advice, or a service,
    uses reservations alone.

    Args:
        workers: All workers.
        now: Node-clock seconds.
    """

    def __init__(self, workers: Iterable[Worker], now: float) -> None:
        self._now = now
        self._usage_by_pool: dict[str, PoolUsage] = {}
        for worker in workers:
            facts = worker.facts
            if worker.listed and not facts.draining and not worker.emptying:
                self._usage(facts.pool).add_worker(worker)
        self._at_work_by_id: dict[str, bool] = {}

    def add_start(self, stage: Stage) -> None:
        """Count a planned start of a task."""
        usage = self._usage(_pool(stage))
        usage.add_start(resources_used(stage.spec))
        self._at_work_by_id[stage.workflow.workflow.workflow_id] = True

    def applies(self, stage: Stage) -> bool:
        """Return whether the wait of a step is limited now."""
        if stage.spec.service:
            return True
        usage = self._usage(_pool(stage))
        return usage.is_mostly_idle and not self._is_at_work(stage.workflow)

    def is_overdue(self, stage: Stage) -> bool:
        """Return whether a step has waited for as long as it may."""
        return self._now >= deferral_ends_at(stage)

    def ended(self, deferrals: Iterable[Deferral]) -> list[Deferral]:
        """Return the waits that end now.

        Args:
            deferrals: The waits of all steps.
        """
        released_pools = {
            _pool(deferral.stage)
            for deferral in deferrals
            if _shares_release(deferral)
            and self.is_overdue(deferral.stage)
            and deferral.stage.advice.waits_since is None
        }
        return [
            deferral
            for deferral in deferrals
            if self.is_overdue(deferral.stage)
            or (_shares_release(deferral) and _pool(deferral.stage) in released_pools)
        ]

    def count_startable(self, stage: Stage, wanted: int) -> int:
        """Return how many tasks of a step may use reserved capacity.

        Args:
            stage: The step, which is not a gang.
            wanted: Upper bound of the result.
        """
        if stage.spec.service:
            return wanted
        usage = self._usage(_pool(stage))
        return usage.count_startable(resources_used(stage.spec), wanted)

    def _usage(self, pool: str) -> PoolUsage:
        return self._usage_by_pool.setdefault(pool, PoolUsage())

    def _is_at_work(self, progress: WorkflowProgress) -> bool:
        job_id = progress.workflow.workflow_id
        if job_id not in self._at_work_by_id:
            at_work = any(task.placed for task in progress.tasks())
            self._at_work_by_id[job_id] = at_work
        return self._at_work_by_id[job_id]


def _shares_release(deferral: Deferral) -> bool:
    """Return whether a step uses reservations together with others."""
    return deferral.end is DeferralEnd.RESERVED and not deferral.stage.spec.service


def _pool(stage: Stage) -> str:
    return stage.workflow.policy.pool


def deferral_ends_at(stage: Stage) -> float:
    """Return when the wait of a step for better room ends at the latest.

    Returns:
        Node-clock seconds, infinite if the wait is not limited at present.
    """
    if stage.deferred_since is None:
        return math.inf
    return stage.deferred_since + MAX_DEFERRAL_S

"""Standing assignment of guaranteed shapes to accelerators (cells)."""

from .fleet import Fleet
from .model import CellAssignment, Configuration, GuaranteeShortage, JobSpec, WorkerInfo


class GuaranteeBook:
    """The cells of one failure domain, kept disjoint and reclaimable."""

    shortages: tuple[GuaranteeShortage, ...] = ()

    def assign(
        self,
        configuration: Configuration,
        failure_domain: str,
        fleet: Fleet,
        now: float,
    ) -> None:
        """Recompute the cells after a change of configuration or fleet."""
        raise NotImplementedError

    def usable_accelerators(self, spec: JobSpec, worker_id: str) -> tuple[int, ...]:
        """Return the free accelerators that a job may use on a worker."""
        raise NotImplementedError

    def violations(self, fleet: Fleet) -> tuple[str, ...]:
        """Describe every cell that could not be reclaimed; empty if none."""
        raise NotImplementedError


def plan_cells(
    configuration: Configuration, workers: tuple[WorkerInfo, ...]
) -> tuple[CellAssignment, ...]:
    """Choose a failure domain for every copy of every guaranteed shape.

    Raises:
        UnprocessableError: ``guarantees_do_not_fit``.
    """
    raise NotImplementedError

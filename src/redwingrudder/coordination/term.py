"""What belongs to one term of the coordinator."""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..actors import ActorSystem
from ..workflows.engine import Engine
from .gateways import FleetGateways
from .maintenance import Maintenance
from .messages import BeginTerm
from .progress_writer import ProgressWriter
from .recorder import Recorder
from .retention import RecordRetention
from .worker_table import WorkerTable


class Term(NamedTuple):
    """The parts of one term; a later term gets all of them anew."""

    number: int
    engine: Engine
    recorder: Recorder
    workers: WorkerTable
    writer: ProgressWriter
    retention: RecordRetention
    maintenance: Maintenance | None

    def close(self) -> None:
        """Close the sessions and write and order nothing more."""
        self.writer.close()
        if self.maintenance is not None:
            self.maintenance.close()
        self.workers.close()


def open_term(
    system: ActorSystem,
    fleet: FleetGateways,
    message: BeginTerm,
    guaranteed_by_organisation: dict[str, int],
    deposed: Callable[[], Any],
) -> Term:
    """Return the parts of a term, without any state yet.

    Args:
        system: The node's actors.
        fleet: What the coordinator needs of the platform.
        message: The term.
        guaranteed_by_organisation: Accelerators for urgent work.
        deposed: Called when another term stands in the store.
    """
    engine = Engine()
    engine.term = message.term
    engine.guaranteed_by_organisation = guaranteed_by_organisation
    recorder = Recorder(system.ask, message.term, message.term_revision)
    workers = WorkerTable(system, engine, fleet.registry, fleet.channels, fleet.times)
    writer = ProgressWriter(system, engine, recorder, workers, deposed)
    retention = RecordRetention(system, engine, recorder, fleet.keep_ended_s)
    maintenance = None
    if fleet.upkeep is not None:
        maintenance = Maintenance(system, engine, recorder, *fleet.upkeep)
    return Term(message.term, engine, recorder, workers, writer, retention, maintenance)

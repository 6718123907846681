"""The objects that a coordinator creates for each of its terms."""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..actors import ActorSystem
from ..workflows.engine import Engine
from .authority import Authority
from .gateways import FleetGateways
from .maintenance import Maintenance
from .messages import BeginTerm
from .progress_writer import ProgressWriter
from .recorder import Recorder
from .retention import RecordRetention
from .worker_table import WorkerTable


class Term(NamedTuple):
    """Engine, sessions and writers of one term.

    Each term gets new objects, so no state is carried over from an earlier
    term of the same process. ``maintenance`` is None if the platform has no
    service that takes machines down.
    """

    number: int
    authority: Authority
    engine: Engine
    recorder: Recorder
    workers: WorkerTable
    writer: ProgressWriter
    retention: RecordRetention
    maintenance: Maintenance | None

    def close(self) -> None:
        """Stop writes and orders and close worker sessions."""
        self.authority.revoke()
        self.writer.close()
        if self.maintenance is not None:
            self.maintenance.close()
        self.workers.close()


def open_term(
    system: ActorSystem,
    gateways: FleetGateways,
    message: BeginTerm,
    guaranteed_by_organisation: dict[str, int],
    on_deposed: Callable[[], Any],
) -> Term:
    """Create the objects of a term, without any workflows or workers.

    Args:
        system: The node's actor system.
        gateways: Access to the platform.
        message: Number and store revision of the term, and the first end of
            its authority.
        guaranteed_by_organisation: Accelerators that are guaranteed to each
            organisation for urgent work.
        on_deposed: Called when the store holds the term of another
            coordinator.
    """
    engine = Engine()
    engine.term = message.term
    engine.guaranteed_by_organisation = guaranteed_by_organisation
    recorder = Recorder(system.ask, message.term, message.term_revision)
    authority = Authority(system.clock.seconds, message.authority_ends_at)
    workers = WorkerTable(
        system,
        engine,
        gateways.registry,
        gateways.channels,
        gateways.times,
        authority,
    )
    writer = ProgressWriter(system, engine, recorder, workers, on_deposed)
    retention = RecordRetention(system, engine, recorder, gateways.keep_ended_s)
    maintenance = None
    if gateways.upkeep is not None:
        maintenance = Maintenance(system, engine, recorder, *gateways.upkeep, authority)
    return Term(
        message.term,
        authority,
        engine,
        recorder,
        workers,
        writer,
        retention,
        maintenance,
    )

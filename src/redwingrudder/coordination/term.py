"""The objects that a coordinator creates for each of its terms."""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..actors import ActorSystem
from ..workflows.engine import Engine
from ..workflows.queue_policies import QueuePolicies
from ..workflows.run_times import RunTimeEstimates
from .authority import Authority
from .gateways import FleetGateways, OperatorConfiguration
from .maintenance import Maintenance
from .messages import BeginTerm
from .pool_moves import PoolMoves, pool_roles
from .progress_writer import ProgressWriter
from .recorder import Recorder
from .retention import RecordRetention
from .worker_session import longest_lease_timeout_s
from .worker_table import WorkerTable


class Term(NamedTuple):
    """Engine, sessions and writers of one term.

    Each term gets new objects, so no state is carried over from an earlier
    term of the same process. ``maintenance`` and ``pool_moves`` are None if
    the platform has no service for machines.
    """

    number: int
    authority: Authority
    engine: Engine
    recorder: Recorder
    workers: WorkerTable
    writer: ProgressWriter
    retention: RecordRetention
    maintenance: Maintenance | None
    pool_moves: PoolMoves | None

    def configure(self, configuration: OperatorConfiguration) -> None:
        """Follow a new configuration of the operators."""
        policies = QueuePolicies(
            configuration.version,
            {queue.name: queue.policy for queue in configuration.queues},
            {queue.name: queue.advice_times for queue in configuration.queues},
        )
        self.engine.configure(policies, configuration.guaranteed_by_organisation)
        queue_pools = {queue.policy.pool for queue in configuration.queues}
        self.workers.configure(configuration.pools | queue_pools)
        if self.pool_moves is not None:
            self.pool_moves.set_roles(pool_roles(configuration))

    def close(self) -> None:
        """Stop writes and orders and close worker sessions."""
        self.authority.revoke()
        self.writer.close()
        for duty in (self.maintenance, self.pool_moves):
            if duty is not None:
                duty.close()
        self.workers.close()


def open_term(
    system: ActorSystem,
    gateways: FleetGateways,
    message: BeginTerm,
    on_deposed: Callable[[], Any],
) -> Term:
    """Create the objects of a term, without any workflows or workers.

    Args:
        system: The node's actor system.
        gateways: Access to the platform.
        message: Number and store revision of the term, and the first end of
            its authority.
        on_deposed: Called when the store holds the term of another
            coordinator.
    """
    times = gateways.times
    run_times = RunTimeEstimates(times.stop_timeout_s, times.remote_factor)
    engine = Engine(run_times=run_times)
    engine.term = message.term
    engine.longest_lease_s = longest_lease_timeout_s(times.longest_lease_s)
    recorder = Recorder(
        system, message.term, message.term_revision, message.requested_at
    )
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
    maintenance = pool_moves = None
    if gateways.machines is not None:
        waves, *machines = gateways.machines
        maintenance = Maintenance(system, engine, recorder, waves, *machines, authority)
        pool_moves = PoolMoves(system, engine, recorder, *machines, authority)
    return Term(
        message.term,
        authority,
        engine,
        recorder,
        workers,
        writer,
        retention,
        maintenance,
        pool_moves,
    )

"""Collaborators that an ownership term receives from its dispatcher."""

from typing import NamedTuple

from ._job_observer import JobObserver
from ._worker_roster import RosterSettings
from ._worker_transport import WorkerTransport
from .actors import ActorSystem
from .scheduler import Scheduler


class OwnershipTermParts(NamedTuple):
    """Collaborators of an ownership term.

    Attributes:
        system: Actor system of the node.
        settings: Settings of the worker links.
        scheduler: Empty scheduler, used by this term only.
        transport: Sends commands to the workers.
        observer: Notified about jobs, for metrics.
    """

    system: ActorSystem
    settings: RosterSettings
    scheduler: Scheduler
    transport: WorkerTransport
    observer: JobObserver

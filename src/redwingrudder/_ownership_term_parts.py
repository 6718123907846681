"""What one period of ownership is built from."""

from typing import NamedTuple

from ._job_observer import JobObserver
from ._worker_roster import RosterSettings
from ._worker_transport import WorkerTransport
from .actors import ActorSystem
from .scheduler import Scheduler


class OwnershipTermParts(NamedTuple):
    """What an ownership term is built from."""

    system: ActorSystem
    settings: RosterSettings
    scheduler: Scheduler
    transport: WorkerTransport
    observer: JobObserver

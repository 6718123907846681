"""Messages between the dispatcher and its worker links."""

from typing import NamedTuple

from .messages import Event
from .model import Epoch


class LinkSettings(NamedTuple):
    """What a link is made for; ``number`` is never used twice."""

    number: int
    worker_id: str
    address: str
    node_id: str
    epoch: Epoch
    lease_s: float


class LinkEvent(NamedTuple):
    """Told to DISPATCHER: an event of the link with this number."""

    number: int
    event: Event


class ClaimHandled(NamedTuple):
    """Told to a link when its ``WorkerClaimed`` was handled.

    Commands that arrive before belong to an earlier claim and are dropped:
    the scheduler sent them before it knew that the worker was lost.
    """


class CloseLink(NamedTuple):
    """Ask of a link -> None when it has ended; the worker is left alone."""


def link_name(worker_id: str) -> str:
    """Return the name of the link actor of a worker."""
    return f"worker:{worker_id}"

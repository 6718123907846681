"""Messages between the dispatcher and its worker links."""

from typing import NamedTuple

from .messages import Event
from .model import Epoch


class LinkSettings(NamedTuple):
    """Settings of one link.

    Attributes:
        number: Identifies the link; unique within the process.
        worker_id: The worker that the link claims.
        address: The ``host:port`` of the worker's HTTP interface.
        node_id: The node that claims the worker.
        epoch: The fencing token of the node's ownership.
        lease_s: Duration of the worker lease in seconds.
    """

    number: int
    worker_id: str
    address: str
    node_id: str
    epoch: Epoch
    lease_s: float


class LinkEvent(NamedTuple):
    """Sent to DISPATCHER: an event from the link with this number."""

    number: int
    event: Event


class ClaimHandled(NamedTuple):
    """Sent to a link when the dispatcher has handled its ``WorkerClaimed``.

    A link drops the commands that arrive between the claim and this message:
    the scheduler sent them for an earlier claim, before it learned that the
    worker was lost.
    """


class CloseLink(NamedTuple):
    """Ask of a link -> None when it is closed; sends nothing to the worker."""


def link_name(worker_id: str) -> str:
    """Return the actor name of the link to a worker."""
    return f"worker:{worker_id}"

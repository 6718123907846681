"""Links of a domain's owner to its workers, one actor per worker."""

from ._worker_link import WorkerLink
from ._worker_messages import (
    CloseLink,
    LinkEvent,
    LinkSettings,
    link_name,
)
from ._worker_transport import HttpTransport, WorkerAnswer, WorkerTransport

__all__ = [
    "ClaimSeen",
    "CloseLink",
    "HttpTransport",
    "LinkEvent",
    "LinkSettings",
    "WorkerAnswer",
    "WorkerLink",
    "WorkerTransport",
    "link_name",
]

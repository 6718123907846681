"""Links between the owner of a failure domain and its workers.

There is one actor, a ``WorkerLink``, for each worker.
"""

from ._worker_link import WorkerLink
from ._worker_messages import (
    ClaimHandled,
    CloseLink,
    LinkEvent,
    LinkSettings,
    link_name,
)
from ._worker_transport import HttpTransport, WorkerResponse, WorkerTransport

__all__ = [
    "ClaimHandled",
    "CloseLink",
    "HttpTransport",
    "LinkEvent",
    "LinkSettings",
    "WorkerLink",
    "WorkerResponse",
    "WorkerTransport",
    "link_name",
]

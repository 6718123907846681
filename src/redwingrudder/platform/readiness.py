"""HTTP resource for the platform's readiness probe."""

from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Site


class ReadinessResource(Resource):
    """Answers 200 while the node accepts new clients, else 503.

    Args:
        is_ready: Returns whether the node accepts new clients.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self._is_ready = is_ready

    def render(self, request: Any) -> bytes:
        """See base class."""
        ready = self._is_ready()
        request.setResponseCode(200 if ready else 503)
        return b""


def readiness_site(is_ready: Callable[[], bool]) -> Site:
    """Return the site of the readiness address; requests are not logged."""
    site = Site(ReadinessResource(is_ready))
    site.noisy = False
    site.log = lambda request: None
    return site

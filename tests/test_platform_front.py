"""Tests of the HTTP front end of the platform."""

import unittest

from twisted.internet.task import Clock
from twisted.web.test.requesthelper import DummyRequest

from redwingrudder._problems import Response
from redwingrudder.actors import ActorSystem
from redwingrudder.coordination.metrics import (
    METRICS,
    IncrementCounter,
    ObserveDuration,
)
from redwingrudder.platform.front_end import FrontEnd

from .coordination_fakes import Recording, run_for


class FakeRequest(DummyRequest):
    """A request as the front end reads it; stores the response."""

    path = b"/queue/job"

    def __init__(self):
        super().__init__([b"queue", b"job"])
        self.response = None

    def header(self, name):
        return None

    def write_response(self, response: Response):
        self.response = response


class ConnectionTests(unittest.TestCase):
    def test_unavailable_node_closes_the_connection(self):
        """Guards against a client that keeps using an unavailable node.

        The client would retry on its persistent connection if the response
        with status 503 did not close it.
        """
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, ObserveDuration: None})
        front_end = FrontEnd(system, clock, ("127.0.0.1", 0))
        request = FakeRequest()
        front_end._respond(request)
        run_for(clock, 0.05)
        self.assertEqual(request.response.status, 503)
        header = request.responseHeaders.getRawHeaders(b"connection")
        self.assertEqual(header, [b"close"])


if __name__ == "__main__":
    unittest.main()

"""Tests of the answers to the platform's clients."""

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
    """Keeps the answer; has what the front end reads of a request."""

    path = b"/queue/job"

    def __init__(self):
        super().__init__([b"queue", b"job"])
        self.answer = None

    def header(self, name):
        return None

    def write_response(self, answer: Response):
        self.answer = answer


class ConnectionTests(unittest.TestCase):
    def test_unavailable_node_closes_the_connection(self):
        """Guards against a caller that retries at a node that is cut off."""
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, ObserveDuration: None})
        front = FrontEnd(system, clock, ("127.0.0.1", 0))
        request = FakeRequest()
        front._respond(request)
        run_for(clock, 0.05)
        self.assertEqual(request.answer.status, 503)
        header = request.responseHeaders.getRawHeaders(b"connection")
        self.assertEqual(header, [b"close"])


if __name__ == "__main__":
    unittest.main()

"""Tests of collecting the bodies of HTTP answers."""

import unittest

from twisted.internet.defer import CancelledError
from twisted.internet.testing import StringTransport
from twisted.web._newclient import TransportProxyProducer

from redwingrudder._http_body import BodyCollector


class BodyCollectorTests(unittest.TestCase):
    def setUp(self):
        # What the HTTP client gives to the reader of a body.
        self.transport = StringTransport()
        self.collector = BodyCollector(10)
        self.collector.makeConnection(TransportProxyProducer(self.transport))

    def test_cancelling_ends_a_stalled_answer(self):
        """A worker that stalls in a body must not stall its link."""
        outcomes = []
        self.collector.body.addErrback(outcomes.append)
        self.collector.body.cancel()
        self.assertIsNotNone(outcomes[0].check(CancelledError))
        self.assertTrue(self.transport.disconnecting)

    def test_body_above_the_limit_closes_the_connection(self):
        self.collector.dataReceived(b"x" * 10)
        self.assertFalse(self.transport.disconnecting)
        self.collector.dataReceived(b"x")
        self.assertTrue(self.transport.disconnecting)

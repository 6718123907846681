"""Tests of reading HTTP response bodies."""

import unittest

from twisted.internet.defer import CancelledError
from twisted.internet.testing import StringTransport
from twisted.web._newclient import TransportProxyProducer

from redwingrudder._http_body import BodyCollector


class BodyCollectorTests(unittest.TestCase):
    def setUp(self):
        # The HTTP client connects the body protocol to such a proxy.
        self.transport = StringTransport()
        self.collector = BodyCollector(10)
        self.collector.makeConnection(TransportProxyProducer(self.transport))

    def test_cancellation_closes_the_connection_of_a_stalled_body(self):
        """Guards against a worker link that a stalled response body blocks."""
        failures = []
        self.collector.body.addErrback(failures.append)
        self.collector.body.cancel()
        self.assertIsNotNone(failures[0].check(CancelledError))
        self.assertTrue(self.transport.disconnecting)

    def test_body_above_the_limit_closes_the_connection(self):
        """Guards against a response body that exhausts the memory."""
        self.collector.dataReceived(b"x" * 10)
        self.assertFalse(self.transport.disconnecting)
        self.collector.dataReceived(b"x")
        self.assertTrue(self.transport.disconnecting)

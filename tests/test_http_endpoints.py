"""Tests of the client endpoints for IP addresses, host names and TLS."""

import unittest

from twisted.internet.testing import MemoryReactorClock
from twisted.web.client import URI

from redwingrudder._http_endpoints import AddressEndpoints


class AddressEndpointsTests(unittest.TestCase):
    def connect(self, url):
        reactor = MemoryReactorClock()
        endpoint = AddressEndpoints(reactor, 1.5).endpointForURI(URI.fromBytes(url))
        endpoint.connect(None)
        return reactor

    def test_ip_addresses_are_connected_to_directly(self):
        """Guards against a wrong port or timeout, which mimics an outage."""
        (client,) = self.connect(b"http://10.0.0.1:2379/x").tcpClients
        self.assertEqual((client[0], client[1], client[3]), ("10.0.0.1", 2379, 1.5))
        (client,) = self.connect(b"http://[fd00::1]:80/").tcpClients
        self.assertEqual(client[:2], ("fd00::1", 80))

    def test_tls_and_host_names_are_supported(self):
        """Guards against an endpoint type without support for TLS or names."""
        (client,) = self.connect(b"https://10.0.0.1/x").tcpClients
        self.assertEqual(client[1], 443)
        # MemoryReactorClock resolves every name to the loopback address.
        (client,) = self.connect(b"http://store.example:81/").tcpClients
        self.assertEqual(client[:2], ("127.0.0.1", 81))

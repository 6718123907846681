"""Endpoints of HTTP clients that talk to IP addresses."""

from twisted.internet.abstract import isIPAddress, isIPv6Address
from twisted.internet.endpoints import (
    HostnameEndpoint,
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
    wrapClientTLS,
)
from twisted.internet.interfaces import IReactorTCP, IStreamClientEndpoint
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


@implementer(IAgentEndpointFactory)
class AddressEndpoints:
    """Creates endpoints without the checks that only host names need.

    The default of the HTTP client validates each address as a host name, for
    every request, also when a persistent connection is used.

    Args:
        reactor: Provides connections.
        connect_timeout_s: Seconds after which an attempt is given up.
    """

    def __init__(self, reactor: IReactorTCP, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint for a request."""
        host = uri.host.decode("ascii").strip("[]")
        if isIPAddress(host):
            kind = TCP4ClientEndpoint
        elif isIPv6Address(host):
            kind = TCP6ClientEndpoint
        else:
            kind = HostnameEndpoint
        endpoint = kind(self._reactor, host, uri.port, timeout=self._timeout_s)
        if uri.scheme == b"https":
            # Nodes without TLS do not install the library for it.
            from twisted.internet.ssl import optionsForClientTLS

            endpoint = wrapClientTLS(optionsForClientTLS(host), endpoint)
        return endpoint

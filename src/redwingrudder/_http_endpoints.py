"""Client endpoints for HTTP servers that are addressed by IP address."""

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
    """Creates endpoints and skips host name validation for IP addresses.

    Twisted's default factory validates each address as a host name on every
    request, even if the request uses a persistent connection.

    Args:
        reactor: Opens the connections.
        connect_timeout_s: Timeout of a connection attempt, in seconds.
    """

    def __init__(self, reactor: IReactorTCP, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint for the host, port and scheme of a URI."""
        host = uri.host.decode("ascii").strip("[]")
        if isIPAddress(host):
            endpoint_type = TCP4ClientEndpoint
        elif isIPv6Address(host):
            endpoint_type = TCP6ClientEndpoint
        else:
            endpoint_type = HostnameEndpoint
        endpoint = endpoint_type(self._reactor, host, uri.port, timeout=self._timeout_s)
        if uri.scheme == b"https":
            # Imported here because nodes without TLS do not install the
            # library that it needs.
            from twisted.internet.ssl import optionsForClientTLS

            endpoint = wrapClientTLS(optionsForClientTLS(host), endpoint)
        return endpoint

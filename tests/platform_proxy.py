"""TCP proxies with fault switches, between the nodes and the stand-in.

Run as ``python -m tests.platform_proxy CONTROL_PORT LISTEN:TARGET...``. Each
pair of ports on the loopback interface is one link. A POST of
``{"LISTEN": "MODE"}`` to the control port sets the mode of a link:

- ``up``: data is forwarded.
- ``delay``: data is forwarded ``DELAY_S`` later, in order.
- ``cut``: data of both directions is dropped; connections stay open.
- ``one_way``: data from the nodes is dropped, data to them is forwarded.
- ``reset``: the open connections are reset; new connections work.
- ``mute``: data on the open connections is dropped for good; new connections
  work.
"""

import json
import sys

from twisted.internet import reactor
from twisted.protocols.portforward import (
    ProxyClient,
    ProxyClientFactory,
    ProxyFactory,
    ProxyServer,
)
from twisted.web.resource import Resource
from twisted.web.server import Site

# Below the timeouts of the nodes, above the usual response times.
DELAY_S = 0.3


class Link:
    """Mode and open connections of one link."""

    def __init__(self):
        self.mode = "up"
        self.connections = set()

    def set_mode(self, mode):
        if mode == "reset":
            for connection in list(self.connections):
                connection.transport.abortConnection()
        elif mode == "mute":
            for connection in self.connections:
                connection.muted = True
        self.mode = mode


class _ForwardedConnection:
    """Forwarding common to the two sides of a proxied connection.

    ``last_delivery_at`` is the delivery time of the last data received, which
    keeps the order when a delay ends.
    """

    muted = False
    last_delivery_at = 0.0
    from_node = False

    def connectionMade(self):  # noqa: N802
        self.link.connections.add(self)
        super().connectionMade()

    def connectionLost(self, reason):  # noqa: N802
        self.link.connections.discard(self)
        # The peer must not notice the end of a connection that drops data.
        if not self.muted and self.link.mode not in ("cut", "one_way"):
            super().connectionLost(reason)

    def dataReceived(self, data):  # noqa: N802
        mode = self.link.mode
        if self.muted or mode == "cut" or (mode == "one_way" and self.from_node):
            return
        now = reactor.seconds()
        self.last_delivery_at = max(
            now + DELAY_S if mode == "delay" else now, self.last_delivery_at
        )
        if self.last_delivery_at > now:
            reactor.callLater(self.last_delivery_at - now, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data):
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(data)


class NodeConnection(_ForwardedConnection, ProxyServer):
    """Connection from a node to the proxy."""

    from_node = True

    @property
    def link(self):
        return self.factory.link

    def clientProtocolFactory(self):  # noqa: N802
        client_factory = ProxyClientFactory()
        client_factory.protocol = TargetConnection
        client_factory.link = self.link
        return client_factory


class TargetConnection(_ForwardedConnection, ProxyClient):
    """Connection from the proxy to the stand-in."""

    @property
    def link(self):
        return self.factory.link


class Control(Resource):
    """Sets the modes of links, which are named by their listening port."""

    isLeaf = True  # noqa: N815

    def __init__(self, links):
        super().__init__()
        self.links = links

    def render_POST(self, request):  # noqa: N802
        for port, mode in json.loads(request.content.read()).items():
            self.links[port].set_mode(mode)
        return b"{}"


def main(control_port, port_pairs):
    """Run the proxies until the process ends."""
    links = {}
    for port_pair in port_pairs:
        listen_port, _, target_port = port_pair.partition(":")
        factory = ProxyFactory("127.0.0.1", int(target_port))
        factory.noisy = False
        factory.protocol = NodeConnection
        factory.link = links[listen_port] = Link()
        reactor.listenTCP(int(listen_port), factory, interface="127.0.0.1")
    reactor.listenTCP(control_port, Site(Control(links)), interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2:])

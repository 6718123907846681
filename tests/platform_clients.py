"""Clients that keep their connections to the nodes open, as a process.

Run as ``python -m tests.platform_clients CONTROL_PORT NODE_PORT...``. Each
client sends requests to one node in turn on one connection, and opens another
one when it ends. Any call to the control port returns the ends of connections,
see ``ConnectionEnd``.
"""

import json
import random
import sys
import time
from typing import NamedTuple

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver
from twisted.web.resource import Resource
from twisted.web.server import Site

CLIENTS_PER_NODE = 3
CONNECT_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = 0.2
MAX_REQUEST_PAUSE_S = 0.3  # between a response and the next request
CLIENT_TIMEOUT_MS = 1500  # sent with each request
REQUEST = (
    "{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token key\r\n"
    f"X-Timeout-Ms: {CLIENT_TIMEOUT_MS}\r\nContent-Length: 0\r\n\r\n"
)


class ConnectionEnd(NamedTuple):
    """End of a connection; times are seconds of the monotonic clock.

    Attributes:
        port: Port of the node.
        closed_at: Time of the end.
        responses: Number of complete responses.
        announced: Whether the last response said that the connection ends.
        sent_at: When the request was sent that got no complete response, 0 if
            there is none.
        method: Method of the last request.
    """

    port: int
    closed_at: float
    responses: int
    announced: bool
    sent_at: float
    method: str


class Client(LineReceiver):
    """Sends a request after each response, until the connection ends."""

    def __init__(self, port, draws, ends):
        self._port = port
        self._draws = draws
        self._ends = ends
        self._responses = 0
        self._announced = False
        self._sent_at = 0.0
        self._method = ""
        self._body_bytes = 0
        self._timer = None

    def connectionMade(self):  # noqa: N802
        self._send()

    def _send(self):
        job_id = f"{self._draws.getrandbits(64):016x}"
        self._method, path = self._draws.choice(
            (("GET", "/urgent/"), ("GET", f"/urgent/{job_id}"), ("DELETE", job_id))
        )
        if self._method == "DELETE":
            path = f"/patient/{job_id}"
        self._announced = False
        self._sent_at = time.monotonic()
        request = REQUEST.format(method=self._method, path=path)
        self.transport.write(request.encode("ascii"))

    def lineReceived(self, line):  # noqa: N802
        name, _, value = line.decode("latin-1").lower().partition(":")
        if name == "content-length":
            self._body_bytes = int(value)
        elif name == "connection":
            self._announced = value.strip() == "close"
        elif not line and self._body_bytes:
            self.setRawMode()
        elif not line:
            self._complete()

    def rawDataReceived(self, data):  # noqa: N802
        self._body_bytes -= len(data)
        if self._body_bytes <= 0:
            self.setLineMode()
            self._complete()

    def _complete(self):
        self._responses += 1
        self._sent_at = 0.0
        if self._announced:
            self.transport.loseConnection()
            return
        pause_s = self._draws.uniform(0, MAX_REQUEST_PAUSE_S)
        self._timer = reactor.callLater(pause_s, self._send)

    def connectionLost(self, reason):  # noqa: N802
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._ends.append(
            ConnectionEnd(
                self._port,
                time.monotonic(),
                self._responses,
                self._announced,
                self._sent_at,
                self._method,
            )
        )


class Reconnector(ClientFactory):
    """Opens a connection whenever the last one has ended."""

    noisy = False

    def __init__(self, port, draws, ends):
        self._port = port
        self._draws = draws
        self._ends = ends

    def buildProtocol(self, address):  # noqa: N802
        return Client(self._port, self._draws, self._ends)

    def connect(self):
        """Open a connection."""
        reactor.connectTCP("127.0.0.1", self._port, self, CONNECT_TIMEOUT_S)

    def clientConnectionLost(self, connector, reason):  # noqa: N802
        reactor.callLater(RECONNECT_DELAY_S, self.connect)

    clientConnectionFailed = clientConnectionLost  # noqa: N815


class Control(Resource):
    """Returns the ends of connections."""

    isLeaf = True  # noqa: N815

    def __init__(self, ends):
        super().__init__()
        self.ends = ends

    def render(self, request):
        return json.dumps({"ends": self.ends}).encode()


def main(control_port, *node_ports):
    """Run the clients until the process ends."""
    ends = []
    for port in node_ports:
        for index in range(CLIENTS_PER_NODE):
            Reconnector(port, random.Random(f"{port} {index}"), ends).connect()
    reactor.listenTCP(control_port, Site(Control(ends)), interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))

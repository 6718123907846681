"""Small HTTP/1.1 server on asyncio for the stand-ins, with JSON bodies."""

import asyncio
import json
import socket
import struct
from urllib.parse import parse_qsl, urlsplit

# Result of a handler that closes the connection without an answer.
DROP = object()
RESET_LINGER = struct.pack("ii", 1, 0)


def abort(writer):
    """Reset a connection."""
    transport = writer.transport
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    transport.abort()


class Server:
    """Serves one address.

    Args:
        handler: Coroutine of method, path, query, headers and body; returns
            status and document, or ``DROP``.
        refuses: Returns whether new connections are reset at once.
    """

    def __init__(self, handler, refuses=lambda: False):
        self._handler = handler
        self._refuses = refuses
        self._writers = set()

    async def listen(self, host, port):
        return await asyncio.start_server(self._serve, host, port, backlog=256)

    def reset_all(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            abort(writer)

    async def _serve(self, reader, writer):
        if self._refuses():
            abort(writer)
            return
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        line = await reader.readline()
        if not line.strip():
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = (await reader.readline()).decode("latin-1").strip()
            if not line:
                break
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        content = await reader.readexactly(int(headers.get("content-length", 0)))
        body = json.loads(content) if content.strip() else {}
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        result = await self._handler(method, url.path, query, headers, body)
        if result is DROP:
            abort(writer)
            return False
        status, document = result
        answer = json.dumps(document).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(answer)}\r\n\r\n"
        )
        writer.write(head.encode() + answer)
        await writer.drain()
        return headers.get("connection", "").lower() != "close"

"""Minimal HTTP/1.1 server and client on asyncio streams, JSON bodies."""

import asyncio
import contextlib
import json
import urllib.parse


class Request:
    """A request that was received completely."""

    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body


async def read_message(reader):
    """Return the first line, the headers and the content, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    content = b""
    length = int(headers.get("content-length", 0))
    if length:
        try:
            content = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first, headers, content


class Server:
    """Serves one address; its processes can be killed and its link cut.

    Args:
        port: Port on the loopback interface.
        handle: Coroutine function from a request to (status, body), or None
            for no answer.
    """

    def __init__(self, port, handle):
        self.port = port
        self._handle = handle
        self._server = None
        self._writers = set()
        # While the link is cut, nothing that arrives is read. Connections that
        # were open, or are opened meanwhile, stay silent for good.
        self.cut = False
        self._silent = set()

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )

    def kill(self):
        """End the process: reset its connections, refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            self._silent |= self._writers

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        if self.cut:
            self._silent.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if writer in self._silent:
                    continue
                first, headers, content = message
                method, target, _ = first.split(" ", 2)
                body = json.loads(content) if content.strip() else {}
                answer = await self._handle(Request(method, target, headers, body))
                if answer is None or writer in self._silent:
                    self._silent.add(writer)
                    continue
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


async def call(port, method, path, body=None, headers=None, timeout_s=3.0):
    """Send one request; returns (status, body), status 0 without an answer."""
    content = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
    head = "\r\n".join([*lines, "", ""]).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head + content)
            message = await read_message(reader)
        if message is None:
            return 0, {}
        first, _, data = message
        return int(first.split(" ")[1]), json.loads(data) if data.strip() else {}
    except (OSError, TimeoutError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()

"""JSON over HTTP/1.1 for the stand-ins, with the standard library only."""

import json
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class NoAnswer(Exception):
    """The call gets no answer: its connection stays open and silent."""


class JsonHandler(BaseHTTPRequestHandler):
    """Answers with what ``handle_json`` returns: a status and a body."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def _answer(self):
        length = int(self.headers.get("Content-Length") or 0)
        content = self.rfile.read(length) if length else b""
        url = urllib.parse.urlsplit(self.path)
        try:
            status, body = self.handle_json(
                self.command,
                url.path,
                urllib.parse.parse_qs(url.query, keep_blank_values=True),
                json.loads(content or b"{}"),
            )
        except NoAnswer:
            # Nothing further is returned on this connection.
            self.rfile.read()
            self.close_connection = True
            return
        document = json.dumps(body).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(document)))
        self.end_headers()
        self.wfile.write(document)

    do_GET = do_POST = do_DELETE = _answer  # noqa: N815

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass  # the caller has left

    def handle_json(self, method, path, query, body):
        raise NotImplementedError

    def log_message(self, *arguments):
        pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


def serve(port, handler):
    """Serve on a loopback port until the process ends."""
    Server(("127.0.0.1", port), handler).serve_forever()

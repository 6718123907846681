"""Tests of the log handler that limits the rate and never blocks."""

import io
import json
import logging
import os
import unittest

from redwingrudder.logs import MAX_BURST_LINES, BoundedHandler, LineFormatter


def record(level=logging.INFO, message="event"):
    return logging.LogRecord("test", level, __file__, 1, message, None, None)


class BoundedHandlerTests(unittest.TestCase):
    def setUp(self):
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        self.reader = reader
        self.stream = os.fdopen(writer, "w")
        self.handler = BoundedHandler(self.stream)
        self.handler.setFormatter(LineFormatter("n1"))
        self.addCleanup(os.close, reader)
        self.addCleanup(self.stream.close)

    def read(self):
        """Return all bytes in the pipe; the last line may be incomplete."""
        content = b""
        try:
            while part := os.read(self.reader, 1 << 16):
                content += part
        except BlockingIOError:
            pass
        return content

    def test_full_pipe_does_not_block(self):
        """Guards against a node that blocks because nothing reads its log."""
        for _ in range(3000):
            self.handler.emit(record(logging.WARNING, "x" * 200))
        content = self.read()
        self.handler.emit(record(logging.WARNING, "again"))
        lines = [json.loads(line) for line in (content + self.read()).splitlines()]
        self.assertEqual(lines[-1]["message"], "again")
        reports = [line for line in lines if line["message"] == "log lines dropped"]
        # Two of the lines are the report and "again".
        self.assertEqual(len(lines) - 2 + reports[0]["lines"], 3000)

    def test_volume_is_bounded(self):
        """Guards against a burst of log lines that uses up the CPU time."""
        handler = BoundedHandler(io.StringIO())
        handler.setFormatter(LineFormatter("n1"))
        emitted = int(MAX_BURST_LINES) + 2000
        for _ in range(emitted):
            handler.emit(record())
        # The limit gains tokens while the loop runs, so a few more lines than
        # the burst are written.
        written = handler.stream.getvalue().count("\n")
        self.assertLess(written, MAX_BURST_LINES + 1500)
        handler.emit(record(logging.ERROR, "last"))
        lines = [json.loads(line) for line in handler.stream.getvalue().splitlines()]
        self.assertEqual(lines[-1]["message"], "last")
        # The line before the last one may be an event that got a token.
        reports = [line for line in lines if line["message"] == "log lines dropped"]
        events = len(lines) - len(reports) - 1
        self.assertTrue(reports)
        self.assertEqual(events + sum(line["lines"] for line in reports), emitted)


if __name__ == "__main__":
    unittest.main()

"""Stand-in of the advice service.

Usage: python3 advice.py OPTIONS (a JSON object):

    port, record                  where it listens, and the file of its record
    decision_ms, period_ms        time of a call, and for each worker named
    valid_ms                      validity of tickets, from the answer on

All workers are allowed. Calls are handled one at a time, in turn; when 32
wait, a further one gets 429. A call whose caller has left takes no time.
"""

import json
import select
import socket
import sys
import threading
import time

from wire import JsonHandler, NoAnswer, serve

MAX_WAITING = 32


class Handler(JsonHandler):
    options = None
    record = None
    waiting = 0
    lock = threading.Lock()
    turn = threading.Condition(lock)
    next_number = 0
    served_number = 0

    def caller_has_left(self):
        """Return whether the caller has closed its connection meanwhile."""
        readable, _, _ = select.select([self.connection], [], [], 0)
        if not readable:
            return False
        try:
            return not self.connection.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def handle_json(self, method, path, query, body):
        cls, options = Handler, self.options
        came_at = time.monotonic()
        with self.turn:
            if cls.next_number - cls.served_number > MAX_WAITING:
                return 429, {}
            number = cls.next_number
            cls.next_number += 1
            while cls.served_number != number:
                self.turn.wait()
        if self.caller_has_left():
            with self.turn:
                cls.served_number += 1
                self.turn.notify_all()
            raise NoAnswer
        names = body["workers"]
        time.sleep((options["decision_ms"] + options["period_ms"] * len(names)) / 1000)
        now = time.monotonic()
        with self.turn:
            cls.served_number += 1
            self.turn.notify_all()
        row = {
            "at": round(now, 3),
            "event": "advice",
            "step": body["step"],
            "workers": len(names),
            "waited_ms": int(1000 * (now - came_at)),
        }
        self.record.write(json.dumps(row) + "\n")
        allowed = [[name, f"{body['step']}/{name}/{int(1000 * now)}"] for name in names]
        return 200, {"allowed": allowed, "validMs": options["valid_ms"]}


def main():
    options = json.loads(sys.argv[1])
    Handler.options = options
    Handler.record = open(options["record"], "a", buffering=1)
    serve(options["port"], Handler)


if __name__ == "__main__":
    main()

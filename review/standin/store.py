"""Stand-in of the platform's store: keys, watches, leases, worker entries.

Usage: python3 store.py PORT HEARTBEAT_MS

Workers report to ``/standin/worker``; an entry is removed after three
heartbeats of silence, or when the worker says that it leaves. The operator
writes through ``/standin/put``.
"""

import base64
import json
import sys
import threading
import time

from wire import JsonHandler, serve

ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Keys with one revision counter; all methods are thread-safe."""

    def __init__(self, heartbeat_s):
        self.changed = threading.Condition()
        self.heartbeat_s = heartbeat_s
        self.revision = 1
        self.items = {}
        self.events = []
        self.lease_ends = {}
        self.lease_ttls = {}
        self.next_lease = 1
        self.heard_at = {}
        threading.Thread(target=self._expire, daemon=True).start()

    def _put(self, key, value, lease):
        known = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append({"key": key, "revision": self.revision, "deleted": True})

    def write(self, puts, removed=()):
        """Write and remove keys with one revision; to be called locked."""
        self.revision += 1
        for key, value, lease in puts:
            self._put(key, value, lease)
        for key in removed:
            self._remove(key)
        self.changed.notify_all()

    def txn(self, body):
        with self.changed:
            conditions = body.get("precondition") or []
            for row in conditions:
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    keys = [each["key"] for each in conditions]
                    found = [self.items[key] for key in keys if key in self.items]
                    return 412, {"items": found}
            puts = body.get("puts") or []
            for put in puts:
                if put.get("lease") and put["lease"] not in self.lease_ends:
                    return 404, {}
            self.write(
                [(put["key"], put["value"], put.get("lease", 0)) for put in puts],
                body.get("remove") or (),
            )
            return 200, {"revision": self.revision}

    def watch(self, prefix, after, wait_s):
        ends_at = time.monotonic() + wait_s
        with self.changed:
            while True:
                found = [
                    event
                    for event in self.events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left_s = ends_at - time.monotonic()
                if found or left_s <= 0:
                    return 200, {"events": found, "currentRev": self.revision}
                self.changed.wait(left_s)

    def read_range(self, prefix, after):
        with self.changed:
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "hasMore": len(keys) > PAGE_ITEMS,
                "currentRev": self.revision,
            }

    def grant(self, ttl_ms):
        with self.changed:
            lease = self.next_lease
            self.next_lease += 1
            self.lease_ttls[lease] = ttl_ms
            self.lease_ends[lease] = time.monotonic() + ttl_ms / 1000
            return 200, {"lease": lease, "ttlMs": ttl_ms}

    def keep(self, lease):
        with self.changed:
            if lease not in self.lease_ends:
                return 404, {}
            ttl_ms = self.lease_ttls[lease]
            self.lease_ends[lease] = time.monotonic() + ttl_ms / 1000
            return 200, {"ttlMs": ttl_ms}

    def end_lease(self, lease):
        """Remove the keys of a lease."""
        with self.changed:
            if self.lease_ends.pop(lease, None) is None:
                return 404, {}
            keys = [k for k, item in self.items.items() if item["lease"] == lease]
            if keys:
                self.write((), keys)
            return 200, {}

    def report(self, body):
        """Take a worker's report; an entry of None means that it leaves."""
        key = "servers/" + body["id"]
        with self.changed:
            if body["entry"] is None:
                self.heard_at.pop(key, None)
                if key in self.items:
                    self.write((), [key])
                return 200, {}
            self.heard_at[key] = time.monotonic()
            value = base64.b64encode(json.dumps(body["entry"]).encode()).decode()
            if key not in self.items or self.items[key]["value"] != value:
                self.write([(key, value, 0)])
            return 200, {}

    def _expire(self):
        while True:
            time.sleep(0.02)
            now = time.monotonic()
            with self.changed:
                ended = [k for k, end in self.lease_ends.items() if end <= now]
                silent = [
                    key
                    for key, heard_at in self.heard_at.items()
                    if now - heard_at > 3 * self.heartbeat_s
                ]
                for key in silent:
                    del self.heard_at[key]
                if silent:
                    self.write((), silent)
            for lease in ended:
                self.end_lease(lease)


class Handler(JsonHandler):
    store = None

    def handle_json(self, method, path, query, body):
        def text(name):
            return query.get(name, [""])[0]

        store = self.store
        if path == "/standin/put":
            value = base64.b64encode(json.dumps(body["value"]).encode()).decode()
            with store.changed:
                store.write([(body["key"], value, 0)])
            return 200, {}
        if path == "/standin/get":
            with store.changed:
                item = store.items.get(text("key"))
            value = base64.b64decode(item["value"]).decode() if item else ""
            return 200, {"value": value}
        if path == "/standin/worker":
            return store.report(body)
        time.sleep(ANSWER_S)
        name = path.removeprefix("/redwingrudder/")
        if name == "kv-key":
            with store.changed:
                item = store.items.get(text("key"))
                if item is None:
                    return 404, {"currentRev": store.revision}
                return 200, {**item, "currentRev": store.revision}
        if name == "kv-range":
            return store.read_range(text("prefix"), text("after"))
        if name == "kv-watch":
            return store.watch(
                text("prefix"), int(text("after") or 0), int(text("waitMs") or 0) / 1000
            )
        if name == "kv-txn":
            return store.txn(body)
        if name == "kv-lease":
            return store.grant(body["ttlMs"])
        if name.startswith("kv-keep/"):
            return store.keep(int(name.rpartition("/")[2]))
        if name.startswith("kv-lease-end/"):
            return store.end_lease(int(name.rpartition("/")[2]))
        return 400, {}


def main():
    Handler.store = Store(int(sys.argv[2]) / 1000)
    serve(int(sys.argv[1]), Handler)


if __name__ == "__main__":
    main()

"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Run as ``store.py NODE_PORTS WORKER_PORT ADMIN_PORT LOG HEARTBEAT_MS``. Each
node has a port of its own, so that the store can turn single nodes away.
Workers write their entries at WORKER_PORT. Calls to ADMIN_PORT write the
operator's keys and set the modes of ports: "up", "busy" (503), "reset" (all
connections are reset) and "silent" (no answers).
"""

import asyncio
import base64
import json
import sys
import time

from httpd import DROP, Server

HOST = "127.0.0.1"
PAGE_ITEMS = 500
HISTORY_S = 20.0
ENTRY_HEARTBEATS = 3
NEVER = 10**9
RESET_DELAY_S = 0.02  # until the open connections of a port are reset


class Store:
    """Keys, leases and history; one revision for all changes."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []  # rows of time and event
        self.dropped_revision = 0
        self.leases = {}  # id: [ttl in seconds, end]
        self.last_lease = 0
        self.changed = asyncio.Event()

    def commit(self, puts, removed):
        """Apply writes under one revision."""
        self.revision += 1
        now = time.monotonic()
        for key, value, lease in puts:
            created = self.items.get(key, {}).get("created", self.revision)
            self.items[key] = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.history.append((now, dict(self.items[key])))
        for key in removed:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.history.append((now, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def sweep(self):
        """End leases and drop old history."""
        now = time.monotonic()
        ended = {i for i, (_, ends_at) in self.leases.items() if ends_at < now}
        if ended:
            keys = [k for k, item in self.items.items() if item["lease"] in ended]
            for lease in ended:
                del self.leases[lease]
            if keys:
                self.commit([], keys)
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.dropped_revision = self.history.pop(0)[1]["revision"]

    def grant(self, ttl_s):
        self.last_lease += 1
        self.leases[self.last_lease] = [ttl_s, time.monotonic() + ttl_s]
        return self.last_lease

    def keep(self, lease):
        """Renew a lease; returns its ttl, None if it has ended."""
        entry = self.leases.get(lease)
        if entry is None:
            return None
        entry[1] = time.monotonic() + entry[0]
        return entry[0]

    def transact(self, body):
        conditions = body.get("precondition", [])
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items.get(each["key"]) for each in conditions]
                return 412, {"items": [item for item in current if item]}
        puts = [
            (put["key"], put["value"], put.get("lease", 0))
            for put in body.get("puts", [])
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, {}
        self.commit(puts, body.get("remove", []))
        return 200, {"revision": self.revision}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        deadline = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        while True:
            if after < self.dropped_revision:
                return 410, {}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass


class Port:
    """The store as one node, or all workers, reach it."""

    def __init__(self, stand_in, name):
        self.stand_in = stand_in
        self.store = stand_in.store
        self.name = name
        self.mode = "up"
        self.server = Server(self.serve, lambda: self.mode == "reset")

    def set_mode(self, mode):
        self.mode = mode
        self.stand_in.log("mode", port=self.name, mode=mode)
        if mode == "reset":
            self.server.reset_all()

    async def serve(self, method, path, query, headers, body):
        if self.mode == "busy":
            return 503, {}
        if self.mode == "silent":
            await asyncio.sleep(NEVER)
        if self.mode == "reset":
            return DROP
        return await self._serve_up(method, path, query, body)

    async def _serve_up(self, method, path, query, body):
        store = self.store
        store.sweep()
        name = path.rpartition("/")[2]
        if path.startswith("/redwingrudder/"):
            name = path.removeprefix("/redwingrudder/")
        if name == "kv-key":
            item = store.items.get(query["key"])
            if item is None:
                return 404, {"currentRev": store.revision}
            return 200, {**item, "currentRev": store.revision}
        if name == "kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in store.items if k.startswith(prefix) and k > after)
            page = [store.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {
                "items": page,
                "hasMore": len(keys) > PAGE_ITEMS,
                "currentRev": store.revision,
            }
        if name == "kv-watch":
            return await store.watch(query)
        if name == "kv-txn":
            status, answer = store.transact(body)
            if status == 200 and body.get("precondition"):
                self.stand_in.conditional_write(self)
            return status, answer
        if name == "kv-lease":
            ttl_s = max(body["ttlMs"], 1000) / 1000
            return 200, {"lease": store.grant(ttl_s), "ttlMs": int(ttl_s * 1000)}
        if name.startswith("kv-keep/"):
            ttl_s = store.keep(int(name.rpartition("/")[2]))
            return (404, {}) if ttl_s is None else (200, {"ttlMs": int(ttl_s * 1000)})
        if name.startswith("kv-lease-end/"):
            lease = int(name.rpartition("/")[2])
            if lease in store.leases:
                store.leases[lease][1] = 0.0
                store.sweep()
            return 200, {}
        if name == "entry" and self.name == "workers":
            return self._write_entry(body)
        return 404, {}

    def _write_entry(self, body):
        """Write the entry of a worker, or remove it when the worker leaves."""
        store, key = self.store, f"servers/{body['id']}"
        if body.get("entry") is None:
            store.commit([], [key])
            return 200, {}
        lease = self.stand_in.entry_leases.get(key)
        if lease is None or store.keep(lease) is None:
            ttl_s = ENTRY_HEARTBEATS * self.stand_in.heartbeat_s
            lease = self.stand_in.entry_leases[key] = store.grant(ttl_s)
        value = base64.b64encode(json.dumps(body["entry"]).encode()).decode()
        store.commit([(key, value, lease)], [])
        return 200, {}


class StandIn:
    """The store with its ports and the admin interface."""

    def __init__(self, log_path, heartbeat_s, node_count):
        self.store = Store()
        self.heartbeat_s = heartbeat_s
        self.entry_leases = {}
        self._log = open(log_path, "a", encoding="utf-8")
        self.ports = {f"n{i}": Port(self, f"n{i}") for i in range(node_count)}
        self.ports["workers"] = Port(self, "workers")
        self.last_writer = ""
        self.first_writer = ""
        self._armed = None

    def log(self, event, **fields):
        row = {"t": time.time(), "event": event, **fields}
        self._log.write(json.dumps(row) + "\n")
        self._log.flush()

    def conditional_write(self, port):
        """Note which node wrote under a condition, and begin armed trouble."""
        self.last_writer = port.name
        self.first_writer = self.first_writer or port.name
        if self._armed is not None:
            armed, self._armed = self._armed, None
            # The answer to this write is still delivered; calls that come
            # after it are turned away.
            port.mode = armed["mode"]
            loop = asyncio.get_running_loop()
            loop.call_later(RESET_DELAY_S, port.set_mode, armed["mode"])
            loop.call_later(armed["for_s"], port.set_mode, "up")

    async def admin(self, method, path, query, headers, body):
        if path == "/put":
            value = base64.b64encode(json.dumps(body["value"]).encode()).decode()
            self.store.commit([(body["key"], value, 0)], [])
        elif path == "/mode":
            for name in body["ports"]:
                self.ports[name].set_mode(body["mode"])
        elif path == "/arm":
            self._armed = body
        return 200, {
            "last_writer": self.last_writer,
            "first_writer": self.first_writer,
            "modes": {name: port.mode for name, port in self.ports.items()},
            "servers": sorted(k for k in self.store.items if k.startswith("servers/")),
        }


async def main(node_ports, worker_port, admin_port, log_path, heartbeat_ms):
    node_ports = [int(port) for port in node_ports.split(",")]
    stand_in = StandIn(log_path, int(heartbeat_ms) / 1000, len(node_ports))
    addresses = dict(zip(stand_in.ports, [*node_ports, int(worker_port)], strict=True))
    for name, port in addresses.items():
        await stand_in.ports[name].server.listen(HOST, port)
    await Server(stand_in.admin).listen(HOST, int(admin_port))
    while True:
        stand_in.store.sweep()
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))

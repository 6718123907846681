"""The platform's metadata store: keys, revisions, leases and watches."""

import asyncio
import base64

from .wire import Server

PAGE_ITEMS = 500
MAX_ENTRIES = 32
VALUE_BYTES = 1048576
KEY_BYTES = 200


class Store:
    """Linearizable store; loses nothing that it has acknowledged."""

    def __init__(self, port):
        self.server = Server(port, self._handle)
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self._changed = asyncio.Event()

    # Writes of the operator and of the workers.

    def put(self, key, value, lease=0):
        self._begin()
        self._put(key, value, lease)
        self._end()

    def remove(self, key):
        if key in self.items:
            self._begin()
            self._remove(key)
            self._end()

    def read(self, key):
        """Return the value of a key as text, None if it is absent."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    def _begin(self):
        self.revision += 1

    def _end(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _put(self, key, value, lease):
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value.encode()).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.history.append(dict(self.items[key]))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    # HTTP interface.

    async def _handle(self, request):
        name = request.path.removeprefix("/redwingrudder/")
        body, query = request.body, request.query
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, {**item, "currentRev": self.revision}
        if name == "kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if name == "kv-watch":
            return 200, await self._watch(
                query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000
            )
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [body["ttlMs"] / 1000, None]
            self._extend(lease)
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        if name.startswith("kv-keep/"):
            lease = int(name.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            self._extend(lease)
            return 200, {"ttlMs": int(self.leases[lease][0] * 1000)}
        if name.startswith("kv-lease-end/"):
            self._end_lease(int(name.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:PAGE_ITEMS]
        return {
            "items": [self.items[key] for key in page],
            "hasMore": len(keys) > len(page),
            "currentRev": self.revision,
        }

    async def _watch(self, prefix, after, wait_s):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - loop.time()
            if events or left_s <= 0:
                return {"events": events, "currentRev": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body):
        conditions = body.get("precondition", [])
        puts, removed = body.get("puts", []), body.get("remove", [])
        if len(conditions) + len(puts) + len(removed) > MAX_ENTRIES:
            return 400, {}
        for key in [put["key"] for put in puts] + removed:
            if key.startswith(("op/", "servers/")):
                return 403, {}
            if len(key.encode()) > KEY_BYTES:
                return 400, {}
        values = [base64.b64decode(put["value"], validate=True) for put in puts]
        if any(len(value) > VALUE_BYTES for value in values):
            return 400, {}
        for condition in conditions:
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                keys = [c["key"] for c in conditions]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self._begin()
        for put, value in zip(puts, values, strict=True):
            self._put(put["key"], value.decode(), put.get("lease", 0))
        for key in removed:
            self._remove(key)
        self._end()
        return 200, {"revision": self.revision}

    def _extend(self, lease):
        ttl_s, timer = self.leases[lease]
        if timer is not None:
            timer.cancel()
        loop = asyncio.get_running_loop()
        self.leases[lease][1] = loop.call_later(ttl_s, self._end_lease, lease)

    def _end_lease(self, lease):
        ended = self.leases.pop(lease, None)
        if ended is None:
            return
        if ended[1] is not None:
            ended[1].cancel()
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._begin()
            for key in keys:
                self._remove(key)
            self._end()

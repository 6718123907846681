"""Registry entries of the workers in a simulation."""

import json
from typing import Any

from ..coordination.gateways import RegistryCodec
from ..workflows.model import Resources, WorkerFacts

ADDRESS = "10.0.0.1:80"  # of all workers; their channels are given by id
CAPACITY = Resources(128_000, 262_144, 8)


class EntryCodec(RegistryCodec):
    """Decodes the entries that ``entry_document`` returns."""

    prefix = "servers/"

    def decode(self, key: str, document: str) -> WorkerFacts | None:
        """See base class."""
        return WorkerFacts(
            worker_id=key.removeprefix(self.prefix),
            process_started_ms=json.loads(document)["started_ms"],
            address=ADDRESS,
            pool="pool",
            failure_domain="domain",
            rack="r1",
            labels=frozenset({"a", "r1"}),
            capacity=CAPACITY,
        )


def entry_document(process_started_ms: int) -> dict[str, Any]:
    """Return the entry of a worker's process by its start time."""
    return {"started_ms": process_started_ms}

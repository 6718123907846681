"""Registry entries of the workers in a simulation."""

import json
from typing import Any

from ..coordination.gateways import RegistryCodec
from ..workflows.model import Resources, WorkerFacts

ADDRESS = "10.0.0.1:80"  # of all workers; their channels are given by id
DRAIN_S = 2.0  # for which a draining worker stays at least
CAPACITY = Resources(128_000, 262_144, 8)


class EntryCodec(RegistryCodec):
    """Decodes the entries that ``entry_document`` returns."""

    prefix = "servers/"

    def decode(self, key: str, document: str) -> WorkerFacts | None:
        """See base class."""
        entry = json.loads(document)
        return WorkerFacts(
            worker_id=key.removeprefix(self.prefix),
            process_started_ms=entry["started_ms"],
            address=ADDRESS,
            pool="pool",
            failure_domain="domain",
            rack=entry["rack"],
            labels=frozenset({"a", entry["rack"]}),
            capacity=CAPACITY,
            draining=entry["draining"],
            remaining_s=DRAIN_S if entry["draining"] else 0.0,
        )


def rack_name(index: int) -> str:
    """Return the name of a rack."""
    return f"r{index + 1}"


def entry_document(
    process_started_ms: int, draining: bool = False, rack: str = rack_name(0)
) -> dict[str, Any]:
    """Return the entry of a worker's process.

    Args:
        process_started_ms: Start time of the process.
        draining: Whether it is about to leave.
        rack: Rack of the worker.
    """
    return {"started_ms": process_started_ms, "draining": draining, "rack": rack}

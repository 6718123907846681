"""The platform's machines and the operator's waves of upkeep."""

import json
import logging
from typing import Any

from ..coordination.gateways import MachineReply, MachineService, WaveCodec
from ..exceptions import OverloadedError, UnavailableError
from ..workflows.maintenance import Machine, MachineState, MaintenanceWave
from .http_client import JsonClient

CONNECTIONS = 2
TIMEOUT_S = 2.0  # the service may be slow; orders are repeated
PAGES_LIMIT = 100

# Answers to an order, by status and then by the platform's reason. "busy" is
# also said of a machine that is about to leave.
REPLIES = {
    "fence": MachineReply.FENCED,
    "busy": MachineReply.REJECTED,
    "wave": MachineReply.GONE,
}

_logger = logging.getLogger(__name__)


class PlatformMachines(MachineService):
    """Calls the machines' service.

    Args:
        client: Connections to it.
    """

    def __init__(self, client: JsonClient) -> None:
        self._client = client

    async def list_machines(self) -> tuple[Machine, ...]:
        """See base class."""
        machines: list[Machine] = []
        token = ""
        for _ in range(PAGES_LIMIT):
            path = "/redwingrudder/machines"
            if token:
                path += f"?pageToken={token}"
            reply = await self._client.call("GET", path, None, TIMEOUT_S)
            _check(reply.status)
            try:
                machines.extend(_machine(row) for row in reply.body["machines"])
            except (KeyError, TypeError) as error:
                raise UnavailableError(f"unreadable machines: {error!r}") from error
            token = reply.body.get("nextPageToken") or ""
            if not token:
                return tuple(machines)
        raise UnavailableError("the list of machines has too many pages")

    async def begin_upkeep(
        self, machine_id: str, wave_id: int, holder: str, fence: int
    ) -> MachineReply:
        """See base class."""
        headers = {"X-Lease-Holder": holder, "X-Fencing-Token": str(fence)}
        body = {"machine": machine_id, "wave": wave_id}
        reply = await self._client.call(
            "POST", "/redwingrudder/machine-upkeep", body, TIMEOUT_S, headers
        )
        if reply.status == 200:
            return MachineReply.ACCEPTED
        if reply.status == 400:
            return MachineReply.GONE
        if reply.status == 409:
            return REPLIES.get(reply.body.get("reason", ""), MachineReply.REJECTED)
        _check(reply.status)
        return MachineReply.REJECTED


class PlatformWaves(WaveCodec):
    """Reads what the operator writes under ``op/wave/``."""

    prefix = "op/wave/"

    def decode(self, key: str, document: str) -> MaintenanceWave | None:
        """See base class."""
        try:
            entry = json.loads(document)
            return MaintenanceWave(
                wave_id=int(entry["wave"]),
                machine_ids=tuple(str(name) for name in entry["machines"]),
                limit=int(entry["maxCount"]),
                duration_s=float(entry["durationS"]),
            )
        except (ValueError, KeyError, TypeError) as error:
            _logger.error("wave unreadable", extra={"key": key, "error": repr(error)})
            return None

    def status_key(self, wave_id: int) -> str:
        """See base class."""
        return f"status/wave/{wave_id}"

    def encode_status(self, wave_id: int, done: bool) -> str:
        """See base class."""
        return json.dumps({"wave": wave_id, "state": "done" if done else "running"})

    def is_done(self, document: str) -> bool:
        """See base class."""
        try:
            return json.loads(document)["state"] == "done"
        except (ValueError, KeyError, TypeError) as error:
            _logger.warning("wave status unreadable", extra={"error": repr(error)})
            return False


def _check(status: int) -> None:
    if status == 429:
        raise OverloadedError("too many calls for machines", retry_after_s=0.5)
    if status != 200:
        raise UnavailableError(f"the machines' service answered {status}")


def _machine(row: dict[str, Any]) -> Machine:
    # "moving" and "upkeep" both end with a new worker on the machine.
    states = {"up": MachineState.UP, "down": MachineState.DOWN}
    state = states.get(row["state"], MachineState.CHANGING)
    return Machine(row["machine"], state, row.get("id") or "")

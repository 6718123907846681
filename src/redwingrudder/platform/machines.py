"""Client of the platform's machine service; codec of maintenance waves."""

import json
import logging
from typing import Any
from urllib.parse import quote

from .._checked_json import Fields, parse_json
from ..coordination.gateways import (
    MachineReply,
    MachineService,
    SendCondition,
    WaveCodec,
)
from ..exceptions import OverloadedError, UnavailableError
from ..workflows.machines import Machine, MachineState
from ..workflows.maintenance import MaintenanceWave
from .http_client import JsonClient
from .registry import decode_resources

MAX_IDLE_CONNECTIONS = 2
TIMEOUT_S = 2.0  # the service may be slow; orders that time out are repeated
OVERLOAD_RETRY_AFTER_S = 0.5
MAX_PAGES = 100

# Replies to an order with status 409, by the platform's reason. The platform
# also gives the reason "busy" for a machine that is about to leave.
REPLIES_BY_REASON = {
    "fence": MachineReply.FENCED,
    "busy": MachineReply.REJECTED,
    "wave": MachineReply.GONE,
}

_logger = logging.getLogger(__name__)


class PlatformMachines(MachineService):
    """Lists machines and orders their maintenance and moves over HTTP.

    Args:
        client: HTTP client for the address of the machine service.
    """

    def __init__(self, client: JsonClient) -> None:
        self._client = client

    async def list_machines(self) -> tuple[Machine, ...]:
        """See base class."""
        machines: list[Machine] = []
        token = ""
        for _ in range(MAX_PAGES):
            path = "/redwingrudder/machines"
            if token:
                path += f"?pageToken={quote(token, safe='')}"
            reply = await self._client.call("GET", path, None, TIMEOUT_S)
            _check_status(reply.status)
            try:
                page = Fields(reply.body, "page")
                machines.extend(
                    _decode_machine(row) for row in page.children("machines")
                )
                token = page.text("nextPageToken", "")
            except ValueError as error:
                raise UnavailableError(f"malformed machine list: {error}") from error
            if not token:
                return tuple(machines)
        raise UnavailableError(f"the machine list has more than {MAX_PAGES} pages")

    async def begin_upkeep(
        self,
        machine_id: str,
        wave_id: int,
        holder: str,
        fence: int,
        may_send: SendCondition,
    ) -> MachineReply:
        """See base class."""
        body = {"machine": machine_id, "wave": wave_id}
        return await self._order("machine-upkeep", body, holder, fence, may_send)

    async def move(
        self,
        machine_id: str,
        pool: str,
        holder: str,
        fence: int,
        may_send: SendCondition,
    ) -> MachineReply:
        """See base class."""
        body = {"machine": machine_id, "pool": pool}
        return await self._order("machine-move", body, holder, fence, may_send)

    async def _order(
        self,
        name: str,
        body: dict[str, Any],
        holder: str,
        fence: int,
        may_send: SendCondition,
    ) -> MachineReply:
        headers = {"X-Lease-Holder": holder, "X-Fencing-Token": str(fence)}
        reply = await self._client.call(
            "POST",
            f"/redwingrudder/{name}",
            body,
            TIMEOUT_S,
            headers,
            may_send=may_send,
        )
        if reply.status == 200:
            return MachineReply.ACCEPTED
        if reply.status == 400:
            return MachineReply.GONE
        if reply.status == 409:
            reason = str(reply.body.get("reason", ""))
            return REPLIES_BY_REASON.get(reason, MachineReply.REJECTED)
        _check_status(reply.status)
        return MachineReply.REJECTED


class PlatformWaves(WaveCodec):
    """Codec of the operator's waves (``op/wave/``) and of their status."""

    prefix = "op/wave/"

    def decode(self, key: str, document: str) -> MaintenanceWave | None:
        """See base class."""
        try:
            entry = Fields(parse_json(document), "wave")
            return MaintenanceWave(
                wave_id=entry.integer("wave"),
                machine_ids=tuple(entry.texts("machines")),
                limit=entry.integer("maxCount"),
                duration_s=entry.number("durationS"),
            )
        except ValueError as error:
            _logger.error(
                "maintenance wave cannot be decoded",
                extra={"key": key, "error": str(error)},
            )
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
            return Fields(parse_json(document), "status").text("state") == "done"
        except ValueError as error:
            _logger.warning(
                "status of a maintenance wave cannot be decoded",
                extra={"error": str(error)},
            )
            return False


def _check_status(status: int) -> None:
    if status == 429:
        raise OverloadedError(
            "the machine service answered 429: too many calls",
            retry_after_s=OVERLOAD_RETRY_AFTER_S,
        )
    if status != 200:
        raise UnavailableError(f"the machine service answered {status}")


def _decode_machine(row: Fields) -> Machine:
    # All other states, such as "moving" and "upkeep", count as CHANGING: both
    # of these end with a new worker on the machine.
    states_by_name = {"up": MachineState.UP, "down": MachineState.DOWN}
    state = states_by_name.get(row.text("state"), MachineState.CHANGING)
    labels = row.texts("labels")
    return Machine(
        machine_id=row.text("machine"),
        state=state,
        worker_id=row.text("id", ""),
        pool=row.text("pool", ""),
        labels=frozenset(labels),
        # The first label is the kind, as in the workers' entries.
        kind=labels[0] if labels else "",
        capacity=decode_resources(row.child("capacity")),
    )

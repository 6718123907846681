"""The platform's list of live and leaving VMs, published with a lag."""

import uuid
from collections import deque
from typing import NamedTuple

from ..exceptions import OverloadedError
from ..platform_api import VmBody

MAX_VMS = 20_000
MAX_SNAPSHOTS = 1_000  # versions of the list that the lag still hides


class _Snapshot(NamedTuple):
    version: int
    changed_at: float
    vms: tuple[VmBody, ...]


class VmList:
    """List of VMs; readers see the list as it was ``lag_s`` seconds ago."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self._vms_by_id: dict[str, VmBody] = {}
        self._snapshots: deque[_Snapshot] = deque(maxlen=MAX_SNAPSHOTS)
        self._snapshots.append(_Snapshot(0, 0.0, ()))
        self._instance_tag = uuid.uuid4().hex[:8]

    def change(
        self,
        register: list[VmBody],
        leaving: list[str],
        remove: list[str],
        now: float,
    ) -> None:
        """Add or replace VMs, mark VMs as leaving and remove VMs.

        Args:
            register: VMs to add; an entry of the same id is replaced.
            leaving: Ids of VMs to mark as leaving; unknown ids are ignored.
            remove: Ids of VMs to remove; unknown ids are ignored.
            now: Time of the change, in seconds.

        Raises:
            OverloadedError: The list could exceed ``MAX_VMS`` entries.
        """
        if len(self._vms_by_id) + len(register) > MAX_VMS:
            raise OverloadedError(f"the list of VMs is limited to {MAX_VMS} entries")
        for vm in register:
            self._vms_by_id[vm["vm_id"]] = vm
        for vm_id in leaving:
            if vm_id in self._vms_by_id:
                leaving_vm = VmBody(**{**self._vms_by_id[vm_id], "state": "leaving"})
                self._vms_by_id[vm_id] = leaving_vm
        for vm_id in remove:
            self._vms_by_id.pop(vm_id, None)
        vms = tuple(self._vms_by_id[vm_id] for vm_id in sorted(self._vms_by_id))
        version = self._snapshots[-1].version + 1
        self._snapshots.append(_Snapshot(version, now, vms))

    def read(self, failure_domain: str, now: float) -> list[VmBody]:
        """Return the VMs of a failure domain; "" selects all domains."""
        return [
            vm
            for vm in self._visible_snapshot(now).vms
            if failure_domain in ("", vm["failure_domain"])
        ]

    def etag(self, now: float) -> str:
        """Return the entity tag of the visible list.

        It changes with the list and differs between ``VmList`` instances.
        """
        return f'"{self._instance_tag}-{self._visible_snapshot(now).version}"'

    def _visible_snapshot(self, now: float) -> _Snapshot:
        snapshots = self._snapshots
        while len(snapshots) > 1 and snapshots[1].changed_at + self.lag_s <= now:
            snapshots.popleft()
        return snapshots[0]

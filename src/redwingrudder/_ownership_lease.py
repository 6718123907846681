"""The store lease of the owner record, by the node's own clock."""

from collections.abc import Callable

from ._ownership_record import Acquisition, OwnerRecordClient
from .exceptions import RedwingrudderError

RENEW_S = 1.0
RENEW_TOLERANCE_S = 0.1  # renewals are sent by a tick


class OwnerLease:
    """Keeps a lease alive and knows until when it is valid.

    Args:
        record_client: Renews and releases the lease.
        seconds: The node's clock.
    """

    def __init__(
        self, record_client: OwnerRecordClient, seconds: Callable[[], float]
    ) -> None:
        self._record_client = record_client
        self._seconds = seconds
        self._lease_id = 0
        self._revision = 0
        self._valid_until = 0.0
        self._renewed_at = 0.0
        self._renewing = False

    def take(self, acquisition: Acquisition) -> None:
        """Hold the lease of an acquisition."""
        self._lease_id = acquisition.lease_id
        self._revision = acquisition.revision
        self._valid_until = acquisition.valid_until
        self._renewed_at = self._seconds()

    def is_lapsed(self) -> bool:
        """Whether the lease has lapsed or none is held."""
        return self._valid_until <= self._seconds()

    def is_renewal_due(self) -> bool:
        """Whether to renew the lease."""
        waited_s = self._seconds() - self._renewed_at
        return self._lease_id != 0 and waited_s >= RENEW_S - RENEW_TOLERANCE_S

    def confirm(self) -> None:
        """Note that the record still exists: there is time to renew."""
        self._valid_until = self._seconds() + RENEW_S

    async def renew(self) -> None:
        """Renew the lease unless that is under way."""
        if self._renewing:
            return
        lease_id = self._lease_id
        self._renewing = True
        self._renewed_at = self._seconds()
        try:
            valid_until = await self._record_client.renew(lease_id)
        except RedwingrudderError:
            return  # Without renewals it lapses by the own clock.
        finally:
            self._renewing = False
        if lease_id == self._lease_id:
            self._valid_until = 0.0 if valid_until is None else valid_until

    async def release(self) -> None:
        """Give the lease up, and the record with it."""
        lease_id = self._drop()
        if lease_id:
            await self._record_client.release(lease_id)

    async def hand_over(self) -> None:
        """Give the record up so that another node takes over at once."""
        lease_id = self._drop()
        if lease_id:
            await self._record_client.hand_over(lease_id, self._revision)

    def _drop(self) -> int:
        lease_id, self._lease_id = self._lease_id, 0
        self._valid_until = 0.0
        return lease_id

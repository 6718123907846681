"""The store lease of the owner record, by the node's own clock."""

from collections.abc import Callable

from ._ownership_record import Acquisition, OwnerRecordClient
from .exceptions import RedwingrudderError

RENEWAL_INTERVAL_S = 1.0
RENEWAL_TOLERANCE_S = 0.1  # renewals are sent by a tick


class OwnerLease:
    """Keeps a lease alive and knows until when it is valid.

    Args:
        record_client: Renews and releases the lease.
        seconds: The node's clock.
    """

    def __init__(
        self, record_client: OwnerRecordClient, now: Callable[[], float]
    ) -> None:
        self._record_client = record_client
        self._now = now
        self._lease_id = 0
        self._revision = 0
        self._valid_until = 0.0
        self._last_renewal_at = 0.0
        self._renewing = False

    def hold(self, acquisition: Acquisition) -> None:
        """Hold the lease of an acquisition."""
        self._lease_id = acquisition.lease_id
        self._revision = acquisition.revision
        self._valid_until = acquisition.valid_until
        self._last_renewal_at = self._now()

    def is_lapsed(self) -> bool:
        """Whether the lease has lapsed or none is held."""
        return self._valid_until <= self._now()

    def is_renewal_due(self) -> bool:
        """Whether to renew the lease."""
        since_renewal_s = self._now() - self._last_renewal_at
        return (
            self._lease_id != 0
            and since_renewal_s >= RENEWAL_INTERVAL_S - RENEWAL_TOLERANCE_S
        )

    def allow_renewal(self) -> None:
        """Note that the record still exists: there is time to renew."""
        self._valid_until = self._now() + RENEWAL_INTERVAL_S

    async def renew(self) -> None:
        """Renew the lease unless that is under way."""
        if self._renewing:
            return
        lease_id = self._lease_id
        self._renewing = True
        self._last_renewal_at = self._now()
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
        lease_id = self._clear()
        if lease_id:
            await self._record_client.release(lease_id)

    async def hand_over(self) -> None:
        """Give the record up so that another node takes over at once."""
        lease_id = self._clear()
        if lease_id:
            await self._record_client.hand_over(lease_id, self._revision)

    def _clear(self) -> int:
        lease_id, self._lease_id = self._lease_id, 0
        self._valid_until = 0.0
        return lease_id

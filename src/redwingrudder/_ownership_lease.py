"""Validity of the owner record's store lease by the node's own clock."""

from collections.abc import Callable

from ._ownership_record import Acquisition, OwnerRecordClient
from .exceptions import RedwingrudderError

RENEWAL_INTERVAL_S = 1.0
# Renewals are sent on the ticks of the ownership actor, so one that is nearly
# due is sent at once instead of on the next tick.
RENEWAL_TOLERANCE_S = 0.1


class OwnerLease:
    """Lease that this node holds for its owner record, if any.

    Args:
        record_client: Sends renewals and releases to the store.
        now: Returns the time of the node's clock in seconds.
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
        """Replace the held lease by the one of an acquisition."""
        self._lease_id = acquisition.lease_id
        self._revision = acquisition.revision
        self._valid_until = acquisition.valid_until
        self._last_renewal_at = self._now()

    def is_lapsed(self) -> bool:
        """Whether no lease is held or its validity has ended by this clock."""
        return self._valid_until <= self._now()

    def is_renewal_due(self) -> bool:
        """Whether the last renewal was sent about RENEWAL_INTERVAL_S ago."""
        since_renewal_s = self._now() - self._last_renewal_at
        return (
            self._lease_id != 0
            and since_renewal_s >= RENEWAL_INTERVAL_S - RENEWAL_TOLERANCE_S
        )

    def allow_renewal(self) -> None:
        """Extend the validity by RENEWAL_INTERVAL_S, enough for a renewal.

        Called after a read has shown that the record still exists in the
        store.
        """
        self._valid_until = self._now() + RENEWAL_INTERVAL_S

    async def renew(self) -> None:
        """Send a renewal unless one is under way; failures are ignored."""
        if self._renewing:
            return
        lease_id = self._lease_id
        self._renewing = True
        self._last_renewal_at = self._now()
        try:
            valid_until = await self._record_client.renew(lease_id)
        except RedwingrudderError:
            return  # The validity then ends by this node's clock.
        finally:
            self._renewing = False
        if lease_id == self._lease_id:
            self._valid_until = 0.0 if valid_until is None else valid_until

    async def release(self) -> None:
        """Revoke the held lease, which also deletes the owner record."""
        lease_id = self._clear()
        if lease_id:
            await self._record_client.release(lease_id)

    async def hand_over(self) -> None:
        """Delete the owner record so that another node takes over at once."""
        lease_id = self._clear()
        if lease_id:
            await self._record_client.hand_over(lease_id, self._revision)

    def _clear(self) -> int:
        lease_id, self._lease_id = self._lease_id, 0
        self._valid_until = 0.0
        return lease_id

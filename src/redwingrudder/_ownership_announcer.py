"""Notifications about owners for the subscribers of the ownership actor."""

import logging

from . import requests
from ._announcer import Announcer
from ._ownership_record import OwnerRecord
from .model import Epoch

_logger = logging.getLogger(__name__)
_NO_EPOCH = Epoch(-1, 0, 0)


class OwnershipAnnouncer:
    """Announces this node's ownership and the owners of all domains.

    Args:
        announcer: Delivers the messages to the subscribers.
        failure_domain: Failure domain of this node.
        node_id: Id of this node.
        address: Address of this node's thrift port.
    """

    def __init__(
        self, announcer: Announcer, failure_domain: str, node_id: str, address: str
    ) -> None:
        self._announcer = announcer
        self._failure_domain = failure_domain
        self._node_id = node_id
        self._address = address
        self._epochs_by_domain: dict[str, Epoch] = {}

    def announce_gained(self, epoch: Epoch) -> None:
        """Announce that this node now owns its domain under an epoch."""
        _logger.info("ownership gained", extra={"epoch": list(epoch)})
        self._announcer.announce(requests.OwnershipGained(epoch))
        self._announce_self(epoch)

    def announce_epoch_raised(self, epoch: Epoch) -> None:
        """Announce that this node, the owner, now has a higher epoch."""
        _logger.info("ownership epoch raised", extra={"epoch": list(epoch)})
        self._announcer.announce(requests.EpochRaised(epoch))
        self._announce_self(epoch)

    def announce_ended(self, cause: OwnerRecord | requests.Fenced | None) -> None:
        """Announce that this node no longer owns its domain.

        Args:
            cause: Owner record of another node, or the epoch that fenced
                this node; None if this node is draining.
        """
        reason = "the node is draining"
        if isinstance(cause, OwnerRecord):
            reason = f"{cause.node_id} holds the owner record"
        elif isinstance(cause, requests.Fenced):
            reason = f"epoch {tuple(cause.epoch)} was fenced by {tuple(cause.highest)}"
        _logger.info("ownership ended", extra={"reason": reason})
        self._announcer.announce(requests.OwnershipEnded(reason))

    def announce_owner(
        self, domain: str, node_id: str, address: str, epoch: Epoch
    ) -> None:
        """Announce the owner of a domain.

        Does nothing unless the epoch is higher than the last one announced
        for the domain.
        """
        if epoch > self._epochs_by_domain.get(domain, _NO_EPOCH):
            self._epochs_by_domain[domain] = epoch
            changed = requests.OwnerChanged(domain, node_id, address, epoch)
            self._announcer.announce(changed)

    def _announce_self(self, epoch: Epoch) -> None:
        self.announce_owner(self._failure_domain, self._node_id, self._address, epoch)

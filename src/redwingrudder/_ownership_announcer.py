"""What the ownership actor tells its subscribers."""

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
        announcer: Reaches the subscribers.
        failure_domain: This node's failure domain.
        node_id: This node.
        address: Address of its thrift port.
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
        """This node began to own its domain."""
        _logger.info("owning", extra={"epoch": list(epoch)})
        self._announcer.announce(requests.OwnershipGained(epoch))
        self._announce_self(epoch)

    def announce_epoch_raised(self, epoch: Epoch) -> None:
        """This node owns its domain under a higher epoch."""
        _logger.info("owning under a higher epoch", extra={"epoch": list(epoch)})
        self._announcer.announce(requests.EpochRaised(epoch))
        self._announce_self(epoch)

    def announce_ended(self, cause: OwnerRecord | requests.Fenced | None) -> None:
        """This node's ownership ended; None means that it is draining."""
        reason = "the node is draining"
        if isinstance(cause, OwnerRecord):
            reason = f"{cause.node_id} holds the owner record"
        elif isinstance(cause, requests.Fenced):
            reason = f"epoch {tuple(cause.highest)} fences {tuple(cause.epoch)}"
        _logger.info("ownership ended", extra={"reason": reason})
        self._announcer.announce(requests.OwnershipEnded(reason))

    def announce_owner(
        self, domain: str, node_id: str, address: str, epoch: Epoch
    ) -> None:
        """Tell the owner of a domain unless a later one is known."""
        if epoch > self._epochs_by_domain.get(domain, _NO_EPOCH):
            self._epochs_by_domain[domain] = epoch
            changed = requests.OwnerChanged(domain, node_id, address, epoch)
            self._announcer.announce(changed)

    def _announce_self(self, epoch: Epoch) -> None:
        self.announce_owner(self._failure_domain, self._node_id, self._address, epoch)

"""The operators' configuration and the actor that keeps it up to date.

docs/design.md section 4.7 gives the reasons for the keys in the store.
"""

import logging
import random
from typing import Any, NamedTuple

from . import _configuration_codec as codec
from . import requests
from ._background import run
from ._chart_runner import ChartRunner
from ._configuration_document import (
    ConfigurationDocument,
    parse_document,
    to_configuration,
    to_document,
)
from ._configuration_writer import ConfigurationWriter, live_workers
from .actors import Actor, ActorSystem, Handler
from .exceptions import MailboxFullError, RedwingrudderError, UnavailableError
from .messages import ConfigurationChanged
from .model import Configuration
from .statecharts import load_chart
from .timers import TIMERS, Subscribe, TimerFired

__all__ = [
    "ConfigurationActor",
    "ConfigurationDocument",
    "live_workers",
    "parse_document",
    "to_configuration",
    "to_document",
]

# A failed read is repeated after a random share of READ_RETRY_S, between
# READ_RETRY_MIN_SHARE and all of it.
READ_RETRY_S = 1.0
READ_RETRY_MIN_SHARE = 0.5
NOTIFY_RETRY_S = 0.1  # delay after a subscriber's mailbox was full
_READ_TIMER = "read"
_NOTIFY_TIMER = "tell"

_logger = logging.getLogger(__name__)
_EVENTS = frozenset(
    {
        "store_available",
        "store_lost",
        "document_read",
        "read_failed",
        "retry_due",
        "changed",
        "gap_found",
        "watch_reset",
        "offered",
    }
)
_ACTIONS = frozenset(
    {"read_document", "schedule_read", "adopt", "watch_changes", "apply_change"}
)


class _ReadResult(NamedTuple):
    """Result of a read, or a configuration offered by a peer.

    Attributes:
        configuration: None when the store holds no document.
        revision: Store revision of the read, from which changes are watched;
            0 for an offered configuration.
    """

    configuration: Configuration | None
    revision: int


class ConfigurationActor(Actor):
    """Keeps the configuration in force and notifies subscribers of changes.

    It reads the document from the store, watches the change keys, adopts
    newer versions that peers offer, and writes the changes that operators
    request. The chart ``configuration`` decides what it does on each event.

    Args:
        system: The actor system of the node.
        subscribers: Names of the actors that receive each
            ``ConfigurationChanged``.
        seed: Seed of the random delays between reads.
    """

    def __init__(
        self, system: ActorSystem, subscribers: tuple[str, ...], seed: int = 0
    ) -> None:
        self._subscribers = subscribers
        self._rng = random.Random(seed)
        self._in_force: Configuration | None = None
        self._unnotified_subscribers: set[str] = set()
        self._writer = ConfigurationWriter(
            lambda request: self.ask(requests.STORE, request)
        )
        self._chart = ChartRunner(
            load_chart("configuration", _EVENTS, _ACTIONS),
            {
                "read_document": self._read_document,
                "schedule_read": self._schedule_read,
                "adopt": self._adopt_read,
                "watch_changes": self._watch_changes,
                "apply_change": self._apply_change,
            },
        )
        super().__init__(system, requests.CONFIGURATION)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            requests.GetConfiguration: self._get_configuration,
            requests.ApplyConfiguration: self._apply_document,
            requests.OfferConfiguration: self._offer_received,
            requests.StoreStatus: self._store_status_changed,
            requests.WatchChanged: self._watch_changed,
            requests.WatchReset: lambda message: self._chart.step("watch_reset"),
            TimerFired: self._timer_fired,
        }

    def start(self) -> None:
        """Subscribe to the availability of the store."""
        self.tell(requests.STORE, requests.SubscribeStoreStatus(self.name))

    def _get_configuration(self, message: requests.GetConfiguration) -> Configuration:
        if self._in_force is None:
            raise UnavailableError(
                "no configuration is in force", code="no_configuration"
            )
        return self._in_force

    async def _apply_document(
        self, message: requests.ApplyConfiguration
    ) -> Configuration:
        accepted = await self._writer.write(message, self._in_force)
        self._adopt(accepted)
        return accepted

    def _offer_received(self, message: requests.OfferConfiguration) -> None:
        self._chart.step("offered", _ReadResult(message.configuration, 0))

    def _store_status_changed(self, status: requests.StoreStatus) -> None:
        self._chart.step("store_available" if status.available else "store_lost")

    def _watch_changed(self, message: requests.WatchChanged) -> None:
        for change in message.changes:
            # A change without a value is the deletion of an old change key.
            if change.value is not None:
                self._chart.step("changed", change.value)

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer == _READ_TIMER:
            self._chart.step("retry_due")
        else:
            self._notify_subscribers()

    def _read_document(self, argument: Any) -> None:
        run(self._read_from_store(), self.name)

    async def _read_from_store(self) -> None:
        try:
            reply = await self.ask(
                requests.STORE, requests.GetPrefix(codec.DOCUMENT_KEY)
            )
            values = [pair.value for pair in reply.pairs]
            configuration = codec.decode_configuration(values[0]) if values else None
        except (RedwingrudderError, ValueError) as error:
            _logger.warning(
                "failed to read the configuration from the store",
                extra={"error": str(error)},
            )
            self._chart.step("read_failed")
            return
        self._chart.step("document_read", _ReadResult(configuration, reply.revision))

    def _schedule_read(self, argument: Any) -> None:
        delay_s = READ_RETRY_S * self._rng.uniform(READ_RETRY_MIN_SHARE, 1.0)
        self.tell(TIMERS, Subscribe(self.name, _READ_TIMER, delay_s))

    def _watch_changes(self, result: _ReadResult) -> None:
        watch = requests.WatchPrefix(self.name, codec.CHANGE_PREFIX, result.revision)
        self.tell(requests.STORE, watch)

    def _adopt_read(self, result: _ReadResult) -> None:
        if result.configuration is not None:
            self._adopt(result.configuration)

    def _apply_change(self, value: str) -> None:
        version = 0 if self._in_force is None else self._in_force.version
        try:
            change = codec.decode_change(value)
        except ValueError:
            _logger.exception("failed to decode a configuration change")
            self._chart.step("gap_found")
            return
        if change.version == version + 1:
            self._adopt(codec.apply_change(self._in_force, change))
        elif change.version > version:
            # A change in between was missed, so the document is read again.
            self._chart.step("gap_found")

    def _adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force if its version is higher."""
        if self._in_force and configuration.version <= self._in_force.version:
            return
        self._in_force = configuration
        _logger.info("configuration in force", extra={"version": configuration.version})
        self._unnotified_subscribers = set(self._subscribers)
        self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        message = ConfigurationChanged(
            self._get_configuration(requests.GetConfiguration())
        )
        for subscriber in sorted(self._unnotified_subscribers):
            try:
                self.tell(subscriber, message)
                self._unnotified_subscribers.discard(subscriber)
            except MailboxFullError:
                # Every subscriber must receive the latest version, so the
                # message is sent again later.
                self.tell(TIMERS, Subscribe(self.name, _NOTIFY_TIMER, NOTIFY_RETRY_S))

"""The operators' configuration: its document and the actor that follows it.

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

READ_RETRY_S = 1.0  # jittered by half to a whole of it
TELL_RETRY_S = 0.1

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


class _Read(NamedTuple):
    """The document as read; None when the store holds none."""

    configuration: Configuration | None
    revision: int


class ConfigurationActor(Actor):
    """Follows the configuration, accepts changes and tells subscribers.

    Args:
        system: The node's actors.
        subscribers: Names of the actors that get ``ConfigurationChanged``.
        seed: Seed of the jitter.
    """

    def __init__(
        self, system: ActorSystem, subscribers: tuple[str, ...], seed: int = 0
    ) -> None:
        self._subscribers = subscribers
        self._jitter = random.Random(seed)
        self._in_force: Configuration | None = None
        self._untold: set[str] = set()
        self._writer = ConfigurationWriter(lambda m: self.ask(requests.STORE, m))
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
            requests.GetConfiguration: self._get,
            requests.ApplyConfiguration: self._accept,
            requests.OfferConfiguration: self._offered,
            requests.StoreStatus: self._store_status,
            requests.WatchChanged: self._watch_changed,
            requests.WatchReset: lambda message: self._chart.step("watch_reset"),
            TimerFired: self._timer_fired,
        }

    def start(self) -> None:
        """Ask for the state of the store."""
        self.tell(requests.STORE, requests.SubscribeStoreStatus(self.name))

    def _get(self, message: requests.GetConfiguration) -> Configuration:
        if self._in_force is None:
            raise UnavailableError(
                "no configuration is in force", code="no_configuration"
            )
        return self._in_force

    async def _accept(self, message: requests.ApplyConfiguration) -> Configuration:
        accepted = await self._writer.write(message, self._in_force)
        self._adopt(accepted)
        return accepted

    def _offered(self, message: requests.OfferConfiguration) -> None:
        self._chart.step("offered", _Read(message.configuration, 0))

    def _store_status(self, status: requests.StoreStatus) -> None:
        self._chart.step("store_available" if status.available else "store_lost")

    def _watch_changed(self, message: requests.WatchChanged) -> None:
        for change in message.changes:
            if change.value is not None:
                self._chart.step("changed", change.value)

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer == "read":
            self._chart.step("retry_due")
        else:
            self._tell_subscribers()

    def _read_document(self, argument: Any) -> None:
        run(self._read(), self.name)

    async def _read(self) -> None:
        try:
            reply = await self.ask(
                requests.STORE, requests.GetPrefix(codec.DOCUMENT_KEY)
            )
            values = [pair.value for pair in reply.pairs]
            found = codec.decode_configuration(values[0]) if values else None
        except (RedwingrudderError, ValueError, KeyError, TypeError) as error:
            _logger.warning("configuration not read", extra={"error": str(error)})
            self._chart.step("read_failed")
            return
        self._chart.step("document_read", _Read(found, reply.revision))

    def _schedule_read(self, argument: Any) -> None:
        delay_s = READ_RETRY_S * self._jitter.uniform(0.5, 1.0)
        self.tell(TIMERS, Subscribe(self.name, "read", delay_s))

    def _watch_changes(self, read: _Read) -> None:
        watch = requests.WatchPrefix(self.name, codec.CHANGE_PREFIX, read.revision)
        self.tell(requests.STORE, watch)

    def _adopt_read(self, read: _Read) -> None:
        if read.configuration is not None:
            self._adopt(read.configuration)

    def _apply_change(self, value: str) -> None:
        version = 0 if self._in_force is None else self._in_force.version
        try:
            change = codec.decode_change(value)
        except (ValueError, KeyError, TypeError):
            _logger.exception("configuration change not understood")
            self._chart.step("gap_found")
            return
        if change.version == version + 1:
            self._adopt(codec.apply_change(self._in_force, change))
        elif change.version > version:
            self._chart.step("gap_found")

    def _adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force unless it is older."""
        if self._in_force and configuration.version <= self._in_force.version:
            return
        self._in_force = configuration
        _logger.info("configuration in force", extra={"version": configuration.version})
        self._untold = set(self._subscribers)
        self._tell_subscribers()

    def _tell_subscribers(self) -> None:
        message = ConfigurationChanged(self._get(requests.GetConfiguration()))
        for subscriber in sorted(self._untold):
            try:
                self.tell(subscriber, message)
                self._untold.discard(subscriber)
            except MailboxFullError:
                # A version must not be lost, so it is told again.
                self.tell(TIMERS, Subscribe(self.name, "tell", TELL_RETRY_S))

"""Follows the operators' configuration in the store and at peers."""

import logging

from .._background import run
from .._store_requests import GetPrefix, PrefixReply
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import InvalidConfigurationError, RedwingrudderError
from ..timers import TIMERS, Subscribe, TimerFired
from .gateways import (
    CONFIGURATION,
    STORE,
    AwaitChanges,
    ConfigurationCodec,
    OperatorConfiguration,
)
from .messages import (
    ConfigurationInForce,
    GetConfigurationDocument,
    OfferConfigurationDocument,
)
from .metrics import METRICS, SetGauge

WATCH_S = 1.0  # a watch that has gone silent is noticed within this time
RETRY_S = 0.3  # below the bound on configuration changes

_logger = logging.getLogger(__name__)


class ConfigurationFeed(Actor):
    """Keeps the newest configuration; versions never fall.

    Args:
        system: The node's actors.
        codec: Reads the document.
        subscribers: Actors told of each newer version.
    """

    def __init__(
        self,
        system: ActorSystem,
        codec: ConfigurationCodec,
        subscribers: tuple[str, ...],
    ) -> None:
        self.current: OperatorConfiguration | None = None
        self._codec = codec
        self._subscribers = subscribers
        self._document = ""
        self._stopping = False
        super().__init__(system, CONFIGURATION)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            TimerFired: lambda _: run(self._follow(), self.name) and None,
            GetConfigurationDocument: self._get_document,
            OfferConfigurationDocument: lambda m: self._take(m.document, "neighbour"),
        }

    def start(self) -> None:
        """Read the configuration."""
        self.tell(TIMERS, Subscribe(self.name, "follow", 0.0))

    def stop(self) -> None:
        """End the watch with its next answer."""
        self._stopping = True

    async def _follow(self) -> None:
        """Read the key, then follow its changes until a call fails."""
        try:
            reply: PrefixReply = await self.ask(STORE, GetPrefix(self._codec.key))
            for pair in reply.pairs:
                if pair.key == self._codec.key:
                    self._take(pair.value, "store")
            # The key's own revision may be older than the kept history.
            revision = reply.revision
            while not self._stopping:
                changes = await self.ask(
                    STORE, AwaitChanges(self._codec.key, revision, WATCH_S)
                )
                if changes.expired:
                    break
                for change in changes.changes:
                    if change.key == self._codec.key and change.value is not None:
                        self._take(change.value, "store")
                revision = changes.revision
        except RedwingrudderError as error:
            _logger.info("configuration watch lost", extra={"error": str(error)})
        if not self._stopping:
            self.tell(TIMERS, Subscribe(self.name, "follow", RETRY_S))

    def _get_document(self, request: GetConfigurationDocument) -> str:
        newer = self.current is not None and (
            self.current.version > request.above_version
        )
        return self._document if newer else ""

    def _take(self, document: str, source: str) -> None:
        try:
            configuration = self._codec.decode(document)
        except InvalidConfigurationError as error:
            _logger.error("configuration refused", extra={"error": str(error)})
            return
        old = self.current.version if self.current is not None else 0
        if configuration.version <= old:
            return
        self.current = configuration
        self._document = document
        _logger.info(
            "configuration in force",
            extra={"version": configuration.version, "old": old, "source": source},
        )
        version = SetGauge("configuration_version", configuration.version)
        self.tell(METRICS, version)
        for subscriber in self._subscribers:
            self.tell(subscriber, ConfigurationInForce(configuration))

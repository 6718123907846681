"""Follows the operators' configuration in the store and at other nodes."""

import logging

from .._background import run
from .._store_requests import GetPrefix, PrefixReply
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import InvalidConfigurationError, RedwingrudderError
from ..timers import TIMERS, Subscribe, TimerFired
from .gateways import (
    CONFIGURATION,
    PEERS,
    STORE,
    AwaitChanges,
    ConfigurationCodec,
    OperatorConfiguration,
)
from .messages import (
    ConfigurationInForce,
    GetConfigurationDocument,
    NewerConfigurationSeen,
    NewestConfigurationVersion,
)
from .metrics import METRICS, SetGauge
from .peers import CallPeer

# A watch whose connection has died without an error is noticed within this
# time.
WATCH_TIMEOUT_S = 1.0
# Must stay below the time within which a configuration change has to take
# effect.
RETRY_DELAY_S = 0.3
# A peer's document of 1 MB on a link of 2 Mbit/s.
PEER_TRANSFER_S = 4.0

_logger = logging.getLogger(__name__)


class ConfigurationFeed(Actor):
    """Keeps the newest configuration and announces each newer version.

    Documents come from the store, and from a peer while the store does not
    answer this node. One whose version is not above the current version is
    ignored.

    Args:
        system: The actor system of this node.
        codec: Decodes the configuration document.
        subscribers: Names of the actors that get ``ConfigurationInForce``
            for each newer version.
        version_subscribers: Names of the actors that get
            ``NewestConfigurationVersion`` when a peer has a version before
            this node.
    """

    def __init__(
        self,
        system: ActorSystem,
        codec: ConfigurationCodec,
        subscribers: tuple[str, ...],
        version_subscribers: tuple[str, ...] = (),
    ) -> None:
        self.current: OperatorConfiguration | None = None
        self._codec = codec
        self._subscribers = subscribers
        self._version_subscribers = version_subscribers
        # Newest version that a peer has reported, and that peer's address.
        self._newest_version = 0
        self._newest_address = ""
        self._document = ""
        self._store_answers = False
        self._fetching = False
        self._stopping = False
        super().__init__(system, CONFIGURATION)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            TimerFired: lambda _: run(self._follow(), self.name) and None,
            GetConfigurationDocument: self._get_document,
            NewerConfigurationSeen: self._consider_peer,
        }

    def start(self) -> None:
        """Schedule the first read of the configuration."""
        self.tell(TIMERS, Subscribe(self.name, "follow", 0.0))

    def stop(self) -> None:
        """Let the watch end when the store next answers it."""
        self._stopping = True

    async def _follow(self) -> None:
        """Read the key, then watch it until a call fails or history is lost.

        Unless the actor is stopping, the next attempt is scheduled after
        ``RETRY_DELAY_S``.
        """
        try:
            reply: PrefixReply = await self.ask(STORE, GetPrefix(self._codec.key))
            self._store_answers = True
            for pair in reply.pairs:
                if pair.key == self._codec.key:
                    self._apply_document(pair.value, "store")
            # Watch from the revision of the read: the revision of the key may
            # be older than the history that the store keeps.
            revision = reply.revision
            while not self._stopping:
                changes = await self.ask(
                    STORE, AwaitChanges(self._codec.key, revision, WATCH_TIMEOUT_S)
                )
                if changes.expired:
                    break
                for change in changes.changes:
                    if change.key == self._codec.key and change.value is not None:
                        self._apply_document(change.value, "store")
                revision = changes.revision
        except RedwingrudderError as error:
            self._store_answers = False
            _logger.info(
                "configuration watch failed; it is started again",
                extra={"error": str(error)},
            )
        except Exception:
            _logger.exception("configuration watch failed unexpectedly")
        if not self._stopping:
            self.tell(TIMERS, Subscribe(self.name, "follow", RETRY_DELAY_S))

    def _consider_peer(self, message: NewerConfigurationSeen) -> None:
        """Fetch a newer document from a peer if the store does not send it.

        While the store sends it, a copy from a peer would only delay it on
        the node's link.
        """
        current_version = self.current.version if self.current is not None else 0
        if message.version <= current_version:
            return
        if message.version > self._newest_version:
            self._newest_version = message.version
            self._newest_address = message.address
            for subscriber in self._version_subscribers:
                self.tell(subscriber, NewestConfigurationVersion(message.version))
        is_needed = not self._store_answers or not current_version
        if is_needed and not self._fetching:
            self._fetching = True
            run(self._fetch_from_peer(message), self.name)

    async def _fetch_from_peer(self, seen: NewerConfigurationSeen) -> None:
        """Fetch a document from a peer and put it in force.

        A process without a configuration does not know which version was in
        force before it started. If another peer has a newer version than the
        first document, it is asked too, so that keys and queues that were
        removed are not used again. An outdated document is better than none.
        """
        try:
            document = await self._read_from_peer(seen.address)
            if self.current is None and seen.version < self._newest_version:
                newer = await self._read_from_peer(self._newest_address)
                document = newer or document
        finally:
            self._fetching = False
        if document:
            self._apply_document(document, "neighbour")

    async def _read_from_peer(self, address: str) -> str:
        """Return the newer document of a peer, "" if there is none."""
        version = self.current.version if self.current is not None else 0
        call = CallPeer(
            address, "configuration", (version,), transfer_s=PEER_TRANSFER_S
        )
        try:
            return await self.ask(PEERS, call)
        except RedwingrudderError as error:
            _logger.info(
                "configuration was not read from a peer",
                extra={"peer": address, "error": str(error)},
            )
            return ""

    def _get_document(self, request: GetConfigurationDocument) -> str:
        is_newer = self.current is not None and (
            self.current.version > request.above_version
        )
        return self._document if is_newer else ""

    def _apply_document(self, document: str, source: str) -> None:
        """Put a document in force if it is valid and of a newer version."""
        try:
            configuration = self._codec.decode(document)
        except InvalidConfigurationError as error:
            _logger.error(
                "configuration document is invalid; it is ignored",
                extra={"error": str(error)},
            )
            return
        except Exception:
            _logger.exception("configuration document could not be decoded")
            return
        old_version = self.current.version if self.current is not None else 0
        if configuration.version <= old_version:
            return
        self.current = configuration
        self._document = document
        _logger.info(
            "configuration version is now in force",
            extra={
                "version": configuration.version,
                "old": old_version,
                "source": source,
                "bytes": len(document),
            },
        )
        gauge = SetGauge("configuration_version", configuration.version)
        self.tell(METRICS, gauge)
        for subscriber in self._subscribers:
            self.tell(subscriber, ConfigurationInForce(configuration))

"""Calls between nodes: requests to a failure domain's owner, and reports.

``Peers`` owns the thrift server, the connections to other nodes and the
periodic exchange of reports; ``_peer_plan`` selects the peers of an exchange.
"""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred, maybeDeferred
from twisted.internet.interfaces import IListeningPort, IReactorTCP
from twisted.python.failure import Failure

from . import requests
from ._configuration_codec import decode_configuration
from ._json_values import from_json
from ._peer_codec import (
    decode_explanation,
    decode_report,
    decode_view,
    encode_report,
    encode_spec,
)
from ._peer_handler import PeerHandler
from ._peer_link import CallKind, PeerCall, PeerLink
from ._peer_plan import EXCHANGE_INTERVAL_S, PeerPlan
from ._peer_wire import PeerServerFactory
from .actors import Actor, ActorSystem, Handler
from .exceptions import OutcomeUnknownError, RedwingrudderError
from .messages import ConfigurationChanged
from .model import Configuration, Epoch
from .timers import TIMERS, Subscribe, TimerFired

CALL_TIMEOUT_S = 10.0
CANCEL_TIMEOUT_S = 30.0  # a cancellation waits until workers release the gang
POLL_MARGIN_S = 5.0  # added to the wait time that the caller requested
EXCHANGE_TIMEOUT_S = 2.0
# Delay before a newer configuration is copied from a peer. Nodes normally
# receive a change through their store watch, and copying the whole document
# immediately would use most of the traffic budget.
CONFIGURATION_LAG_S = 2.0

_EXCHANGE = "exchange"
_NO_EPOCH = Epoch(0, 0, 0)
_logger = logging.getLogger(__name__)

Decoder = Callable[[Any], Any]


class PeersSettings(NamedTuple):
    """Identity and addresses of this node.

    Attributes:
        node_id: Id of this node.
        node_rank: Rank of this node, which its epochs contain.
        failure_domain: Failure domain of this node.
        interface: Address that the thrift server listens on.
        port: Port of the thrift server; 0 selects any free port.
        advertised_address: host:port that other nodes connect to. If it is
            empty, the address of the listening socket is advertised.
    """

    node_id: str
    node_rank: int
    failure_domain: str
    interface: str
    port: int
    advertised_address: str = ""


class Peers(Actor):
    """Actor that serves calls of other nodes and makes calls to them.

    Args:
        system: The actor system of the node.
        reactor: Opens the sockets.
        settings: Identity and addresses of this node.
    """

    def __init__(
        self, system: ActorSystem, reactor: IReactorTCP, settings: PeersSettings
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._plan = PeerPlan(settings.node_id, settings.failure_domain)
        self._links_by_address: dict[str, PeerLink] = {}
        self._port: IListeningPort | None = None
        self._local_report = _initial_report(settings)
        self._outdated_since: float | None = None
        self._newer_report: requests.PeerReport | None = None
        self._handler = PeerHandler(system.ask, self._handle_report)
        self.server = PeerServerFactory(self._handler, system.clock.seconds)
        super().__init__(system, requests.PEERS)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            requests.AskPeer: self._ask_peer,
            requests.GetPeerConfiguration: self._get_peer_configuration,
            requests.MembersChanged: self._members_changed,
            requests.OwnerChanged: self._owner_changed,
            requests.OwnershipGained: self._owner_epoch_set,
            requests.EpochRaised: self._owner_epoch_set,
            requests.OwnershipEnded: self._ownership_ended,
            requests.LocalLoad: self._load_changed,
            requests.Drain: self._drain,
            ConfigurationChanged: self._configuration_changed,
            TimerFired: self._timer_fired,
        }

    @property
    def address(self) -> str:
        """The host:port that other nodes connect to."""
        return self._local_report.address

    def start(self) -> None:
        """See base class."""
        self._port = self._reactor.listenTCP(
            self._settings.port, self.server, interface=self._settings.interface
        )
        if not self.address:
            host = self._port.getHost()
            self._local_report = self._local_report._replace(
                address=f"{host.host}:{host.port}"
            )
        timer = Subscribe(
            self.name, _EXCHANGE, EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_S
        )
        self.tell(TIMERS, timer)

    def stop(self) -> Deferred | None:
        """See base class."""
        for link in self._links_by_address.values():
            link.stop()
        for connection in list(self.server.connections):
            connection.transport.loseConnection()
        if self._port is None:
            return None
        return maybeDeferred(self._port.stopListening)

    async def _ask_peer(self, message: requests.AskPeer) -> Any:
        call, decode = _peer_call(message.request)
        return await self._call(message.address, call, decode)

    async def _get_peer_configuration(
        self, message: requests.GetPeerConfiguration
    ) -> Configuration | None:
        call = PeerCall("configuration", (message.above_version,), CALL_TIMEOUT_S)
        return await self._call(message.address, call, _decode_configuration)

    async def _call(self, address: str, call: PeerCall, decode: Decoder) -> Any:
        reply = await self._link(address).call(call)
        try:
            return decode(reply)
        except (RedwingrudderError, ValueError, KeyError, TypeError) as error:
            raise OutcomeUnknownError(
                f"cannot decode the reply of {address} to {call.method}: {error}"
            ) from None

    def _link(self, address: str) -> PeerLink:
        link = self._links_by_address.get(address)
        if link is None:
            link = PeerLink(self._reactor, address, self.system.clock.seconds)
            self._links_by_address[address] = link
        return link

    def _members_changed(self, message: requests.MembersChanged) -> None:
        self._plan.set_members(message.vms)

    def _owner_changed(self, message: requests.OwnerChanged) -> None:
        self._fail_sent_calls(self._plan.set_owner(message))
        if message.failure_domain == self._settings.failure_domain:
            epoch = max(self._local_report.epoch, message.epoch)
            self._local_report = self._local_report._replace(epoch=epoch)

    def _fail_sent_calls(self, address: str | None) -> None:
        """Fail the calls that wait for a replaced owner, if there was one."""
        link = self._links_by_address.get(address or "")
        if link is not None:
            link.fail_sent_calls()

    def _owner_epoch_set(
        self, message: requests.OwnershipGained | requests.EpochRaised
    ) -> None:
        self._local_report = self._local_report._replace(
            owner=True, epoch=message.epoch
        )
        self._plan.set_owner(
            requests.OwnerChanged(
                self._settings.failure_domain,
                self._settings.node_id,
                self.address,
                message.epoch,
            )
        )

    def _ownership_ended(self, message: requests.OwnershipEnded) -> None:
        self._local_report = self._local_report._replace(
            owner=False, free_accelerators=0, largest_free_gang=0, queued_jobs=0
        )
        self._plan.remove_owner(self._settings.node_id)

    def _load_changed(self, load: requests.LocalLoad) -> None:
        if self._local_report.owner:
            self._local_report = self._local_report._replace(**load._asdict())
            self._notify((requests.ROUTER,), self._local_report)

    def _drain(self, message: requests.Drain) -> Deferred:
        self._local_report = self._local_report._replace(draining=True)
        return self._handler.drain()

    def _configuration_changed(self, message: ConfigurationChanged) -> None:
        version = message.configuration.version
        self._local_report = self._local_report._replace(configuration_version=version)
        if self._newer_report and self._newer_report.configuration_version <= version:
            self._newer_report = None
            self._outdated_since = None

    def _timer_fired(self, event: TimerFired) -> None:
        self._close_expired(event.now)
        for address in self._plan.select_addresses(event.now):
            ensureDeferred(self._exchange(address))
        for peer in self._plan.find_silent_peers(event.now):
            notice = requests.PeerSilent(*peer)
            self._notify((requests.OWNERSHIP, requests.ROUTER), notice)
        self._copy_configuration(event.now)

    def _close_expired(self, now: float) -> None:
        for address, link in list(self._links_by_address.items()):
            link.expire(now)
            if link.is_unused:
                del self._links_by_address[address]
        for connection in list(self.server.connections):
            connection.close_if_idle(now)

    async def _exchange(self, address: str) -> None:
        report = encode_report(self._local_report)
        call = PeerCall("exchange", (report,), EXCHANGE_TIMEOUT_S, kind=CallKind.REPORT)
        try:
            self._handle_report(await self._call(address, call, decode_report))
        except RedwingrudderError as error:
            _logger.debug(
                "report exchange with a peer failed",
                extra={"peer": address, "error": str(error)},
            )

    def _handle_report(self, report: requests.PeerReport) -> requests.PeerReport:
        """Process a peer's report and return the report of this node."""
        if report.node_id == self._settings.node_id:
            return self._local_report
        now = self.system.clock.seconds()
        self._fail_sent_calls(self._plan.record_report(report, now))
        # The CONFIGURATION actor does not receive reports: it would copy the
        # document on each report of a higher version, whereas
        # ``_copy_configuration`` first waits for the store watch.
        self._notify((requests.OWNERSHIP, requests.ROUTER), report)
        if report.configuration_version > self._local_report.configuration_version:
            self._newer_report = report
            if self._outdated_since is None:
                self._outdated_since = now
        return self._local_report

    def _copy_configuration(self, now: float) -> None:
        """Copy a peer's newer configuration if the watch brought none."""
        if self._newer_report is None or self._outdated_since is None:
            return
        lag_s = CONFIGURATION_LAG_S if self._local_report.configuration_version else 0.0
        if now - self._outdated_since < lag_s:
            return
        self._outdated_since = now
        request = requests.GetPeerConfiguration(
            self._newer_report.address, self._local_report.configuration_version
        )
        copy = ensureDeferred(self._get_peer_configuration(request))
        copy.addCallbacks(self._offer_configuration, self._copy_failed)

    def _offer_configuration(self, configuration: Configuration | None) -> None:
        if configuration is not None:
            offer = requests.OfferConfiguration(configuration)
            self._notify((requests.CONFIGURATION,), offer)

    def _copy_failed(self, failure: Failure) -> None:
        _logger.warning(
            "copying the configuration from a peer failed",
            extra={"error": str(failure.value)},
        )

    def _notify(self, receivers: tuple[str, ...], message: Any) -> None:
        """Send a message to several actors, even if a mailbox is full."""
        for name in receivers:
            try:
                self.tell(name, message)
            except RedwingrudderError as error:
                _logger.warning(
                    "message not delivered to an actor",
                    extra={"actor": name, "error": str(error)},
                )


def _initial_report(settings: PeersSettings) -> requests.PeerReport:
    return requests.PeerReport(
        node_id=settings.node_id,
        node_rank=settings.node_rank,
        failure_domain=settings.failure_domain,
        address=settings.advertised_address,
        owner=False,
        epoch=_NO_EPOCH,
        configuration_version=0,
        free_accelerators=0,
        largest_free_gang=0,
        queued_jobs=0,
        draining=False,
    )


def _peer_call(request: Any) -> tuple[PeerCall, Decoder]:
    """Return the call for a request and the decoder of its reply.

    Raises:
        TypeError: Requests of this type are not sent to other nodes.
    """
    match request:
        case requests.SubmitJob(spec, correlation_id):
            arguments = (encode_spec(spec), correlation_id)
            payload_size = len(spec.payload)
            return PeerCall(
                "submit", arguments, CALL_TIMEOUT_S, payload_size
            ), decode_view
        case requests.PollJob(job_id, wait_s):
            arguments = (job_id, round(wait_s * 1_000))
            kind = CallKind.WAITING if wait_s > 0 else CallKind.PROMPT
            timeout_s = wait_s + POLL_MARGIN_S
            return PeerCall("poll", arguments, timeout_s, kind=kind), decode_view
        case requests.CancelJob(job_id):
            return PeerCall("cancel", (job_id,), CANCEL_TIMEOUT_S), decode_view
        case requests.ExplainJob(job_id):
            return PeerCall("explain", (job_id,), CALL_TIMEOUT_S), decode_explanation
        case requests.GetStatus():
            return PeerCall("status", (), CALL_TIMEOUT_S), _decode_status
    raise TypeError(f"no thrift call for requests of type {type(request).__name__}")


def _decode_status(text: str) -> requests.DomainStatus:
    return from_json(requests.DomainStatus, text)


def _decode_configuration(text: str) -> Configuration | None:
    return decode_configuration(text) if text else None

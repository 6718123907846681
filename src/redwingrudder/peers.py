"""Traffic between nodes: calls for a failure domain's owner and reports.

``Peers`` owns the thrift server, the connections to other nodes and the
exchange of reports; ``_peer_plan`` chooses with whom to exchange.
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
CANCEL_TIMEOUT_S = 30.0  # a cancellation waits for workers' releases
POLL_MARGIN_S = 5.0  # on top of the wait that the caller asked for
EXCHANGE_TIMEOUT_S = 2.0
# A change reaches nodes by their store watch first; copying the whole
# document from a peer at once would cost most of the traffic budget.
CONFIGURATION_LAG_S = 2.0

_EXCHANGE = "exchange"
_NO_EPOCH = Epoch(0, 0, 0)
_logger = logging.getLogger(__name__)

Decoder = Callable[[Any], Any]


class PeersSettings(NamedTuple):
    """This node as its peers see it.

    ``advertised_address`` is host:port for other nodes; when it is empty,
    the address of the listening socket is used.
    """

    node_id: str
    node_rank: int
    failure_domain: str
    interface: str
    port: int
    advertised_address: str = ""


class Peers(Actor):
    """Serves calls of other nodes and makes calls to them."""

    def __init__(
        self, system: ActorSystem, reactor: IReactorTCP, settings: PeersSettings
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._plan = PeerPlan(settings.node_id, settings.failure_domain)
        self._links_by_address: dict[str, PeerLink] = {}
        self._port: IListeningPort | None = None
        self._local = _first_report(settings)
        self._behind_since: float | None = None
        self._newer: requests.PeerReport | None = None
        self._handler = PeerHandler(system.ask, self._exchanged)
        self.server = PeerServerFactory(self._handler, system.clock.seconds)
        super().__init__(system, requests.PEERS)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            requests.AskPeer: self._ask_peer,
            requests.GetPeerConfiguration: self._get_peer_configuration,
            requests.MembersChanged: self._members_changed,
            requests.OwnerChanged: self._owner_changed,
            requests.OwnershipGained: self._own,
            requests.EpochRaised: self._own,
            requests.OwnershipEnded: self._disown,
            requests.LocalLoad: self._load_changed,
            requests.Drain: self._drain,
            ConfigurationChanged: self._configuration_changed,
            TimerFired: self._tick,
        }

    @property
    def address(self) -> str:
        """The host:port under which other nodes reach this one."""
        return self._local.address

    def start(self) -> None:
        """See base class."""
        self._port = self._reactor.listenTCP(
            self._settings.port, self.server, interface=self._settings.interface
        )
        if not self.address:
            host = self._port.getHost()
            self._local = self._local._replace(address=f"{host.host}:{host.port}")
        beat = Subscribe(self.name, _EXCHANGE, EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_S)
        self.tell(TIMERS, beat)

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
                f"{address} answered {call.method} with an unreadable reply: {error}"
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
        self._abandon(self._plan.set_owner(message))
        if message.failure_domain == self._settings.failure_domain:
            epoch = max(self._local.epoch, message.epoch)
            self._local = self._local._replace(epoch=epoch)

    def _abandon(self, address: str | None) -> None:
        """End the calls that wait for a node which was replaced as owner."""
        link = self._links_by_address.get(address or "")
        if link is not None:
            link.abandon()

    def _own(self, message: requests.OwnershipGained | requests.EpochRaised) -> None:
        self._local = self._local._replace(owner=True, epoch=message.epoch)
        self._plan.set_owner(
            requests.OwnerChanged(
                self._settings.failure_domain,
                self._settings.node_id,
                self.address,
                message.epoch,
            )
        )

    def _disown(self, message: requests.OwnershipEnded) -> None:
        self._local = self._local._replace(
            owner=False, free_accelerators=0, largest_free_gang=0, queued_jobs=0
        )
        self._plan.remove_owner(self._settings.node_id)

    def _load_changed(self, load: requests.LocalLoad) -> None:
        if self._local.owner:
            self._local = self._local._replace(**load._asdict())
            self._inform((requests.ROUTER,), self._local)

    def _drain(self, message: requests.Drain) -> Deferred:
        self._local = self._local._replace(draining=True)
        return self._handler.drain()

    def _configuration_changed(self, message: ConfigurationChanged) -> None:
        version = message.configuration.version
        self._local = self._local._replace(configuration_version=version)
        if self._newer and self._newer.configuration_version <= version:
            self._newer = None
            self._behind_since = None

    def _tick(self, event: TimerFired) -> None:
        self._sweep(event.now)
        for address in self._plan.due(event.now):
            ensureDeferred(self._exchange(address))
        for peer in self._plan.silent(event.now):
            silence = requests.PeerSilent(*peer)
            self._inform((requests.OWNERSHIP, requests.ROUTER), silence)
        self._copy_configuration(event.now)

    def _sweep(self, now: float) -> None:
        for address, link in list(self._links_by_address.items()):
            link.sweep(now)
            if link.is_unused:
                del self._links_by_address[address]
        for connection in list(self.server.connections):
            connection.close_if_idle(now)

    async def _exchange(self, address: str) -> None:
        report = encode_report(self._local)
        call = PeerCall("exchange", (report,), EXCHANGE_TIMEOUT_S, kind=CallKind.REPORT)
        try:
            self._exchanged(await self._call(address, call, decode_report))
        except RedwingrudderError as error:
            _logger.debug(
                "no report from a peer", extra={"peer": address, "error": str(error)}
            )

    def _exchanged(self, report: requests.PeerReport) -> requests.PeerReport:
        """Take a peer's report, pass it on and return that of this node."""
        if report.node_id == self._settings.node_id:
            return self._local
        now = self.system.clock.seconds()
        self._abandon(self._plan.heard(report, now))
        # CONFIGURATION would copy the document on every report of a higher
        # version; ``_copy_configuration`` waits for the store's watch first.
        self._inform((requests.OWNERSHIP, requests.ROUTER), report)
        if report.configuration_version > self._local.configuration_version:
            self._newer = report
            if self._behind_since is None:
                self._behind_since = now
        return self._local

    def _copy_configuration(self, now: float) -> None:
        """Ask a peer for its newer configuration when none else came."""
        if self._newer is None or self._behind_since is None:
            return
        lag_s = CONFIGURATION_LAG_S if self._local.configuration_version else 0.0
        if now - self._behind_since < lag_s:
            return
        self._behind_since = now
        question = requests.GetPeerConfiguration(
            self._newer.address, self._local.configuration_version
        )
        copying = ensureDeferred(self._get_peer_configuration(question))
        copying.addCallbacks(self._offer, self._copy_failed)

    def _offer(self, configuration: Configuration | None) -> None:
        if configuration is not None:
            offer = requests.OfferConfiguration(configuration)
            self._inform((requests.CONFIGURATION,), offer)

    def _copy_failed(self, failure: Failure) -> None:
        _logger.warning(
            "configuration of a peer cannot be read",
            extra={"error": str(failure.value)},
        )

    def _inform(self, receivers: tuple[str, ...], message: Any) -> None:
        """Tell actors; a full mailbox of one does not keep out the others."""
        for name in receivers:
            try:
                self.tell(name, message)
            except RedwingrudderError as error:
                _logger.warning(
                    "report not passed on",
                    extra={"actor": name, "error": str(error)},
                )


def _first_report(settings: PeersSettings) -> requests.PeerReport:
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
    """Return the call for a request and the decoder of its reply."""
    match request:
        case requests.SubmitJob(spec, correlation_id):
            arguments = (encode_spec(spec), correlation_id)
            size = len(spec.payload)
            return PeerCall("submit", arguments, CALL_TIMEOUT_S, size), decode_view
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
    raise TypeError(f"no call for {type(request).__name__}")


def _decode_status(text: str) -> requests.DomainStatus:
    return from_json(requests.DomainStatus, text)


def _decode_configuration(text: str) -> Configuration | None:
    return decode_configuration(text) if text else None

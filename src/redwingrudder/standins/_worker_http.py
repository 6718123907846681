"""HTTP server of the worker stand-in, with fault switches."""

import json
from typing import Any, NamedTuple

from pydantic import TypeAdapter, ValidationError
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site
from typing_extensions import TypedDict

from ..actors import Actor, ActorSystem, Handler
from ..exceptions import RedwingrudderError
from ..model import WorkerInfo
from ..timers import TIMERS, Subscribe, TimerFired, Unsubscribe
from ..worker_api import (
    ClaimRequest,
    MemberRequest,
    PollRequest,
    ReserveRequest,
    StopRequest,
    ThrottleRequest,
)
from ._worker_core import RejectedEpochError, WorkerCore

MAX_BODY_BYTES = 1_048_576

MAX_DETAIL_CHARS = 300  # of a validation error
NO_REPLY_STATUS = 0  # abort the connection instead of sending a reply

_POLL_PATH = "/v1/poll"
_DEADLINE_TIMER = "change"


class FaultsRequest(TypedDict, total=False):
    """Body of ``POST /admin/faults``; absent fields keep their value.

    See ``standins.worker`` for the fields.
    """

    fail_everything: bool
    slow_s: float
    drop_replies: int
    cut_s: float
    drain: bool


class Reply(NamedTuple):
    """An HTTP reply; ``NO_REPLY_STATUS`` aborts the connection instead."""

    status: int
    body: Any = None


class _Call(NamedTuple):
    """One HTTP request, sent with ``ask``; the actor returns a ``Reply``."""

    method: str
    path: str
    content: bytes


class _WaitingPoll(NamedTuple):
    request: PollRequest
    deferred: Deferred


class _Faults(NamedTuple):
    slow_s: float = 0.0
    drop_replies: int = 0
    cut_until: float = 0.0


_ADAPTERS_BY_PATH: dict[str, TypeAdapter] = {
    "/v1/claim": TypeAdapter(ClaimRequest),
    _POLL_PATH: TypeAdapter(PollRequest),
    "/v1/reserve": TypeAdapter(ReserveRequest),
    "/v1/start": TypeAdapter(MemberRequest),
    "/v1/release": TypeAdapter(MemberRequest),
    "/v1/stop": TypeAdapter(StopRequest),
    "/v1/throttle": TypeAdapter(ThrottleRequest),
    "/admin/faults": TypeAdapter(FaultsRequest),
}


class WorkerStandIn(Actor):
    """Actor that serves a ``WorkerCore`` over HTTP.

    A restart replaces the core. ``address`` is "host:port" once the actor has
    started.

    Args:
        system: Actor system of the process.
        info: The worker; its address is set when the port is bound.
        reactor: Opens the listening port.
        port: TCP port, 0 for any free port.
        interface: IP address to listen on.
    """

    def __init__(
        self,
        system: ActorSystem,
        info: WorkerInfo,
        reactor: IReactorTCP,
        port: int = 0,
        interface: str = "127.0.0.1",
    ) -> None:
        self._reactor = reactor
        self._port_number = port
        self._interface = interface
        self._port: Any = None
        self._faults = _Faults()
        self._waiting_polls_by_timer: dict[str, _WaitingPoll] = {}
        self._timer_count = 0
        self._delayed_replies_by_timer: dict[str, tuple[Deferred, Reply]] = {}
        self.address = ""
        self.core = WorkerCore(info, system.clock.seconds())
        super().__init__(system, f"standin:{info.worker_id}")

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {_Call: self._answer_with_faults, TimerFired: self._handle_timer}

    def start(self) -> None:
        """Open the listening port; a later start binds the same port."""
        site = Site(_WorkerResource(self))
        self._port = self._reactor.listenTCP(
            self._port_number, site, interface=self._interface
        )
        self._port_number = self._port.getHost().port
        self.address = f"{self._interface}:{self._port_number}"
        info = self.core.info._replace(address=self.address)
        self.core = WorkerCore(info, self._now())

    def stop(self) -> Deferred | None:
        """Close the listening port and abort the waiting polls."""
        for waiting_poll in self._waiting_polls_by_timer.values():
            waiting_poll.deferred.callback(Reply(NO_REPLY_STATUS))
        self._waiting_polls_by_timer.clear()
        return self._port and self._port.stopListening()

    def restart(self) -> None:
        """Simulate a restart: all state is lost and the boot id changes."""
        self.core = WorkerCore(self.core.info, self._now())
        self._answer_due_polls()

    def _now(self) -> float:
        return self.system.clock.seconds()

    def _answer_with_faults(self, call: _Call) -> Reply | Deferred:
        if call.path == "/admin/faults":
            return self._answer_request(call)
        if call.path == "/admin/history":
            return Reply(200, [entry._asdict() for entry in self.core.history])
        if self._now() < self._faults.cut_until:
            return Reply(NO_REPLY_STATUS)
        reply = self._answer_request(call)
        if self._faults.drop_replies > 0 and call.path != _POLL_PATH:
            remaining = self._faults.drop_replies - 1
            self._faults = self._faults._replace(drop_replies=remaining)
            return Reply(NO_REPLY_STATUS)
        if self._faults.slow_s > 0 and isinstance(reply, Reply):
            return self._delay_reply(reply)
        return reply

    def _answer_request(self, call: _Call) -> Reply | Deferred:
        if call.method == "GET" and call.path == "/v1/state":
            return Reply(200, self.core.state(self._now()))
        adapter = _ADAPTERS_BY_PATH.get(call.path)
        if adapter is None or call.method != "POST":
            return _problem(404, "not_found", f"{call.method} {call.path}")
        try:
            return self._execute(call.path, adapter.validate_json(call.content))
        except ValidationError as error:
            return _problem(400, "bad_request", str(error)[:MAX_DETAIL_CHARS])
        except RejectedEpochError as error:
            return _rejection(error)
        except RedwingrudderError as error:
            return _problem(error.http_status, error.code, error.detail)

    def _execute(self, path: str, body: Any) -> Reply | Deferred:
        now = self._now()
        if path == "/admin/faults":
            return self._set_faults(body)
        if path == _POLL_PATH:
            return self._poll(body)
        commands_by_path = {
            "/v1/claim": self.core.claim,
            "/v1/reserve": self.core.reserve,
            "/v1/start": self.core.start,
            "/v1/release": self.core.release,
            "/v1/stop": self.core.stop,
            "/v1/throttle": self.core.throttle,
        }
        reply_body = commands_by_path[path](body, now)
        self._answer_due_polls()
        return Reply(200, reply_body)

    def _set_faults(self, request: FaultsRequest) -> Reply:
        faults = self._faults
        self._faults = _Faults(
            request.get("slow_s", faults.slow_s),
            request.get("drop_replies", faults.drop_replies),
            self._now() + request["cut_s"] if "cut_s" in request else faults.cut_until,
        )
        core = self.core
        core.fail_everything = request.get("fail_everything", core.fail_everything)
        drain_changed = "drain" in request and request["drain"] != core.draining
        core.draining = request.get("drain", core.draining)
        self._answer_due_polls(answer_all=drain_changed)
        return Reply(200, {})

    def _poll(self, request: PollRequest) -> Reply | Deferred:
        body = self.core.poll(request, self._now())
        if body["events"] or request["wait_s"] <= 0:
            return Reply(200, body)
        self._timer_count += 1
        timer = f"poll:{self._timer_count}"
        waiting_poll = _WaitingPoll(request, Deferred())
        self._waiting_polls_by_timer[timer] = waiting_poll
        self.tell(TIMERS, Subscribe(self.name, timer, request["wait_s"]))
        return waiting_poll.deferred

    def _handle_timer(self, fired: TimerFired) -> None:
        if fired.timer in self._waiting_polls_by_timer:
            self._answer_poll(fired.timer)
        elif fired.timer in self._delayed_replies_by_timer:
            deferred, reply = self._delayed_replies_by_timer.pop(fired.timer)
            deferred.callback(reply)
        self._answer_due_polls()

    def _answer_due_polls(self, answer_all: bool = False) -> None:
        for timer, waiting_poll in list(self._waiting_polls_by_timer.items()):
            if answer_all or self.core.must_answer_poll(
                waiting_poll.request, self._now()
            ):
                self._answer_poll(timer)
        deadline = self.core.next_deadline()
        if deadline is not None:
            delay_s = deadline - self._now()
            self.tell(TIMERS, Subscribe(self.name, _DEADLINE_TIMER, delay_s))

    def _answer_poll(self, timer: str) -> None:
        waiting_poll = self._waiting_polls_by_timer.pop(timer)
        self.tell(TIMERS, Unsubscribe(self.name, timer))
        try:
            # The lease runs from the arrival of the poll. Answering it must
            # not renew the lease, so the expiry is restored.
            lease_until = self.core.lease_until
            body = self.core.poll(waiting_poll.request, self._now())
            self.core.lease_until = lease_until
            reply = Reply(200, body)
        except RejectedEpochError as error:
            reply = _rejection(error)
        waiting_poll.deferred.callback(reply)

    def _delay_reply(self, reply: Reply) -> Deferred:
        self._timer_count += 1
        timer = f"slow:{self._timer_count}"
        deferred: Deferred = Deferred()
        self._delayed_replies_by_timer[timer] = (deferred, reply)
        self.tell(TIMERS, Subscribe(self.name, timer, self._faults.slow_s))
        return deferred


def _problem(status: int, code: str, detail: str) -> Reply:
    return Reply(status, {"code": code, "detail": detail})


def _rejection(error: RejectedEpochError) -> Reply:
    body = {
        "code": error.code,
        "detail": error.detail,
        "highest": list(error.highest),
    }
    return Reply(409, body)


class _WorkerResource(Resource):
    """Passes every request to the actor and writes its reply."""

    def __init__(self, actor: Actor) -> None:
        super().__init__()
        self.isLeaf = True
        self._actor = actor

    def render(self, request: Request) -> int | bytes:
        """See base class."""
        content = request.content.read(MAX_BODY_BYTES + 1)
        if len(content) > MAX_BODY_BYTES:
            request.setResponseCode(413)
            return b'{"code":"payload_too_large","detail":""}'
        call = _Call(request.method.decode(), request.path.decode(), content)
        disconnects: list[Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        reply_deferred = self._actor.ask(self._actor.name, call)
        reply_deferred.addCallback(lambda reply: disconnects or _write(request, reply))
        reply_deferred.addErrback(
            lambda _: disconnects or _write(request, _problem(500, "", ""))
        )
        return NOT_DONE_YET


def _write(request: Request, reply: Reply) -> None:
    if reply.status == NO_REPLY_STATUS:
        request.transport.abortConnection()
        return
    request.setResponseCode(reply.status)
    request.setHeader(b"content-type", b"application/json")
    content = json.dumps(reply.body, separators=(",", ":")).encode()
    request.setHeader(b"content-length", b"%d" % len(content))
    request.write(content)
    request.finish()

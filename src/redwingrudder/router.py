"""Routing of requests to the owner of a failure domain.

The chart ``forward.scxml`` holds the rules for repeating a request: which
domain may get it after which outcome, and what the caller is told.
"""

import random
from collections.abc import Awaitable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, DeferredList, ensureDeferred

from . import requests
from ._domain_choice import DomainChoice, DomainLoad, FreeGangChoice
from ._domain_directory import DomainDirectory
from .actors import Actor, ActorSystem, Handler
from .exceptions import (
    ConflictError,
    MailboxFullError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    RedwingrudderError,
    StoreUnavailableError,
    UnavailableError,
)
from .messages import ConfigurationChanged
from .model import Configuration, JobSpec
from .statecharts import load_chart
from .timers import TIMERS, Subscribe, TimerFired, Unsubscribe

# An owner is replaced within 5 s; the rest covers one more try.
FORWARD_TIMEOUT_S = 8.0
STATUS_TIMEOUT_S = 1.0
FIRST_RETRY_S = 0.1
RETRY_LIMIT_S = 1.0
ATTEMPTS_LIMIT = 16
NO_OWNER_RETRY_S = 2.0
# Nothing was run and the same request may succeed at the next owner.
NOT_SENT_CODES = frozenset(
    {"unavailable", "not_owner", "no_owner", "recovering", "draining"}
)

_CHART = load_chart(
    "forward",
    frozenset(
        {
            "answered",
            "refused",
            "refused_for_now",
            "redirected",
            "not_sent",
            "outcome_unknown",
            "outcome_unknown_idempotent",
            "deadline",
        }
    ),
    frozenset(
        {
            "reply",
            "pin_domain",
            "release_domain",
            "wait",
            "report_no_owner",
            "report_unreachable",
        }
    ),
)
_PINNED = "pinned"

Request = (
    requests.SubmitJob
    | requests.PollJob
    | requests.CancelJob
    | requests.ExplainJob
    | requests.GetStatus
)


class RouterSettings(NamedTuple):
    """This node and the seed of the retry jitter."""

    node_id: str
    failure_domain: str
    seed: int = 0


class _Outcome(NamedTuple):
    """What became of one try, as an event of the chart."""

    event: str
    reply: Any = None
    error: RedwingrudderError | None = None


class _Forward:
    """One request and what has become of its tries so far."""

    def __init__(
        self,
        request: Request,
        domain: str | None,
        now: float,
        timeout_s: float = FORWARD_TIMEOUT_S,
    ) -> None:
        self.request = request
        self.domain = domain
        self.state = _CHART.initial if domain is None else _PINNED
        self.attempts = 0
        self.failed_domains: set[str] = set()
        self.last_event = ""
        self.last_error = ""
        wait_s = request.wait_s if isinstance(request, requests.PollJob) else 0.0
        self.poll_until = now + wait_s
        self.deadline = now + max(wait_s, timeout_s)

    def release_domain(self) -> None:
        """Prefer other domains for the next try."""
        if self.domain is not None:
            self.failed_domains.add(self.domain)
        self.domain = None

    def current_request(self, now: float) -> Request:
        """Return the request with what is left of the caller's wait."""
        if isinstance(self.request, requests.PollJob):
            return self.request._replace(wait_s=max(0.0, self.poll_until - now))
        return self.request


class Router(Actor):
    """Sends each request to the owner of the failure domain it belongs to."""

    def __init__(
        self,
        system: ActorSystem,
        settings: RouterSettings,
        choice: DomainChoice | None = None,
    ) -> None:
        self._choice = choice or FreeGangChoice()
        self._directory = DomainDirectory(settings.node_id, settings.failure_domain)
        self._configuration: Configuration | None = None
        self._random = random.Random(settings.seed)
        self._waiting_by_timer: dict[str, Deferred] = {}
        self._timers_started = 0
        super().__init__(system, requests.ROUTER)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            requests.SubmitJob: self._submit,
            requests.PollJob: self._ask_for_job,
            requests.CancelJob: self._ask_for_job,
            requests.ExplainJob: self._ask_for_job,
            requests.GetStatus: self._get_status,
            requests.GetDeploymentStatus: self._get_deployment_status,
            requests.OwnershipGained: self._own,
            requests.EpochRaised: self._own,
            requests.OwnershipEnded: self._disown,
            requests.OwnerChanged: self._directory.set_owner,
            requests.MembersChanged: self._directory.set_members,
            requests.PeerReport: self._directory.set_report,
            requests.PeerSilent: self._directory.set_silent,
            ConfigurationChanged: self._configuration_changed,
            TimerFired: self._timer_fired,
        }

    def stop(self) -> None:
        """Let all waiting requests try once more at once."""
        for timer in list(self._waiting_by_timer):
            self.tell(TIMERS, Unsubscribe(self.name, timer))
            self._waiting_by_timer.pop(timer).callback(None)

    def _own(self, message: object) -> None:
        self._directory.owns_domain = True

    def _disown(self, message: requests.OwnershipEnded) -> None:
        self._directory.owns_domain = False

    def _configuration_changed(self, message: ConfigurationChanged) -> None:
        self._configuration = message.configuration

    def _submit(self, message: requests.SubmitJob) -> Awaitable[Any]:
        return self._forward(_Forward(message, None, self._now()))

    def _ask_for_job(self, message: Any) -> Awaitable[Any]:
        domain = message.job_id.rpartition("-")[0]
        if not domain or not self._directory.is_known(domain):
            raise NotFoundError("no such job", code="no_such_job")
        return self._forward(_Forward(message, domain, self._now()))

    def _get_status(self, message: requests.GetStatus) -> Awaitable[Any]:
        domain = self._directory.own_domain
        return self._forward(_Forward(message, domain, self._now()))

    async def _get_deployment_status(
        self, message: requests.GetDeploymentStatus
    ) -> requests.DeploymentStatus:
        domains = self._directory.domains()
        results = await DeferredList(
            [ensureDeferred(self._domain_status(domain)) for domain in domains],
            consumeErrors=True,
        )
        return requests.DeploymentStatus(
            tuple(status for answered, status in results if answered),
            tuple(
                domain
                for domain, (answered, _) in zip(domains, results, strict=True)
                if not answered
            ),
        )

    def _domain_status(self, domain: str) -> Awaitable[requests.DomainStatus]:
        question = requests.GetStatus()
        return self._forward(_Forward(question, domain, self._now(), STATUS_TIMEOUT_S))

    async def _forward(self, forward: _Forward) -> Any:
        while True:
            outcome = await self._attempt(forward)
            if self._step(forward, outcome):
                return _result(outcome)
            await self._wait(forward)

    def _step(self, forward: _Forward, outcome: _Outcome) -> bool:
        """Carry out the chart's actions; returns whether to reply.

        Raises:
            UnavailableError: No owner can be reached any more in time.
        """
        event = outcome.event
        forward.last_event = event
        if outcome.error is not None:
            forward.last_error = outcome.error.detail
        transition = _CHART.step(forward.state, event)
        forward.state = transition.target
        for action in transition.actions:
            if action == "reply":
                return True
            if action == "pin_domain":
                forward.domain = _named_domain(outcome.error)
            elif action == "release_domain":
                forward.release_domain()
            elif action == "report_no_owner":
                raise _no_owner()
            elif action == "report_unreachable":
                raise _unreachable(forward)
        return False

    async def _wait(self, forward: _Forward) -> None:
        """Wait before the next try, or end the request at its deadline."""
        if forward.last_event == "redirected" and forward.attempts < ATTEMPTS_LIMIT:
            return
        delay_s = self._retry_delay_s(forward.attempts)
        late = self._now() + delay_s > forward.deadline
        if late or forward.attempts >= ATTEMPTS_LIMIT:
            self._step(forward, _Outcome("deadline"))
        self._timers_started += 1
        timer = f"retry-{self._timers_started}"
        try:
            self.tell(TIMERS, Subscribe(self.name, timer, delay_s))
        except MailboxFullError:
            # An earlier try may have succeeded, so overload is no answer.
            self._step(forward, _Outcome("deadline"))
        waiting = self._waiting_by_timer[timer] = Deferred()
        await waiting

    def _timer_fired(self, event: TimerFired) -> None:
        waiting = self._waiting_by_timer.pop(event.timer, None)
        if waiting is not None:
            waiting.callback(None)

    def _retry_delay_s(self, attempts: int) -> float:
        """Return an exponential delay; jitter spreads callers of one owner."""
        delay_s = min(RETRY_LIMIT_S, FIRST_RETRY_S * 2 ** (attempts - 1))
        return delay_s * self._random.uniform(0.5, 1.0)

    async def _attempt(self, forward: _Forward) -> _Outcome:
        forward.attempts += 1
        domain = forward.domain = forward.domain or self._choose(forward)
        if domain is None:
            return _Outcome("not_sent")
        try:
            reply = await self._send(domain, forward.current_request(self._now()))
        except RedwingrudderError as error:
            return _Outcome(_event(error, forward.request), error=error)
        return _Outcome("answered", reply)

    def _choose(self, forward: _Forward) -> str | None:
        spec: JobSpec = forward.request.spec
        loads = self._directory.loads()
        untried = tuple(
            load for load in loads if load.failure_domain not in forward.failed_domains
        )
        domain = self._choose_among(spec, untried) or self._choose_among(spec, loads)
        if domain is not None:
            self._directory.count_submission(domain, spec.accelerators)
        return domain

    def _choose_among(self, spec: JobSpec, loads: tuple[DomainLoad, ...]) -> str | None:
        own_domain = self._directory.own_domain
        return self._choice.choose(spec, own_domain, loads, self._configuration)

    def _send(self, domain: str, request: Request) -> Awaitable[Any]:
        if self._directory.is_local(domain):
            return self.ask(requests.DISPATCHER, request)
        address = self._directory.owner_address(domain)
        if address is None:
            raise UnavailableError(f"no owner of {domain} is known", code="no_owner")
        return self.ask(requests.PEERS, requests.AskPeer(address, request))

    def _now(self) -> float:
        return self.system.clock.seconds()


def _event(error: RedwingrudderError, request: Request) -> str:
    """Return the event of the chart for the error of a try."""
    if isinstance(error, OutcomeUnknownError):
        submission = isinstance(request, requests.SubmitJob)
        if submission and request.spec.idempotent:
            return "outcome_unknown_idempotent"
        return "outcome_unknown"
    if isinstance(error, ConflictError) and error.code == "other_domain":
        return "redirected" if error.detail.split() else "refused"
    if isinstance(error, StoreUnavailableError | OverloadedError):
        return "refused_for_now"
    if isinstance(error, UnavailableError):
        return "not_sent" if error.code in NOT_SENT_CODES else "refused_for_now"
    return "refused"


def _named_domain(error: RedwingrudderError) -> str:
    """Return the domain that the detail of ``other_domain`` starts with."""
    return error.detail.split()[0].rstrip(":,;.")


def _result(outcome: _Outcome) -> Any:
    if outcome.error is not None:
        raise outcome.error
    return outcome.reply


def _no_owner() -> UnavailableError:
    return UnavailableError(
        "no owner of a failure domain can be reached; this request was not sent",
        code="no_owner",
        retry_after_s=NO_OWNER_RETRY_S,
    )


def _unreachable(forward: _Forward) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        f"the owner of {forward.domain or 'a failure domain'} gave no answer in "
        f"{forward.attempts} tries ({forward.last_error or 'no owner is known'}); "
        "ask again with the same key or job id",
        code="domain_unreachable",
        retry_after_s=NO_OWNER_RETRY_S,
    )

"""Routing of requests to the owner of a failure domain.

The chart ``forward.scxml`` defines the rules for repeating a request: to which
domain it may be sent after each outcome, and which result the caller gets.
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

# A failed owner is replaced within 5 s; 3 s remain for one more attempt.
FORWARD_TIMEOUT_S = 8.0
STATUS_TIMEOUT_S = 1.0
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
ATTEMPTS_LIMIT = 16
NO_OWNER_RETRY_AFTER_S = 2.0
BACKOFF_FACTOR = 2
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.0
# With these codes nothing was run, and the same request may succeed at the
# next owner.
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
    """Identity of this node, and the seed of the retry jitter."""

    node_id: str
    failure_domain: str
    seed: int = 0


class _Outcome(NamedTuple):
    """Result of one attempt, as an event of the chart."""

    event: str
    reply: Any = None
    error: RedwingrudderError | None = None


class _ForwardedRequest:
    """A request with its state over several attempts.

    Args:
        request: The request as the caller sent it.
        domain: The failure domain to send it to, or None if any may serve it.
        now: The current time in seconds.
        timeout_s: Seconds after which no new attempt is made, unless the
            caller waits for longer.
    """

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
        """Prefer other domains for the next attempt."""
        if self.domain is not None:
            self.failed_domains.add(self.domain)
        self.domain = None

    def current_request(self, now: float) -> Request:
        """Return the request with the remaining wait time of the caller."""
        if isinstance(self.request, requests.PollJob):
            return self.request._replace(wait_s=max(0.0, self.poll_until - now))
        return self.request


class Router(Actor):
    """Actor that forwards each request to the owner of its failure domain.

    Args:
        system: The actor system of the node.
        settings: Identity of this node.
        choice: Chooses the domain of a new job.
    """

    def __init__(
        self,
        system: ActorSystem,
        settings: RouterSettings,
        choice: DomainChoice | None = None,
    ) -> None:
        self._domain_choice = choice or FreeGangChoice()
        self._directory = DomainDirectory(settings.node_id, settings.failure_domain)
        self._configuration: Configuration | None = None
        self._random = random.Random(settings.seed)
        self._wake_ups_by_timer: dict[str, Deferred] = {}
        self._timers_started = 0
        super().__init__(system, requests.ROUTER)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            requests.SubmitJob: self._submit,
            requests.PollJob: self._forward_job_request,
            requests.CancelJob: self._forward_job_request,
            requests.ExplainJob: self._forward_job_request,
            requests.GetStatus: self._get_status,
            requests.GetDeploymentStatus: self._get_deployment_status,
            requests.OwnershipGained: self._ownership_gained,
            requests.EpochRaised: self._ownership_gained,
            requests.OwnershipEnded: self._ownership_ended,
            requests.OwnerChanged: self._directory.set_owner,
            requests.MembersChanged: self._directory.set_members,
            requests.PeerReport: self._directory.set_report,
            requests.PeerSilent: self._directory.set_silent,
            ConfigurationChanged: self._configuration_changed,
            TimerFired: self._timer_fired,
        }

    def stop(self) -> None:
        """Start the next attempt of all waiting requests immediately."""
        for timer in list(self._wake_ups_by_timer):
            self.tell(TIMERS, Unsubscribe(self.name, timer))
            self._wake_ups_by_timer.pop(timer).callback(None)

    def _ownership_gained(self, message: object) -> None:
        self._directory.owns_domain = True

    def _ownership_ended(self, message: requests.OwnershipEnded) -> None:
        self._directory.owns_domain = False

    def _configuration_changed(self, message: ConfigurationChanged) -> None:
        self._configuration = message.configuration

    def _submit(self, message: requests.SubmitJob) -> Awaitable[Any]:
        return self._forward(_ForwardedRequest(message, None, self._now()))

    def _forward_job_request(self, message: Any) -> Awaitable[Any]:
        domain = message.job_id.rpartition("-")[0]
        if not domain or not self._directory.is_known(domain):
            raise NotFoundError(
                f"there is no job {message.job_id}: its failure domain is unknown",
                code="no_such_job",
            )
        return self._forward(_ForwardedRequest(message, domain, self._now()))

    def _get_status(self, message: requests.GetStatus) -> Awaitable[Any]:
        domain = self._directory.own_domain
        return self._forward(_ForwardedRequest(message, domain, self._now()))

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
        request = requests.GetStatus()
        return self._forward(
            _ForwardedRequest(request, domain, self._now(), STATUS_TIMEOUT_S)
        )

    async def _forward(self, forward: _ForwardedRequest) -> Any:
        while True:
            outcome = await self._attempt(forward)
            if self._step(forward, outcome):
                return _outcome_result(outcome)
            await self._wait(forward)

    def _step(self, forward: _ForwardedRequest, outcome: _Outcome) -> bool:
        """Perform the actions of the chart for an outcome.

        Returns:
            Whether the outcome is the reply to the caller.

        Raises:
            UnavailableError: The request was sent to no owner in time.
            OutcomeUnknownError: The request may have been accepted, but no
                owner answered in time.
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
                forward.domain = _domain_from_error(outcome.error)
            elif action == "release_domain":
                forward.release_domain()
            elif action == "report_no_owner":
                raise _no_owner_error()
            elif action == "report_unreachable":
                raise _unreachable_error(forward)
        return False

    async def _wait(self, forward: _ForwardedRequest) -> None:
        """Wait before the next attempt, or fail the request.

        A request fails at its deadline or after ``ATTEMPTS_LIMIT`` attempts.
        """
        if forward.last_event == "redirected" and forward.attempts < ATTEMPTS_LIMIT:
            return
        delay_s = self._retry_delay_s(forward.attempts)
        past_deadline = self._now() + delay_s > forward.deadline
        if past_deadline or forward.attempts >= ATTEMPTS_LIMIT:
            self._step(forward, _Outcome("deadline"))
        self._timers_started += 1
        timer = f"retry-{self._timers_started}"
        try:
            self.tell(TIMERS, Subscribe(self.name, timer, delay_s))
        except MailboxFullError:
            # An earlier attempt may have succeeded, so reporting an overload,
            # which implies that nothing was run, would be wrong.
            self._step(forward, _Outcome("deadline"))
        wake_up = self._wake_ups_by_timer[timer] = Deferred()
        await wake_up

    def _timer_fired(self, event: TimerFired) -> None:
        wake_up = self._wake_ups_by_timer.pop(event.timer, None)
        if wake_up is not None:
            wake_up.callback(None)

    def _retry_delay_s(self, attempts: int) -> float:
        """Return an exponential delay with jitter, in seconds.

        Jitter spreads the requests of different callers to one owner.
        """
        delay_s = min(
            MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * BACKOFF_FACTOR ** (attempts - 1)
        )
        return delay_s * self._random.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)

    async def _attempt(self, forward: _ForwardedRequest) -> _Outcome:
        forward.attempts += 1
        domain = forward.domain = forward.domain or self._choose_domain(forward)
        if domain is None:
            return _Outcome("not_sent")
        try:
            reply = await self._send(domain, forward.current_request(self._now()))
        except RedwingrudderError as error:
            return _Outcome(_event_for_error(error, forward.request), error=error)
        return _Outcome("answered", reply)

    def _choose_domain(self, forward: _ForwardedRequest) -> str | None:
        spec: JobSpec = forward.request.spec
        loads = self._directory.loads()
        untried_loads = tuple(
            load for load in loads if load.failure_domain not in forward.failed_domains
        )
        domain = self._choose_among(spec, untried_loads) or self._choose_among(
            spec, loads
        )
        if domain is not None:
            self._directory.count_submission(domain, spec.accelerators)
        return domain

    def _choose_among(self, spec: JobSpec, loads: tuple[DomainLoad, ...]) -> str | None:
        own_domain = self._directory.own_domain
        return self._domain_choice.choose(spec, own_domain, loads, self._configuration)

    def _send(self, domain: str, request: Request) -> Awaitable[Any]:
        if self._directory.is_local(domain):
            return self.ask(requests.DISPATCHER, request)
        address = self._directory.owner_address(domain)
        if address is None:
            raise UnavailableError(
                f"the owner of failure domain {domain} is not known", code="no_owner"
            )
        return self.ask(requests.PEERS, requests.AskPeer(address, request))

    def _now(self) -> float:
        return self.system.clock.seconds()


def _event_for_error(error: RedwingrudderError, request: Request) -> str:
    """Return the event of the chart for the error of an attempt."""
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


def _domain_from_error(error: RedwingrudderError) -> str:
    """Return the domain name at the start of an ``other_domain`` detail."""
    return error.detail.split()[0].rstrip(":,;.")


def _outcome_result(outcome: _Outcome) -> Any:
    if outcome.error is not None:
        raise outcome.error
    return outcome.reply


def _no_owner_error() -> UnavailableError:
    return UnavailableError(
        "no owner of a failure domain can be reached; the request was not sent",
        code="no_owner",
        retry_after_s=NO_OWNER_RETRY_AFTER_S,
    )


def _unreachable_error(forward: _ForwardedRequest) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        f"the owner of {forward.domain or 'a failure domain'} did not answer in "
        f"{forward.attempts} attempts (last error: "
        f"{forward.last_error or 'no owner is known'}); repeat the request with "
        "the same idempotency key or job id",
        code="domain_unreachable",
        retry_after_s=NO_OWNER_RETRY_AFTER_S,
    )

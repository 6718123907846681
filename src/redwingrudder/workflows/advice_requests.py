"""The request to the advice service under way, and the steps that wait."""

import logging
import math
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from .advice import Tickets
from .model import AdviceTimes, AskAdvice
from .room import max_tasks_on_worker
from .state import Stage, Worker, resources_used

# Time after which a request without any outcome counts as lost. It may wait
# for a call of an earlier term, and then for its own one to be given up.
LOST_AFTER_S = 20.0
# Number of workers in a request. The service takes time for each of them, and
# other steps wait meanwhile.
MAX_WORKERS = 30
# A gang needs the permits of all its members at one time.
MAX_GANG_WORKERS = 100  # the service accepts no more in a request
# Number of spare workers in a request while the share of allowed workers is
# not known from as many as ``MIN_SHARE_SAMPLE`` recent ones.
MAX_SPARE_WORKERS = 8
MIN_SHARE_SAMPLE = 10
# Time that a permit of a gang has to last beyond the reply about its other
# members.
GANG_RESERVE_S = 0.1
# Weight of older replies in the share of workers that a queue's policy allows.
SHARE_DECAY = 0.9

_logger = logging.getLogger(__name__)


class AdviceNeed(NamedTuple):
    """A step to ask about.

    Attributes:
        stage: The step.
        needed: Workers with room for the tasks that lack permits; for a gang,
            for all its members.
        candidates: Workers that may run the step, these included.
        now: Node-clock seconds.
        preempts: Whether runs have to be stopped for this room.
    """

    stage: Stage
    needed: tuple[Worker, ...]
    candidates: tuple[Worker, ...]
    now: float
    preempts: bool = False

    @property
    def has_some_permits(self) -> bool:
        """Whether the step is a gang with permits for some of its members."""
        advice = self.stage.advice
        return self.stage.spec.gang and any(
            advice.permits(worker.facts, self.now) for worker in self.needed
        )


class AdviceWaits(NamedTuple):
    """Steps that have room and lack only permits.

    Attributes:
        count: Number of these steps.
        longest_s: Time for which one of them has waited longest, in seconds.
        workflow_id: Workflow of that step, "" if none waits.
    """

    count: int = 0
    longest_s: float = 0.0
    workflow_id: str = ""


class AllowedShare(NamedTuple):
    """Share of the workers that the service has allowed, of recent calls.

    Attributes:
        named: Number of workers that the calls have named.
        allowed: Number of those that were allowed.
    """

    named: float = 0.0
    allowed: float = 0.0

    def add(self, named: int, allowed: int) -> "AllowedShare":
        """Return the share with a further reply."""
        return AllowedShare(
            SHARE_DECAY * self.named + named, SHARE_DECAY * self.allowed + allowed
        )

    @property
    def estimate(self) -> float:
        """Expected share of further workers; a half before any reply."""
        return (self.allowed + 1) / (self.named + 2)


class AdviceRequests:
    """Requests to the advice service, of which one is under way at a time."""

    def __init__(self) -> None:
        self._times_by_queue: Mapping[str, AdviceTimes] = MappingProxyType({})
        self._share_by_queue: dict[str, AllowedShare] = {}
        self._request: AskAdvice | None = None
        self._stage: Stage | None = None
        # Node-clock seconds after which the request counts as lost.
        self._lost_at = 0.0
        self._waiting_stages: dict[Stage, None] = {}

    def configure(self, times_by_queue: Mapping[str, AdviceTimes]) -> None:
        """Follow the times of the service that are configured for queues."""
        self._times_by_queue = times_by_queue
        self._share_by_queue = {
            queue: share
            for queue, share in self._share_by_queue.items()
            if queue in times_by_queue
        }

    def may_ask(self, now: float) -> bool:
        """Return whether no request is under way."""
        if self._request is not None and now > self._lost_at:
            _logger.warning(
                "request to the advice service had no outcome",
                extra=_log_fields(self._request),
            )
            self._stage.advice.record_failure(now)
            self._clear()
        return self._request is None

    def ask(self, need: AdviceNeed, now: float) -> AskAdvice:
        """Return a request about a step, which is under way from now on.

        Args:
            need: The step and its workers.
            now: Node-clock seconds.
        """
        stage = need.stage
        workers = self._workers_to_name(need)
        workflow = stage.workflow.workflow
        call_s = self._times(stage).call_s(len(workers))
        request = AskAdvice(
            workflow.workflow_id,
            stage.occurrence,
            stage.index,
            tuple(worker.facts.worker_id for worker in workers),
            tuple(worker.facts.process_started_ms for worker in workers),
            call_s,
            now - (stage.advice.waits_since or now),
        )
        self._request, self._stage = request, stage
        self._lost_at = now + LOST_AFTER_S + 2 * call_s
        stage.advice.asked_ids = frozenset(request.worker_ids)
        return request

    def _workers_to_name(self, need: AdviceNeed) -> list[Worker]:
        """Return the workers whose permits are missing, and some spare ones.

        The permits of a gang that would expire before the reply count as
        missing. Spare workers make up for those that are probably denied.
        """
        stage = need.stage
        advice, times = stage.advice, self._times(stage)
        named = [w for w in need.needed if not advice.permits(w.facts, need.now)]
        if stage.spec.gang:
            reply_at = need.now + times.call_s(len(need.needed)) + GANG_RESERVE_S
            named = [
                w for w in need.needed if advice.permits_until(w.facts) <= reply_at
            ]
        unknown = sum(not advice.allows(worker.facts) for worker in named)
        share = self._share_by_queue.get(stage.workflow.workflow.queue, AllowedShare())
        spare_count = math.ceil(unknown / share.estimate) - unknown
        if share.named < MIN_SHARE_SAMPLE:
            spare_count = min(spare_count, MAX_SPARE_WORKERS)
        if spare_count:
            named += self._spare_workers(need)[:spare_count]
        return named[: MAX_GANG_WORKERS if stage.spec.gang else MAX_WORKERS]

    def _spare_workers(self, need: AdviceNeed) -> list[Worker]:
        """Return further workers with room, the best first."""
        stage = need.stage
        demand = resources_used(stage.spec)
        racks = {worker.facts.rack for worker in need.needed}
        needed = frozenset(need.needed)
        spare = [
            worker
            for worker in need.candidates
            if worker not in needed
            and not stage.advice.permits(worker.facts, need.now)
            and (need.preempts or worker.free.covers(demand))
            and max_tasks_on_worker(stage, worker, 1)
        ]
        spare.sort(
            key=lambda w: (
                not stage.advice.allows(w.facts),
                stage.spec.same_rack and w.facts.rack not in racks,
                -w.free.accelerators,
            )
        )
        return spare

    def withdraw(self, workflow_id: str) -> None:
        """Let another request take the place of one that is of no use.

        The reply to the former one may still come.
        """
        if self._request is not None and self._request.workflow_id == workflow_id:
            self._clear()

    def record_reply(
        self,
        request: AskAdvice,
        stage: Stage | None,
        tickets: Tickets | None,
        now: float,
    ) -> str:
        """Record the outcome of a request, which may be withdrawn or lost.

        Args:
            request: The request.
            stage: Its step, None if that is unknown.
            tickets: The reply; None if the service gave none.
            now: Node-clock seconds.

        Returns:
            "received", "failed", "outdated" if the tickets had expired on
            arrival, or "not_needed" if the workflow has ended.
        """
        if request is self._request:
            self._clear()
        outcome = "not_needed"
        if stage is not None:
            is_usable = self._record(request, stage, tickets, now)
            if stage.workflow.ended_at is None:
                outcome = "received" if is_usable else "outdated"
                outcome = outcome if tickets is not None else "failed"
        fields: dict[str, object] = {"outcome": outcome}
        if tickets is not None:
            fields["allowed"] = len(tickets.tickets_by_worker)
            fields["call_s"] = round(tickets.received_at - tickets.sent_at, 3)
        _logger.info("advice call ended", extra={**_log_fields(request), **fields})
        return outcome

    def _record(
        self, request: AskAdvice, stage: Stage, tickets: Tickets | None, now: float
    ) -> bool:
        if tickets is None:
            stage.advice.record_failure(now)
            return False
        queue = stage.workflow.workflow.queue
        share = self._share_by_queue.get(queue, AllowedShare())
        allowed = sum(i in tickets.tickets_by_worker for i in request.worker_ids)
        self._share_by_queue[queue] = share.add(len(request.worker_ids), allowed)
        processes = zip(request.worker_ids, request.processes_started_ms, strict=True)
        return stage.advice.record_reply(
            processes, tickets, self._times(stage), request.call_s
        )

    def note_waits(self, stages: Sequence[Stage], now: float) -> None:
        """Note which steps wait for advice, and since when."""
        waiting = dict.fromkeys(stages)
        for stage in self._waiting_stages:
            if stage not in waiting:
                stage.advice.waits_since = None
        for stage in waiting:
            if stage.advice.waits_since is None:
                stage.advice.waits_since = now
        self._waiting_stages = waiting

    def waits(self, now: float) -> AdviceWaits:
        """Return which steps wait for advice since the last planning pass."""
        waits = [
            (now - stage.advice.waits_since, stage.workflow.workflow.workflow_id)
            for stage in self._waiting_stages
            if stage.advice.waits_since is not None
        ]
        return AdviceWaits(len(waits), *max(waits)) if waits else AdviceWaits()

    def _times(self, stage: Stage) -> AdviceTimes:
        return self._times_by_queue.get(stage.workflow.workflow.queue, AdviceTimes())

    def _clear(self) -> None:
        self._stage.advice.asked_ids = frozenset()
        self._request = self._stage = None


def _log_fields(request: AskAdvice) -> dict[str, object]:
    return {
        "job": request.workflow_id,
        "step": f"{request.occurrence}.{request.step}",
        "workers": len(request.worker_ids),
        "expected_s": round(request.call_s, 3),
        "waited_s": round(request.waited_s, 3),
    }

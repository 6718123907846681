"""The request to the advice service under way, and the steps that wait."""

import logging
from collections.abc import Mapping, Sequence
from types import MappingProxyType

from .advice import Tickets
from .model import AdviceTimes, AskAdvice
from .state import Stage, Worker

# Time after which a request without any outcome counts as lost. It may wait
# for a call of an earlier term, and then for its own one to be given up.
LOST_AFTER_S = 20.0

_logger = logging.getLogger(__name__)


class AdviceRequests:
    """Requests to the advice service, of which one is under way at a time.

    Attributes:
        times_by_queue: Times of the service that are configured for queues.
    """

    def __init__(self) -> None:
        self.times_by_queue: Mapping[str, AdviceTimes] = MappingProxyType({})
        self._request: AskAdvice | None = None
        self._stage: Stage | None = None
        # Node-clock seconds after which the request counts as lost.
        self._lost_at = 0.0
        self._waiting_stages: dict[Stage, None] = {}

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

    def ask(self, stage: Stage, workers: Sequence[Worker], now: float) -> AskAdvice:
        """Return a request about a step, which is under way from now on.

        Args:
            stage: The step.
            workers: The workers to name.
            now: Node-clock seconds.
        """
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

    def waits(self, now: float) -> tuple[int, float]:
        """Return how many steps wait for advice, and the longest wait.

        They have room and lack only permits. The wait is in seconds, 0.0 if
        there are none.
        """
        waits_s = [
            now - stage.advice.waits_since
            for stage in self._waiting_stages
            if stage.advice.waits_since is not None
        ]
        return len(waits_s), max(waits_s, default=0.0)

    def _times(self, stage: Stage) -> AdviceTimes:
        return self.times_by_queue.get(stage.workflow.workflow.queue, AdviceTimes())

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

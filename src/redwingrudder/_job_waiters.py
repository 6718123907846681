"""Bounded set of callers that wait for the ends of jobs."""

import itertools
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from .actors import ActorSystem
from .exceptions import OverloadedError, RedwingrudderError
from .timers import TIMERS, Subscribe, Unsubscribe

MAX_WAITERS = 10_000
RETRY_S = 1.0  # retry delay that callers above the limit are given
TIMER_PREFIX = "wait:"


class _Waiter(NamedTuple):
    job_id: str
    finished: Deferred


class JobWaiters:
    """Callers that wait until a job ends, with a time-out for each wait.

    Args:
        system: Actor system of the node.
        actor_name: Name of the actor that receives the timers of this object
            and passes them to ``time_out``.
    """

    def __init__(self, system: ActorSystem, actor_name: str) -> None:
        self._system = system
        self._actor_name = actor_name
        self._timer_numbers = itertools.count()
        self._waiters_by_timer: dict[str, _Waiter] = {}
        self._timers_by_job: dict[str, set[str]] = {}

    def wait(self, job_id: str, wait_s: float) -> Deferred:
        """Start a wait of at most ``wait_s`` seconds for the end of a job.

        Returns:
            A Deferred that fires with None when the job ends or the time
            has passed, and fails if the ownership ends.

        Raises:
            OverloadedError: MAX_WAITERS callers are waiting already.
        """
        if len(self._waiters_by_timer) >= MAX_WAITERS:
            raise OverloadedError(
                f"{MAX_WAITERS} callers are waiting already", retry_after_s=RETRY_S
            )
        timer = f"{TIMER_PREFIX}{next(self._timer_numbers)}"
        waiter = _Waiter(job_id, Deferred())
        self._waiters_by_timer[timer] = waiter
        self._timers_by_job.setdefault(job_id, set()).add(timer)
        self._system.tell(TIMERS, Subscribe(self._actor_name, timer, wait_s))
        return waiter.finished

    def time_out(self, timer: str) -> None:
        """End the wait whose timer fired; unknown timers are ignored."""
        self._end(timer, None)

    def job_ended(self, job_id: str) -> None:
        """End all waits for a job without an error."""
        for timer in list(self._timers_by_job.get(job_id, ())):
            self._system.tell(TIMERS, Unsubscribe(self._actor_name, timer))
            self._end(timer, None)

    def fail_all(self, error: RedwingrudderError) -> None:
        """End the waits for all jobs with an error."""
        for timer in list(self._waiters_by_timer):
            self._system.tell(TIMERS, Unsubscribe(self._actor_name, timer))
            self._end(timer, Failure(error))

    def _end(self, timer: str, outcome: Failure | None) -> None:
        waiter = self._waiters_by_timer.pop(timer, None)
        if waiter is None:
            return
        timers = self._timers_by_job[waiter.job_id]
        timers.discard(timer)
        if not timers:
            del self._timers_by_job[waiter.job_id]
        waiter.finished.callback(outcome)

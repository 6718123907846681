"""Updates the metrics of a node from messages and job events."""

from collections.abc import Callable

from . import requests
from ._job_observer import JobObserver
from ._scheduler_jobs import find_target
from .actors import Actor, ActorSystem, Handler
from .exceptions import UnavailableError
from .messages import ConfigurationChanged
from .metrics import JobTimes, NodeMetrics
from .model import Configuration, GuaranteeShortage, JobSpec, JobView
from .timers import TIMERS, Subscribe, TimerFired, Unsubscribe

METRICS = "metrics"
STATUS_INTERVAL_S = 5.0  # between updates of the failure domain's gauges
_DOMAIN_TIMER = "domain"
# The queue wait is measured for at most this many queued jobs at a time, which
# bounds the memory that it needs.
MAX_TIMED_JOBS = 50_000

_JobKey = tuple[str, str]


class MetricsActor(Actor):
    """Updates the gauges of the store, the ownership and the failure domain.

    Args:
        system: The actor system of the node.
        metrics: The metrics of the node.

    Attributes:
        configuration: The configuration in force; None before the first one.
    """

    def __init__(self, system: ActorSystem, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self.configuration: Configuration | None = None
        super().__init__(system, METRICS)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            ConfigurationChanged: self._configuration_changed,
            requests.StoreStatus: self._store_status_changed,
            requests.OwnershipGained: self._ownership_gained,
            requests.OwnershipEnded: self._ownership_ended,
            requests.EpochRaised: lambda message: None,
            requests.OwnerChanged: lambda message: None,
            TimerFired: self._update_domain_gauges,
        }

    def start(self) -> None:
        """Subscribe to the availability of the store."""
        self.tell(requests.STORE, requests.SubscribeStoreStatus(self.name))

    def _configuration_changed(self, message: ConfigurationChanged) -> None:
        self.configuration = message.configuration

    def _store_status_changed(self, status: requests.StoreStatus) -> None:
        self._metrics.set_store_available(status.available)

    def _ownership_gained(self, message: requests.OwnershipGained) -> None:
        self._metrics.set_owner(True)
        timer = Subscribe(self.name, _DOMAIN_TIMER, 0.0, STATUS_INTERVAL_S)
        self.tell(TIMERS, timer)

    def _ownership_ended(self, message: requests.OwnershipEnded) -> None:
        self._metrics.set_owner(False)
        self._metrics.clear_domain()
        self.tell(TIMERS, Unsubscribe(self.name, _DOMAIN_TIMER))

    async def _update_domain_gauges(self, fired: TimerFired) -> None:
        try:
            status = await self.ask(requests.DISPATCHER, requests.GetStatus())
        except UnavailableError:
            return
        self._metrics.set_domain(status)


class MetricsObserver(JobObserver):
    """Counts jobs and records their durations.

    The queue wait is measured only for jobs that this node accepted, since
    the time of submission is kept only in memory.

    Args:
        metrics: The metrics of the node.
        get_configuration: Returns the configuration in force, or None.
        now: Returns the current time in seconds.
    """

    def __init__(
        self,
        metrics: NodeMetrics,
        get_configuration: Callable[[], Configuration | None],
        now: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._get_configuration = get_configuration
        self._now = now
        self._submitted_at_by_key: dict[_JobKey, float] = {}
        self._queue_wait_by_key: dict[_JobKey, float] = {}

    def job_submitted(self, spec: JobSpec) -> None:
        """See base class."""
        self._metrics.count_submitted(spec.organisation, spec.job_class)
        if len(self._submitted_at_by_key) < MAX_TIMED_JOBS:
            self._submitted_at_by_key[_key(spec)] = self._now()

    def job_started(self, spec: JobSpec) -> None:
        """Record the queue wait at the first start; ignore later attempts."""
        submitted_at = self._submitted_at_by_key.pop(_key(spec), None)
        if submitted_at is not None:
            self._queue_wait_by_key[_key(spec)] = self._now() - submitted_at

    def job_finished(self, view: JobView, spec: JobSpec) -> None:
        """See base class."""
        self._submitted_at_by_key.pop(_key(spec), None)
        queue_wait_s = self._queue_wait_by_key.pop(_key(spec), None)
        finished_at = view.finished_at or view.submitted_at
        completion_s = finished_at - view.submitted_at
        times = JobTimes(completion_s, queue_wait_s, self._target_s(view))
        self._metrics.count_finished(
            spec.organisation, spec.job_class, view.state, times
        )

    def target_missed(self, spec: JobSpec) -> None:
        """See base class."""
        self._metrics.count_target_missed(spec.organisation, spec.job_class)

    def shortages(self, shortages: tuple[GuaranteeShortage, ...]) -> None:
        """See base class."""
        self._metrics.set_shortages(shortages)

    def _target_s(self, view: JobView) -> float:
        """Return the seconds from submission to target; 0 without a class."""
        configuration = self._get_configuration()
        classes = configuration.classes_by_name if configuration else {}
        job_class = classes.get(view.job_class)
        if job_class is None:
            return 0.0
        return find_target(job_class, view.submitted_at) - view.submitted_at


def _key(spec: JobSpec) -> _JobKey:
    return spec.organisation, spec.idempotency_key

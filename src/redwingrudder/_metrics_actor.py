"""Feeds the metrics of a node from its other parts."""

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
DOMAIN_INTERVAL_S = 5.0  # age of the gauges of the failure domain at most
WAITING_LIMIT = 50_000  # jobs whose queue wait is being measured

_JobKey = tuple[str, str]


class MetricsActor(Actor):
    """Shows the state of the store, the ownership and the failure domain."""

    def __init__(self, system: ActorSystem, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self.configuration: Configuration | None = None
        super().__init__(system, METRICS)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            ConfigurationChanged: self._configure,
            requests.StoreStatus: self._store_status,
            requests.OwnershipGained: self._gain,
            requests.OwnershipEnded: self._lose,
            requests.EpochRaised: lambda message: None,
            requests.OwnerChanged: lambda message: None,
            TimerFired: self._read_domain,
        }

    def start(self) -> None:
        """See base class."""
        self.tell(requests.STORE, requests.SubscribeStoreStatus(self.name))

    def _configure(self, message: ConfigurationChanged) -> None:
        self.configuration = message.configuration

    def _store_status(self, status: requests.StoreStatus) -> None:
        self._metrics.set_store_available(status.available)

    def _gain(self, message: requests.OwnershipGained) -> None:
        self._metrics.set_owner(True)
        timer = Subscribe(self.name, "domain", 0.0, DOMAIN_INTERVAL_S)
        self.tell(TIMERS, timer)

    def _lose(self, message: requests.OwnershipEnded) -> None:
        self._metrics.set_owner(False)
        self._metrics.clear_domain()
        self.tell(TIMERS, Unsubscribe(self.name, "domain"))

    async def _read_domain(self, fired: TimerFired) -> None:
        try:
            status = await self.ask(requests.DISPATCHER, requests.GetStatus())
        except UnavailableError:
            return
        self._metrics.set_domain(status)


class MetricsObserver(JobObserver):
    """Counts jobs and observes their times.

    The queue wait of a job that another owner accepted is not measured.

    Args:
        metrics: The metrics of the node.
        configuration: Returns the configuration in force, if any.
        seconds: The clock.
    """

    def __init__(
        self,
        metrics: NodeMetrics,
        configuration: Callable[[], Configuration | None],
        seconds: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._configuration = configuration
        self._seconds = seconds
        self._submitted_at_by_key: dict[_JobKey, float] = {}
        self._queue_wait_by_key: dict[_JobKey, float] = {}

    def job_submitted(self, spec: JobSpec) -> None:
        """See base class."""
        self._metrics.count_submitted(spec.organisation, spec.job_class)
        if len(self._submitted_at_by_key) < WAITING_LIMIT:
            self._submitted_at_by_key[_key(spec)] = self._seconds()

    def job_started(self, spec: JobSpec) -> None:
        """See base class; later attempts of a job change nothing."""
        submitted_at = self._submitted_at_by_key.pop(_key(spec), None)
        if submitted_at is not None:
            self._queue_wait_by_key[_key(spec)] = self._seconds() - submitted_at

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
        """Return seconds from submission to target; 0 if it is not known."""
        configuration = self._configuration()
        classes = configuration.classes_by_name if configuration else {}
        job_class = classes.get(view.job_class)
        if job_class is None:
            return 0.0
        return find_target(job_class, view.submitted_at) - view.submitted_at


def _key(spec: JobSpec) -> _JobKey:
    return spec.organisation, spec.idempotency_key

"""Prometheus metrics of a node that schedules workflows.

prometheus_client is imported some time after the start, because the import
takes processor time that a restarted node needs to serve callers. Until then
the actor buffers the messages that it receives. Label values come from the
configuration or are fixed words, so the number of time series is bounded.
"""

import logging
from typing import Any, NamedTuple

from twisted.web.resource import Resource
from twisted.web.server import Site

from ..actors import Actor, ActorSystem, Handler
from ..exceptions import RedwingrudderError
from ..timers import TIMERS, Subscribe, TimerFired

METRICS = "metrics"
IMPORT_DELAY_S = 1.0
MAX_BUFFERED_MESSAGES = 5_000  # until the import; further messages are dropped
HISTOGRAM_BUCKETS_S = (
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.6,
    5,
    10,
    30,
    60,
    300,
    1_800,
    7_200,
    28_800,
)

COUNTERS = {
    "requests": ("Answers to callers", ("method", "status")),
    "starts": ("Answers to starts of runs", ("outcome",)),
    "starts_with_lost_attempts": (
        "Starts of which at least one attempt got no reply",
        (),
    ),
    "run_ends": ("Ends of runs", ("kind",)),
    "store_calls": ("Calls of the store", ("outcome",)),
    "errors": ("Unexpected errors and unreadable documents", ("logger",)),
    "advice_calls": ("Calls to the advice service", ("outcome",)),
    "workflows_ended": ("Ended workflows", ("queue", "organisation", "state")),
}
HISTOGRAMS = {
    "queue_wait_seconds": (
        "Acceptance to the first start",
        ("queue", "organisation"),
    ),
    "completion_seconds": (
        "Acceptance to the recorded end",
        ("queue", "organisation"),
    ),
    "cancellation_delay_seconds": (
        "Stored cancellation to its effect at the coordinator",
        (),
    ),
    "advice_call_seconds": ("Answer time of the advice service", ()),
    "request_seconds": ("Answer time to callers", ("method",)),
}
GAUGES = {
    "coordinator": ("1 while this node coordinates", ()),
    "store_available": ("1 while the store answers", ()),
    "configuration_version": ("Version in force", ()),
    "advice_waiting_steps": ("Steps with room that lack only permits", ()),
    "advice_longest_wait_seconds": (
        "Longest time for which one of them has waited",
        (),
    ),
    "waiting_tasks_with_room": (
        "Tasks that wait although there is room",
        ("reason",),
    ),
    "waiting_with_room_oldest_seconds": (
        "Longest time for which one of them has waited",
        ("reason",),
    ),
}


class IncrementCounter(NamedTuple):
    """Tells METRICS to increment a counter by one."""

    name: str
    labels: tuple[str, ...]


class ObserveDuration(NamedTuple):
    """Tells METRICS to add a duration in seconds to a histogram."""

    name: str
    labels: tuple[str, ...]
    seconds: float


class SetGauge(NamedTuple):
    """Tells METRICS the current value of a gauge."""

    name: str
    value: float
    labels: tuple[str, ...] = ()


class Metrics(Actor):
    """Actor that collects metrics and serves them over HTTP.

    Args:
        system: The node's actor system.
        reactor: Opens the listening port.
        address: Host and port to listen on.
    """

    def __init__(
        self, system: ActorSystem, reactor: Any, address: tuple[str, int]
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._buffered: list[IncrementCounter | ObserveDuration | SetGauge] = []
        self._library: Any = None
        self._registry: Any = None
        self._metrics_by_name: dict[str, Any] = {}
        self._port: Any = None
        super().__init__(system, METRICS)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            IncrementCounter: self._record,
            ObserveDuration: self._record,
            SetGauge: self._record,
            TimerFired: lambda _: self._import_library(),
        }

    def start(self) -> None:
        """Open the port and schedule the import of prometheus_client.

        Responses are empty until the library is imported.
        """
        host, port = self._address
        site = Site(_MetricsResource(self))
        site.noisy = False
        self._port = self._reactor.listenTCP(port, site, interface=host)
        self.tell(TIMERS, Subscribe(self.name, "load", IMPORT_DELAY_S))

    def stop(self) -> Any:
        """Close the port; returns a Deferred if it was open."""
        return self._port.stopListening() if self._port is not None else None

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        if self._library is None:
            return b""
        return self._library.generate_latest(self._registry)

    def _import_library(self) -> None:
        import prometheus_client

        self._library = prometheus_client
        self._registry = prometheus_client.CollectorRegistry()
        for name, (help_text, labels) in COUNTERS.items():
            self._register_metric(name, prometheus_client.Counter, help_text, labels)
        for name, (help_text, labels) in HISTOGRAMS.items():
            self._register_metric(
                name,
                prometheus_client.Histogram,
                help_text,
                labels,
                buckets=HISTOGRAM_BUCKETS_S,
            )
        for name, (help_text, labels) in GAUGES.items():
            self._register_metric(name, prometheus_client.Gauge, help_text, labels)
        buffered, self._buffered = self._buffered, []
        for message in buffered:
            self._record(message)

    def _register_metric(
        self,
        name: str,
        metric_class: Any,
        help_text: str,
        labels: tuple[str, ...],
        **options: Any,
    ) -> None:
        self._metrics_by_name[name] = metric_class(
            f"redwingrudder_{name}",
            help_text,
            labels,
            registry=self._registry,
            **options,
        )

    def _record(self, message: IncrementCounter | ObserveDuration | SetGauge) -> None:
        if self._library is None:
            if len(self._buffered) < MAX_BUFFERED_MESSAGES:
                self._buffered.append(message)
            return
        metric = self._metrics_by_name[message.name]
        if message.labels:
            metric = metric.labels(*message.labels)
        if isinstance(message, SetGauge):
            metric.set(message.value)
        elif isinstance(message, IncrementCounter):
            metric.inc()
        else:
            metric.observe(message.seconds)


class ErrorCounter(logging.Handler):
    """Counts log records of level ERROR and above in the metrics.

    Args:
        system: Actor system with the METRICS actor.
    """

    def __init__(self, system: ActorSystem) -> None:
        super().__init__(logging.ERROR)
        self._system = system

    def emit(self, record: logging.LogRecord) -> None:
        """See base class."""
        try:
            self._system.tell(METRICS, IncrementCounter("errors", (record.name,)))
        except RedwingrudderError:
            # An error about this failure would be counted, and fail, in turn.
            self.handleError(record)


class _MetricsResource(Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def render(self, request: Any) -> bytes:
        """Return the metrics, whatever the path of the request is."""
        request.setHeader(b"Content-Type", b"text/plain; version=0.0.4")
        return self._metrics.render()

"""Metrics of a node that serves workflows (prometheus_client).

The library is imported a moment after the start, because the import takes
processor time that a restarted node needs for callers; until then the
actor keeps what it is told. Label values come from the configuration or are
fixed words, so their number is bounded.
"""

from typing import Any, NamedTuple

from twisted.web.resource import Resource
from twisted.web.server import Site

from ..actors import Actor, ActorSystem, Handler
from ..timers import TIMERS, Subscribe, TimerFired

METRICS = "metrics"
IMPORT_DELAY_S = 1.0
KEPT_LIMIT = 5_000  # messages kept until the import; later ones are dropped
BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1, 2.6, 5, 10, 30, 60, 300, 1_800, 7_200, 28_800)

COUNTERS = {
    "requests": ("Answers to callers", ("method", "status")),
    "starts": ("Answers to starts of runs", ("outcome",)),
    "run_ends": ("Ends of runs", ("kind",)),
    "store_calls": ("Calls of the store", ("outcome",)),
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
    "request_seconds": ("Answer time to callers", ("method",)),
}
GAUGES = {
    "coordinator": "1 while this node coordinates",
    "store_available": "1 while the store answers",
    "configuration_version": "Version in force",
}


class IncrementCounter(NamedTuple):
    """Tell METRICS: one more event."""

    name: str
    labels: tuple[str, ...]


class ObserveDuration(NamedTuple):
    """Tell METRICS: a duration in seconds."""

    name: str
    labels: tuple[str, ...]
    seconds: float


class SetGauge(NamedTuple):
    """Tell METRICS: the present value of a gauge."""

    name: str
    value: float


class Metrics(Actor):
    """Counts what the other actors tell it and serves the text.

    Args:
        system: The node's actors.
        reactor: Provides the port.
        address: Host and port; the path is ``/metrics``.
    """

    def __init__(
        self, system: ActorSystem, reactor: Any, address: tuple[str, int]
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._kept: list[IncrementCounter | ObserveDuration | SetGauge] = []
        self._library: Any = None
        self._registry: Any = None
        self._metrics_by_name: dict[str, Any] = {}
        self._port: Any = None
        super().__init__(system, METRICS)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            IncrementCounter: self._take,
            ObserveDuration: self._take,
            SetGauge: self._take,
            TimerFired: lambda _: self._load(),
        }

    def start(self) -> None:
        """Open the port; the text is empty until the import is done."""
        host, port = self._address
        site = Site(_MetricsResource(self))
        site.noisy = False
        self._port = self._reactor.listenTCP(port, site, interface=host)
        self.tell(TIMERS, Subscribe(self.name, "load", IMPORT_DELAY_S))

    def stop(self) -> Any:
        """Close the port."""
        return self._port.stopListening() if self._port is not None else None

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        if self._library is None:
            return b""
        return self._library.generate_latest(self._registry)

    def _load(self) -> None:
        import prometheus_client

        self._library = prometheus_client
        self._registry = prometheus_client.CollectorRegistry()
        for name, (text, labels) in COUNTERS.items():
            self._add(name, prometheus_client.Counter, text, labels)
        for name, (text, labels) in HISTOGRAMS.items():
            self._add(
                name, prometheus_client.Histogram, text, labels, buckets=BUCKETS_S
            )
        for name, text in GAUGES.items():
            self._add(name, prometheus_client.Gauge, text, ())
        kept, self._kept = self._kept, []
        for message in kept:
            self._take(message)

    def _add(
        self, name: str, kind: Any, text: str, labels: tuple[str, ...], **options: Any
    ) -> None:
        self._metrics_by_name[name] = kind(
            f"redwingrudder_{name}", text, labels, registry=self._registry, **options
        )

    def _take(self, message: IncrementCounter | ObserveDuration | SetGauge) -> None:
        if self._library is None:
            if len(self._kept) < KEPT_LIMIT:
                self._kept.append(message)
            return
        metric = self._metrics_by_name[message.name]
        if isinstance(message, IncrementCounter):
            metric.labels(*message.labels).inc()
        elif isinstance(message, ObserveDuration):
            metric.labels(*message.labels).observe(message.seconds)
        else:
            metric.set(message.value)


class _MetricsResource(Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def render(self, request: Any) -> bytes:
        """Return the text; any path is taken."""
        request.setHeader(b"Content-Type", b"text/plain; version=0.0.4")
        return self._metrics.render()

"""Decodes workers' registry entries and the operator's configuration."""

import logging

from .._checked_json import MAX_INTEGER, Fields, parse_json
from ..coordination.gateways import (
    ConfigurationCodec,
    OperatorConfiguration,
    Queue,
    RegistryCodec,
)
from ..exceptions import InvalidConfigurationError
from ..workflows.model import AdviceTimes, QueuePolicy, Resources, WorkerFacts

_logger = logging.getLogger(__name__)


class PlatformRegistry(RegistryCodec):
    """Decodes the entries that workers write under ``servers/``."""

    prefix = "servers/"

    def decode(self, key: str, document: str) -> WorkerFacts | None:
        """See base class."""
        worker_id = key.removeprefix(self.prefix)
        try:
            return _decode_worker(worker_id, Fields(parse_json(document)))
        except ValueError as error:
            _logger.warning(
                "registry entry of a worker is invalid and ignored",
                extra={"worker": worker_id, "error": str(error)},
            )
            return None


class PlatformConfiguration(ConfigurationCodec):
    """Decodes the operator's document under ``op/config``."""

    key = "op/config"

    def decode(self, document: str) -> OperatorConfiguration:
        """See base class."""
        try:
            return _decode_configuration(Fields(parse_json(document)))
        except ValueError as error:
            raise InvalidConfigurationError(f"{self.key}: {error}") from error


def _decode_worker(worker_id: str, entry: Fields) -> WorkerFacts:
    state = entry.text("state")
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    # These fields are not used, but an entry in which one of them has another
    # type was not written by a worker.
    entry.text("version", "")
    for name in ("slots", "sequence", "coldRemainingMs"):
        entry.number(name, 0, low=-MAX_INTEGER)
    labels = entry.texts("labels")
    return WorkerFacts(
        worker_id=worker_id,
        process_started_ms=entry.integer("born", 0),
        address=entry.address("address"),
        pool=entry.text("service"),
        failure_domain=entry.text("zone"),
        # The first label is the kind of the worker, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        capacity=decode_resources(entry.child("capacity", required=True)),
        draining=state == "draining",
        # A worker that stays longer than announced may report less than 0.
        remaining_s=max(entry.number("remainingMs", 0, low=-MAX_INTEGER), 0) / 1000,
    )


def decode_resources(entry: Fields) -> Resources:
    """Decode an amount of resources; missing fields count as 0.

    Raises:
        ValueError: A field is not a number or is negative.
    """
    return Resources(*(int(entry.number(name, 0)) for name in ("cpu", "memMb", "gpu")))


def _decode_configuration(document: Fields) -> OperatorConfiguration:
    services = document.children("services")
    standby_pools = frozenset(
        service.text("name") for service in services if service.flag("standby")
    )
    organisations_by_key: dict[str, str] = {}
    guaranteed: dict[str, int] = {}
    for tenant in document.children("tenants"):
        name = tenant.text("name")
        for key in tenant.texts("apiKeys"):
            organisations_by_key[key] = name
        guaranteed[name] = int(tenant.child("guaranteed").number("gpu", 0))
    queues = tuple(_decode_queue(route) for route in document.children("routes"))
    return OperatorConfiguration(
        document.integer("version"),
        queues,
        organisations_by_key,
        guaranteed,
        frozenset(service.text("name") for service in services),
        standby_pools,
    )


def _decode_queue(route: Fields) -> Queue:
    advice = route.child("advice")
    return Queue(
        name=route.text("name"),
        host=route.text("host"),
        prefix=route.text("prefix"),
        open=route.flag("public"),
        timeout_s=route.seconds("timeoutMs"),
        policy=QueuePolicy(
            pool=route.text("service"),
            priority=route.integer("priority", 1),
            # A task has one attempt where none are stated.
            attempts=max(route.integer("maxAttempts", 1), 1),
            stretch=route.number("stretchFactor", 1.0),
            latency_s=route.seconds("targetLatencyMs"),
            advised=route.has("advice"),
        ),
        advice_times=AdviceTimes(
            advice.seconds("decisionMs"),
            advice.seconds("periodMs"),
            advice.seconds("validMs"),
        ),
    )

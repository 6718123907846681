"""Decodes workers' registry entries and the operator's configuration."""

import json
import logging
from typing import Any

from ..coordination.gateways import (
    ConfigurationCodec,
    OperatorConfiguration,
    Queue,
    RegistryCodec,
)
from ..exceptions import InvalidConfigurationError
from ..workflows.model import QueuePolicy, Resources, WorkerFacts

_logger = logging.getLogger(__name__)


class PlatformRegistry(RegistryCodec):
    """Decodes the entries that workers write under ``servers/``."""

    prefix = "servers/"

    def decode(self, key: str, document: str) -> WorkerFacts | None:
        """See base class."""
        worker_id = key.removeprefix(self.prefix)
        try:
            entry = json.loads(document)
            return _decode_worker(worker_id, entry)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            _logger.warning(
                "registry entry of a worker is invalid and ignored",
                extra={"worker": worker_id, "error": repr(error)},
            )
            return None


class PlatformConfiguration(ConfigurationCodec):
    """Decodes the operator's document under ``op/config``."""

    key = "op/config"

    def decode(self, document: str) -> OperatorConfiguration:
        """See base class."""
        try:
            return _decode_configuration(json.loads(document))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise InvalidConfigurationError(f"{self.key}: {error!r}") from error


def _decode_worker(worker_id: str, entry: dict[str, Any]) -> WorkerFacts:
    state = entry["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    labels = _require_texts(entry.get("labels") or [])
    return WorkerFacts(
        worker_id=worker_id,
        process_started_ms=_to_integer(entry.get("born", 0)),
        address=_require_text(entry["address"]),
        pool=_require_text(entry["service"]),
        failure_domain=_require_text(entry["zone"]),
        # The first label is the kind of the worker, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        capacity=decode_resources(entry["capacity"]),
        draining=state == "draining",
        remaining_s=_to_integer(entry.get("remainingMs", 0)) / 1000,
    )


def decode_resources(entry: dict[str, Any]) -> Resources:
    """Decode an amount of resources; missing fields count as 0.

    Raises:
        ValueError: A field is not a number.
    """
    return Resources(
        _to_integer(entry.get("cpu", 0)),
        _to_integer(entry.get("memMb", 0)),
        _to_integer(entry.get("gpu", 0)),
    )


def _decode_configuration(document: dict[str, Any]) -> OperatorConfiguration:
    pools = frozenset(service["name"] for service in document.get("services") or [])
    organisations_by_key: dict[str, str] = {}
    guaranteed: dict[str, int] = {}
    for tenant in document.get("tenants") or []:
        for key in tenant.get("apiKeys") or []:
            organisations_by_key[key] = tenant["name"]
        guaranteed[tenant["name"]] = int((tenant.get("guaranteed") or {}).get("gpu", 0))
    queues = tuple(_decode_queue(route) for route in document.get("routes") or [])
    return OperatorConfiguration(
        int(document["version"]), queues, organisations_by_key, guaranteed, pools
    )


def _decode_queue(route: dict[str, Any]) -> Queue:
    return Queue(
        name=route["name"],
        host=route["host"],
        prefix=route["prefix"],
        open=bool(route.get("public", False)),
        timeout_s=route.get("timeoutMs", 0) / 1000,
        policy=QueuePolicy(
            pool=route["service"],
            priority=int(route.get("priority", 1)),
            attempts=int(route.get("maxAttempts", 1)),
            stretch=float(route.get("stretchFactor", 1.0)),
            latency_s=route.get("targetLatencyMs", 0) / 1000,
            advised=bool(route.get("advice")),
        ),
    )


def _to_integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r}")
    return int(value)


def _require_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected a non-empty string, got {value!r}")
    return value


def _require_texts(value: Any) -> list[str]:
    return [_require_text(entry) for entry in value]

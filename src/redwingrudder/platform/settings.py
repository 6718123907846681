"""The platform's settings file, decoded into the product's terms."""

import tomllib
from typing import Any, NamedTuple

from ..exceptions import SettingsError

# The platform counts the time from the client's answer, nodes from the end.
KEEP_ENDED_FACTOR = 1.25
DEFAULT_LINK_MBPS = 1000.0  # where the settings do not say


class PlatformSettings(NamedTuple):
    """What a process learns when it starts.

    Attributes:
        node_id: Name of this node.
        failure_domain: Where it runs.
        front: Host and port for callers.
        readiness: Host and port of the readiness probe.
        peers: Host and port of the thrift server, this node's internal side.
        metrics: Host and port of the metrics.
        store_address: "host:port" of the store.
        advice_address: "host:port" of the advice service, "" without one.
        machines_address: "host:port" of the machines' service, "" without.
        order_pause_s: Between orders of two holders for one machine.
        longest_lease_s: Longest lease that workers accept.
        heartbeat_s: Between two updates of a worker's registry entry.
        keep_ended_s: For how long ended jobs can be asked for.
        grace_s: From SIGTERM until the process is killed.
        link_bps: Bits a second of this node's network link.
        cores: Share of a processor that this node has.
    """

    node_id: str
    failure_domain: str
    front: tuple[str, int]
    readiness: tuple[str, int]
    peers: tuple[str, int]
    metrics: tuple[str, int]
    store_address: str
    advice_address: str
    machines_address: str
    order_pause_s: float
    longest_lease_s: float
    heartbeat_s: float
    keep_ended_s: float
    grace_s: float
    link_bps: float
    cores: float


def load_settings(path: str) -> PlatformSettings:
    """Read and check the file.

    Raises:
        SettingsError: The file cannot be read or lacks a field.
    """
    try:
        with open(path, "rb") as source:
            document = tomllib.load(source)
        return _decode(document)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    except KeyError as error:
        raise SettingsError(f"{path}: field {error} is missing") from error
    except (TypeError, ValueError, IndexError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _decode(document: dict[str, Any]) -> PlatformSettings:
    ip = document["ip"]
    first_port = int(document["internalPorts"][0])
    bounds = document["bounds"]
    limits = document.get("limits") or {}
    return PlatformSettings(
        node_id=document["nodeName"],
        failure_domain=document["zone"],
        front=_address(document["listen"]["front"]),
        readiness=_address(document["listen"]["readiness"]),
        peers=(ip, first_port),
        metrics=(ip, first_port + 1),
        store_address=document["platform"]["address"],
        advice_address=document.get("advice") or "",
        machines_address=(document.get("cloud") or {}).get("address") or "",
        order_pause_s=bounds.get("leaseMs", 0) / 1000,
        longest_lease_s=bounds["maxHoldMs"] / 1000,
        heartbeat_s=document["heartbeatMs"] / 1000,
        keep_ended_s=KEEP_ENDED_FACTOR * bounds["status_s"],
        grace_s=float(bounds["graceS"]),
        link_bps=1e6 * float(limits.get("linkMbps", DEFAULT_LINK_MBPS)),
        # The platform gives the share of each of several processors.
        cores=float(limits.get("cpuShare", 1.0)) * float(limits.get("cores", 1)),
    )


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)

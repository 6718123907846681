"""Reads the platform's settings file of a node."""

import tomllib
from typing import Any, NamedTuple

from ..coordination.gateways import DEFAULT_GANG_TIMEOUT_S
from ..exceptions import SettingsError
from ..workflows.run_times import DEFAULT_REMOTE_FACTOR, DEFAULT_STOP_TIMEOUT_S

# The platform counts the retention time from the answer to the client, nodes
# count it from the end of the job; the factor covers the difference.
ENDED_RETENTION_FACTOR = 1.25
DEFAULT_LINK_MBPS = 1000.0  # if the settings do not give linkMbps
# If the settings do not give these bounds.
DEFAULT_GANG_TIMEOUT_MS = 1000 * DEFAULT_GANG_TIMEOUT_S
DEFAULT_STOP_TIMEOUT_MS = 1000 * DEFAULT_STOP_TIMEOUT_S


class PlatformSettings(NamedTuple):
    """Settings of one node.

    Attributes:
        node_id: Name of this node.
        failure_domain: Failure domain in which the node runs.
        front: Host and port that serve clients.
        readiness: Host and port of the readiness probe.
        peers: Host and port of the Thrift server for other nodes.
        metrics: Host and port of the metrics endpoint.
        store_address: "host:port" of the store.
        advice_address: "host:port" of the advice service, "" if there is
            none.
        machines_address: "host:port" of the machine service, "" if there is
            none.
        order_quiet_period_s: Minimum seconds between the orders of two lease
            holders for one machine.
        longest_lease_s: Longest lease in seconds that workers accept.
        heartbeat_s: Seconds between two updates of a worker's registry
            entry.
        gang_timeout_s: Seconds after which a member of a gang ends if the
            others have not started.
        stop_timeout_s: Longest time in seconds that a stop takes.
        remote_factor: Factor on the run time of tasks away from their data.
        ended_retention_s: Seconds for which ended jobs can be queried.
        grace_s: Seconds from SIGTERM until the process is killed.
        link_bps: Capacity of this node's network link in bits per second.
        cores: Number of processor cores of this node, may be fractional.
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
    order_quiet_period_s: float
    longest_lease_s: float
    heartbeat_s: float
    gang_timeout_s: float
    stop_timeout_s: float
    remote_factor: float
    ended_retention_s: float
    grace_s: float
    link_bps: float
    cores: float


def load_settings(path: str) -> PlatformSettings:
    """Read and decode a settings file in TOML.

    Raises:
        SettingsError: The file cannot be read, a field is missing or has an
            invalid value.
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
        order_quiet_period_s=bounds.get("leaseMs", 0) / 1000,
        longest_lease_s=bounds["maxHoldMs"] / 1000,
        heartbeat_s=document["heartbeatMs"] / 1000,
        gang_timeout_s=bounds.get("gangTimeoutMs", DEFAULT_GANG_TIMEOUT_MS) / 1000,
        stop_timeout_s=bounds.get("stopTimeoutMs", DEFAULT_STOP_TIMEOUT_MS) / 1000,
        remote_factor=float(bounds.get("remoteFactor", DEFAULT_REMOTE_FACTOR)),
        ended_retention_s=ENDED_RETENTION_FACTOR * bounds["status_s"],
        grace_s=float(bounds["graceS"]),
        link_bps=1e6 * float(limits.get("linkMbps", DEFAULT_LINK_MBPS)),
        # cpuShare is the share of each of the node's processors.
        cores=float(limits.get("cpuShare", 1.0)) * float(limits.get("cores", 1)),
    )


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)

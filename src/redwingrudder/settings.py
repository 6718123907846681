"""Settings files: JSON with comments, validated against typed schemas.

The key ``kind`` gives the type of a file: ``node`` for the settings of one
entry node, or ``deployment`` for the nodes and workers that ``redwingrudder
local`` and ``bench`` run.
"""

import pathlib
from typing import Annotated, Literal, NotRequired

import pydantic
from typing_extensions import TypedDict

from ._validation import InvalidDocumentError, Problem, parse_document
from .exceptions import SettingsError
from .model import WorkerInfo

_NO_UNKNOWN_KEYS = pydantic.ConfigDict(extra="forbid")

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
HostPort = Annotated[
    str, pydantic.Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d+$")
]
Url = Annotated[str, pydantic.Field(pattern=r"^https?://[^/\s]+$")]
Count = Annotated[int, pydantic.Field(ge=1, le=100_000)]
# A worker stops its tasks when its lease lapses. When an owner fails, a third
# of the lease may have passed, and the next owner needs up to 4.5 s to claim
# the worker; two thirds of the minimum of 7 s are enough for that.
LeaseSeconds = Annotated[float, pydantic.Field(ge=7, le=86_400)]


@pydantic.with_config(_NO_UNKNOWN_KEYS)
class ListenSettings(TypedDict):
    """Addresses that an entry node listens on, as ``IP:port``."""

    http: HostPort
    thrift: HostPort


@pydantic.with_config(_NO_UNKNOWN_KEYS)
class LimitSettings(TypedDict):
    """Limits of an entry node; each key that is left out has a default."""

    store_writes_per_s: NotRequired[Count]
    requests_in_progress: NotRequired[Count]


@pydantic.with_config(_NO_UNKNOWN_KEYS)
class NodeSettings(TypedDict):
    """Settings of one entry node.

    ``rank`` orders the nodes of a failure domain and must be unique among
    them. ``failure_domains`` lists all failure domains of the deployment.
    ``advertise_thrift`` is the address that other nodes use, if it is not
    ``listen.thrift``. ``platform`` is the URL of the platform.
    ``worker_lease_s`` is the time in seconds after which a worker that no
    owner contacts stops its tasks; it must be the same on all nodes of a
    failure domain.
    """

    kind: Literal["node"]
    node_id: Name
    rank: Annotated[int, pydantic.Field(ge=0, le=10_000)]
    failure_domain: Name
    failure_domains: Annotated[list[Name], pydantic.Field(min_length=1, max_length=64)]
    listen: ListenSettings
    advertise_thrift: NotRequired[HostPort]
    platform: Url
    worker_lease_s: NotRequired[LeaseSeconds]
    limits: NotRequired[LimitSettings]
    log_level: NotRequired[Literal["debug", "info", "warning", "error"]]


@pydantic.with_config(_NO_UNKNOWN_KEYS)
class WorkerShape(TypedDict):
    """Resources of each worker of a deployment or of a rack."""

    accelerators: Annotated[int, pydantic.Field(ge=0, le=64)]
    slots: Annotated[int, pydantic.Field(ge=1, le=1_024)]
    cores: Annotated[int, pydantic.Field(ge=1, le=4_096)]
    memory_mb: Annotated[int, pydantic.Field(ge=1)]


@pydantic.with_config(_NO_UNKNOWN_KEYS)
class RackSettings(TypedDict):
    """One or more racks with ``workers`` equal workers each.

    ``count`` is the number of racks, 1 by default; they are named ``name``,
    ``name-2``, ``name-3`` and so on. ``worker`` replaces the worker shape of
    the deployment.
    """

    name: Name
    workers: Annotated[int, pydantic.Field(ge=1, le=1_000)]
    count: NotRequired[Annotated[int, pydantic.Field(ge=1, le=1_000)]]
    worker: NotRequired[WorkerShape]


@pydantic.with_config(_NO_UNKNOWN_KEYS)
class DomainSettings(TypedDict):
    """A failure domain with its racks and its number of entry nodes."""

    name: Name
    nodes: Annotated[int, pydantic.Field(ge=1, le=64)]
    racks: Annotated[list[RackSettings], pydantic.Field(min_length=1)]


@pydantic.with_config(_NO_UNKNOWN_KEYS)
class DeploymentSettings(TypedDict):
    """A whole deployment, to run in one process or to simulate."""

    kind: Literal["deployment"]
    name: Name
    worker: WorkerShape
    failure_domains: Annotated[list[DomainSettings], pydantic.Field(min_length=1)]
    worker_lease_s: NotRequired[LeaseSeconds]


_ANY_ADAPTER = pydantic.TypeAdapter(object)
_NODE_ADAPTER = pydantic.TypeAdapter(NodeSettings)
_DEPLOYMENT_ADAPTER = pydantic.TypeAdapter(DeploymentSettings)


def load_node_settings(path: str) -> NodeSettings:
    """Load and validate the settings of an entry node.

    Raises:
        SettingsError: The file cannot be read, or it is invalid; the error
            lists every problem.
    """
    settings = _load(path, _NODE_ADAPTER)
    problems = []
    if settings["failure_domain"] not in settings["failure_domains"]:
        problems.append(
            Problem(
                path,
                "failure_domain",
                repr(settings["failure_domain"]),
                f"one of failure_domains {settings['failure_domains']}",
            )
        )
    problems += _find_repeated(path, "failure_domains", settings["failure_domains"])
    return _require_no_problems(path, settings, problems)


def load_deployment(path: str) -> DeploymentSettings:
    """Load and validate a deployment file.

    Raises:
        SettingsError: The file cannot be read, or it is invalid; the error
            lists every problem.
    """
    settings = _load(path, _DEPLOYMENT_ADAPTER)
    domains = settings["failure_domains"]
    rack_names = [
        name
        for domain in domains
        for rack in domain["racks"]
        for name in _rack_names(rack)
    ]
    domain_names = [domain["name"] for domain in domains]
    problems = _find_repeated(path, "failure_domains", domain_names)
    problems += _find_repeated(path, "failure_domains.racks", rack_names)
    return _require_no_problems(path, settings, problems)


def deployment_workers(deployment: DeploymentSettings) -> tuple[WorkerInfo, ...]:
    """Return all workers of a deployment, with empty addresses."""
    return tuple(
        WorkerInfo(f"{rack_name}-w{index}", "", domain["name"], rack_name, **shape)
        for domain in deployment["failure_domains"]
        for rack in domain["racks"]
        for rack_name in _rack_names(rack)
        for shape in (rack.get("worker", deployment["worker"]),)
        for index in range(1, rack["workers"] + 1)
    )


def _rack_names(rack: RackSettings) -> list[str]:
    name = rack["name"]
    return [name] + [
        f"{name}-{number}" for number in range(2, rack.get("count", 1) + 1)
    ]


def read_file(path: str) -> str:
    """Read a UTF-8 text file.

    Raises:
        SettingsError: The file cannot be read.
    """
    try:
        return pathlib.Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}", code="unreadable_file") from None


def read_kind(path: str) -> str:
    """Return the type of a settings or configuration file.

    Returns:
        The value of the key ``kind``, "configuration" for an operators'
        configuration, or "" if the file is neither.

    Raises:
        SettingsError: The file cannot be read or is not valid JSON.
    """
    try:
        document = parse_document(read_file(path), _ANY_ADAPTER, path)
    except InvalidDocumentError as error:
        raise _settings_error(path, error.problems) from None
    if not isinstance(document, dict):
        return ""
    # An operators' configuration has the key format_version and no kind.
    kind = "configuration" if "format_version" in document else document.get("kind")
    return kind if isinstance(kind, str) else ""


def _load(path: str, schema: pydantic.TypeAdapter):
    try:
        return parse_document(read_file(path), schema, path)
    except InvalidDocumentError as error:
        raise _settings_error(path, error.problems) from None


def _find_repeated(path: str, key: str, names: list[str]) -> list[Problem]:
    repeated = sorted({name for name in names if names.count(name) > 1})
    return [Problem(path, key, repr(name), "each name once") for name in repeated]


def _require_no_problems(path: str, settings, problems: list[Problem]):
    if problems:
        raise _settings_error(path, tuple(problems))
    return settings


def _settings_error(path: str, problems: tuple[Problem, ...]) -> SettingsError:
    descriptions = tuple(str(problem) for problem in problems)
    return SettingsError(f"{path}: {len(descriptions)} problem(s) found", descriptions)

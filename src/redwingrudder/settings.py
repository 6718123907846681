"""Settings files: JSON with comments, checked against typed schemas.

A file says what it is by its ``kind``: ``node`` for one entry node, or
``deployment`` for the fleet that ``redwingrudder local`` and ``bench`` run.
"""

import pathlib
from typing import Annotated, Literal, NotRequired

import pydantic
from typing_extensions import TypedDict

from ._validation import InvalidDocumentError, Problem, parse_document
from .exceptions import SettingsError
from .model import WorkerInfo

_CONFIG = pydantic.ConfigDict(extra="forbid")

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
HostPort = Annotated[
    str, pydantic.Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d+$")
]
Url = Annotated[str, pydantic.Field(pattern=r"^https?://[^/\s]+$")]
Count = Annotated[int, pydantic.Field(ge=1, le=100_000)]
# A worker stops its tasks when its lease lapses. At an owner's death a third
# of the lease may have passed, and the next owner needs up to 4.5 s to claim.
LeaseSeconds = Annotated[float, pydantic.Field(ge=7, le=86_400)]


@pydantic.with_config(_CONFIG)
class ListenSettings(TypedDict):
    """Addresses that a node listens on, as IP:port."""

    http: HostPort
    thrift: HostPort


@pydantic.with_config(_CONFIG)
class LimitSettings(TypedDict):
    """Bounds of a node; every one has a default."""

    store_writes_per_s: NotRequired[Count]
    requests_in_progress: NotRequired[Count]


@pydantic.with_config(_CONFIG)
class NodeSettings(TypedDict):
    """Settings of one entry node.

    ``rank`` orders the nodes of a failure domain and must differ among
    them. ``failure_domains`` lists all domains of the deployment.
    ``worker_lease_s`` is the time after which a worker without an owner
    stops its tasks; it must be the same on all nodes of a domain.
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


@pydantic.with_config(_CONFIG)
class WorkerShape(TypedDict):
    """Resources of every worker of a deployment or of a rack."""

    accelerators: Annotated[int, pydantic.Field(ge=0, le=64)]
    slots: Annotated[int, pydantic.Field(ge=1, le=1_024)]
    cores: Annotated[int, pydantic.Field(ge=1, le=4_096)]
    memory_mb: Annotated[int, pydantic.Field(ge=1)]


@pydantic.with_config(_CONFIG)
class RackSettings(TypedDict):
    """Racks with a number of equal workers each.

    ``count`` racks (one by default) are named ``name``, ``name-2`` and so
    on. ``worker`` replaces the deployment's worker shape.
    """

    name: Name
    workers: Annotated[int, pydantic.Field(ge=1, le=1_000)]
    count: NotRequired[Annotated[int, pydantic.Field(ge=1, le=1_000)]]
    worker: NotRequired[WorkerShape]


@pydantic.with_config(_CONFIG)
class DomainSettings(TypedDict):
    """A failure domain with its racks and entry nodes."""

    name: Name
    nodes: Annotated[int, pydantic.Field(ge=1, le=64)]
    racks: Annotated[list[RackSettings], pydantic.Field(min_length=1)]


@pydantic.with_config(_CONFIG)
class DeploymentSettings(TypedDict):
    """A whole deployment, for one process or for measurements."""

    kind: Literal["deployment"]
    name: Name
    worker: WorkerShape
    failure_domains: Annotated[list[DomainSettings], pydantic.Field(min_length=1)]
    worker_lease_s: NotRequired[LeaseSeconds]


_ANY = pydantic.TypeAdapter(object)
_NODE = pydantic.TypeAdapter(NodeSettings)
_DEPLOYMENT = pydantic.TypeAdapter(DeploymentSettings)


def load_node_settings(path: str) -> NodeSettings:
    """Load and check the settings of a node.

    Raises:
        SettingsError: With all problems of the file.
    """
    settings = _load(path, _NODE)
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
    problems += _repeated(path, "failure_domains", settings["failure_domains"])
    return _accept(path, settings, problems)


def load_deployment(path: str) -> DeploymentSettings:
    """Load and check a deployment file.

    Raises:
        SettingsError: With all problems of the file.
    """
    settings = _load(path, _DEPLOYMENT)
    domains = settings["failure_domains"]
    racks = [
        name
        for domain in domains
        for rack in domain["racks"]
        for name in _rack_names(rack)
    ]
    names = [domain["name"] for domain in domains]
    problems = _repeated(path, "failure_domains", names)
    problems += _repeated(path, "failure_domains.racks", racks)
    return _accept(path, settings, problems)


def deployment_workers(deployment: DeploymentSettings) -> tuple[WorkerInfo, ...]:
    """Return all workers of a deployment, without addresses."""
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
    return [name] + [f"{name}-{n}" for n in range(2, rack.get("count", 1) + 1)]


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
    """Return what a file is: its kind, ``configuration``, or ""."""
    try:
        document = parse_document(read_file(path), _ANY, path)
    except InvalidDocumentError as error:
        raise _settings_error(path, error.problems) from None
    if not isinstance(document, dict):
        return ""
    # The operators' document has a format version instead of a kind.
    kind = "configuration" if "format_version" in document else document.get("kind")
    return kind if isinstance(kind, str) else ""


def _load(path: str, schema: pydantic.TypeAdapter):
    try:
        return parse_document(read_file(path), schema, path)
    except InvalidDocumentError as error:
        raise _settings_error(path, error.problems) from None


def _repeated(path: str, where: str, names: list[str]) -> list[Problem]:
    repeated = sorted({name for name in names if names.count(name) > 1})
    return [Problem(path, where, repr(name), "each name once") for name in repeated]


def _accept(path: str, settings, problems: list[Problem]):
    if problems:
        raise _settings_error(path, tuple(problems))
    return settings


def _settings_error(path: str, problems: tuple[Problem, ...]) -> SettingsError:
    lines = tuple(str(problem) for problem in problems)
    return SettingsError(f"{path}: {len(lines)} problem(s) found", lines)

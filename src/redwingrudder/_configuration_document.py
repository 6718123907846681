"""The operators' document: its types, its checks and its conversion."""

from typing import Annotated, Any, Literal, NotRequired

import jsonc
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from typing_extensions import TypedDict  # pydantic needs it before 3.12

from .exceptions import (
    BadRequestError,
    InvalidConfigurationError,
    PayloadTooLargeError,
)
from .model import CellAssignment, Configuration, JobClass, Organisation, Shape

FORMAT_VERSION = 1
DOCUMENT_LIMIT = 250_000  # bytes
ORGANISATION_LIMIT = 1_000
CLASS_LIMIT = 100
SHAPE_LIMIT = 100  # shapes of one organisation
ACCELERATOR_LIMIT = 1_024  # accelerators of one shape
COPY_LIMIT = 1_000
TARGET_LIMIT_S = 30 * 24 * 3600.0
FOUND_LIMIT = 60  # characters of a value in an error

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
_STRICT = ConfigDict(extra="forbid", strict=True)


class ShapeDocument(TypedDict):
    """``copies`` gangs of adjacent accelerators."""

    __pydantic_config__ = _STRICT

    accelerators: Annotated[int, Field(ge=1, le=ACCELERATOR_LIMIT)]
    copies: Annotated[int, Field(ge=1, le=COPY_LIMIT)]


class OrganisationDocument(TypedDict):
    """What an organisation paid for."""

    __pydantic_config__ = _STRICT

    guarantees: Annotated[list[ShapeDocument], Field(max_length=SHAPE_LIMIT)]


class ClassDocument(TypedDict):
    """A class of work; exactly one of both fields is set.

    ``target_s`` is in seconds, ``finish_by`` a time of day "HH:MM" in UTC.
    """

    __pydantic_config__ = _STRICT

    target_s: NotRequired[
        Annotated[float, Field(gt=0, le=TARGET_LIMIT_S, allow_inf_nan=False)]
    ]
    finish_by: NotRequired[
        Annotated[str, Field(pattern=r"^([01][0-9]|2[0-3]):[0-5][0-9]$")]
    ]


class ConfigurationDocument(TypedDict):
    """The whole document, by names of organisations and classes."""

    __pydantic_config__ = _STRICT

    format_version: Literal[1]
    organisations: Annotated[
        dict[Name, OrganisationDocument], Field(max_length=ORGANISATION_LIMIT)
    ]
    classes: Annotated[
        dict[Name, ClassDocument], Field(min_length=1, max_length=CLASS_LIMIT)
    ]


_ADAPTER = TypeAdapter(ConfigurationDocument)


def parse_document(text: str) -> ConfigurationDocument:
    """Parse and check the operators' document (JSON with comments).

    Raises:
        PayloadTooLargeError: The text exceeds ``DOCUMENT_LIMIT``.
        BadRequestError: The text is no JSON (code ``invalid_json``).
        InvalidConfigurationError: It has problems; all are named, each with
            path, found value and what is allowed.
    """
    size = len(text.encode())
    if size > DOCUMENT_LIMIT:
        raise PayloadTooLargeError(
            f"the document has {size} bytes, allowed are {DOCUMENT_LIMIT}"
        )
    repeated: list[str] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        built = dict(pairs)
        if len(built) < len(pairs):
            names = [name for name, _ in pairs]
            repeated.extend(sorted({n for n in names if names.count(n) > 1}))
        return built

    try:
        raw = jsonc.loads(text, object_pairs_hook=build_object)
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"not JSON: {error}", code="invalid_json") from None
    problems = [f"{name}: found twice in one object" for name in repeated]
    return _check(raw, problems)


def to_configuration(
    document: ConfigurationDocument,
    version: int,
    cells: tuple[CellAssignment, ...] = (),
) -> Configuration:
    """Convert a checked document."""
    return Configuration(
        version,
        {
            name: to_organisation(name, organisation)
            for name, organisation in document["organisations"].items()
        },
        {
            name: to_job_class(name, job_class)
            for name, job_class in document["classes"].items()
        },
        cells,
    )


def to_document(configuration: Configuration) -> ConfigurationDocument:
    """Convert a configuration to the operators' document."""
    return ConfigurationDocument(
        format_version=FORMAT_VERSION,
        organisations={
            name: from_organisation(organisation)
            for name, organisation in configuration.organisations_by_name.items()
        },
        classes={
            name: from_job_class(job_class)
            for name, job_class in configuration.classes_by_name.items()
        },
    )


def to_organisation(name: str, document: OrganisationDocument) -> Organisation:
    """Convert one organisation."""
    shapes = (
        Shape(shape["accelerators"], shape["copies"])
        for shape in document["guarantees"]
    )
    return Organisation(name, tuple(shapes))


def from_organisation(organisation: Organisation) -> OrganisationDocument:
    """Convert one organisation back."""
    return OrganisationDocument(
        guarantees=[
            ShapeDocument(accelerators=shape.accelerators, copies=shape.copies)
            for shape in organisation.guarantees
        ]
    )


def to_job_class(name: str, document: ClassDocument) -> JobClass:
    """Convert one class."""
    return JobClass(name, document.get("target_s"), document.get("finish_by"))


def from_job_class(job_class: JobClass) -> ClassDocument:
    """Convert one class back."""
    if job_class.target_s is not None:
        return ClassDocument(target_s=job_class.target_s)
    return ClassDocument(finish_by=job_class.finish_by or "")


def _check(raw: Any, problems: list[str]) -> ConfigurationDocument:
    document: ConfigurationDocument | None = None
    try:
        document = _ADAPTER.validate_python(raw)
    except ValidationError as error:
        problems.extend(_describe(problem) for problem in error.errors())
    problems.extend(_check_targets(raw))
    if problems or document is None:
        detail = f"{len(problems)} problems: " + "; ".join(problems)
        raise InvalidConfigurationError(detail, tuple(problems))
    return document


def _describe(problem: Any) -> str:
    path = ".".join(str(part) for part in problem["loc"]) or "document"
    if problem["type"] == "missing":
        return f"{path}: not found, but required"
    found = repr(problem["input"])[:FOUND_LIMIT]
    return f"{path}: found {found}, allowed: {problem['msg']}"


def _check_targets(raw: Any) -> list[str]:
    classes = raw.get("classes") if isinstance(raw, dict) else None
    if not isinstance(classes, dict):
        return []
    return [
        f"classes.{name}: found {sorted(job_class)}, "
        "allowed: exactly one of target_s and finish_by"
        for name, job_class in classes.items()
        if isinstance(job_class, dict)
        and ("target_s" in job_class) == ("finish_by" in job_class)
    ]

"""The configuration document that operators write: schema and conversion.

Operators write the document as JSON with comments. It lists the
organisations with their guarantees and the job classes with their targets.
"""

from typing import Annotated, Any, Literal, NotRequired

import jsonc
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from typing_extensions import TypedDict  # required by pydantic on Python < 3.12

from .exceptions import (
    BadRequestError,
    InvalidConfigurationError,
    PayloadTooLargeError,
)
from .model import CellAssignment, Configuration, JobClass, Organisation, Shape

FORMAT_VERSION = 1
MAX_DOCUMENT_BYTES = 250_000
MAX_ORGANISATIONS = 1_000
MAX_CLASSES = 100
MAX_SHAPES_PER_ORGANISATION = 100
MAX_ACCELERATORS_PER_SHAPE = 1_024
MAX_COPIES_PER_SHAPE = 1_000
MAX_TARGET_S = 30 * 24 * 3600.0
# An error message quotes at most this many characters of an invalid value.
MAX_QUOTED_CHARACTERS = 60

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
_STRICT_SCHEMA = ConfigDict(extra="forbid", strict=True)


class ShapeDocument(TypedDict):
    """A guarantee of ``copies`` gangs of adjacent accelerators."""

    __pydantic_config__ = _STRICT_SCHEMA

    accelerators: Annotated[int, Field(ge=1, le=MAX_ACCELERATORS_PER_SHAPE)]
    copies: Annotated[int, Field(ge=1, le=MAX_COPIES_PER_SHAPE)]


class OrganisationDocument(TypedDict):
    """An organisation with the shapes that are guaranteed to it."""

    __pydantic_config__ = _STRICT_SCHEMA

    guarantees: Annotated[
        list[ShapeDocument], Field(max_length=MAX_SHAPES_PER_ORGANISATION)
    ]


class ClassDocument(TypedDict):
    """A job class; exactly one of the two fields must be set.

    ``target_s`` is the time from submission to completion in seconds,
    ``finish_by`` a time of day as "HH:MM" in UTC.
    """

    __pydantic_config__ = _STRICT_SCHEMA

    target_s: NotRequired[
        Annotated[float, Field(gt=0, le=MAX_TARGET_S, allow_inf_nan=False)]
    ]
    finish_by: NotRequired[
        Annotated[str, Field(pattern=r"^([01][0-9]|2[0-3]):[0-5][0-9]$")]
    ]


class ConfigurationDocument(TypedDict):
    """The whole document; the keys of both mappings are names."""

    __pydantic_config__ = _STRICT_SCHEMA

    format_version: Literal[1]
    organisations: Annotated[
        dict[Name, OrganisationDocument], Field(max_length=MAX_ORGANISATIONS)
    ]
    classes: Annotated[
        dict[Name, ClassDocument], Field(min_length=1, max_length=MAX_CLASSES)
    ]


_DOCUMENT_ADAPTER = TypeAdapter(ConfigurationDocument)


def parse_document(text: str) -> ConfigurationDocument:
    """Parse and validate the operators' document (JSON with comments).

    Raises:
        PayloadTooLargeError: The text exceeds ``MAX_DOCUMENT_BYTES``.
        BadRequestError: The text is not valid JSON (code ``invalid_json``).
        InvalidConfigurationError: The document violates the schema. All
            problems are listed, each with its path, the value found and what
            is allowed.
    """
    size = len(text.encode())
    if size > MAX_DOCUMENT_BYTES:
        raise PayloadTooLargeError(
            f"the configuration document has {size} bytes, "
            f"allowed are at most {MAX_DOCUMENT_BYTES}"
        )
    repeated_keys: list[str] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        # dict() would silently keep only the last of several equal keys.
        json_object = dict(pairs)
        if len(json_object) < len(pairs):
            names = [name for name, _ in pairs]
            repeated_keys.extend(
                sorted({name for name in names if names.count(name) > 1})
            )
        return json_object

    try:
        parsed = jsonc.loads(text, object_pairs_hook=build_object)
    except (ValueError, RecursionError) as error:
        raise BadRequestError(
            f"the configuration document is not valid JSON: {error}",
            code="invalid_json",
        ) from None
    problems = [
        f"{name}: found more than once in one object, allowed: once"
        for name in repeated_keys
    ]
    return _validate(parsed, problems)


def to_configuration(
    document: ConfigurationDocument,
    version: int,
    cells: tuple[CellAssignment, ...] = (),
) -> Configuration:
    """Convert a validated document to the model.

    Args:
        document: Result of ``parse_document``.
        version: Version that the configuration gets.
        cells: Failure domains of the guaranteed shapes, as planned.
    """
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
    """Convert a configuration back; its version and cells are left out."""
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
    """Convert an organisation's document to the model."""
    shapes = (
        Shape(shape["accelerators"], shape["copies"])
        for shape in document["guarantees"]
    )
    return Organisation(name, tuple(shapes))


def from_organisation(organisation: Organisation) -> OrganisationDocument:
    """Convert an organisation of the model to its document."""
    return OrganisationDocument(
        guarantees=[
            ShapeDocument(accelerators=shape.accelerators, copies=shape.copies)
            for shape in organisation.guarantees
        ]
    )


def to_job_class(name: str, document: ClassDocument) -> JobClass:
    """Convert a job class's document to the model."""
    return JobClass(name, document.get("target_s"), document.get("finish_by"))


def from_job_class(job_class: JobClass) -> ClassDocument:
    """Convert a job class of the model to its document."""
    if job_class.target_s is not None:
        return ClassDocument(target_s=job_class.target_s)
    return ClassDocument(finish_by=job_class.finish_by or "")


def _validate(parsed: Any, problems: list[str]) -> ConfigurationDocument:
    document: ConfigurationDocument | None = None
    try:
        document = _DOCUMENT_ADAPTER.validate_python(parsed)
    except ValidationError as error:
        problems.extend(_describe_problem(problem) for problem in error.errors())
    problems.extend(_find_invalid_targets(parsed))
    if problems or document is None:
        detail = f"{len(problems)} problems: " + "; ".join(problems)
        raise InvalidConfigurationError(detail, tuple(problems))
    return document


def _describe_problem(problem: Any) -> str:
    path = ".".join(str(part) for part in problem["loc"]) or "document"
    if problem["type"] == "missing":
        return f"{path}: not found, but required"
    found = repr(problem["input"])[:MAX_QUOTED_CHARACTERS]
    return f"{path}: found {found}, allowed: {problem['msg']}"


def _find_invalid_targets(parsed: Any) -> list[str]:
    classes = parsed.get("classes") if isinstance(parsed, dict) else None
    if not isinstance(classes, dict):
        return []
    return [
        f"classes.{name}: found {sorted(job_class)}, "
        "allowed: exactly one of target_s and finish_by"
        for name, job_class in classes.items()
        if isinstance(job_class, dict)
        and ("target_s" in job_class) == ("finish_by" in job_class)
    ]

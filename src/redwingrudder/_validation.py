"""Validates JSON documents against typed schemas; reports every problem."""

import re
from typing import Any, NamedTuple

import jsonc
import pydantic

# A problem quotes at most this many characters of an invalid value.
_MAX_QUOTED_CHARACTERS = 60
_DUPLICATE_KEY = "duplicate key"


class Problem(NamedTuple):
    """One violation of the schema in a document.

    Attributes:
        source: Name of the file or request, possibly with a line number.
        path: Keys joined by dots, with list indexes in brackets; "" for the
            whole document.
        found: The invalid value, shortened.
        allowed: What the schema permits in its place.
    """

    source: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.source}: {self.path}" if self.path else self.source
        return f"{place}: found {self.found}, allowed: {self.allowed}"


class InvalidDocumentError(ValueError):
    """A document is not valid JSON or violates its schema.

    Attributes:
        problems: Every violation found; at least one.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def parse_document(text: str, schema: pydantic.TypeAdapter, source: str) -> Any:
    """Parse JSON with comments and validate it against a schema.

    Args:
        text: The document.
        schema: Adapter of the expected type.
        source: Name of the file or request, for error messages.

    Returns:
        The document as the type of the schema.

    Raises:
        InvalidDocumentError: The text is not valid JSON, has duplicate keys
            or violates the schema.
    """
    try:
        document = jsonc.loads(
            text,
            object_pairs_hook=_reject_duplicates,
            parse_constant=_reject_constant,
        )
    except RecursionError:
        raise _single_problem_error(
            source, "too many nested levels", "fewer nested levels"
        ) from None
    except ValueError as error:
        found = getattr(error, "msg", None) or str(error)
        line = getattr(error, "lineno", None)
        place = f"{source}:{line}" if line else source
        raise _single_problem_error(place, found, "a JSON document") from None
    return check_document(document, schema, source)


def check_document(document: Any, schema: pydantic.TypeAdapter, source: str) -> Any:
    """Validate a parsed document against a schema; see ``parse_document``."""
    try:
        return schema.validate_python(document, strict=True)
    except pydantic.ValidationError as error:
        problems = tuple(
            Problem(
                source,
                _format_path(violation["loc"]),
                _shorten(violation["input"]),
                _describe_allowed(violation),
            )
            for violation in error.errors(include_url=False)
        )
        raise InvalidDocumentError(problems) from None


def _single_problem_error(
    source: str, found: str, allowed: str
) -> InvalidDocumentError:
    return InvalidDocumentError((Problem(source, "", found, allowed),))


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for key, value in pairs:
        if key in document:
            raise ValueError(f"{_DUPLICATE_KEY} {key!r}")
        document[key] = value
    return document


def _reject_constant(name: str) -> None:
    # Called for NaN and the infinities, which JSON does not have.
    raise ValueError(f"the constant {name}")


def _format_path(location: tuple[str | int, ...]) -> str:
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".")


def _shorten(value: Any) -> str:
    text = repr(value)
    return (
        text
        if len(text) <= _MAX_QUOTED_CHARACTERS
        else text[: _MAX_QUOTED_CHARACTERS - 3] + "..."
    )


def _describe_allowed(violation: Any) -> str:
    if violation["type"] == "missing":
        return "the key is required"
    if violation["type"] == "extra_forbidden":
        return "no such key"
    return re.sub(r"^Input should be |^Value error, ", "", violation["msg"])

"""Checks JSON documents against typed schemas and reports every problem."""

import re
from typing import Any, NamedTuple

import jsonc
import pydantic

_FOUND_LIMIT = 60  # characters of a found value that are shown
_DUPLICATE_KEY = "duplicate key"


class Problem(NamedTuple):
    """One finding in a document.

    ``path`` is dotted, with list indexes in brackets; ``allowed`` says what
    the schema permits there.
    """

    source: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.source}: {self.path}" if self.path else self.source
        return f"{place}: found {self.found}, allowed: {self.allowed}"


class InvalidDocumentError(ValueError):
    """A document has problems; raised by this module only."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def parse_document(text: str, schema: pydantic.TypeAdapter, source: str) -> Any:
    """Parse JSON with comments and check it against a schema.

    Args:
        text: The document.
        schema: Adapter of the expected type.
        source: Name of the file or request, for the messages.

    Raises:
        InvalidDocumentError: With every problem that was found.
    """
    try:
        document = jsonc.loads(
            text,
            object_pairs_hook=_reject_duplicates,
            parse_constant=_reject_constant,
        )
    except RecursionError:
        raise _single(source, "too many nested levels", "a flat document") from None
    except ValueError as error:
        found = getattr(error, "msg", None) or str(error)
        line = getattr(error, "lineno", None)
        place = f"{source}:{line}" if line else source
        raise _single(place, found, "a JSON document") from None
    return check_document(document, schema, source)


def check_document(document: Any, schema: pydantic.TypeAdapter, source: str) -> Any:
    """Check a parsed document against a schema; see ``parse_document``."""
    try:
        return schema.validate_python(document, strict=True)
    except pydantic.ValidationError as error:
        problems = tuple(
            Problem(source, _path(item["loc"]), _shorten(item["input"]), _allowed(item))
            for item in error.errors(include_url=False)
        )
        raise InvalidDocumentError(problems) from None


def _single(source: str, found: str, allowed: str) -> InvalidDocumentError:
    return InvalidDocumentError((Problem(source, "", found, allowed),))


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for key, value in pairs:
        if key in document:
            raise ValueError(f"{_DUPLICATE_KEY} {key!r}")
        document[key] = value
    return document


def _reject_constant(name: str) -> None:
    raise ValueError(f"the constant {name}")


def _path(location: tuple[str | int, ...]) -> str:
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".")


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= _FOUND_LIMIT else text[: _FOUND_LIMIT - 3] + "..."


def _allowed(item: Any) -> str:
    if item["type"] == "missing":
        return "the key is required"
    if item["type"] == "extra_forbidden":
        return "no such key"
    return re.sub(r"^Input should be |^Value error, ", "", item["msg"])

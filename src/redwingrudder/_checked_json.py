"""Reads JSON of other programs: every number is finite and every type checked.

Pydantic does the same for settings and configuration files. It is not used
here because a node that restarts has to serve callers before the import of
pydantic would be complete.
"""

import json
import math
import re
from typing import Any

# Integers beyond this magnitude lose digits in programs that store numbers as
# double-precision floats.
MAX_INTEGER = 2**53
_MAX_INTEGER_CHARACTERS = len(str(-MAX_INTEGER))
# Longest representable duration, some 31 years; it keeps sums of times exact.
MAX_DURATION_MS = 10**12

MAX_PORT = 65535
MAX_PORT_DIGITS = 5

# A host name, an IPv4 address, or an IPv6 address in brackets.
_HOST = re.compile(r"[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]")
_REQUIRED: Any = object()


def parse_json(content: str | bytes) -> Any:
    """Parse a JSON document whose numbers are all finite.

    Returns:
        The document. Integers have a magnitude of at most ``MAX_INTEGER``.

    Raises:
        ValueError: The content is not JSON, is nested too deeply, or contains
            a number that is infinite, not a number or too large.
    """
    text = content if isinstance(content, str) else content.decode("utf-8")
    try:
        return _DECODER.decode(text)
    except RecursionError:
        raise ValueError("the document is nested too deeply") from None


def is_address(text: str) -> bool:
    """Return whether a text has the form "host:port" with a valid port."""
    host, _, port = text.rpartition(":")
    return (
        bool(_HOST.fullmatch(host))
        and port.isascii()
        and port.isdecimal()
        and len(port) <= MAX_PORT_DIGITS
        and 0 < int(port) <= MAX_PORT
    )


class Fields:
    """Typed access to the fields of a JSON object.

    A field that is absent or null has its default. Every method raises
    ``ValueError`` if the field is required and missing, has another type or
    is out of range; the message names the field.

    Args:
        value: The object, as ``parse_json`` returns it.
        path: Name of the object in error messages.

    Raises:
        ValueError: The value is not an object.
    """

    def __init__(self, value: Any, path: str = "document") -> None:
        if not isinstance(value, dict):
            raise ValueError(f"{path}: expected an object, found {_shorten(value)}")
        self._values = value
        self._path = path

    def has(self, name: str | int) -> bool:
        """Return whether a field is present with a value other than empty."""
        return bool(self._values.get(name))

    def text(self, name: str | int, default: str = _REQUIRED) -> str:
        """Return a string; a required string is not empty."""
        value = self._get(name, default)
        if value is default:
            return value
        if default is _REQUIRED and value == "":
            raise self._error(name, "a non-empty string", value)
        return self._check_text(name, value)

    def integer(
        self,
        name: str | int,
        default: int = _REQUIRED,
        low: int = 0,
        high: int = MAX_INTEGER,
    ) -> int:
        """Return a whole number from ``low`` to ``high``."""
        number = self.number(name, default, low, high)
        if number != int(number):
            raise self._error(name, "a whole number", number)
        return int(number)

    def number(
        self,
        name: str | int,
        default: float = _REQUIRED,
        low: float = 0.0,
        high: float = MAX_INTEGER,
    ) -> float:
        """Return a number from ``low`` to ``high``."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._error(name, "a number", value)
        if not low <= value <= high:
            raise self._error(name, f"a number from {low} to {high}", value)
        return value

    def seconds(self, name: str | int, default: float = 0.0) -> float:
        """Return a duration, which the document has in milliseconds."""
        return self.number(name, default * 1000, 0.0, MAX_DURATION_MS) / 1000

    def flag(self, name: str | int) -> bool:
        """Return a boolean; the default is false."""
        value = self._get(name, False)
        if not isinstance(value, bool):
            raise self._error(name, "true or false", value)
        return value

    def address(self, name: str | int) -> str:
        """Return a string of the form "host:port"."""
        address = self.text(name)
        if not is_address(address):
            raise self._error(name, "host:port", address)
        return address

    def texts(self, name: str | int) -> list[str]:
        """Return a list of non-empty strings; the default is empty."""
        texts = [self._check_text(name, value) for value in self._list(name)]
        if "" in texts:
            raise self._error(name, "non-empty strings", "")
        return texts

    def integers(self, name: str | int) -> list[int]:
        """Return a list of whole numbers of at least 0."""
        values = self._list(name)
        for value in values:
            if isinstance(value, bool) or not isinstance(value, int) or value < 0:
                raise self._error(name, "whole numbers", value)
        return values

    def child(self, name: str | int, required: bool = False) -> "Fields":
        """Return an object; an absent object has no fields."""
        value = self._get(name, _REQUIRED if required else {})
        return Fields(value, f"{self._path}.{name}")

    def children(self, name: str | int, required: bool = False) -> list["Fields"]:
        """Return a list of objects; the default is an empty list."""
        return [
            Fields(value, f"{self._path}.{name}[{index}]")
            for index, value in enumerate(self._list(name, required))
        ]

    def row(self, name: str | int) -> "Row":
        """Return a required array."""
        return Row(self._get(name, _REQUIRED), f"{self._path}.{name}")

    def rows(self, name: str | int, required: bool = False) -> list["Row"]:
        """Return a list of arrays; the default is an empty list."""
        return [
            Row(value, f"{self._path}.{name}[{index}]")
            for index, value in enumerate(self._list(name, required))
        ]

    def _list(self, name: str | int, required: bool = False) -> list[Any]:
        value = self._get(name, _REQUIRED if required else [])
        if not isinstance(value, list):
            raise self._error(name, "a list", value)
        return value

    def _get(self, name: str | int, default: Any) -> Any:
        value = self._values.get(name)
        if value is not None:
            return value
        if default is _REQUIRED:
            raise ValueError(f"{self._path}.{name}: missing")
        return default

    def _check_text(self, name: str | int, value: Any) -> str:
        if not isinstance(value, str):
            raise self._error(name, "a string", value)
        try:
            value.encode()
        except UnicodeEncodeError:
            raise self._error(name, "valid Unicode text", value) from None
        return value

    def _error(self, name: str | int, expected: str, value: Any) -> ValueError:
        return ValueError(
            f"{self._path}.{name}: expected {expected}, found {_shorten(value)}"
        )


class Row(Fields):
    """Typed access to the elements of a JSON array by position.

    Raises:
        ValueError: The value is not an array.
    """

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, list):
            raise ValueError(f"{path}: expected an array, found {_shorten(value)}")
        super().__init__(dict(enumerate(value)), path)


def _finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"the number {_shorten(text)} is too large")
    return value


def _bounded_integer(text: str) -> int:
    # Converting a long digit string to an integer takes quadratic time.
    value = int(text) if len(text) <= _MAX_INTEGER_CHARACTERS else math.inf
    if abs(value) > MAX_INTEGER:
        raise ValueError(f"the number {_shorten(text)} is too large")
    return value


def _reject_constant(name: str | int) -> None:
    raise ValueError(f"{name} is not a JSON number")


_DECODER = json.JSONDecoder(
    parse_float=_finite_float,
    parse_int=_bounded_integer,
    parse_constant=_reject_constant,
)


def _shorten(value: Any) -> str:
    return repr(value)[:60]

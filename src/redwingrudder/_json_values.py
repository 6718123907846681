"""Conversion between NamedTuple value types and JSON."""

import json
from typing import Any, TypeVar

from pydantic import TypeAdapter

Value = TypeVar("Value")
_adapters_by_type: dict[type, TypeAdapter] = {}


def to_plain(value: Any) -> Any:
    """Replace NamedTuples by dicts and other tuples by lists, recursively."""
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return {
            name: to_plain(item)
            for name, item in zip(value._fields, value, strict=True)
        }
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    return value


def to_json(value: Any) -> str:
    """Encode a value as JSON text without whitespace.

    NamedTuples become objects.
    """
    return json.dumps(to_plain(value), ensure_ascii=False, separators=(",", ":"))


def from_json(value_type: type[Value], text: str) -> Value:
    """Decode and validate JSON text as a NamedTuple type.

    Raises:
        ValueError: The text is not valid JSON or does not match the type.
    """
    adapter = _adapters_by_type.get(value_type)
    if adapter is None:
        adapter = _adapters_by_type[value_type] = TypeAdapter(value_type)
    return adapter.validate_json(text)

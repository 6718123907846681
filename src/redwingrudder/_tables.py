"""Plain-text output of the command line."""

import json
from typing import Any

from tabulate import tabulate


def print_json(value: Any) -> None:
    """Print a value as one JSON document."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_fields(fields: dict[str, Any]) -> None:
    """Print one record, a field a line."""
    print(tabulate(list(fields.items()), tablefmt="plain", disable_numparse=True))


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print records as a table with the keys as its header."""
    print(tabulate(rows, headers="keys", tablefmt="simple", floatfmt=".2f"))

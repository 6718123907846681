"""Plain-text output of the command line."""

import json
from typing import Any

from tabulate import tabulate

from ._json_values import to_plain


def print_json(value: Any) -> None:
    """Print a value as one JSON document."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_fields(fields: dict[str, Any]) -> None:
    """Print one record, a field a line."""
    print(tabulate(list(fields.items()), tablefmt="plain", disable_numparse=True))


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print records as a table with the keys as its header."""
    print(tabulate(rows, headers="keys", tablefmt="simple", floatfmt=".2f"))


def print_reports(reports: list[Any], as_json: bool) -> None:
    """Print the reports of bench runs."""
    plain = [to_plain(report) for report in reports]
    if as_json:
        print_json(plain)
        return
    for report in plain:
        print(f"\n{report['scenario']}, policy {report['policy']}")
        found = report["figures"]
        print_table(found.pop("classes"))
        print_table(found.pop("organisations"))
        print_fields(found | report["comparison"])
        for line in report["shortfalls"]:
            print(f"shortfall: {line}")

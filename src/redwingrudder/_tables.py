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


def print_configuration(body: dict[str, Any]) -> None:
    """Print a configuration by its sections."""
    print(f"version {body['version']}")
    for section in ("organisations", "classes"):
        print(f"\n{section}")
        print_fields(
            {
                name: json.dumps(entry)
                for name, entry in body["document"][section].items()
            }
        )
    print("\nfailure domains of the guaranteed shapes")
    print_table(body["cells"])


def print_explanation(body: dict[str, Any]) -> None:
    """Print why a job waits, runs or ended."""
    print(f"{body['job_id']} is {body['state']}")
    for reason in body["reasons"]:
        print(f"- {reason}")


def _domain_row(domain: dict[str, Any]) -> dict[str, Any]:
    plain = {
        key.replace("_", " "): value
        for key, value in domain.items()
        if not isinstance(value, list)
    }
    plain["epoch"] = ".".join(str(part) for part in domain["epoch"].values())
    return plain


def print_domains(body: dict[str, Any]) -> None:
    """Print the state of the failure domains."""
    domains = body["failure_domains"]
    print_table([_domain_row(domain) for domain in domains])
    for name in body["unreachable"]:
        print(f"{name}: its owner gives no answer")
    for section in ("organisations", "classes", "shortages"):
        rows = [
            {"failure_domain": domain["failure_domain"], **row}
            for domain in domains
            for row in domain.get(section, ())
        ]
        if rows:
            print(f"\n{section}")
            print_table(rows)

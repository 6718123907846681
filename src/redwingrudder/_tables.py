"""Output of the command line, as text tables or JSON."""

import json
from typing import Any

from tabulate import tabulate

from ._json_values import to_plain


def print_json(value: Any) -> None:
    """Print a value as indented JSON with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_fields(fields: dict[str, Any]) -> None:
    """Print one record with one field per line."""
    print(tabulate(list(fields.items()), tablefmt="plain", disable_numparse=True))


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print records as a table with their keys as column headings."""
    print(tabulate(rows, headers="keys", tablefmt="simple", floatfmt=".2f"))


def print_reports(reports: list[Any], as_json: bool) -> None:
    """Print bench reports as tables, or as one JSON list."""
    plain = [to_plain(report) for report in reports]
    if as_json:
        print_json(plain)
        return
    for report in plain:
        print(f"\n{report['scenario']}, policy {report['policy']}")
        figures = report["figures"]
        print_table(figures.pop("classes"))
        print_table(figures.pop("organisations"))
        print_fields(figures | report["comparison"])
        for shortfall in report["shortfalls"]:
            print(f"shortfall: {shortfall}")


def print_configuration(body: dict[str, Any]) -> None:
    """Print the version, each section and the cells of a configuration."""
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
    """Print the state of a job and the reasons for it."""
    print(f"{body['job_id']} is {body['state']}")
    for reason in body["reasons"]:
        print(f"- {reason}")


def _domain_row(domain: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a failure domain that fit into one table row."""
    row = {
        key.replace("_", " "): value
        for key, value in domain.items()
        if not isinstance(value, list)
    }
    row["epoch"] = ".".join(str(part) for part in domain["epoch"].values())
    return row


def print_domains(body: dict[str, Any]) -> None:
    """Print the status of all failure domains of the deployment."""
    domains = body["failure_domains"]
    print_table([_domain_row(domain) for domain in domains])
    for name in body["unreachable"]:
        print(f"{name}: the owner of this failure domain did not answer")
    for section in ("organisations", "classes", "shortages"):
        rows = [
            {"failure_domain": domain["failure_domain"], **row}
            for domain in domains
            for row in domain.get(section, ())
        ]
        if rows:
            print(f"\n{section}")
            print_table(rows)

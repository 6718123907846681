"""Values of the configuration's keys in the platform store (JSON)."""

import json
from typing import Any, NamedTuple

from ._configuration_document import (
    FORMAT_VERSION,
    from_job_class,
    from_organisation,
    to_configuration,
    to_document,
    to_job_class,
    to_organisation,
)
from .model import CellAssignment, Configuration, JobClass, Organisation

HEAD_KEY = "/config/head"
DOCUMENT_KEY = "/config/document"
CHANGE_PREFIX = "/config/change/"
CHANGES_KEPT = 1_000

# Failure domain per copy, per shape, by organisation.
Cells = dict[str, list[list[str]]]


class Head(NamedTuple):
    """The version in force and the nonce of the change that made it."""

    version: int
    nonce: str


class Change(NamedTuple):
    """The difference between a version and the one before it.

    An organisation stands here, with all of its cells, when its guarantees
    or its cells changed.
    """

    version: int
    nonce: str
    organisations: tuple[Organisation, ...]
    removed_organisations: tuple[str, ...]
    classes: tuple[JobClass, ...]
    removed_classes: tuple[str, ...]
    cells: tuple[CellAssignment, ...]


def change_key(version: int) -> str:
    """Return the key of a change; the digits keep the keys in order."""
    return f"{CHANGE_PREFIX}{version:012d}"


def build_change(old: Configuration | None, new: Configuration, nonce: str) -> Change:
    """Return the change from one configuration to the next."""
    old = old or Configuration(0, {}, {}, ())
    old_cells = _cells_by_organisation(old.cells)
    new_cells = _cells_by_organisation(new.cells)
    changed = tuple(
        organisation
        for name, organisation in new.organisations_by_name.items()
        if old.organisations_by_name.get(name) != organisation
        or old_cells.get(name) != new_cells.get(name)
    )
    names = {organisation.name for organisation in changed}
    return Change(
        new.version,
        nonce,
        changed,
        _missing(old.organisations_by_name, new.organisations_by_name),
        tuple(
            job_class
            for name, job_class in new.classes_by_name.items()
            if old.classes_by_name.get(name) != job_class
        ),
        _missing(old.classes_by_name, new.classes_by_name),
        tuple(cell for cell in new.cells if cell.organisation in names),
    )


def apply_change(old: Configuration | None, change: Change) -> Configuration:
    """Return the configuration that follows ``old``."""
    old = old or Configuration(0, {}, {}, ())
    organisations = dict(old.organisations_by_name)
    classes = dict(old.classes_by_name)
    organisations.update({item.name: item for item in change.organisations})
    classes.update({item.name: item for item in change.classes})
    for name in change.removed_organisations:
        organisations.pop(name, None)
    for name in change.removed_classes:
        classes.pop(name, None)
    replaced = {item.name for item in change.organisations}
    replaced.update(change.removed_organisations)
    kept = tuple(cell for cell in old.cells if cell.organisation not in replaced)
    cells = tuple(sorted((*kept, *change.cells)))
    return Configuration(change.version, organisations, classes, cells)


def encode_head(head: Head) -> str:
    """Encode the value of ``HEAD_KEY``."""
    return _dump({"version": head.version, "nonce": head.nonce})


def decode_head(text: str) -> Head:
    """Decode the value of ``HEAD_KEY``."""
    body = json.loads(text)
    return Head(body["version"], body["nonce"])


def encode_configuration(configuration: Configuration) -> str:
    """Encode the value of ``DOCUMENT_KEY``."""
    body: dict[str, Any] = dict(to_document(configuration))
    body["version"] = configuration.version
    body["cells"] = _encode_cells(configuration.cells)
    return _dump(body)


def decode_configuration(text: str) -> Configuration:
    """Decode the value of ``DOCUMENT_KEY``.

    Raises:
        ValueError: The format is of a later release or the text is no JSON.
    """
    body = _load(text)
    cells = _decode_cells(body["cells"])
    return to_configuration(body, body["version"], cells)


def encode_change(change: Change) -> str:
    """Encode the value of a change key."""
    return _dump(
        {
            "format_version": FORMAT_VERSION,
            "version": change.version,
            "nonce": change.nonce,
            "organisations": {
                item.name: from_organisation(item) for item in change.organisations
            },
            "removed_organisations": change.removed_organisations,
            "classes": {item.name: from_job_class(item) for item in change.classes},
            "removed_classes": change.removed_classes,
            "cells": _encode_cells(change.cells),
        }
    )


def decode_change(text: str) -> Change:
    """Decode the value of a change key; see ``decode_configuration``."""
    body = _load(text)
    return Change(
        body["version"],
        body["nonce"],
        tuple(to_organisation(n, item) for n, item in body["organisations"].items()),
        tuple(body["removed_organisations"]),
        tuple(to_job_class(n, item) for n, item in body["classes"].items()),
        tuple(body["removed_classes"]),
        _decode_cells(body["cells"]),
    )


def _dump(body: Any) -> str:
    return json.dumps(body, separators=(",", ":"), sort_keys=True)


def _load(text: str) -> dict[str, Any]:
    body = json.loads(text)
    found = body.get("format_version")
    if found != FORMAT_VERSION:
        raise ValueError(f"format version {found}, known is {FORMAT_VERSION}")
    return body


def _missing(old: dict[str, Any], new: dict[str, Any]) -> tuple[str, ...]:
    return tuple(sorted(old.keys() - new.keys()))


def _cells_by_organisation(
    cells: tuple[CellAssignment, ...],
) -> dict[str, list[CellAssignment]]:
    grouped: dict[str, list[CellAssignment]] = {}
    for cell in sorted(cells):
        grouped.setdefault(cell.organisation, []).append(cell)
    return grouped


def _encode_cells(cells: tuple[CellAssignment, ...]) -> Cells:
    encoded: Cells = {}
    for cell in sorted(cells):
        shapes = encoded.setdefault(cell.organisation, [])
        while len(shapes) <= cell.shape_index:
            shapes.append([])
        copies = shapes[cell.shape_index]
        copies.extend([""] * (cell.copy_index - len(copies)))
        copies.append(cell.failure_domain)
    return encoded


def _decode_cells(encoded: Cells) -> tuple[CellAssignment, ...]:
    return tuple(
        CellAssignment(organisation, shape_index, copy_index, domain)
        for organisation, shapes in sorted(encoded.items())
        for shape_index, copies in enumerate(shapes)
        for copy_index, domain in enumerate(copies)
        if domain
    )

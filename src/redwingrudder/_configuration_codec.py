"""JSON encoding of the configuration's keys in the platform store.

The store holds the head (version in force), the whole document, and one key
per change, so that a node that watches the changes need not read the whole
document after each of them.
"""

import json
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from ._checked_json import Fields, parse_json
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
# Number of change keys kept in the store; the writer deletes older ones.
CHANGES_KEPT = 1_000

# By organisation: for each shape a list with the failure domain of each copy,
# "" for a copy that no failure domain holds.
EncodedCells = dict[str, list[list[str]]]
Decoded = TypeVar("Decoded")


class Head(NamedTuple):
    """Value of ``HEAD_KEY``.

    Attributes:
        version: The version in force.
        nonce: Random id of the write that created this version.
    """

    version: int
    nonce: str


class Change(NamedTuple):
    """The difference between a version and the one before it.

    Attributes:
        version: The version that results from the change.
        nonce: Random id of the write. After a lost reply the writer compares
            it to tell its own write from that of another node.
        organisations: Added organisations, and those whose guarantees or
            cells changed.
        removed_organisations: Names, sorted.
        classes: Added or changed job classes.
        removed_classes: Names, sorted.
        cells: All cells of ``organisations``, unchanged ones included.
    """

    version: int
    nonce: str
    organisations: tuple[Organisation, ...]
    removed_organisations: tuple[str, ...]
    classes: tuple[JobClass, ...]
    removed_classes: tuple[str, ...]
    cells: tuple[CellAssignment, ...]


def change_key(version: int) -> str:
    """Return the key of the change that created a version.

    The version is padded with zeros, so that the order of the keys is the
    order of the versions.
    """
    return f"{CHANGE_PREFIX}{version:012d}"


def build_change(old: Configuration | None, new: Configuration, nonce: str) -> Change:
    """Return the difference between two configurations.

    Args:
        old: The configuration before the change; None if there was none.
        new: The configuration after the change.
        nonce: Random id of the write.
    """
    old = old or Configuration(0, {}, {}, ())
    old_cells = _cells_by_organisation(old.cells)
    new_cells = _cells_by_organisation(new.cells)
    changed = tuple(
        organisation
        for name, organisation in new.organisations_by_name.items()
        if old.organisations_by_name.get(name) != organisation
        or old_cells.get(name) != new_cells.get(name)
    )
    changed_names = {organisation.name for organisation in changed}
    return Change(
        new.version,
        nonce,
        changed,
        _removed_names(old.organisations_by_name, new.organisations_by_name),
        tuple(
            job_class
            for name, job_class in new.classes_by_name.items()
            if old.classes_by_name.get(name) != job_class
        ),
        _removed_names(old.classes_by_name, new.classes_by_name),
        tuple(cell for cell in new.cells if cell.organisation in changed_names),
    )


def apply_change(old: Configuration | None, change: Change) -> Configuration:
    """Return the configuration that results from a change.

    The caller must check that ``change.version`` follows ``old.version``.

    Args:
        old: The configuration before the change; None if there was none.
        change: The change to apply.
    """
    old = old or Configuration(0, {}, {}, ())
    organisations = dict(old.organisations_by_name)
    classes = dict(old.classes_by_name)
    organisations.update({item.name: item for item in change.organisations})
    classes.update({item.name: item for item in change.classes})
    for name in change.removed_organisations:
        organisations.pop(name, None)
    for name in change.removed_classes:
        classes.pop(name, None)
    replaced_names = {item.name for item in change.organisations}
    replaced_names.update(change.removed_organisations)
    kept_cells = tuple(
        cell for cell in old.cells if cell.organisation not in replaced_names
    )
    cells = tuple(sorted((*kept_cells, *change.cells)))
    return Configuration(change.version, organisations, classes, cells)


def encode_head(head: Head) -> str:
    """Return the value of ``HEAD_KEY`` as JSON text."""
    return _dump({"version": head.version, "nonce": head.nonce})


def decode_head(text: str) -> Head:
    """Parse the value of ``HEAD_KEY``.

    Raises:
        ValueError: The text is not the value of a head.
    """
    body = Fields(parse_json(text), "head")
    return Head(body.integer("version"), body.text("nonce"))


def encode_configuration(configuration: Configuration) -> str:
    """Return the value of ``DOCUMENT_KEY`` as JSON text.

    It is the operators' document with ``version`` and ``cells`` added.
    """
    body: dict[str, Any] = dict(to_document(configuration))
    body["version"] = configuration.version
    body["cells"] = _encode_cells(configuration.cells)
    return _dump(body)


def decode_configuration(text: str) -> Configuration:
    """Parse the value of ``DOCUMENT_KEY``.

    Raises:
        ValueError: The text is not a configuration, or this release does not
            support its format version.
    """

    def decode(body: dict[str, Any]) -> Configuration:
        cells = _decode_cells(body["cells"])
        return to_configuration(body, body["version"], cells)

    return _decode_body(text, decode)


def encode_change(change: Change) -> str:
    """Return the value of a change key as JSON text."""
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
    """Parse the value of a change key.

    Raises:
        ValueError: The text is not a change, or this release does not support
            its format version.
    """

    def decode(body: dict[str, Any]) -> Change:
        return Change(
            body["version"],
            body["nonce"],
            tuple(
                to_organisation(name, document)
                for name, document in body["organisations"].items()
            ),
            tuple(body["removed_organisations"]),
            tuple(
                to_job_class(name, document)
                for name, document in body["classes"].items()
            ),
            tuple(body["removed_classes"]),
            _decode_cells(body["cells"]),
        )

    return _decode_body(text, decode)


def _dump(body: Any) -> str:
    return json.dumps(body, separators=(",", ":"), sort_keys=True)


def _decode_body(text: str, decode: Callable[[dict[str, Any]], Decoded]) -> Decoded:
    """Decode a document of this release's format version.

    Raises:
        ValueError: The document is malformed or of another version.
    """
    body = parse_json(text)
    format_version = Fields(body).integer("format_version")
    if format_version != FORMAT_VERSION:
        raise ValueError(
            f"unsupported format_version {format_version}, "
            f"this release reads {FORMAT_VERSION}"
        )
    Fields(body).integer("version")
    try:
        return decode(body)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed document: {error!r}") from error


def _removed_names(old: dict[str, Any], new: dict[str, Any]) -> tuple[str, ...]:
    return tuple(sorted(old.keys() - new.keys()))


def _cells_by_organisation(
    cells: tuple[CellAssignment, ...],
) -> dict[str, list[CellAssignment]]:
    cells_by_organisation: dict[str, list[CellAssignment]] = {}
    for cell in sorted(cells):
        cells_by_organisation.setdefault(cell.organisation, []).append(cell)
    return cells_by_organisation


def _encode_cells(cells: tuple[CellAssignment, ...]) -> EncodedCells:
    encoded: EncodedCells = {}
    for cell in sorted(cells):
        shapes = encoded.setdefault(cell.organisation, [])
        while len(shapes) <= cell.shape_index:
            shapes.append([])
        copies = shapes[cell.shape_index]
        # A copy without a failure domain has no cell and is encoded as "".
        copies.extend([""] * (cell.copy_index - len(copies)))
        copies.append(cell.failure_domain)
    return encoded


def _decode_cells(encoded: EncodedCells) -> tuple[CellAssignment, ...]:
    return tuple(
        CellAssignment(organisation, shape_index, copy_index, domain)
        for organisation, shapes in sorted(encoded.items())
        for shape_index, copies in enumerate(shapes)
        for copy_index, domain in enumerate(copies)
        if domain
    )

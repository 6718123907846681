"""Assignment of the copies of guaranteed shapes to failure domains."""

from typing import NamedTuple

from ._cells import (
    CellLayout,
    RequiredCell,
    cell_level,
    place_missing_cells,
    required_cells,
)
from .exceptions import UnprocessableError
from .fleet import Fleet
from .model import CellAssignment, Configuration, WorkerInfo

DomainsByCopy = dict[tuple[str, int, int], str]


class PlanAttempt(NamedTuple):
    """The result of one attempt to assign all copies to domains.

    ``cells`` has the copies that were assigned; ``missing`` has the number of
    missing accelerators of each copy that was not.
    """

    cells: tuple[CellAssignment, ...]
    missing: dict[CellAssignment, int]


def plan_cells(
    configuration: Configuration, workers: tuple[WorkerInfo, ...]
) -> tuple[CellAssignment, ...]:
    """Choose a failure domain for every copy of every guaranteed shape.

    Existing assignments of the configuration are kept if all other copies fit
    beside them. Otherwise all copies are assigned anew, first spread over the
    domains and, if that fails, packed into the fullest domains. The result
    does not depend on the order of the inputs.

    Args:
        configuration: Organisations with their shapes and existing cells.
        workers: All workers; what is running on them is ignored.

    Raises:
        UnprocessableError: Some copies fit in no domain
            (``guarantees_do_not_fit``).
    """
    existing = _existing_domains(configuration)
    attempts = []
    for preferred_domains, spread in ((existing, True), ({}, True), ({}, False)):
        attempt = _try_plan(configuration, workers, preferred_domains, spread)
        if not attempt.missing:
            return attempt.cells
        attempts.append(attempt)
    raise _build_refusal(
        min(attempts, key=lambda a: sum(a.missing.values())), configuration
    )


def _existing_domains(configuration: Configuration) -> DomainsByCopy:
    ordered = sorted(configuration.cells, reverse=True)
    return {cell[:3]: cell.failure_domain for cell in ordered}


def _try_plan(
    configuration: Configuration,
    workers: tuple[WorkerInfo, ...],
    preferred_domains: DomainsByCopy,
    spread: bool,
) -> PlanAttempt:
    layouts = _empty_layouts(workers)
    copies = _required_copies(configuration)
    missing: dict[CellAssignment, int] = {}
    unplaced = [
        copy
        for copy in copies
        if not _place_in_preferred_domain(copy, preferred_domains, layouts)
    ]
    for copy in unplaced:
        shortage = _place_in_any_domain(copy, layouts, spread)
        if shortage:
            missing[copy.key] = shortage
    cells = tuple(
        sorted(key for layout in layouts.values() for key in layout.cells_by_key)
    )
    if not missing:
        missing = _missing_in_new_layout(configuration, cells, layouts)
    return PlanAttempt(cells, missing)


def _empty_layouts(workers: tuple[WorkerInfo, ...]) -> dict[str, CellLayout]:
    fleets_by_domain: dict[str, Fleet] = {}
    for info in sorted(workers):
        fleet = fleets_by_domain.setdefault(info.failure_domain, Fleet())
        fleet.add_worker(info, boot_id="", draining=False)
    return {name: CellLayout(fleet) for name, fleet in fleets_by_domain.items()}


def _required_copies(configuration: Configuration) -> list[RequiredCell]:
    copies = [
        RequiredCell(CellAssignment(name, shape_index, copy, ""), shape.accelerators)
        for name, organisation in configuration.organisations_by_name.items()
        for shape_index, shape in enumerate(organisation.guarantees)
        for copy in range(shape.copies)
    ]
    return sorted(copies, key=lambda copy: (-copy.size, copy.key))


def _place_in_preferred_domain(
    copy: RequiredCell, preferred_domains: DomainsByCopy, layouts: dict[str, CellLayout]
) -> bool:
    domain = preferred_domains.get(copy.key[:3])
    if domain not in layouts:
        return False
    return _place_in_domain(copy, domain, layouts[domain]) == 0


def _place_in_any_domain(
    copy: RequiredCell, layouts: dict[str, CellLayout], spread: bool
) -> int:
    """Place a copy in the first domain, by preference, that can hold it.

    Returns:
        Zero if the copy was placed, else the number of accelerators that are
        missing in the domain that comes closest.
    """

    def preference(domain: str) -> tuple[int, int, int, str]:
        """Return the sort key of a domain.

        After the level, spreading prefers domains with few cells of the
        organisation and then with many unassigned accelerators. Packing
        prefers domains with few unassigned accelerators.
        """
        layout = layouts[domain]
        own_cells = sum(
            key.organisation == copy.key.organisation for key in layout.cells_by_key
        )
        level = cell_level(layout.fleet, copy.size)
        unassigned = layout.unassigned()
        if spread:
            return (level, own_cells, -unassigned, domain)
        return (level, 0, unassigned, domain)

    missing = copy.size
    for domain in sorted(layouts, key=preference):
        missing = min(missing, _place_in_domain(copy, domain, layouts[domain]))
        if not missing:
            break
    return missing


def _place_in_domain(copy: RequiredCell, domain: str, layout: CellLayout) -> int:
    required = copy._replace(key=copy.key._replace(failure_domain=domain))
    result = layout.search(required)
    if result.cell is not None:
        layout.add_cell(result.cell)
    return result.missing


def _missing_in_new_layout(
    configuration: Configuration,
    cells: tuple[CellAssignment, ...],
    layouts: dict[str, CellLayout],
) -> dict[CellAssignment, int]:
    """Return what is missing if every domain lays out its cells from scratch.

    An owner that takes over a domain has no layout yet and has to place all
    cells again.
    """
    planned = configuration._replace(cells=cells)
    missing: dict[CellAssignment, int] = {}
    for domain, layout in layouts.items():
        missing |= place_missing_cells(
            CellLayout(layout.fleet), required_cells(planned, domain)
        )
    return missing


def _build_refusal(
    attempt: PlanAttempt, configuration: Configuration
) -> UnprocessableError:
    missing_by_shape: dict[tuple[str, int], list[int]] = {}
    for key, missing in sorted(attempt.missing.items()):
        missing_by_shape.setdefault(key[:2], []).append(missing)
    problems = []
    for (name, index), missing in missing_by_shape.items():
        shape = configuration.organisations_by_name[name].guarantees[index]
        problems.append(
            f"{name}: {len(missing)} of {shape.copies} copies of shape {index} "
            f"({shape.accelerators} adjacent accelerators) do not fit; the best "
            f"failure domain lacks {min(missing)}"
        )
    return UnprocessableError("; ".join(problems), code="guarantees_do_not_fit")

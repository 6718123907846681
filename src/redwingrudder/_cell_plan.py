"""Choice of the failure domain for every copy of a guaranteed shape."""

from typing import NamedTuple

from ._cells import CellLayout, WantedCell, cell_level, fill, wanted_cells
from .exceptions import UnprocessableError
from .fleet import Fleet
from .model import CellAssignment, Configuration, WorkerInfo

DomainsByCopy = dict[tuple[str, int, int], str]


class PlanAttempt(NamedTuple):
    """The domains found, and the missing accelerators of other copies."""

    cells: tuple[CellAssignment, ...]
    missing: dict[CellAssignment, int]


def plan_cells(
    configuration: Configuration, workers: tuple[WorkerInfo, ...]
) -> tuple[CellAssignment, ...]:
    """Choose a failure domain for every copy of every guaranteed shape.

    Existing entries of the configuration stay if everything fits with them;
    otherwise all copies are placed anew, first spread over the domains, then
    packed. The result does not depend on the order of the inputs.

    Args:
        configuration: Organisations with their shapes and existing cells.
        workers: All workers, whether in use or not; they are taken as empty.

    Raises:
        UnprocessableError: ``guarantees_do_not_fit``.
    """
    existing = _existing_domains(configuration)
    attempts = []
    for kept, spread in ((existing, True), ({}, True), ({}, False)):
        attempt = _attempt(configuration, workers, kept, spread)
        if not attempt.missing:
            return attempt.cells
        attempts.append(attempt)
    raise _refusal(min(attempts, key=lambda a: sum(a.missing.values())), configuration)


def _existing_domains(configuration: Configuration) -> DomainsByCopy:
    ordered = sorted(configuration.cells, reverse=True)
    return {cell[:3]: cell.failure_domain for cell in ordered}


def _attempt(
    configuration: Configuration,
    workers: tuple[WorkerInfo, ...],
    kept: DomainsByCopy,
    spread: bool,
) -> PlanAttempt:
    layouts = _empty_layouts(workers)
    copies = _copies(configuration)
    missing: dict[CellAssignment, int] = {}
    left = [copy for copy in copies if not _place_kept(copy, kept, layouts)]
    for copy in left:
        shortage = _place_new(copy, layouts, spread)
        if shortage:
            missing[copy.key] = shortage
    cells = tuple(sorted(key for lay in layouts.values() for key in lay.cells_by_key))
    if not missing:
        missing = _missing_when_laid_out_anew(configuration, cells, layouts)
    return PlanAttempt(cells, missing)


def _empty_layouts(workers: tuple[WorkerInfo, ...]) -> dict[str, CellLayout]:
    fleets_by_domain: dict[str, Fleet] = {}
    for info in sorted(workers):
        fleet = fleets_by_domain.setdefault(info.failure_domain, Fleet())
        fleet.add_worker(info, boot_id="", draining=False)
    return {name: CellLayout(fleet) for name, fleet in fleets_by_domain.items()}


def _copies(configuration: Configuration) -> list[WantedCell]:
    copies = [
        WantedCell(CellAssignment(name, shape_index, copy, ""), shape.accelerators)
        for name, organisation in configuration.organisations_by_name.items()
        for shape_index, shape in enumerate(organisation.guarantees)
        for copy in range(shape.copies)
    ]
    return sorted(copies, key=lambda copy: (-copy.size, copy.key))


def _place_kept(
    copy: WantedCell, kept: DomainsByCopy, layouts: dict[str, CellLayout]
) -> bool:
    domain = kept.get(copy.key[:3])
    if domain not in layouts:
        return False
    return _place_in(copy, domain, layouts[domain]) == 0


def _place_new(copy: WantedCell, layouts: dict[str, CellLayout], spread: bool) -> int:
    """Place a copy; returns how many accelerators the best domain lacks."""

    def preference(domain: str) -> tuple[int, int, int, str]:
        layout = layouts[domain]
        owned = sum(
            key.organisation == copy.key.organisation for key in layout.cells_by_key
        )
        level = cell_level(layout.fleet, copy.size)
        unassigned = layout.unassigned()
        if spread:
            return (level, owned, -unassigned, domain)
        return (level, 0, unassigned, domain)

    missing = copy.size
    for domain in sorted(layouts, key=preference):
        missing = min(missing, _place_in(copy, domain, layouts[domain]))
        if not missing:
            break
    return missing


def _place_in(copy: WantedCell, domain: str, layout: CellLayout) -> int:
    wanted = copy._replace(key=copy.key._replace(failure_domain=domain))
    found = layout.search(wanted)
    if found.cell is not None:
        layout.put(found.cell)
    return found.missing


def _missing_when_laid_out_anew(
    configuration: Configuration,
    cells: tuple[CellAssignment, ...],
    layouts: dict[str, CellLayout],
) -> dict[CellAssignment, int]:
    """Check that an owner that starts from nothing can hold the cells too."""
    planned = configuration._replace(cells=cells)
    missing: dict[CellAssignment, int] = {}
    for domain, layout in layouts.items():
        missing |= fill(CellLayout(layout.fleet), wanted_cells(planned, domain))
    return missing


def _refusal(attempt: PlanAttempt, configuration: Configuration) -> UnprocessableError:
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

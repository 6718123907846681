"""Measures what each part costs on this machine, with stand-ins outside.

The figures are processor time and bytes, so they differ between machines;
``docs/CAPACITY.md`` works out the target size from their slopes.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from twisted.internet.defer import ensureDeferred

from ._json_values import to_plain
from ._measure_decisions import (
    ConfigurationRow,
    PlacementRow,
    StateRow,
    measure_configurations,
    measure_placements,
    measure_states,
)
from ._measure_links import ExchangeRow, LinkRow, measure_exchanges, measure_links
from ._measure_members import MembersRow, measure_members
from ._measure_nodes import (
    JobRow,
    NodeRow,
    ProcessRow,
    measure_jobs,
    measure_nodes,
    measure_process,
)
from ._measure_planning import PlanningRow, measure_planning
from ._tables import print_json, print_table
from .exceptions import BadRequestError
from .logs import configure_logging

PARTS = (
    "placement",
    "state",
    "links",
    "exchange",
    "members",
    "nodes",
    "jobs",
    "configuration",
    "planning",
)
PROCESS = "process"  # only by name, because it needs a running node

Row = (
    PlacementRow
    | StateRow
    | LinkRow
    | ExchangeRow
    | MembersRow
    | NodeRow
    | JobRow
    | ProcessRow
    | ConfigurationRow
    | PlanningRow
)
Rows = Sequence[Row]


async def measure(
    part: str, seed: int, reactor: Any, pid: int = 0, node: str = ""
) -> Rows:
    """Measure one part at all of its sizes.

    Raises:
        BadRequestError: The part does not exist.
    """
    measures: dict[str, Callable[[], Awaitable[Rows] | Rows]] = {
        "placement": lambda: measure_placements(seed),
        "state": lambda: measure_states(seed),
        "links": lambda: measure_links(reactor),
        "exchange": lambda: measure_exchanges(reactor),
        "members": lambda: measure_members(reactor),
        "nodes": lambda: measure_nodes(reactor),
        "jobs": lambda: measure_jobs(reactor),
        "configuration": measure_configurations,
        "planning": lambda: measure_planning(seed),
        PROCESS: lambda: measure_process(reactor, pid, node),
    }
    if part not in measures:
        known = ", ".join(measures)
        raise BadRequestError(f"no part {part!r}; there are: {known}")
    rows = measures[part]()
    return await rows if isinstance(rows, Awaitable) else rows


def run_measure(
    parts: tuple[str, ...], seed: int, pid: int, node: str, as_json: bool, reactor: Any
) -> None:
    """Measure parts and print a table for each.

    Args:
        parts: Names of parts, or "all".
        seed: Seed of the generated load.
        pid: Process of a running node, for ``PROCESS``.
        node: Entry node URL of that process.
        as_json: Print one JSON document.
        reactor: The twisted reactor, not yet running.
    """
    names = PARTS if parts == ("all",) else parts
    configure_logging("measure", "ERROR")
    found: dict[str, Any] = {}
    failures: list[Any] = []

    async def run() -> None:
        for name in names:
            rows = await measure(name, seed, reactor, pid, node)
            found[name] = [to_plain(row) for row in rows]
            if not as_json:
                print(f"\n{name}", flush=True)
                print_table(found[name])

    def begin() -> None:
        running = ensureDeferred(run()).addErrback(failures.append)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    if failures:
        failures[0].raiseException()
    if as_json:
        print_json(found)

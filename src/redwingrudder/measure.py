"""Measures the cost of the system's parts on this machine.

Stand-ins replace the platform and the workers. Processor times differ between
machines; ``docs/CAPACITY.md`` extrapolates the figures to the target size from
their growth with the measured sizes.
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
# Not in ``PARTS`` and so not in "all", because it needs a running node.
PROCESS = "process"

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

    Args:
        part: One of ``PARTS``, or ``PROCESS``.
        seed: Seed of the generated load.
        reactor: The running Twisted reactor.
        pid: Process id of a running node, for ``PROCESS`` only.
        node: Entry node URL of that process.

    Returns:
        One row for each size, or for each node.

    Raises:
        BadRequestError: The part does not exist; all parts are listed.
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
        available = ", ".join(measures)
        raise BadRequestError(f"unknown part {part!r}; available: {available}")
    rows = measures[part]()
    return await rows if isinstance(rows, Awaitable) else rows


def run_measure(
    parts: tuple[str, ...], seed: int, pid: int, node: str, as_json: bool, reactor: Any
) -> None:
    """Measure parts and print a table of each part when it is done.

    This runs the reactor, stops it and raises the first error.

    Args:
        parts: Names of parts, or only "all" for ``PARTS``.
        seed: Seed of the generated load.
        pid: Process id of a running node, for ``PROCESS`` only.
        node: Entry node URL of that process.
        as_json: Print one JSON document at the end instead of tables.
        reactor: The Twisted reactor, not yet running.
    """
    names = PARTS if parts == ("all",) else parts
    configure_logging("measure", "ERROR")
    rows_by_part: dict[str, Any] = {}
    failures: list[Any] = []

    async def run() -> None:
        for name in names:
            rows = await measure(name, seed, reactor, pid, node)
            rows_by_part[name] = [to_plain(row) for row in rows]
            if not as_json:
                print(f"\n{name}", flush=True)
                print_table(rows_by_part[name])

    def start() -> None:
        measuring = ensureDeferred(run()).addErrback(failures.append)
        measuring.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if failures:
        failures[0].raiseException()
    if as_json:
        print_json(rows_by_part)

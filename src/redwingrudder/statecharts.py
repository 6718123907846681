"""State charts, loaded from SCXML files into flat transition tables.

A chart file is a W3C SCXML document with atomic and final states. The
``event`` of a ``<send>`` inside a transition names an action that the caller
carries out. A transition without a target keeps the state. An event that a
state does not list is an error at run time, so that every combination is a
decision that stands in the file.
"""

import importlib.resources
from typing import NamedTuple
from xml.parsers import expat

from .exceptions import ChartError, UnexpectedEventError


class Transition(NamedTuple):
    """The state that follows and the actions to carry out, in order."""

    target: str
    actions: tuple[str, ...]


class Chart(NamedTuple):
    """A loaded chart; ``transitions_by_key`` is keyed by (state, event)."""

    name: str
    initial: str
    states: frozenset[str]
    final_states: frozenset[str]
    transitions_by_key: dict[tuple[str, str], Transition]

    def step(self, state: str, event: str) -> Transition:
        """Return the transition for an event.

        Raises:
            UnexpectedEventError: The state does not list the event.
        """
        try:
            return self.transitions_by_key[state, event]
        except KeyError:
            raise UnexpectedEventError(
                f"chart {self.name}: state {state!r} does not list {event!r}"
            ) from None


def load_chart(name: str, events: frozenset[str], actions: frozenset[str]) -> Chart:
    """Load a chart that ships with the package.

    Args:
        name: File name without the suffix.
        events: Events that the caller raises. Each must occur in the file.
        actions: Actions that the caller carries out. Each must occur.

    Raises:
        ChartError: The file is not valid; the text names file and line.
    """
    file_name = f"{name}.scxml"
    source = importlib.resources.files(__package__).joinpath("charts", file_name)
    return parse_chart(source.read_text("utf-8"), file_name, events, actions)


def parse_chart(
    text: str, file_name: str, events: frozenset[str], actions: frozenset[str]
) -> Chart:
    """Parse the text of a chart; see ``load_chart``."""
    parser = _ChartParser(file_name)
    parser.parse(text)
    return parser.build(events, actions)


class _RawTransition(NamedTuple):
    line: int
    state: str
    event: str
    target: str
    actions: tuple[str, ...]
    action_lines: tuple[int, ...]


class _ChartParser:
    """Collects the elements of one file with their line numbers."""

    def __init__(self, file_name: str) -> None:
        self._file_name = file_name
        self._name = ""
        self._initial = ""
        self._initial_line = 0
        self._lines_by_state: dict[str, int] = {}
        self._final_states: set[str] = set()
        self._transitions: list[_RawTransition] = []
        self._state = ""
        self._current: _RawTransition | None = None
        self._expat = expat.ParserCreate()
        self._expat.StartElementHandler = self._start
        self._expat.EndElementHandler = self._end

    def parse(self, text: str) -> None:
        try:
            self._expat.Parse(text, True)
        except expat.ExpatError as error:
            raise self._error(error.lineno, expat.ErrorString(error.code)) from None

    def build(self, events: frozenset[str], actions: frozenset[str]) -> Chart:
        if self._initial not in self._lines_by_state:
            raise self._error(
                self._initial_line, f"unknown initial state {self._initial!r}"
            )
        table: dict[tuple[str, str], Transition] = {}
        for raw in self._transitions:
            self._check(raw, events, actions)
            key = (raw.state, raw.event)
            if key in table:
                raise self._error(raw.line, f"event {raw.event!r} is listed twice")
            table[key] = Transition(raw.target or raw.state, raw.actions)
        self._check_complete(events, {event for _, event in table}, "event")
        used = {action for entry in table.values() for action in entry.actions}
        self._check_complete(actions, used, "action")
        return Chart(
            self._name,
            self._initial,
            frozenset(self._lines_by_state),
            frozenset(self._final_states),
            table,
        )

    def _check(
        self, raw: _RawTransition, events: frozenset[str], actions: frozenset[str]
    ) -> None:
        if raw.event not in events:
            raise self._error(raw.line, f"unknown event {raw.event!r}")
        if raw.target and raw.target not in self._lines_by_state:
            raise self._error(raw.line, f"unknown state {raw.target!r}")
        for action, line in zip(raw.actions, raw.action_lines, strict=True):
            if action not in actions:
                raise self._error(line, f"unknown action {action!r}")

    def _check_complete(self, known: frozenset[str], used: set[str], kind: str) -> None:
        for name in sorted(known - used):
            raise self._error(1, f"{kind} {name!r} of the code is missing")

    def _start(self, tag: str, attributes: dict[str, str]) -> None:
        line = self._expat.CurrentLineNumber
        if tag == "scxml":
            self._name = attributes.get("name", self._file_name)
            self._initial = attributes.get("initial", "")
            self._initial_line = line
        elif tag in ("state", "final"):
            self._state = attributes.get("id", "")
            if not self._state or self._state in self._lines_by_state:
                raise self._error(line, f"missing or repeated id {self._state!r}")
            self._lines_by_state[self._state] = line
            if tag == "final":
                self._final_states.add(self._state)
        elif tag == "transition":
            self._current = _RawTransition(
                line,
                self._state,
                attributes.get("event", ""),
                attributes.get("target", ""),
                (),
                (),
            )
        elif tag == "send" and self._current is not None:
            action = attributes.get("event", "")
            self._current = self._current._replace(
                actions=(*self._current.actions, action),
                action_lines=(*self._current.action_lines, line),
            )
        else:
            raise self._error(line, f"unknown element <{tag}>")

    def _end(self, tag: str) -> None:
        if tag == "transition" and self._current is not None:
            self._transitions.append(self._current)
            self._current = None

    def _error(self, line: int, text: str) -> ChartError:
        return ChartError(f"{self._file_name}:{line}: {text}")

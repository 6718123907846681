"""State charts, loaded from SCXML files into flat transition tables.

A chart file is a W3C SCXML document with atomic and final states. The
``event`` of a ``<send>`` inside a transition names an action that the caller
carries out. A transition without a target keeps the state. An event that a
state does not list is an error at run time, so every state must list each
event that can occur in it.
"""

import importlib.resources
from typing import NamedTuple
from xml.parsers import expat

from .exceptions import ChartError, UnexpectedEventError


class Transition(NamedTuple):
    """The next state and the actions to carry out, in order."""

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
        events: Events that the caller raises; each must occur in the file,
            and no other event may occur.
        actions: Actions that the caller carries out; the same rule applies.

    Raises:
        ChartError: The file is invalid; the message names file and line.
    """
    file_name = f"{name}.scxml"
    source = importlib.resources.files(__package__).joinpath("charts", file_name)
    return parse_chart(source.read_text("utf-8"), file_name, events, actions)


def parse_chart(
    text: str, file_name: str, events: frozenset[str], actions: frozenset[str]
) -> Chart:
    """Parse the text of a chart.

    Args:
        text: Content of the SCXML file.
        file_name: Name of the file in error messages.
        events: See ``load_chart``.
        actions: See ``load_chart``.

    Raises:
        ChartError: The text is not a valid chart.
    """
    parser = _ChartParser(file_name)
    parser.parse(text)
    return parser.build(events, actions)


class _ParsedTransition(NamedTuple):
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
        self._transitions: list[_ParsedTransition] = []
        self._current_state = ""
        self._current_transition: _ParsedTransition | None = None
        self._expat = expat.ParserCreate()
        self._expat.StartElementHandler = self._start_element
        self._expat.EndElementHandler = self._end_element

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
        for parsed in self._transitions:
            self._check_names(parsed, events, actions)
            key = (parsed.state, parsed.event)
            if key in table:
                raise self._error(
                    parsed.line, f"event {parsed.event!r} is listed twice"
                )
            table[key] = Transition(parsed.target or parsed.state, parsed.actions)
        self._check_all_occur(events, {event for _, event in table}, "event")
        occurring = {action for entry in table.values() for action in entry.actions}
        self._check_all_occur(actions, occurring, "action")
        return Chart(
            self._name,
            self._initial,
            frozenset(self._lines_by_state),
            frozenset(self._final_states),
            table,
        )

    def _check_names(
        self, parsed: _ParsedTransition, events: frozenset[str], actions: frozenset[str]
    ) -> None:
        if parsed.event not in events:
            raise self._error(parsed.line, f"unknown event {parsed.event!r}")
        if parsed.target and parsed.target not in self._lines_by_state:
            raise self._error(parsed.line, f"unknown state {parsed.target!r}")
        for action, line in zip(parsed.actions, parsed.action_lines, strict=True):
            if action not in actions:
                raise self._error(line, f"unknown action {action!r}")

    def _check_all_occur(
        self, expected: frozenset[str], occurring: set[str], kind: str
    ) -> None:
        for name in sorted(expected - occurring):
            raise self._error(
                1, f"{kind} {name!r} is expected by the code but does not occur"
            )

    def _start_element(self, tag: str, attributes: dict[str, str]) -> None:
        line = self._expat.CurrentLineNumber
        if tag == "scxml":
            self._name = attributes.get("name", self._file_name)
            self._initial = attributes.get("initial", "")
            self._initial_line = line
        elif tag in ("state", "final"):
            self._current_state = attributes.get("id", "")
            if not self._current_state or self._current_state in self._lines_by_state:
                raise self._error(
                    line, f"missing or repeated id {self._current_state!r}"
                )
            self._lines_by_state[self._current_state] = line
            if tag == "final":
                self._final_states.add(self._current_state)
        elif tag == "transition":
            self._current_transition = _ParsedTransition(
                line,
                self._current_state,
                attributes.get("event", ""),
                attributes.get("target", ""),
                (),
                (),
            )
        elif tag == "send" and self._current_transition is not None:
            action = attributes.get("event", "")
            self._current_transition = self._current_transition._replace(
                actions=(*self._current_transition.actions, action),
                action_lines=(*self._current_transition.action_lines, line),
            )
        else:
            raise self._error(line, f"unknown element <{tag}>")

    def _end_element(self, tag: str) -> None:
        if tag == "transition" and self._current_transition is not None:
            self._transitions.append(self._current_transition)
            self._current_transition = None

    def _error(self, line: int, text: str) -> ChartError:
        return ChartError(f"{self._file_name}:{line}: {text}")

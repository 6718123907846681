"""What the models of the specification share."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

from .statecharts import Chart, Transition

MAX_STATES = 200_000  # of one model; a larger one is reported as not checked

State = tuple[Any, ...]
Successors = Callable[[Any], Iterable[tuple[str, Any]]]
Invariant = Callable[[Any], bool]


class Coverage:
    """Collects which transitions of which charts the models take."""

    def __init__(self) -> None:
        self.charts_by_name: dict[str, Chart] = {}
        self.taken: set[tuple[str, str, str]] = set()

    def step(self, chart: Chart, state: str, event: str) -> Transition:
        """Return the transition of a chart and note that it was taken."""
        self.charts_by_name[chart.name] = chart
        transition = chart.step(state, event)
        self.taken.add((chart.name, state, event))
        return transition

    def list_untaken(self) -> set[tuple[str, str, str]]:
        """Return what no model took, as (chart, state, event)."""
        return {
            (name, *key)
            for name, chart in self.charts_by_name.items()
            for key in chart.transitions_by_key
        } - self.taken


class Model(NamedTuple):
    """A model; its states are NamedTuples, ``flaw`` is a broken variant."""

    name: str
    flaw: str
    initial: Any
    successors: Successors
    invariants_by_property: dict[str, Invariant]


class Finding(NamedTuple):
    """The outcome of one property; ``trace`` leads to its violation."""

    property_name: str
    holds: bool | None
    states: int
    trace: tuple[str, ...]


def check(model: Model) -> tuple[Finding, ...]:
    """Explore all states of a model and judge its properties.

    ``holds`` is None when the model has more states than ``MAX_STATES``.
    """
    state_type = type(model.initial)
    protocol = Protocol(
        name=model.name,
        candidate=False,
        fields=state_type._fields,
        initial=model.initial,
        transitions=lambda state: list(model.successors(state_type(*state))),
        invariants={
            name: _accept_mapping(state_type, invariant)
            for name, invariant in model.invariants_by_property.items()
        },
    )
    outcome = check_safety(protocol, max_states=MAX_STATES)
    return tuple(
        Finding(
            name,
            result["holds"],
            outcome["reachable_states"],
            _list_labels(result["counterexample"]),
        )
        for name, result in outcome["properties"].items()
    )


def find_violation(model: Model, property_name: str) -> Finding:
    """Search a broken variant for the shortest violation of one property."""
    violated = []
    invariant = model.invariants_by_property[property_name]

    def stop_at_violation(state: Any) -> bool:
        if not invariant(state):
            violated.append(True)
        return not violated

    def successors(state: Any) -> Iterable[tuple[str, Any]]:
        # The first violation that the breadth-first search meets is enough.
        return () if violated else model.successors(state)

    single_property = model._replace(
        successors=successors, invariants_by_property={property_name: stop_at_violation}
    )
    return check(single_property)[0]


def _accept_mapping(
    state_type: Any, invariant: Invariant
) -> Callable[[dict[str, Any]], bool]:
    return lambda fields: invariant(state_type(**fields))


def _list_labels(counterexample: list[dict[str, Any]] | None) -> tuple[str, ...]:
    return tuple(step["label"] for step in (counterexample or ())[1:])

"""Types and the checker call that all models of the specification share."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

from .statecharts import Chart, Transition

MAX_STATES = 200_000  # per model; a larger model is reported as not decided

State = tuple[Any, ...]
Successors = Callable[[Any], Iterable[tuple[str, Any]]]
Invariant = Callable[[Any], bool]


class Coverage:
    """Collects the chart transitions that the models take.

    Attributes:
        charts_by_name: Charts of which the models took a transition.
        taken: Transitions, as (chart, state, event).
    """

    def __init__(self) -> None:
        self.charts_by_name: dict[str, Chart] = {}
        self.taken: set[tuple[str, str, str]] = set()

    def step(self, chart: Chart, state: str, event: str) -> Transition:
        """Return the transition of a chart and record that it was taken.

        Raises:
            UnexpectedEventError: The state does not list the event.
        """
        self.charts_by_name[chart.name] = chart
        transition = chart.step(state, event)
        self.taken.add((chart.name, state, event))
        return transition

    def list_untaken(self) -> set[tuple[str, str, str]]:
        """Return the transitions no model took, as (chart, state, event)."""
        return {
            (name, *key)
            for name, chart in self.charts_by_name.items()
            for key in chart.transitions_by_key
        } - self.taken


class Model(NamedTuple):
    """A transition system with the invariants that hold in all its states.

    Attributes:
        name: Name in the report.
        flaw: The rule that a broken variant leaves out; empty otherwise.
        initial: The initial state; all states are of its NamedTuple class.
        successors: Returns the labelled steps that may follow a state.
        invariants_by_property: Predicates on a state, by property name.
    """

    name: str
    flaw: str
    initial: Any
    successors: Successors
    invariants_by_property: dict[str, Invariant]


class Finding(NamedTuple):
    """The outcome of the check of one property.

    Attributes:
        property_name: The property.
        holds: None when the model was too large to decide.
        states: Number of states that were explored.
        trace: Labels of the steps that lead to a violation, if there is one.
    """

    property_name: str
    holds: bool | None
    states: int
    trace: tuple[str, ...]


def check(model: Model) -> tuple[Finding, ...]:
    """Explore all reachable states of a model and check its properties.

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
    """Search a broken variant for the shortest violation of one property.

    The search ends at the first violation, so ``states`` is not the number of
    all reachable states.
    """
    violated = []
    invariant = model.invariants_by_property[property_name]

    def stop_at_violation(state: Any) -> bool:
        if not invariant(state):
            violated.append(True)
        return not violated

    def successors(state: Any) -> Iterable[tuple[str, Any]]:
        # The search is breadth-first, so the first violation has the shortest
        # trace; without successors the search ends there.
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

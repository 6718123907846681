"""All invariants of histories."""

from ._history import History
from ._invariants import INVARIANTS as RUN_INVARIANTS
from ._invariants import Invariant, Violation
from ._job_invariants import CancelledByClient, NoStartOfRefused, StepsInOrder
from ._waiting_invariant import NoWaitBesideIdleWorkers

INVARIANTS: tuple[Invariant, ...] = (
    *RUN_INVARIANTS,
    NoStartOfRefused(),
    StepsInOrder(),
    CancelledByClient(),
    NoWaitBesideIdleWorkers(),
)


def find_violations(history: History) -> list[Violation]:
    """Return all violations of all invariants."""
    return [
        violation
        for invariant in INVARIANTS
        for violation in invariant.violations(history)
    ]

"""Verdicts on workers that answer polls and carry out no starts.

An answered poll does not show that a worker can begin runs: its starts may get
no reply, or be rejected as it is unhealthy, has less room than it reports or
a clock that is wrong. Tasks that return to such a worker wait while others are
idle. Each verdict ends by a start that is accepted, and a start is tried
whenever work needs the worker and its rest is over.
"""

import math

from ..statecharts import load_chart

# Outcomes of starts that say something about the worker. The others concern
# the run, the permit or the coordinator.
REFUSALS = frozenset({"unanswered", "unhealthy", "room", "lapsed"})
FIRST_REST_S = 1.0
LONGEST_REST_S = 4.0

_CHART = load_chart(
    "worker_starts",
    frozenset({"accepted", "refused", "rested"}),
    frozenset({"begin_rest"}),
)


class StartTrials:
    """What the outcomes of a worker's starts say of further ones.

    Attributes:
        state: State in the chart of a worker's starts.
        on_trial: Whether the worker gets one start at a time, or those of one
            gang.
        resting: Whether the worker gets no starts.
        is_planned: Whether the present planning pass has a start on the
            worker.
        planned_at: Node-clock seconds of the present planning pass.
        rest_until: Node-clock seconds until which the worker gets no starts.
        changed_at: Node-clock seconds of the last change of the verdict.
    """

    __slots__ = (
        "_rest_s",
        "changed_at",
        "is_planned",
        "on_trial",
        "planned_at",
        "rest_until",
        "resting",
        "state",
    )

    def __init__(self) -> None:
        self.state = _CHART.initial
        self.planned_at = self.rest_until = -math.inf
        self._rest_s = 0.0
        self.changed_at = -math.inf
        # Planning reads these for each pair of worker and step.
        self.on_trial = self.resting = self.is_planned = False

    def begin_pass(self, now: float) -> None:
        """Forget the starts of the last planning pass, and end a rest.

        Args:
            now: Node-clock seconds.
        """
        self.is_planned = False
        self.planned_at = now
        if self.resting and now >= self.rest_until:
            self._step("rested", now)

    def note_planned(self) -> None:
        """Record that the present planning pass has a start on the worker."""
        self.is_planned = True

    def record_accepted(self, now: float) -> bool:
        """Record that the worker has accepted a start.

        Args:
            now: Node-clock seconds.

        Returns:
            Whether this ends a verdict against the worker.
        """
        was_fit = self.state == "fit"
        self._rest_s = 0.0
        self._step("accepted", now)
        return not was_fit

    def record_refusal(self, placed_at: float, now: float) -> bool:
        """Record a start without a reply, or one that the worker rejected.

        Starts that were placed together are refused together, so those that
        were placed before the last change of the verdict do not count again.

        Args:
            placed_at: Node-clock seconds at which the run was placed.
            now: Node-clock seconds.

        Returns:
            Whether the verdict has changed.
        """
        if placed_at < self.changed_at:
            return False
        return self._step("refused", now)

    def _step(self, event: str, now: float) -> bool:
        transition = _CHART.step(self.state, event)
        changed = transition.target != self.state
        self.state = transition.target
        self.on_trial = self.state == "on_trial"
        self.resting = self.state == "resting"
        if changed:
            self.changed_at = now
        if "begin_rest" in transition.actions:
            self._rest_s = min(max(2 * self._rest_s, FIRST_REST_S), LONGEST_REST_S)
            self.rest_until = now + self._rest_s
        return changed

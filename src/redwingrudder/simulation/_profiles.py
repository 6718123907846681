"""Profiles: which faults, clients and cancellations schedules have."""

from collections.abc import Mapping
from typing import NamedTuple

from ._schedule import (
    BROKEN_WRITES_WEIGHT_BY_KIND,
    LEAVING_WEIGHT_BY_KIND,
    UNHEARD_WEIGHT_BY_KIND,
    WEIGHT_BY_KIND,
    FaultKind,
    Schedule,
    draw_schedule,
)
from ._waiting_profile import WaitingProfile


class Profile(NamedTuple):
    """What the schedules of a seed are drawn with.

    Attributes:
        weight_by_kind: Weights with which the kinds of faults are drawn.
        has_clients: Whether the jobs have clients.
        second_step_share: Share of the jobs that have a second step.
        early_cancel_share: Share of the jobs that are cancelled soon after
            their submission; None for the usual cancellations.
        reused_id_share: Share of the jobs whose id is used again.
    """

    weight_by_kind: Mapping[FaultKind, int] = WEIGHT_BY_KIND
    has_clients: bool = False
    second_step_share: float = 0.0
    early_cancel_share: float | None = None
    reused_id_share: float = 0.0

    def draw(self, seed: int) -> Schedule:
        """Return the schedule of a seed."""
        return draw_schedule(seed, **self._asdict())


_CANCELLATIONS = Profile(
    {
        **WEIGHT_BY_KIND,
        FaultKind.LATE_STARTS: 8,
        FaultKind.RESTART: 8,
        FaultKind.HAND_OVER: 4,
        FaultKind.HANGING_WATCHES: 4,
    },
    early_cancel_share=0.6,
)

PROFILES_BY_NAME: Mapping[str, Profile | WaitingProfile] = {
    "plain": Profile(),
    # Work of cancelled jobs, and what delays the news of a cancellation.
    "cancellations": _CANCELLATIONS,
    # What the coordinator learns of clients is disturbed.
    "unheard": Profile(UNHEARD_WEIGHT_BY_KIND, has_clients=True),
    # The outcome of writes to the store is unknown as well.
    "broken_writes": Profile(BROKEN_WRITES_WEIGHT_BY_KIND, has_clients=True),
    # Records are removed, and most ids used again.
    "reused_ids": Profile(
        UNHEARD_WEIGHT_BY_KIND, has_clients=True, reused_id_share=0.8
    ),
    # Workers leave as well, and their entries vanish for longer.
    "leaving": Profile(LEAVING_WEIGHT_BY_KIND, has_clients=True),
    # Half of the jobs have a second step, too.
    "steps": Profile(LEAVING_WEIGHT_BY_KIND, True, 0.5),
    # Long, large and small jobs wait for the room of more workers.
    "waiting": WaitingProfile(),
}

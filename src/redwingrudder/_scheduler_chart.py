"""The state chart of a gang, checked against its events and actions."""

from .statecharts import load_chart

EVENTS = frozenset(
    {
        "placed",
        "reclaim_planned",
        "reported",
        "roll_forward",
        "roll_back",
        "stop",
        "member_reserved",
        "member_refused",
        "all_reserved",
        "all_reserved_once",
        "start_recorded",
        "record_refused",
        "member_started",
        "start_refused",
        "all_started",
        "task_ended",
        "task_failed",
        "all_ended",
        "member_lost",
        "member_draining",
        "all_released",
        "cancel",
        "preempt",
    }
)
ACTIONS = frozenset(
    {
        "reserve_members",
        "record_start",
        "start_members",
        "release_members",
        "stop_members",
        "checkpoint_members",
        "stop_borrowers",
        "report_started",
        "report_released",
        "report_ended",
    }
)
GANG_CHART = load_chart("gang", EVENTS, ACTIONS)

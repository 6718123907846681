"""Loads the state chart of a worker link (``charts/worker_link.scxml``)."""

from .statecharts import load_chart

_EVENTS = frozenset(
    {
        "claimed",
        "unreachable",
        "fenced",
        "lease_lapsed",
        "epoch_raised",
        "close",
        "polled",
        "reachable",
        "probe_due",
        "restarted",
    }
)
_ACTIONS = frozenset(
    {
        "report_claimed",
        "poll",
        "probe",
        "retry_probe",
        "report_fenced",
        "report_lost",
        "claim",
        "deliver_events",
        "watch_lease",
        "resume_commands",
    }
)
CHART = load_chart("worker_link", _EVENTS, _ACTIONS)

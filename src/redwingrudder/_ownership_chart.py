"""Names of the events and actions in the state chart ``ownership``."""

from .statecharts import Chart, load_chart

EVENTS = frozenset(
    {
        "record_absent",
        "record_held",
        "record_own",
        "store_lost",
        "lease_lapsed",
        "fenced",
        "acquired",
        "owner_silent",
        "drain",
    }
)
ACTIONS = frozenset(
    {
        "acquire_record",
        "read_record",
        "release_record",
        "hand_over",
        "raise_local_term",
        "begin_owning",
        "raise_epoch",
        "end_owning",
    }
)


def load_ownership_chart() -> Chart:
    """Load the chart; it may use only the names in EVENTS and ACTIONS."""
    return load_chart("ownership", EVENTS, ACTIONS)

"""Models of the systems outside, and schedules of faults on a virtual clock.

The actors of a node run unchanged against these models, in one process and
without sockets. Nothing of the product's decisions depends on this package.
"""

from ._advice import AdviceModel
from ._checks import INVARIANTS, find_violations
from ._client_plans import ClientPlan
from ._cluster import play_schedule
from ._disruptions import Disruption
from ._generations import Generations
from ._history import Cancellation, Event, History, JobOutcome, Submission
from ._invariants import (
    CANCEL_BOUND_S,
    CONTACT_BOUND_S,
    AtMostOneRun,
    Invariant,
    NoRunAfterCancel,
    NoStartAfterCancel,
    NoStartAfterDone,
    StartsAsSubmitted,
    Violation,
    ViolationClass,
    Wait,
)
from ._job_invariants import CancelledByClient, NoStartOfRefused, StepsInOrder
from ._profiles import PROFILES_BY_NAME, Profile
from ._run_records import (
    AcknowledgedEnd,
    ProducedCheckpoint,
    RunInterval,
    SentStart,
    SentStop,
)
from ._runs import DrawnRuns
from ._schedule import (
    LEAVING_WEIGHT_BY_KIND,
    UNHEARD_WEIGHT_BY_KIND,
    Fault,
    FaultKind,
    Job,
    Schedule,
    draw_schedule,
)
from ._shrink import shrink
from ._store import CALL_TIMEOUT_S, MemoryStore, StoreContents
from ._waiting_invariant import NoWaitBesideIdleWorkers
from ._worker_process import MAX_LEASE_S, RunBehaviour
from ._workers import ProtocolWorkers

__all__ = [
    "CALL_TIMEOUT_S",
    "CANCEL_BOUND_S",
    "CONTACT_BOUND_S",
    "INVARIANTS",
    "LEAVING_WEIGHT_BY_KIND",
    "MAX_LEASE_S",
    "UNHEARD_WEIGHT_BY_KIND",
    "AcknowledgedEnd",
    "AdviceModel",
    "AtMostOneRun",
    "Cancellation",
    "CancelledByClient",
    "ClientPlan",
    "Disruption",
    "DrawnRuns",
    "Event",
    "Fault",
    "FaultKind",
    "Generations",
    "History",
    "Invariant",
    "Job",
    "JobOutcome",
    "MemoryStore",
    "PROFILES_BY_NAME",
    "NoRunAfterCancel",
    "NoStartAfterCancel",
    "NoStartAfterDone",
    "NoStartOfRefused",
    "NoWaitBesideIdleWorkers",
    "ProducedCheckpoint",
    "Profile",
    "ProtocolWorkers",
    "RunBehaviour",
    "RunInterval",
    "Schedule",
    "SentStart",
    "SentStop",
    "StartsAsSubmitted",
    "StepsInOrder",
    "StoreContents",
    "Submission",
    "Violation",
    "ViolationClass",
    "Wait",
    "draw_schedule",
    "find_violations",
    "play_schedule",
    "shrink",
]

"""Advice on which workers may run a step, and the tickets for its starts.

The advice service handles one call of a node at a time and takes time for
each worker that is named, while its tickets hold for seconds. So only one call
is under way at a time, and each planning pass decides anew what is asked next:
requests never wait where they cannot be reordered or withdrawn.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from .model import AdviceTimes, WorkerFacts

# Shares of a ticket's validity period up to which a start is planned, and up
# to which it is sent. What lies between is for the record of the run, and the
# rest for the way to the worker, whose clock may be slow.
PLANNED_TICKET_SHARE = 0.8
SENT_TICKET_SHARE = 0.95
# Least time for which a ticket has to be usable after its arrival if its
# validity is counted from the sending of the call.
MIN_TICKET_USE_S = 0.3
# Delay before a step is asked about again after the second call in a row
# without a usable reply. It grows with each further one, so that other steps
# are asked about.
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 4.0
MAX_COUNTED_FAILURES = 10  # bounds the power of two
# Delay before a step is asked about again after a call that allowed no worker.
DENIED_RETRY_DELAY_S = 0.25


class Permit(NamedTuple):
    """Permission of the advice service to run a step on a worker.

    Attributes:
        ticket: Ticket to send with a start.
        until: Node-clock seconds until which a start is planned with it.
        send_until: Node-clock seconds until which such a start is sent.
        process_started_ms: Start time of the worker's process for which it is
            valid, in Unix milliseconds, 0 if unknown.
    """

    ticket: str
    until: float
    send_until: float
    process_started_ms: int


class Tickets(NamedTuple):
    """Reply of the advice service, with the times of its call.

    Attributes:
        tickets_by_worker: Ticket by id of each worker that may run the step.
        valid_s: Seconds for which they are valid, 0 if the reply has none.
        sent_at: Node-clock seconds at which the call was sent.
        received_at: Node-clock seconds at which the reply arrived.
    """

    tickets_by_worker: dict[str, str]
    valid_s: float
    sent_at: float
    received_at: float


class StepAdvice:
    """What the advice service has said of a step.

    Whether a worker may run the step does not change during the life of its
    process. So a permit that has expired still tells that the worker is
    allowed.

    Attributes:
        permit_by_worker: Newest permit of each allowed worker, by its id.
        asked_ids: Ids of the workers in the call under way, empty if none is.
        waits_since: Node-clock seconds since which tasks of the step have room
            and lack permits, None if they do not wait for advice.
        retry_at: Node-clock seconds before which the service is not asked
            about the step again.
    """

    __slots__ = (
        "_denied_process_by_worker",
        "_failures",
        "asked_ids",
        "permit_by_worker",
        "retry_at",
        "waits_since",
    )

    def __init__(self) -> None:
        self.permit_by_worker: dict[str, Permit] = {}
        self.asked_ids: frozenset[str] = frozenset()
        self.waits_since: float | None = None
        self.retry_at = -math.inf
        # Start times of the denied workers' processes in milliseconds.
        self._denied_process_by_worker: dict[str, int] = {}
        self._failures = 0

    def permits(self, facts: WorkerFacts, now: float) -> bool:
        """Return whether a start on a worker may be planned now."""
        return now < self.permits_until(facts)

    def permits_until(self, facts: WorkerFacts) -> float:
        """Return until when starts on a worker may be planned."""
        permit = self.permit_by_worker.get(facts.worker_id)
        if permit is None or permit.process_started_ms != facts.process_started_ms:
            return -math.inf
        return permit.until

    def allows(self, facts: WorkerFacts) -> bool:
        """Return whether a worker's process is known to be allowed."""
        permit = self.permit_by_worker.get(facts.worker_id)
        return (
            permit is not None and permit.process_started_ms == facts.process_started_ms
        )

    def denies(self, facts: WorkerFacts) -> bool:
        """Return whether the service has not allowed a worker's process."""
        denied_ms = self._denied_process_by_worker.get(facts.worker_id)
        return denied_ms is not None and denied_ms == facts.process_started_ms

    @property
    def has_denials(self) -> bool:
        """Whether the service has not allowed some worker."""
        return bool(self._denied_process_by_worker)

    def record_reply(
        self,
        processes: Iterable[tuple[str, int]],
        tickets: Tickets,
        times: AdviceTimes,
        call_s: float,
    ) -> bool:
        """Record the reply to a call.

        Args:
            processes: Id and start time in milliseconds of the process of
                each worker that the call has named.
            tickets: The reply.
            times: Times of the service that are configured for the queue.
            call_s: Expected duration of the call in seconds, 0 if unknown.

        Returns:
            False if its tickets had expired on arrival. That delays the next
            call about the step, and so does a reply without any ticket, to
            give other steps a turn.
        """
        valid_s = tickets.valid_s or times.valid_s
        issued_at = _issued_at(tickets, valid_s, call_s)
        until = issued_at + PLANNED_TICKET_SHARE * valid_s
        send_until = issued_at + SENT_TICKET_SHARE * valid_s
        for worker_id, process_started_ms in processes:
            ticket = tickets.tickets_by_worker.get(worker_id)
            if ticket is None:
                self._denied_process_by_worker[worker_id] = process_started_ms
                self.permit_by_worker.pop(worker_id, None)
            else:
                self.permit_by_worker[worker_id] = Permit(
                    ticket, until, send_until, process_started_ms
                )
        if not tickets.tickets_by_worker:
            self.retry_at = tickets.received_at + DENIED_RETRY_DELAY_S
            return True
        is_outdated = until <= tickets.received_at
        if is_outdated:
            self.record_failure(tickets.received_at)
        return not is_outdated

    def record_failure(self, now: float) -> None:
        """Delay the next call after one without a usable reply."""
        delay_s = MIN_RETRY_DELAY_S * (2**self._failures - 1)
        self.retry_at = now + min(delay_s, MAX_RETRY_DELAY_S)
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)

    def record_rejection(self, worker_id: str, now: float) -> None:
        """Record that a worker has rejected a ticket that should be valid."""
        permit = self.permit_by_worker.get(worker_id)
        if permit is not None:
            self.permit_by_worker[worker_id] = permit._replace(until=-math.inf)
        self.record_failure(now)

    def record_start(self) -> None:
        """Record that a worker has accepted a ticket."""
        self._failures = 0


def _issued_at(tickets: Tickets, valid_s: float, call_s: float) -> float:
    """Return from when the validity of tickets is counted.

    The service issues them at some time of the call. The sending is the
    earliest possible time. If the tickets would hardly hold then, the time at
    which the service is expected to reply is used: earlier it cannot have
    replied.
    """
    usable_s = tickets.sent_at + PLANNED_TICKET_SHARE * valid_s - tickets.received_at
    if usable_s >= MIN_TICKET_USE_S:
        return tickets.sent_at
    if call_s:
        return min(tickets.sent_at + call_s, tickets.received_at)
    return tickets.received_at

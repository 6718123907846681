"""Actor through which the coordinator commands and polls one worker."""

import logging
import math
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred

from .._background import pause, run
from .._chart_runner import ChartRunner
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import OutcomeUnknownError, RedwingrudderError
from ..statecharts import load_chart
from ..timers import TIMERS, Subscribe, TimerFired
from ..workflows.model import (
    PollWorker,
    StartRun,
    StopRun,
    TaskKey,
    ThrottleRun,
    WorkerFacts,
)
from .authority import LONGEST_OVERLAP_S, Authority
from .gateways import (
    COORDINATOR,
    LEADERSHIP,
    CommandReply,
    WorkerChannel,
    WorkerReport,
    WorkerTimes,
)
from .messages import (
    AcknowledgeEnds,
    Fenced,
    ProcessReplaced,
    RegistryEntryRemoved,
    StartSettled,
    ThrottleUnanswered,
    UpdateFacts,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)

# Time for which a worker may delay the reply to a poll, and interval between
# polls of an idle worker. It bounds the age of the progress figures.
POLL_WAIT_S = 1.0
POLL_MARGIN_S = 0.8  # time limit of a poll beyond the worker's wait
START_TIMEOUTS_S = (0.4, 0.5, 0.8)  # of the successive attempts of a start
# Largest share of a gang's timeout for these attempts. In the rest, members
# that have started are stopped.
START_TIME_SHARE = 0.6
COMMAND_TIMEOUT_S = 0.5  # of a stop or throttle command
STOP_RETRY_DELAY_S = 0.3
SILENT_AFTER_S = 2.0  # time without a reply until a worker counts as silent
RETRY_DELAY_S = 0.3  # after a poll that failed or was rejected
# Rejections after which the worker accepts no call of this session any more.
FINAL_REJECTIONS = frozenset({"fenced", "other_life"})
# Interval between polls while reported ends are not recorded yet, and between
# polls of workers that answer without waiting.
BUSY_POLL_INTERVAL_S = 0.25
# A poll that is answered sooner than this was not delayed by the worker.
MIN_POLL_DURATION_S = 0.05
# Share of a lease below which it is extended although the last call to the
# worker, for instance a command, got no answer.
MIN_LEASE_SHARE = 0.5
MAX_CLOCK_DRIFT_RATIO = 0.02  # a worker's clock may be slow by this fraction
LAPSE_MARGIN_S = 0.3  # added to the computed end of a lease
# A worker takes at least this long to end and to start again.
MIN_RESTART_S = 0.3
# A drained worker whose entry is removed within this many heartbeats after an
# answered poll has removed the entry itself: the entry of a silent worker is
# removed only after three heartbeats.
DEPARTURE_HEARTBEATS = 2

_EVENTS = frozenset({"answered", "unanswered", "silent", "lapsed"})
_ACTIONS = frozenset({"report_silent", "report_lapsed"})
_CHART = load_chart("worker_session", _EVENTS, _ACTIONS)
_logger = logging.getLogger(__name__)


class WorkerSession(Actor):
    """Owns the connections to one process of a worker.

    It sends commands, extends the worker's lease by polls and reports the
    replies, silence and the lapse of the lease to COORDINATOR.

    Args:
        system: The actor system of this node.
        facts: Registry entry of the worker.
        channel: Connections to the worker.
        fence: Fencing token of the session, above those of all earlier
            sessions with the worker.
        times: Timing parameters of the workers.
        authority: Permission to send orders and to extend the lease.
        prior_leases_end_at: Node-clock seconds from which on no lease is valid
            that others have granted. None if they may have granted one up to
            now.
    """

    def __init__(
        self,
        system: ActorSystem,
        facts: WorkerFacts,
        channel: WorkerChannel,
        fence: int,
        times: WorkerTimes,
        authority: Authority,
        prior_leases_end_at: float | None = None,
    ) -> None:
        self._facts = facts
        self._channel = channel
        self._fence = fence
        self._lease_s = times.longest_lease_s
        self._heartbeat_s = times.heartbeat_s
        self._chart = ChartRunner(
            _CHART,
            {
                "report_silent": lambda _: self._report_silent(),
                "report_lapsed": lambda _: self._report_lapsed(),
            },
        )
        self._authority = authority
        scale = min(
            START_TIME_SHARE * times.gang_timeout_s / sum(START_TIMEOUTS_S), 1.0
        )
        self._start_timeouts_s = tuple(scale * value for value in START_TIMEOUTS_S)
        # Start time of the worker's process, 0 until it is known.
        self._process_started_ms = facts.process_started_ms
        self._acknowledged_end = 0
        # Number up to which an answered poll has acknowledged ends.
        self._forgotten_end = 0
        self._newest_end = 0
        self._last_answer_at = system.clock.seconds()
        # Node-clock time until which the worker may hold a lease, including
        # one that an earlier coordinator has granted.
        if prior_leases_end_at is None:
            timeout_s = prior_lease_timeout_s(self._lease_s)
            prior_leases_end_at = system.clock.seconds() + timeout_s
        self._leases_end_at = prior_leases_end_at
        self._worker_clock_ms = 0
        self._worker_clock_read_at = 0.0
        # Latest end of a lease that was sent, by the worker's clock.
        self._granted_until_ms = 0
        self._polling = False
        # Whether a poll is in progress that COORDINATOR has requested.
        self._polling_beside = False
        # Node-clock time at which the latest answered poll was sent.
        self._answered_poll_sent_at = 0.0
        # Node-clock time of the latest answer to a poll.
        self._polled_at = -math.inf
        # Node-clock time at which the worker appears to have removed its own
        # registry entry.
        self._departed_at = math.inf
        # Whether another process answers at the worker's address.
        self._restarted = False
        # Whether polls have followed each other closely, without a failed
        # call, since one was answered. A restart would have broken one.
        self._is_watched = False
        # Starts that wait for a poll in progress to name the process, None
        # without such a poll.
        self._awaiting_process: list[Deferred] | None = None
        self._has_runs = False
        self._has_reported = False
        # Whether a call was rejected as fenced before the first report.
        self._fenced_unreported = False
        self._closed = False
        self._starts_in_flight: set[tuple] = set()
        # Starts in flight that the worker may have received, with a time at
        # which the latest attempt without a reply had been sent.
        self._unanswered_starts: dict[tuple[TaskKey, int], float] = {}
        # Starts of which an attempt waits for its reply.
        self._awaited_starts: set[tuple[TaskKey, int]] = set()
        # Runs that COORDINATOR has ordered to stop or gives up, or whose end
        # was reported, as long as their stop or their start is in flight.
        self._closed_runs: set[tuple[TaskKey, int]] = set()
        # Runs whose stop is repeated until it is answered.
        self._stops_in_flight: set[tuple[TaskKey, int]] = set()
        super().__init__(system, session_name(facts.worker_id))

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            TimerFired: lambda _: self._poll_soon(),
            StartRun: lambda message: run(self._start(message), self.name) and None,
            ThrottleRun: lambda message: (
                run(self._throttle(message), self.name) and None
            ),
            StopRun: self._stop_run,
            PollWorker: lambda _: self._poll_beside(),
            AcknowledgeEnds: self._acknowledge,
            UpdateFacts: self._update_facts,
            RegistryEntryRemoved: self._entry_removed,
        }

    def start(self) -> None:
        """Send the first poll.

        It makes the worker reject calls of earlier sessions and of
        coordinators of lower terms.
        """
        self._poll_soon()

    @property
    def fence(self) -> int:
        """Fencing token, which identifies the session in its messages."""
        return self._fence

    @property
    def possible_starts(self) -> frozenset[tuple[TaskKey, int]]:
        """Runs that the worker may begin by a start that is not settled."""
        return frozenset(self._unanswered_starts) | self._awaited_starts

    def stop(self) -> None:
        """Close the connections; replies to calls in progress are ignored."""
        self._closed = True
        self._channel.close()

    def _update_facts(self, message: UpdateFacts) -> None:
        self._facts = message.facts
        self._departed_at = math.inf

    def _entry_removed(self, message: RegistryEntryRemoved) -> None:
        """Detect whether a worker has left or is cut off.

        The entry of a silent worker is removed after three heartbeats. A
        drained worker whose entry is removed sooner after an answered poll
        has therefore left by itself, and nothing runs on it. It is polled
        once more, since only a poll that cannot be sent confirms this.
        """
        now = self.system.clock.seconds()
        since_answered_poll_s = now - self._answered_poll_sent_at
        if (
            message.drained
            and since_answered_poll_s < DEPARTURE_HEARTBEATS * self._heartbeat_s
        ):
            self._departed_at = now
            self._poll_soon()

    def _acknowledge(self, message: AcknowledgeEnds) -> None:
        self._acknowledged_end = max(self._acknowledged_end, message.number)
        self._poll_soon()

    def _poll_soon(self) -> None:
        if not self._polling and not self._closed:
            self._polling = True
            run(self._poll(), self.name)

    async def _poll(self) -> None:
        """Poll once and schedule the next poll according to the reply."""
        wait_s = POLL_WAIT_S if self._newest_end <= self._acknowledged_end else 0.0
        if self._chart.state != "answering":
            wait_s = 0.0
        self._is_watched = self._is_watched and self._has_just_answered()
        sent_at = self.system.clock.seconds()
        reply = await self._send_poll(wait_s)
        self._polling = False
        if self._closed:
            return
        if reply is None:
            self._record_no_answer(sent_at)
            self._poll_later(RETRY_DELAY_S)
        elif isinstance(reply, CommandReply):
            self._handle_rejection(reply)
            self._poll_later(RETRY_DELAY_S)
        elif not self._try_report(reply, sent_at):
            self._poll_later(RETRY_DELAY_S)

    def _poll_beside(self) -> None:
        """Poll at once, beside a poll that waits for an end."""
        if not self._polling_beside and not self._closed:
            self._polling_beside = True
            run(self._poll_once(), self.name)

    async def _poll_once(self) -> None:
        sent_at = self.system.clock.seconds()
        reply = await self._send_poll(0.0)
        self._polling_beside = False
        if self._closed:
            return
        if reply is None:
            self._record_no_answer(sent_at)
        elif isinstance(reply, CommandReply):
            self._handle_rejection(reply)
        else:
            self._try_report(reply, sent_at)

    async def _send_poll(self, wait_s: float) -> WorkerReport | CommandReply | None:
        """Send a poll; returns None if the worker did not answer.

        A report of another process closes the session. A new process numbers
        its ends anew, so ends are acknowledged only while the worker answers,
        and not again after an answered poll has acknowledged them.
        """
        number = self._acknowledged_end
        if number == self._forgotten_end or self._chart.state != "answering":
            number = 0
        lease_until_ms = self._extend_lease()
        poll = self._channel.poll(
            self._fence,
            number,
            lease_until_ms,
            wait_s,
            wait_s + POLL_MARGIN_S,
            partial(self._may_send_poll, lease_until_ms),
        )
        reply = await self._await_reply(poll, "poll", {}, self._postpone_departure)
        if isinstance(reply, WorkerReport) and not self._closed:
            self._process_started_ms = (
                self._process_started_ms or reply.process_started_ms
            )
            if reply.process_started_ms in (0, self._process_started_ms):
                self._forgotten_end = max(self._forgotten_end, number)
            else:
                self._close_for_new_process(reply.process_started_ms)
        return reply

    def _close_for_new_process(self, process_started_ms: int) -> None:
        """Leave the worker to a session with its new process.

        The new process accepts what this session has sent to the last one
        until it is called with a higher fence. Nothing that is known of the
        last process, such as its clock and the numbers of its ends, holds for
        the new one.
        """
        self._tell_coordinator(
            ProcessReplaced(
                self._facts.worker_id,
                self._fence,
                process_started_ms,
                frozenset(self._unanswered_starts),
            )
        )
        self.stop()

    def _postpone_departure(self) -> None:
        """Let only later polls confirm that the worker has left.

        A poll was sent and its reply may be lost, so the worker may be there.
        """
        if not math.isinf(self._departed_at):
            self._departed_at = self.system.clock.seconds()

    async def _await_reply(
        self,
        call: Awaitable[Any],
        name: str,
        run_fields: dict[str, Any],
        on_unknown_outcome: Callable[[], None] = lambda: None,
    ) -> Any:
        """Return the worker's reply to a call, None if there is no usable one.

        An unexpected error counts as a missing reply too, so that it cannot
        end the repetition of a command.

        Args:
            call: The call of the channel.
            name: Name of the call in log lines.
            run_fields: Identifies the run of the call in log lines.
            on_unknown_outcome: Called if the worker may have received the
                call.
        """
        fields = {"worker": self._facts.worker_id, **run_fields}
        try:
            return await call
        except RedwingrudderError as error:
            _logger.info(
                f"worker did not answer a {name}", extra={**fields, "error": str(error)}
            )
            if isinstance(error, OutcomeUnknownError):
                on_unknown_outcome()
        except Exception:
            _logger.exception(f"a {name} failed unexpectedly", extra=fields)
            on_unknown_outcome()
        return None

    def _try_report(self, reply: WorkerReport, sent_at: float) -> bool:
        """Handle a report; returns False after an unexpected error."""
        try:
            self._handle_report(reply, sent_at)
        except Exception:
            _logger.exception(
                "report of a worker could not be handled",
                extra={"worker": self._facts.worker_id},
            )
            return False
        return True

    def _handle_report(self, reply: WorkerReport, sent_at: float) -> None:
        """Pass a report to COORDINATOR and schedule the next poll.

        Args:
            reply: The worker's report.
            sent_at: Node-clock time at which the poll was sent.
        """
        self._record_answer(reply.clock_ms)
        if not self._has_reported:
            # Until this poll, calls of earlier sessions may have extended the
            # lease by its full length.
            self._has_reported = True
            self._leases_end_at = max(
                self._leases_end_at,
                self._last_answer_at + longest_lease_timeout_s(self._lease_s),
            )
        self._answered_poll_sent_at = max(self._answered_poll_sent_at, sent_at)
        self._polled_at = self.system.clock.seconds()
        self._is_watched = True
        answered_immediately = (
            self.system.clock.seconds() - sent_at < MIN_POLL_DURATION_S
        )
        self._has_runs = bool(reply.running) or bool(self._starts_in_flight)
        self._closed_runs |= self._starts_in_flight & {
            (end.key, end.run) for end in reply.ended
        }
        self._newest_end = max(
            (end.number for end in reply.ended), default=self._newest_end
        )
        self._tell_coordinator(
            WorkerPolled(self._facts.worker_id, reply, self._fence, sent_at)
        )
        if self._newest_end > self._acknowledged_end:
            self._poll_later(BUSY_POLL_INTERVAL_S)
        elif self._has_runs and not (answered_immediately and not reply.ended):
            self._poll_soon()
        elif self._has_runs:
            # This worker answers without waiting; the interval keeps it from
            # being polled in a busy loop.
            self._poll_later(BUSY_POLL_INTERVAL_S)
        else:
            self._poll_later(POLL_WAIT_S)

    def _poll_later(self, delay_s: float) -> None:
        if not self._closed:
            self.tell(TIMERS, Subscribe(self.name, "look", delay_s))

    def _handle_rejection(self, reply: CommandReply) -> None:
        if self._closed:
            # A later session of this coordinator may have a higher fence.
            return
        if reply.reason == "fenced":
            self._report_fenced()
        elif reply.reason == "other_life":
            # The worker has restarted, so no lease of the incarnation that
            # this session was opened for is valid any more.
            if not self._restarted:
                _logger.info(
                    "another worker process answers at a worker's address",
                    extra={
                        "worker": self._facts.worker_id,
                        "address": self._facts.address,
                        "draining": self._facts.draining,
                    },
                )
            self._leases_end_at = 0.0
            self._restarted = True
        self._record_no_answer()

    def _report_fenced(self) -> None:
        """Tell LEADERSHIP that a later coordinator commands the worker.

        A process that has not reported may belong to another system, whose
        fencing tokens say nothing about the terms of this one. The worker
        counts as silent then; the store knows of a later term, too.
        """
        if self._has_reported:
            self.tell(LEADERSHIP, Fenced(self._facts.worker_id))
        elif not self._fenced_unreported:
            self._fenced_unreported = True
            _logger.warning(
                "a worker that has not reported has seen a higher fencing token",
                extra={
                    "worker": self._facts.worker_id,
                    "address": self._facts.address,
                    "fence": self._fence,
                },
            )

    def _record_reply(self, reply: CommandReply) -> None:
        """Record the reply to a start or throttle command.

        The reply of another process is no answer of the worker.
        """
        if reply.reason == "other_life":
            self._handle_rejection(reply)
        else:
            self._record_answer(reply.clock_ms)

    def _record_answer(self, clock_ms: int) -> None:
        self._last_answer_at = self.system.clock.seconds()
        self._departed_at = math.inf
        if clock_ms:
            self._worker_clock_ms, self._worker_clock_read_at = (
                clock_ms,
                self._last_answer_at,
            )
        self._chart.step("answered")

    def _record_no_answer(self, poll_sent_at: float = 0.0) -> None:
        """Update the worker's state after a call that failed or was rejected.

        Args:
            poll_sent_at: Node-clock time at which an unanswered poll was sent,
                0.0 for a poll that was rejected and for other calls.
        """
        self._channel.reset()
        self._is_watched = False
        self._chart.step("unanswered")
        now = self.system.clock.seconds()
        has_departed = poll_sent_at > self._departed_at
        if has_departed:
            self._leases_end_at = 0.0
        is_gone = has_departed or self._restarted
        if is_gone or now - self._last_answer_at > SILENT_AFTER_S:
            self._chart.step("silent")
        if now > self._leases_end_at:
            self._chart.step("lapsed")

    def _extend_lease(self) -> int:
        """Return the new end of the lease for a poll, 0 to leave it unchanged.

        The end is in milliseconds of the worker's clock. The lease of a silent
        worker is not extended, so that it lapses and the worker's tasks can
        be started elsewhere. So that it lapses sooner, it is not extended
        after a call without an answer either while most of it is left.
        """
        if not self._authority.valid or not self._worker_clock_ms:
            return 0
        if self._chart.state in ("silent", "lapsed"):
            return 0
        lasts = self._lease_left_s() > MIN_LEASE_SHARE * self._lease_s
        if self._chart.state == "doubtful" and lasts:
            return 0
        return self._lease_until()

    def _lease_left_s(self) -> float:
        """Return the rest of the lease that was granted last, in seconds."""
        elapsed_s = self.system.clock.seconds() - self._worker_clock_read_at
        return (self._granted_until_ms - self._worker_clock_ms) / 1000 - elapsed_s

    def _start_lease(self) -> int:
        """Return the end of the lease for a start, as for a poll.

        A start needs one; without an extension it is the end granted last.
        """
        return self._extend_lease() or self._granted_until_ms or self._lease_until()

    def _lease_until(self) -> int:
        """Return the end of a full lease on the worker's clock, in ms.

        Records the latest node-clock time at which this lease may be valid.
        """
        now = self.system.clock.seconds()
        elapsed_s = now - self._worker_clock_read_at
        until_ms = self._worker_clock_ms + int((elapsed_s + self._lease_s) * 1000)
        # The worker's clock showed at least _worker_clock_ms at the node-clock
        # time _worker_clock_read_at, and it may be slow.
        longest_lease_s = (
            (until_ms - self._worker_clock_ms) / 1000 / (1 - MAX_CLOCK_DRIFT_RATIO)
        )
        self._leases_end_at = max(
            self._leases_end_at,
            self._worker_clock_read_at + longest_lease_s + LAPSE_MARGIN_S,
        )
        self._granted_until_ms = max(self._granted_until_ms, until_ms)
        return until_ms

    async def _start(self, message: StartRun) -> None:
        """Send a start and report its outcome to COORDINATOR.

        A start that fails is reported only when its run cannot begin any more
        and does not go on. An end of the run is reported before the outcome.
        """
        run_key = (message.key, message.run)
        self._starts_in_flight.add(run_key)
        unanswered_at: float | None = None
        try:
            reply = await self._send_start(message)
            unanswered_at = self._unanswered_starts.get(run_key)
            if self._may_have_begun(run_key, reply):
                await self._close_run(message)
            if reply.reason == "unanswered" and self._restarted:
                # A run that crashed the worker has not ended otherwise.
                self._report_lapsed()
        finally:
            self._starts_in_flight.discard(run_key)
            self._closed_runs.discard(run_key)
            if not self._closed:
                # ``possible_starts`` is read after the session has closed.
                self._unanswered_starts.pop(run_key, None)
        if self._closed:
            return
        if reply.reason == "fenced":
            self._report_fenced()
        if unanswered_at is not None:
            _logger.info(
                "an attempt of a settled start got no reply",
                extra={
                    "worker": self._facts.worker_id,
                    **_run_fields(message),
                    "outcome": "accepted" if reply.accepted else reply.reason,
                    "age_s": round(self.system.clock.seconds() - unanswered_at, 3),
                    "fence": self._fence,
                },
            )
        settled = StartSettled(
            message, reply, self._fence, unanswered_at, self._process_started_ms
        )
        self._tell_coordinator(settled)
        if not self._polling and reply.accepted:
            self._poll_soon()

    async def _send_start(self, message: StartRun) -> CommandReply:
        """Send a start until it is answered, at most once per time limit.

        The conditions of ``_may_send_start`` are checked before each attempt,
        and again when its connection stands. The first attempt is sent only
        to the process that the session was opened for, as far as that can be
        told: another one may be of a different kind or size.
        """
        run_key = (message.key, message.run)
        is_known = False
        for attempt, timeout_s in enumerate(self._start_timeouts_s):
            if not self._may_send_start(message):
                break
            is_known = is_known or await self._confirm_process()
            if not is_known:
                continue
            if not self._may_send_start(message):
                break
            self._awaited_starts.add(run_key)
            start = self._channel.start(
                message,
                self._start_lease(),
                self._fence,
                timeout_s,
                partial(self._may_send_start, message),
            )
            reply = await self._await_reply(
                start,
                "start",
                {
                    **_run_fields(message),
                    "attempt": attempt + 1,
                    "fence": self._fence,
                    "process_started_ms": self._process_started_ms,
                },
                partial(self._record_unanswered_start, run_key),
            )
            self._awaited_starts.discard(run_key)
            if attempt and reply is not None and reply.reason == "other_life":
                # The worker may have started the run before it was restarted.
                break
            if reply is not None:
                self._record_reply(reply)
                return reply
            self._record_no_answer()
        return CommandReply(False, "unanswered")

    async def _confirm_process(self) -> bool:
        """Poll unless a restart would have been noticed.

        Starts that come at the same time share a poll.

        Returns:
            Whether the process of the session is known to be there still.
        """
        if self._knows_process():
            return True
        if self._awaiting_process is not None:
            poll_ended: Deferred[None] = Deferred()
            self._awaiting_process.append(poll_ended)
            await poll_ended
            return self._knows_process()
        self._awaiting_process = []
        try:
            await self._poll_once()
        finally:
            waiting, self._awaiting_process = self._awaiting_process, None
            for poll_ended in waiting:
                poll_ended.callback(None)
        return self._knows_process()

    def _knows_process(self) -> bool:
        """Return whether the worker cannot have restarted unnoticed.

        A poll that waits at the worker fails when its process ends.
        """
        if self._closed or not self._is_watched:
            return False
        return self._polling or self._has_just_answered()

    def _has_just_answered(self) -> bool:
        return self.system.clock.seconds() - self._polled_at <= MIN_RESTART_S

    def _record_unanswered_start(self, run_key: tuple[TaskKey, int]) -> None:
        """Record that an attempt was sent and got no reply.

        It may have been written long after the call began, when its
        connection stood.
        """
        self._unanswered_starts[run_key] = self.system.clock.seconds()

    def _may_send_start(self, message: StartRun) -> bool:
        """Return whether a start may be sent.

        It is not sent without authority, after the lease has lapsed, when
        COORDINATOR gives up all runs of the worker, or after a stop of the
        run, which may have no effect yet. Nor is it sent after the run has
        ended: the worker may have restarted and would run it again. The first
        report decides that runs that it does not list cannot start any more,
        so none is sent before it.
        """
        return (
            self._may_command()
            and self._has_reported
            and bool(self._worker_clock_ms)
            and self._chart.state != "lapsed"
            and (message.key, message.run) not in self._closed_runs
            and self.system.clock.seconds() <= message.send_until
        )

    def _may_command(self) -> bool:
        """Return whether a stop or throttle command may be sent."""
        return not self._closed and self._authority.valid

    def _may_send_poll(self, lease_until_ms: int) -> bool:
        """Return whether a poll that was prepared may still be sent.

        A closed session may send nothing to the next process of the worker,
        which numbers its ends anew.
        """
        return not self._closed and (self._authority.valid or not lease_until_ms)

    def _may_have_begun(
        self, run_key: tuple[TaskKey, int], reply: CommandReply
    ) -> bool:
        """Return whether the run of a start that failed may go on or begin.

        A rejection says nothing about earlier attempts that got no reply. A
        run that is being stopped makes its start outdated.
        """
        if reply.accepted or reply.reason == "fenced":
            return False
        return (
            reply.reason in ("unanswered", "outdated")
            or run_key in self._unanswered_starts
        )

    async def _close_run(self, message: StartRun) -> None:
        """Stop a run and wait until it has ended or the lease has lapsed.

        After the reply to the stop the run cannot begin any more, but a run
        that has begun goes on until the worker has stopped it. COORDINATOR
        receives the end of such a run before this returns; otherwise it would
        run the task a second time.
        """
        await self._send_stop(message)
        run_key = (message.key, message.run)
        wait_s = 0.0
        while not self._closed and self._chart.state != "lapsed":
            sent_at = self.system.clock.seconds()
            reply = await self._send_poll(wait_s)
            wait_s = 0.0
            if reply is None:
                self._record_no_answer(sent_at)
            elif isinstance(reply, CommandReply):
                self._handle_rejection(reply)
                if reply.reason in FINAL_REJECTIONS:
                    return
            elif not self._closed and self._try_report(reply, sent_at):
                if _is_over(run_key, reply):
                    return
                if self._newest_end <= self._acknowledged_end:
                    # The worker replies as soon as the run has ended.
                    wait_s = POLL_WAIT_S
            if self.system.clock.seconds() - sent_at < MIN_POLL_DURATION_S:
                await pause(self.system.clock, BUSY_POLL_INTERVAL_S)

    def _stop_run(self, message: StopRun) -> None:
        """Stop a run, also while its start waits for a reply.

        A stop that is repeated already is not sent a second time.
        """
        run_key = (message.key, message.run)
        if run_key in self._stops_in_flight:
            return
        self._closed_runs.add(run_key)
        self._stops_in_flight.add(run_key)
        run(self._stop(message), self.name)

    async def _stop(self, message: StopRun) -> None:
        run_key = (message.key, message.run)
        try:
            await self._send_stop(message)
        finally:
            self._stops_in_flight.discard(run_key)
            if run_key not in self._starts_in_flight:
                # From now on the worker rejects a start of the run.
                self._closed_runs.discard(run_key)
        if not self._closed:
            self._poll_soon()

    async def _throttle(self, message: ThrottleRun) -> None:
        """Send a throttle command once; report if it may have no effect."""
        if not self._authority.valid:
            self.tell(COORDINATOR, ThrottleUnanswered(message))
            return
        throttle = self._channel.throttle(
            message, self._fence, COMMAND_TIMEOUT_S, self._may_command
        )
        reply = await self._await_reply(
            throttle, "throttle command", _run_fields(message)
        )
        if reply is not None:
            self._record_reply(reply)
        if reply is None or not reply.accepted:
            self.tell(COORDINATOR, ThrottleUnanswered(message))

    async def _send_stop(self, message: StartRun | StopRun) -> None:
        """Repeat a stop until the worker accepts it or its lease has lapsed.

        Without authority nothing is sent: a successor may have adopted the
        run.
        """
        while not self._closed and self._chart.state != "lapsed":
            if not self._authority.valid:
                await pause(self.system.clock, STOP_RETRY_DELAY_S)
                continue
            stop = self._channel.stop(
                message, self._fence, COMMAND_TIMEOUT_S, self._may_command
            )
            reply = await self._await_reply(stop, "stop", _run_fields(message))
            if reply is None:
                self._record_no_answer()
            elif reply.reason in FINAL_REJECTIONS:
                self._handle_rejection(reply)
                return
            else:
                self._record_answer(reply.clock_ms)
                if reply.accepted:
                    return
                _logger.warning(
                    "worker rejected a stop; it is repeated",
                    extra={
                        "worker": self._facts.worker_id,
                        **_run_fields(message),
                        "reason": reply.reason,
                    },
                )
            await pause(self.system.clock, STOP_RETRY_DELAY_S)

    def _report_silent(self) -> None:
        self._tell_coordinator(WorkerSilent(self._facts.worker_id, self._fence))

    def _report_lapsed(self) -> None:
        # COORDINATOR gives up these runs, also if the worker answers again.
        self._closed_runs |= self._starts_in_flight
        self._tell_coordinator(
            WorkerLeaseLapsed(
                self._facts.worker_id,
                self._fence,
                self._restarted,
                frozenset(self._unanswered_starts),
            )
        )

    def _tell_coordinator(self, message: Any) -> None:
        """Send a message, unless a later session may speak for the worker."""
        if not self._closed:
            self.tell(COORDINATOR, message)


def _is_over(run_key: tuple[TaskKey, int], report: WorkerReport) -> bool:
    """Return whether a stopped run has ended, with its end listed if any."""
    if run_key in {(end.key, end.run) for end in report.ended}:
        return True
    running = {(entry.key, entry.run) for entry in report.running}
    return report.ends_complete and run_key not in running


def _run_fields(run: StartRun | StopRun | ThrottleRun) -> dict[str, Any]:
    """Return the log fields that identify a run."""
    return {"job": run.key.workflow_id, "run": run.run}


def session_name(worker_id: str) -> str:
    """Return the actor name of a worker's session."""
    return f"worker {worker_id}"


def prior_lease_timeout_s(longest_lease_s: float) -> float:
    """Return how long leases granted by an earlier coordinator may last.

    That coordinator may be cut off and extend leases until its authority
    ends, even if it refuses connections.

    Args:
        longest_lease_s: Longest lease that workers accept, in seconds.

    Returns:
        Seconds, counted from the beginning of the new term.
    """
    return LONGEST_OVERLAP_S + longest_lease_timeout_s(longest_lease_s)


def longest_lease_timeout_s(longest_lease_s: float) -> float:
    """Return how long a lease that begins now may last, in seconds.

    Args:
        longest_lease_s: Longest lease that workers accept, in seconds of their
            clocks.
    """
    return longest_lease_s / (1 - MAX_CLOCK_DRIFT_RATIO) + LAPSE_MARGIN_S

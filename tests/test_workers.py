"""Tests of ``WorkerLink`` against the worker stand-in and its core."""

import json
import unittest
from unittest import mock

import treq
from twisted.internet import reactor
from twisted.internet.task import Clock, deferLater
from twisted.trial import unittest as trial

from redwingrudder import _worker_commands
from redwingrudder._worker_transport import WorkerResponse
from redwingrudder.actors import Actor, ActorSystem
from redwingrudder.exceptions import MailboxFullError
from redwingrudder.messages import (
    ReleaseAnswered,
    ReleaseMember,
    ReserveAnswered,
    ReserveMember,
    StartAnswered,
    StartMember,
    StopMember,
    TaskEnded,
    WorkerClaimed,
    WorkerDraining,
    WorkerLost,
)
from redwingrudder.model import (
    Epoch,
    JobSpec,
    MemberPlacement,
    MemberState,
    WorkerInfo,
)
from redwingrudder.requests import DISPATCHER, OWNERSHIP, EpochRaised, Fenced
from redwingrudder.standins.worker import WorkerStandIn
from redwingrudder.timers import TimerService
from redwingrudder.workers import (
    ClaimHandled,
    HttpTransport,
    LinkEvent,
    LinkSettings,
    WorkerLink,
)
from tests.worker_fakes import FakeTransport, run_clock

ADDRESS = "w1:1"
INFO = WorkerInfo("w1", ADDRESS, "north", "r1", 8, 8, 128, 262_144)
LEASE_S = 3.0
SPEC = JobSpec(
    "huon", "proof", "c", "k", 1, 1, 1, 1, True, True, 1.0, 1.0, '{"run_s": 1}'
)


class Recorder(Actor):
    """Records events in place of the dispatcher, and confirms claims."""

    def __init__(self, system, name):
        self.received = []
        super().__init__(system, name)

    def handlers(self):
        return {LinkEvent: self.handle_link_event, Fenced: self.received.append}

    def handle_link_event(self, message):
        self.received.append(message.event)
        if isinstance(message.event, WorkerClaimed):
            self.tell("worker:w1", ClaimHandled())


class HttpTransportTests(trial.TestCase):
    """A link and a worker stand-in that are connected by sockets."""

    timeout = 20

    def setUp(self):
        self.system = ActorSystem(reactor)
        TimerService(self.system)
        self.dispatcher = Recorder(self.system, DISPATCHER)
        self.worker = WorkerStandIn(self.system, INFO, reactor)
        self.system.start()
        self.transport = HttpTransport(reactor)
        address = self.worker.address
        settings = LinkSettings(1, "w1", address, "n1", Epoch(1, 0, 0), LEASE_S)
        WorkerLink(self.system, settings, self.transport).start()

    async def tearDown(self):
        await self.system.stop()
        await self.transport.close()

    async def wait_for(self, event_type, count=1):
        while True:
            found = [
                event
                for event in self.dispatcher.received
                if isinstance(event, event_type)
            ]
            if len(found) >= count:
                return found
            await deferLater(reactor, 0.02)

    async def inject_faults(self, **switches):
        url = f"http://{self.worker.address}/admin/faults"
        await treq.post(url, json.dumps(switches).encode(), persistent=False)

    async def test_a_gang_runs_through_dropped_replies_and_a_cut(self):
        """Guards against a gang that is started twice or lost by the link."""
        await self.wait_for(WorkerClaimed)
        await self.inject_faults(drop_replies=2, slow_s=0.05)
        member = MemberPlacement("w1", (0,), (0,))
        spec = SPEC._replace(payload='{"run_s": 0.8, "result": "done"}')
        self.system.tell("worker:w1", ReserveMember("g", "j", spec, 0.0, member, 1))
        self.system.tell("worker:w1", StartMember("g", "w1"))
        (started,) = await self.wait_for(StartAnswered)
        self.assertTrue(started.accepted)
        await self.inject_faults(cut_s=1.0, slow_s=0.0)
        (ended,) = await self.wait_for(TaskEnded)
        self.assertEqual(ended.result.result, "done")
        history = self.worker.core.history
        self.assertEqual(
            [entry.what for entry in history], ["reserved", "started", "ended"]
        )

    async def test_a_restart_is_noticed_within_a_poll(self):
        """Guards against an owner that keeps a restarted worker as running."""
        await self.wait_for(WorkerClaimed)
        self.worker.restart()
        (lost,) = await self.wait_for(WorkerLost)
        self.assertEqual(lost.reason, "restarted")
        await self.wait_for(WorkerClaimed, 2)


class WorkerLinkTests(unittest.TestCase):
    """A link and a stand-in's core without sockets, on a virtual clock."""

    def setUp(self):
        self.clock = Clock()
        self.system = ActorSystem(self.clock)
        TimerService(self.system)
        self.dispatcher = Recorder(self.system, DISPATCHER)
        self.ownership = Recorder(self.system, OWNERSHIP)
        self.transport = FakeTransport(self.clock, [INFO])
        self.link = self.make_link(Epoch(1, 0, 0))

    def make_link(self, epoch):
        settings = LinkSettings(1, "w1", ADDRESS, "n1", epoch, LEASE_S)
        link = WorkerLink(self.system, settings, self.transport)
        link.start()
        return link

    @property
    def core(self):
        return self.transport.cores_by_address[ADDRESS]

    def run_for(self, duration_s):
        run_clock(self.clock, duration_s)

    def run_and_take_events(self):
        """Return the events since the last call, after a further 0.5 s."""
        self.run_for(0.5)
        received, self.dispatcher.received = self.dispatcher.received, []
        return received

    def send(self, *commands):
        for command in commands:
            self.system.tell("worker:w1", command)

    def reserve(self, gang_id, accelerator=0):
        member = MemberPlacement("w1", (accelerator,), (0,))
        return ReserveMember(gang_id, f"j-{gang_id}", SPEC, 0.0, member, 1)

    def test_commands_of_a_gang_arrive_in_order_and_results_return(self):
        """Guards against commands of a gang that overtake each other."""
        self.run_and_take_events()
        release = ReleaseMember("g", "w1")
        self.send(self.reserve("g"), StartMember("g", "w1"))
        self.assertEqual(
            self.run_and_take_events(),
            [ReserveAnswered("g", "w1", True), StartAnswered("g", "w1", True)],
        )
        self.run_for(1.0)
        self.send(release)
        ended, released = self.run_and_take_events()
        self.assertEqual(ended.result.outcome, "succeeded")
        self.assertEqual(released, ReleaseAnswered("g", "w1"))

    def test_lost_replies_are_retried_without_a_second_start(self):
        """Guards against a retried command that starts a gang twice."""
        self.run_and_take_events()
        self.transport.replies_to_drop = 2
        self.send(self.reserve("g"), StartMember("g", "w1"))
        answers = self.run_and_take_events() + self.run_and_take_events()
        self.assertEqual([type(answer) for answer in answers[:1]], [ReserveAnswered])
        self.assertTrue(all(answer.accepted for answer in answers[:2]))
        self.run_for(2.0)
        started = [entry for entry in self.core.history if entry.what == "started"]
        self.assertEqual(len(started), 1)

    def test_the_worker_stops_its_tasks_before_the_owner_calls_it_lost(self):
        """Guards against a second run of tasks that the worker still runs."""
        self.run_and_take_events()
        self.send(self.reserve("g"), StartMember("g", "w1"))
        self.run_for(0.9)
        self.transport.cut.add(ADDRESS)
        self.dispatcher.received.clear()
        for _ in range(200):
            self.run_for(0.05)
            if self.dispatcher.received:
                break
        lost_at = self.clock.seconds()
        self.assertEqual(self.dispatcher.received, [WorkerLost("w1", "lease_lapsed")])
        self.assertGreaterEqual(lost_at, self.core.lease_until + 0.9)
        self.assertLess(lost_at, self.core.lease_until + 1.2)
        self.assertEqual(self.core.state(lost_at)["members"][0]["state"], "ended")

    def test_lost_replies_to_renewals_do_not_keep_lost_work_running(self):
        """Guards against renewals for a worker that is regarded as lost."""
        # Requests reach the worker, but all replies are lost. If the retries
        # renewed the lease, the worker would run tasks of a lost gang.
        self.run_and_take_events()
        self.send(self.reserve("g"), StartMember("g", "w1"))
        self.run_for(0.2)
        self.transport.losing_replies.add(ADDRESS)
        self.run_for(7.0)
        self.assertIn(WorkerLost("w1", "lease_lapsed"), self.run_and_take_events())
        self.assertLess(self.core.lease_until, self.clock.seconds())

    def test_a_request_executed_late_does_not_keep_lost_work_running(self):
        """Guards against a renewal that takes effect long after it was sent.

        The worker process pauses before it reads the last request, and reads
        it shortly before the end of its lease. The network is cut by then.
        """
        self.run_and_take_events()
        spec = SPEC._replace(payload='{"run_s": 60}')
        reserve = self.reserve("g")._replace(spec=spec)
        self.send(reserve, StartMember("g", "w1"))
        self.run_for(0.9)
        self.transport.cut.add(ADDRESS)
        self.dispatcher.received.clear()
        self.run_for(2.0)
        *_, poll = (body for _, path, body in self.transport.posted if body)
        remaining_s = self.core.lease_until - self.clock.seconds()
        self.run_for(remaining_s - 0.1)
        self.core.poll(poll, self.clock.seconds())
        self.assert_ended_when_lost()

    def assert_ended_when_lost(self):
        """Check that the worker's task has ended once the worker is lost."""
        for _ in range(200):
            self.run_for(0.05)
            if self.dispatcher.received:
                break
        self.assertEqual(self.dispatcher.received, [WorkerLost("w1", "lease_lapsed")])
        (member,) = self.core.state(self.clock.seconds())["members"]
        self.assertEqual(member["state"], "ended")

    def test_first_claim_executed_late(self):
        """Guards against work that a late first claim keeps running."""
        self.run_and_take_events()
        spec = SPEC._replace(payload='{"run_s": 60}')
        self.send(self.reserve("g")._replace(spec=spec), StartMember("g", "w1"))
        self.run_for(0.9)
        self.link.stop()
        self.transport.cut.add(ADDRESS)
        self.run_for(0.2)
        self.dispatcher.received.clear()
        self.transport.posted.clear()
        self.make_link(Epoch(2, 0, 0))
        self.run_for(0.1)
        claims = [
            body for _, path, body in self.transport.posted if path == "/v1/claim"
        ]
        self.run_for(self.core.lease_until - self.clock.seconds() - 0.1)
        for claim in claims[:1]:
            self.core.claim(claim, self.clock.seconds())
        self.assert_ended_when_lost()

    def test_each_command_limits_the_lease_that_it_renews(self):
        """Guards against a late command whose lease has no known end."""
        self.run_and_take_events()
        self.send(self.reserve("g"), StartMember("g", "w1"))
        self.run_for(0.5)
        self.send(StopMember("g", "w1", False), ReleaseMember("g", "w1"))
        self.run_for(0.5)
        commands = [(path, body) for _, path, body in self.transport.posted if body]
        self.assertEqual(commands[0][0], "/v1/claim")
        paths = {path for path, _ in commands[1:]}
        self.assertEqual(len(paths), 5, paths)
        limits = [body["lease_until_s"] for _, body in commands]
        self.assertLessEqual(max(limits), self.clock.seconds() + LEASE_S)
        self.assertGreater(min(limits), LEASE_S - 0.1)

    def test_each_claim_limits_the_lease_that_it_renews(self):
        """Guards against a claim after a restart that has no limit."""
        self.run_and_take_events()
        self.transport.restart(ADDRESS)
        self.run_for(2.0)
        self.send(EpochRaised(Epoch(3, 0, 0)))
        self.run_for(1.0)
        claims = [
            body for _, path, body in self.transport.posted if path == "/v1/claim"
        ]
        self.assertEqual(len(claims), 4)
        for claim in claims:
            self.assertIn("lease_until_s", claim)

    def test_a_short_cut_does_not_lose_the_worker(self):
        """Guards against the loss of a worker whose lease has not expired."""
        self.run_and_take_events()
        self.transport.cut.add(ADDRESS)
        self.run_for(2.0)
        self.transport.cut.clear()
        self.run_for(6.0)
        self.assertEqual(self.run_and_take_events(), [])
        self.assertGreater(self.core.lease_until, self.clock.seconds())

    def test_a_new_boot_id_is_a_loss_followed_by_a_new_claim(self):
        """Guards against gangs of a restarted worker that count as running."""
        self.run_and_take_events()
        self.send(self.reserve("g"))
        self.run_and_take_events()
        self.transport.restart(ADDRESS)
        lost, claimed = (
            self.run_and_take_events()
            + self.run_and_take_events()
            + self.run_and_take_events()
        )
        self.assertEqual(lost, WorkerLost("w1", "restarted"))
        self.assertEqual(claimed.report.members, ())

    def test_a_restarted_worker_executes_no_requests_to_its_last_process(self):
        """Guards against work that nobody wants, and ends that are lost.

        Requests to the last process are executed late, by the next one. Its
        owner has claimed it and has given up the gang.
        """
        self.run_and_take_events()
        self.send(self.reserve("g"), StartMember("g", "w1"))
        self.run_for(2.0)
        self.send(self.reserve("h"), StartMember("h", "w1"))
        self.run_for(2.0)
        last = {path: body for _, path, body in self.transport.posted if body}
        self.transport.restart(ADDRESS)
        self.run_for(1.0)
        self.send(self.reserve("next"), StartMember("next", "w1"))
        self.run_for(0.5)
        for path in ("/v1/reserve", "/v1/start"):
            status, _ = self.transport._execute(ADDRESS, path, last[path])
            self.assertEqual(status, 409)
        members = self.core.state(self.clock.seconds())["members"]
        self.assertEqual([member["gang_id"] for member in members], ["next"])
        self.core.advance(self.clock.seconds() + 1.0)
        status, _ = self.transport._execute(ADDRESS, "/v1/poll", last["/v1/poll"])
        self.assertEqual(status, 409)
        self.assertGreater(last["/v1/poll"]["after"], 0)
        self.run_for(1.5)
        ended = [e for e in self.dispatcher.received if isinstance(e, TaskEnded)]
        self.assertEqual([event.gang_id for event in ended], ["g", "h", "next"])

    def test_commands_for_a_lost_claim_are_not_sent_under_the_next_one(self):
        """Guards against commands that refer to an earlier claim."""
        # A reservation sent for the claim before the restart would otherwise
        # occupy its accelerator for ever, because the scheduler has no record
        # of it.
        self.run_and_take_events()
        self.dispatcher.handle_link_event = None
        self.dispatcher._handlers_by_type[LinkEvent] = lambda message: None
        self.transport.restart(ADDRESS)
        self.run_for(2.0)
        self.send(self.reserve("g"))
        self.run_for(1.0)
        self.assertNotIn("/v1/reserve", self.transport.paths())
        self.send(ClaimHandled(), self.reserve("h"))
        self.run_for(1.0)
        self.assertEqual(len(self.core.state(0.0)["members"]), 1)

    def test_a_stale_epoch_is_reported_to_ownership_and_ends_the_link(self):
        """Guards against a fenced owner that keeps claiming the worker."""
        self.run_and_take_events()
        claim = {"epoch": [2, 0, 0], "node_id": "n2", "lease_s": LEASE_S}
        self.core.claim(claim, self.clock.seconds())
        self.run_for(2.0)
        fenced = Fenced(Epoch(1, 0, 0), Epoch(2, 0, 0))
        self.assertEqual(self.ownership.received, [fenced])
        self.assertNotIn("worker:w1", self.system.names())
        self.assertEqual(self.core.highest_epoch, Epoch(2, 0, 0))

    def test_a_raised_epoch_keeps_work_and_queued_commands(self):
        """Guards against work that is lost when the owner raises its epoch."""
        self.run_and_take_events()
        self.send(self.reserve("g"), EpochRaised(Epoch(3, 0, 0)))
        self.send(StartMember("g", "w1"))
        self.run_for(2.0)
        event_types = [type(event) for event in self.run_and_take_events()]
        self.assertEqual(event_types, [ReserveAnswered, StartAnswered, TaskEnded])
        self.assertEqual(self.core.highest_epoch, Epoch(3, 0, 0))
        self.assertEqual(self.ownership.received, [])

    def test_a_new_owner_learns_running_gangs_and_their_results(self):
        """Guards against gangs that are lost or run again after a takeover."""
        self.run_and_take_events()
        self.send(self.reserve("g"), StartMember("g", "w1"), self.reserve("h", 1))
        self.run_for(2.0)
        self.link.stop()
        self.dispatcher.received.clear()
        self.make_link(Epoch(2, 0, 0))
        (claimed,) = self.run_and_take_events()
        members_by_gang = {member.gang_id: member for member in claimed.report.members}
        self.assertIs(members_by_gang["g"].state, MemberState.ENDED)
        self.assertEqual(len(members_by_gang["g"].results), 1)
        self.assertIs(members_by_gang["h"].state, MemberState.RESERVED)
        self.assertEqual(members_by_gang["h"].spec, SPEC)

    def test_a_full_queue_refuses_new_work_but_no_release(self):
        """Guards against an unbounded queue, and releases that are lost."""
        self.run_and_take_events()
        self.transport.cut.add(ADDRESS)
        with mock.patch.object(_worker_commands, "MAX_QUEUED_COMMANDS", 2):
            self.send(*(self.reserve(f"g{i}", i) for i in range(3)))
            self.send(ReleaseMember("g0", "w1"))
            self.run_for(0.1)
        refused = [ReserveAnswered("g2", "w1", False, "overloaded")]
        self.assertEqual(self.dispatcher.received, refused)
        self.transport.cut.clear()
        self.run_for(6.0)
        self.assertIn(ReleaseAnswered("g0", "w1"), self.dispatcher.received)

    def test_a_full_mailbox_delays_events_and_loses_none(self):
        """Guards against events that a full mailbox causes to be lost."""
        self.run_and_take_events()
        self.send(self.reserve("g"))
        full = MailboxFullError("full")
        with mock.patch.object(self.dispatcher, "deliver", side_effect=full):
            self.link._send_event(WorkerDraining("w1"))
        self.run_for(1.0)
        self.assertIn(WorkerDraining("w1"), self.dispatcher.received)

    def test_malformed_replies_are_logged_with_a_code_and_retried(self):
        """Guards against a link that fails on a malformed reply."""
        self.run_and_take_events()
        malformed_replies = {
            "/v1/reserve": b"<html>",
            "/v1/poll": b'{"boot_id": 1, "events": "none"}',
        }
        self.transport.malformed_replies = malformed_replies
        with self.assertLogs("redwingrudder._worker_log", "WARNING") as logs:
            self.send(self.reserve("g"))
            self.run_for(1.5)
        self.assertEqual({record.code for record in logs.records}, {"bad_worker_reply"})
        self.transport.malformed_replies = {}
        self.run_for(2.0)
        self.assertEqual(self.run_and_take_events(), [ReserveAnswered("g", "w1", True)])

    def test_an_error_status_settles_no_release(self):
        """Guards against a reservation that is never released."""
        self.run_and_take_events()
        self.send(self.reserve("g"))
        self.run_and_take_events()
        post = self.transport.post
        refused = []

        async def refuse_first_release(address, path, body, timeout_s):
            if path == "/v1/release" and not refused:
                refused.append(body)
                return WorkerResponse(429, b"{}")
            return await post(address, path, body, timeout_s)

        with mock.patch.object(self.transport, "post", refuse_first_release):
            self.send(ReleaseMember("g", "w1"))
            events = self.run_and_take_events()
        self.assertEqual(events, [ReleaseAnswered("g", "w1")])
        self.assertEqual(len(refused), 1)
        self.assertEqual(self.core.state(self.clock.seconds())["members"], [])

    def test_a_draining_worker_is_reported_once(self):
        """Guards against a draining worker that is reported repeatedly."""
        self.run_and_take_events()
        self.core.draining = True
        self.send(self.reserve("g"))
        self.run_for(4.0)
        refused = ReserveAnswered("g", "w1", False, "draining")
        self.assertEqual(self.run_and_take_events(), [refused, WorkerDraining("w1")])

    def test_stopping_an_unknown_gang_is_answered_as_a_release(self):
        """Guards against a dispatcher that waits for an unknown gang."""
        self.run_and_take_events()
        self.send(StopMember("g", "w1", False))
        self.assertEqual(self.run_and_take_events(), [ReleaseAnswered("g", "w1")])

    def cancel_while_cut_off(self, drop_replies=0):
        """Send a start and its stop to a worker that loses replies or is cut.

        Returns the events that follow once the worker answers again.
        """
        self.run_and_take_events()
        self.send(self.reserve("g"))
        self.run_and_take_events()
        if drop_replies:
            self.transport.replies_to_drop = drop_replies
        else:
            self.transport.cut.add(ADDRESS)
        self.send(StartMember("g", "w1"))
        self.run_for(0.1)
        self.send(StopMember("g", "w1", False))
        self.run_for(0.1)
        self.transport.cut.clear()
        self.run_for(2.0)
        return self.run_and_take_events()

    def test_a_start_is_not_sent_once_its_stop_is_queued(self):
        """Guards against a start of a member whose job has been cancelled.

        The worker cannot be reached when the start is sent for the first
        time, and can be reached again when the stop has been queued.
        """
        events = self.cancel_while_cut_off()
        history = [entry.what for entry in self.core.history]
        self.assertEqual(history, ["reserved", "released"])
        self.assertEqual(events, [StartAnswered("g", "w1", False, "stopped_first")])

    def test_a_stop_in_place_of_a_start_reports_a_member_that_has_started(self):
        """Guards against a started member that counts as never started."""
        events = self.cancel_while_cut_off(drop_replies=1)
        history = [entry.what for entry in self.core.history]
        self.assertEqual(history, ["reserved", "started", "ended"])
        self.assertEqual([type(event) for event in events], [TaskEnded])
        self.assertEqual(self.transport.paths().count("/v1/start"), 1)

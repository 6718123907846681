"""Tests of what the advice service is asked, and when its tickets are used."""

import unittest
from unittest import mock

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from redwingrudder.actors import ActorSystem
from redwingrudder.coordination.advisor import Advisor
from redwingrudder.coordination.gateways import COORDINATOR, Advice, AdviceService
from redwingrudder.coordination.messages import AdviceGiven
from redwingrudder.exceptions import OverloadedError, UnavailableError
from redwingrudder.workflows.advice import (
    MAX_RETRY_DELAY_S,
    PLANNED_TICKET_SHARE,
    Tickets,
)
from redwingrudder.workflows.advice_requests import LOST_AFTER_S
from redwingrudder.workflows.model import AdviceTimes, AskAdvice
from redwingrudder.workflows.placement import choose_options
from redwingrudder.workflows.queue_policies import QueuePolicies

from . import workflow_fixtures as fx
from .coordination_fakes import Recording

TIMES = AdviceTimes(0.4, 0.025, 3.0)


def requests(effects):
    return [effect for effect in effects if isinstance(effect, AskAdvice)]


def advised(workflow, **changes):
    return workflow._replace(policy=workflow.policy._replace(advised=True, **changes))


def allow(request):
    return dict.fromkeys(request.worker_ids, "ticket")


class RequestOrderTests(unittest.TestCase):
    """Which step is asked about next."""

    def setUp(self):
        self.engine = fx.engine(fx.worker("w1"), fx.worker("w2"))

    def accept(self, job, *steps, **changes):
        self.engine.accept(advised(fx.workflow(job, *steps), **changes), 0.0)

    def ask(self, now=0.0):
        """Return the job that a planning pass asks about, "" for none."""
        found = requests(self.engine.plan(now, now))
        return found[0].workflow_id if found else ""

    def test_one_request_at_a_time(self):
        """Guards against requests that wait inside the service."""
        self.accept("a")
        self.accept("b")
        (first,) = requests(self.engine.plan(0.0, 0.0))
        self.assertEqual(self.ask(0.1), "")
        fx.advise(self.engine, first, allow(first), 3.0, 0.2)
        (second,) = requests(self.engine.plan(0.3, 0.3))
        self.assertEqual({first.workflow_id, second.workflow_id}, {"a", "b"})

    def test_urgent_step_is_asked_about_first(self):
        """Guards against requests in the order of arrival."""
        self.accept("patient", priority=2)
        self.accept("urgent", priority=0)
        self.assertEqual(self.ask(), "urgent")

    def test_step_without_room_is_passed_over(self):
        """Guards against tickets that expire before there is room."""
        gang = fx.step(3, fx.WHOLE_WORKER, gang=True)
        self.accept("wide", gang, priority=0)
        self.accept("small", priority=2)
        self.assertEqual(self.ask(), "small")

    def test_cancelled_job_is_not_asked_about(self):
        """Guards against requests of jobs that need none any more."""
        self.accept("a", priority=0)
        self.accept("b", priority=2)
        (first,) = requests(self.engine.plan(0.0, 0.0))
        self.accept("c", priority=1)
        self.engine.cancel("c", 0.1)
        self.engine.cancel("a", 0.1)
        fx.advise(self.engine, first, allow(first), 3.0, 0.2)
        self.assertEqual(self.ask(0.3), "b")

    def test_room_is_kept_while_the_service_is_asked(self):
        """Guards against an answer about room that others have taken."""
        self.accept("whole", fx.step(2, fx.WHOLE_WORKER, gang=True))
        self.engine.plan(0.0, 0.0)
        self.engine.accept(fx.workflow("plain", fx.step(16), priority=2), 0.0)
        self.assertEqual(fx.starts(self.engine.plan(0.1, 0.1)), [])

    def test_waiting_gang_reserves_capacity(self):
        """Guards against a gang that small jobs keep from its workers.

        A gang without room is not asked about, so it has no permits.
        """
        for job in ("small1", "small2"):
            self.engine.accept(fx.workflow(job, fx.step(1, fx.HALF_WORKER)), 0.0)
        running = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, running)
        self.accept("gang", fx.step(2, fx.WHOLE_WORKER, gang=True), priority=1)
        self.engine.accept(
            fx.workflow("late", fx.step(3, fx.HALF_WORKER), priority=2), 0.1
        )
        self.assertEqual(fx.starts(self.engine.plan(0.2, 0.2)), [])

    def test_failed_requests_let_other_steps_go_first(self):
        """Guards against a step at the head whose calls always fail."""
        self.accept("bad", priority=0)
        self.accept("good", priority=2)
        asked = []
        for turn in range(6):
            now = 0.1 * turn
            (request,) = requests(self.engine.plan(now, now))
            asked.append(request.workflow_id)
            if request.workflow_id == "good":
                break
            fx.advise(self.engine, request, None, 0.0, now)
        self.assertEqual(asked, ["bad", "bad", "good"])

    def test_failed_requests_are_repeated(self):
        """Guards against a delay without a limit."""
        self.accept("job")
        now = 0.0
        for _ in range(20):
            (request,) = requests(self.engine.plan(now, now))
            fx.advise(self.engine, request, None, 0.0, now)
            now += MAX_RETRY_DELAY_S

    def test_request_without_an_outcome_is_given_up(self):
        """Guards against a message that is lost between two actors."""
        self.accept("job")
        self.assertEqual(self.ask(), "job")
        self.assertEqual(self.ask(LOST_AFTER_S), "")
        self.assertEqual(self.ask(LOST_AFTER_S + 0.1), "job")

    def test_denied_worker_is_asked_about_after_its_restart(self):
        """Guards against a verdict that outlives the process it was about."""
        self.accept("job")
        (request,) = requests(self.engine.plan(0.0, 0.0))
        fx.advise(self.engine, request, {}, 3.0, 0.1)
        self.assertEqual(requests(self.engine.plan(10.0, 10.0)), [])
        self.engine.set_worker(fx.worker("w2", process_started_ms=2), 11.0)
        (request,) = requests(self.engine.plan(11.0, 11.0))
        self.assertEqual(request.worker_ids, ("w2",))

    def test_cost_of_a_pass_while_many_steps_wait(self):
        """Guards against placements that are chosen for each waiting step."""
        for job in range(50):
            self.accept(f"job{job}")
        for now in (0.0, 0.1):
            with mock.patch(
                "redwingrudder.workflows.planner.choose_options", wraps=choose_options
            ) as chosen:
                self.engine.plan(now, now)
            self.assertLess(chosen.call_count, 10)
        self.assertEqual(self.engine.advice_requests.waits(0.1).count, 50)

    def test_waits_are_counted(self):
        """Guards against work that waits for advice unseen."""
        self.accept("a")
        self.accept("b")
        (request,) = requests(self.engine.plan(1.0, 1.0))
        self.assertEqual(self.engine.advice_requests.waits(3.0)[:2], (2, 2.0))
        fx.advise(self.engine, request, allow(request), 3.0, 3.0)
        self.engine.plan(3.0, 3.0)
        self.assertEqual(self.engine.advice_requests.waits(3.5)[:2], (1, 2.5))

    def test_preempts_only_where_it_is_permitted(self):
        """Guards against runs that are stopped for a start with no ticket."""
        self.engine.accept(
            fx.workflow("fills", fx.step(2, fx.WHOLE_WORKER), priority=2), 0.0
        )
        fx.confirm(self.engine, fx.starts(self.engine.plan(0.0, 0.0)))
        self.accept("urgent", fx.step(1, fx.WHOLE_WORKER), priority=0)
        effects = self.engine.plan(0.1, 0.1)
        self.assertEqual(fx.stops(effects), [])
        (request,) = requests(effects)
        self.assertEqual(set(request.worker_ids), {"w1", "w2"})
        fx.advise(self.engine, request, {"w2": "ticket"}, 3.0, 0.2)
        (stop,) = fx.stops(self.engine.plan(0.3, 0.3))
        self.assertEqual(stop.worker_id, "w2")


class NamedWorkersTests(unittest.TestCase):
    """Which workers a request names."""

    def build_engine(self, workers=24, times=TIMES):
        self.engine = fx.engine(
            *(fx.worker(f"w{i:03}", f"r{i // 6}") for i in range(workers))
        )
        self.engine.configure(QueuePolicies(0, {}, {"queue": times}), {})

    def accept(self, job, *steps, **changes):
        self.engine.accept(advised(fx.workflow(job, *steps), **changes), 0.0)

    def ask(self, now):
        (request,) = requests(self.engine.plan(now, now))
        return request

    def answer(self, request, is_allowed, sent_at, received_at):
        tickets = {i: "ticket" for i in request.worker_ids if is_allowed(i)}
        reply = Tickets(tickets, TIMES.valid_s, sent_at, received_at)
        self.engine.record_advice(request, reply, received_at)

    def test_names_what_the_tasks_need(self):
        """Guards against calls about workers that the step cannot use."""
        self.build_engine()
        self.accept("first", fx.step(16))
        request = self.ask(0.0)
        self.assertEqual(len(request.worker_ids), 4)
        self.answer(request, lambda i: True, 0.0, 0.5)
        self.accept("second", fx.step(16))
        self.assertEqual(len(self.ask(0.5).worker_ids), 3)

    def test_no_more_than_the_service_accepts(self):
        """Guards against a request that the service rejects."""
        self.build_engine(120)
        self.accept("gang", fx.step(96, fx.WHOLE_WORKER, gang=True))
        self.assertEqual(len(self.ask(0.0).worker_ids), 100)

    def test_single_tasks_leave_others_their_turn(self):
        """Guards against a wide step whose call keeps the service for long."""
        self.build_engine(120)
        self.accept("wide", fx.step(96, fx.WHOLE_WORKER))
        self.assertEqual(len(self.ask(0.0).worker_ids), 30)

    def test_more_spare_workers_where_few_are_allowed(self):
        """Guards against many calls until one names an allowed worker."""
        self.build_engine(200)
        self.accept("job", fx.step(1))
        named = []
        for turn in range(4):
            request = self.ask(float(turn))
            named.append(len(request.worker_ids))
            self.answer(request, lambda i: False, turn, turn + 0.5)
        self.assertEqual(named[0], 2)
        self.assertEqual(named, sorted(named))
        self.assertGreater(named[-1], 12)

    def test_step_whose_workers_are_denied_gives_others_a_turn(self):
        """Guards against a step at the head that asks about a whole fleet."""
        self.build_engine(200)
        self.accept("denied", fx.step(1), priority=0)
        self.accept("other", fx.step(1), priority=2)
        request = self.ask(0.0)
        self.assertEqual(request.workflow_id, "denied")
        self.answer(request, lambda i: False, 0.0, 0.5)
        self.assertEqual(self.ask(0.51).workflow_id, "other")

    def test_spare_workers_take_the_place_of_denied_ones(self):
        """Guards against a second call about a gang for one denied worker."""
        self.build_engine(16)
        self.accept("gang", fx.step(12, fx.WHOLE_WORKER, gang=True))
        request = self.ask(0.0)
        self.accept("soon", fx.step(1), stretch=1.5, latency_s=0.0)
        denied = request.worker_ids[0]
        self.answer(request, lambda i: i != denied, 0.0, 0.9)
        # The request has named 12 workers and 4 spare ones.
        self.assertEqual(len(request.worker_ids), 16)
        starts = fx.starts(self.engine.plan(0.9, 0.9))
        self.assertEqual({s.key.workflow_id for s in starts}, {"gang"})

    def test_gang_goes_on_before_others_of_its_rank(self):
        """Guards against permits of a gang that expire between its calls."""
        self.build_engine(40)
        self.accept("gang", fx.step(20, fx.WHOLE_WORKER, gang=True))
        request = self.ask(0.0)
        self.accept("soon", fx.step(1), stretch=1.5, latency_s=0.0)
        half = set(request.worker_ids[::2])
        self.answer(request, lambda i: i in half, 0.0, 1.0)
        self.assertEqual(self.ask(1.0).workflow_id, "gang")

    def test_urgent_step_goes_before_a_gang(self):
        """Guards against urgent work that waits for a patient gang."""
        self.build_engine(40)
        self.accept("gang", fx.step(20, fx.WHOLE_WORKER, gang=True))
        request = self.ask(0.0)
        self.accept("urgent", fx.step(1), priority=0)
        half = set(request.worker_ids[::2])
        self.answer(request, lambda i: i in half, 0.0, 1.0)
        self.assertEqual(self.ask(1.0).workflow_id, "urgent")

    def test_permits_that_would_expire_are_renewed_with_the_others(self):
        """Guards against a gang whose permits never hold at one time."""
        self.build_engine(20, AdviceTimes(0.4, 0.1, 3.0))
        self.accept("gang", fx.step(20, fx.WHOLE_WORKER, gang=True))
        request = self.ask(0.0)
        late = request.worker_ids[-1]
        self.engine.set_worker(fx.worker(late, process_started_ms=2), 0.1)
        self.answer(request, lambda i: True, 0.0, 2.35)
        request = self.ask(2.36)
        self.assertEqual(len(request.worker_ids), 20)

    def test_workers_known_to_be_allowed_are_asked_again(self):
        """Guards against requests that ignore what is known of a step."""
        self.build_engine(24)
        self.accept("gang", fx.step(4, fx.WHOLE_WORKER, gang=True))
        request = self.ask(0.0)
        self.answer(request, lambda i: True, 0.0, 0.6)
        again = self.ask(10.0)
        self.assertLessEqual(set(again.worker_ids), set(request.worker_ids))
        self.assertEqual(len(again.worker_ids), 4)

    def test_worker_known_to_be_allowed_is_preferred_to_a_better_fit(self):
        """Guards against calls about ever new workers."""
        self.build_engine(5)
        self.engine.set_worker(fx.worker("x", labels=frozenset({"x"})), 0.0)
        self.accept("job", fx.step(1))
        request = self.ask(0.0)
        plain = fx.workflow("plain", fx.step(1, worker_label="x"))
        self.engine.accept(plain, 0.1)
        self.engine.plan(0.1, 0.1)
        self.answer(request, lambda i: True, 0.0, 0.5)
        request = self.ask(10.0)
        self.assertEqual(self.engine.workers_by_id["x"].idle.accelerators, 7)
        self.assertNotIn("x", request.worker_ids)

    def test_suspect_starts_where_it_has_a_permit(self):
        """Guards against a suspect that asks about each best worker anew."""
        self.build_engine(3)
        self.accept("job", fx.step(1))
        request = self.ask(0.0)
        crashed = request.worker_ids[0]
        self.answer(request, lambda i: i == crashed, 0.0, 0.1)
        fx.confirm(self.engine, self.engine.plan(0.1, 0.1), 0.1)
        self.engine.worker_restarted(crashed, 0.2)
        self.engine.interrupt_worker(crashed, 0.2, "crashed")
        request = self.ask(30.0)
        (asked,) = request.worker_ids
        self.engine.accept(fx.workflow("plain", fx.step(1), priority=2), 30.1)
        (plain,) = fx.starts(effects := self.engine.plan(30.1, 30.1))
        self.assertEqual(plain.worker_id, asked)
        fx.confirm(self.engine, effects, 30.1)
        self.engine.report(asked, [fx.running(plain)], 30.8)
        self.answer(request, lambda i: True, 30.0, 30.8)
        (start,) = fx.starts(self.engine.plan(30.9, 30.9))
        self.assertEqual((start.key.workflow_id, start.worker_id), ("job", asked))

    def test_gang_waits_for_the_permits_of_one_rack(self):
        """Guards against a gang that is slow because a few workers are denied.

        The permitted workers lie in two racks, of which one has further
        workers that were not named yet.
        """
        self.build_engine(12)
        gang = fx.step(4, fx.WHOLE_WORKER, gang=True, same_rack=True)
        self.accept("gang", gang)
        allowed = {"w000", "w001", *(f"w{i:03}" for i in range(6, 12))}
        self.answer(self.ask(0.0), lambda i: i in allowed, 0.0, 0.6)
        effects = self.engine.plan(0.6, 0.6)
        self.assertEqual(fx.starts(effects), [])
        (request,) = requests(effects)
        self.answer(request, lambda i: i in allowed, 0.6, 1.1)
        starts = fx.starts(self.engine.plan(1.1, 1.1))
        self.assertEqual({int(s.worker_id[1:]) // 6 for s in starts}, {1})


class TicketUseTests(unittest.TestCase):
    """When tickets are used."""

    def setUp(self):
        self.engine = fx.engine(fx.worker("w1"))
        self.engine.configure(QueuePolicies(0, {}, {"queue": TIMES}), {})
        self.engine.accept(advised(fx.workflow()), 0.0)
        (self.request,) = requests(self.engine.plan(0.0, 0.0))

    def answer(self, received_at, valid_s=3.0, sent_at=0.0):
        tickets = Tickets(allow(self.request), valid_s, sent_at, received_at)
        return self.engine.record_advice(self.request, tickets, received_at)

    def starts_at(self, now):
        return bool(fx.starts(self.engine.plan(now, now)))

    def test_call_is_expected_to_take_the_configured_time(self):
        """Guards against a time limit below the time of a long call."""
        self.assertEqual(self.request.call_s, TIMES.call_s(1))

    def test_validity_counts_from_the_sending(self):
        """Guards against starts with a ticket that was issued early."""
        self.answer(1.0)
        self.assertFalse(self.starts_at(PLANNED_TICKET_SHARE * 3.0))
        self.assertEqual(self.answer(1.0), "received")
        self.assertTrue(self.starts_at(PLANNED_TICKET_SHARE * 3.0 - 0.01))

    def test_validity_below_the_time_of_a_call(self):
        """Guards against tickets that always count as expired on arrival."""
        self.assertEqual(self.answer(0.43, valid_s=0.3), "received")
        self.assertTrue(self.starts_at(0.45))

    def test_reply_that_was_handled_late(self):
        """Guards against a paused process that uses an expired ticket."""
        self.assertEqual(self.answer(9.0), "outdated")
        self.assertFalse(self.starts_at(9.0))

    def test_validity_of_the_configuration(self):
        """Guards against a reply that does not say how long it holds."""
        self.assertEqual(self.answer(0.5, valid_s=0.0), "received")
        self.assertTrue(self.starts_at(0.6))

    def test_start_names_the_end_of_its_ticket(self):
        """Guards against attempts of a start that the worker must reject."""
        self.answer(0.5)
        (start,) = fx.starts(self.engine.plan(0.6, 0.6))
        self.assertLess(start.ticket_until, 3.0)
        self.assertGreater(start.ticket_until, PLANNED_TICKET_SHARE * 3.0)

    def test_rejected_ticket_delays_the_next_request(self):
        """Guards against a worker's rejections that occupy the service."""
        now = 0.5
        delays_s = []
        for _ in range(4):
            self.answer(now, sent_at=now)
            (start,) = fx.starts(self.engine.plan(now, now))
            self.engine.start_rejected(start.key, start.run, "permit", now)
            rejected_at = now
            while not (found := requests(self.engine.plan(now, now))):
                now += 0.05
            (self.request,) = found
            delays_s.append(round(now - rejected_at, 2))
        self.assertEqual(delays_s, sorted(delays_s))
        self.assertGreater(delays_s[-1], delays_s[0])

    def test_reply_about_an_unknown_job(self):
        """Guards against a reply that comes after its job was removed."""
        request = self.request._replace(workflow_id="unknown")
        self.assertEqual(self.engine.record_advice(request, None, 1.0), "not_needed")


class PendingService(AdviceService):
    """Replies when the test says so.

    Attributes:
        calls: Steps and replies of all calls.
    """

    def __init__(self):
        self.calls = []

    async def ask(self, step, worker_ids, timeout_s):
        reply = Deferred()
        self.calls.append((step.workflow_id, reply))
        return await reply


class AdvisorTests(unittest.TestCase):
    """The actor that sends requests to the service."""

    def setUp(self):
        self.clock = Clock()
        system = ActorSystem(self.clock)
        self.coordinator = Recording(system, COORDINATOR, {AdviceGiven: None})
        self.service = PendingService()
        self.advisor = Advisor(system, self.service)

    def request(self, job):
        self.advisor.system.tell(
            self.advisor.name, AskAdvice(job, 0, 0, ("w1",), (1,), 0.5)
        )
        self.clock.advance(0.01)

    def called(self):
        return [job for job, _ in self.service.calls]

    def reply(self, result):
        _, reply = self.service.calls[-1]
        if isinstance(result, Exception):
            reply.errback(result)
        else:
            reply.callback(result)
        self.clock.advance(0.01)

    def outcomes(self):
        return [
            (given.request.workflow_id, given.tickets is not None)
            for given in self.coordinator.received
        ]

    def test_request_during_a_call_waits(self):
        """Guards against a call of a new term that waits in the service."""
        self.request("a")
        self.request("b")
        self.assertEqual(self.called(), ["a"])
        self.reply(Advice({}, 3.0))
        self.assertEqual(self.called(), ["a", "b"])
        self.assertEqual(self.outcomes(), [("a", True)])

    def test_newest_request_is_sent_next(self):
        """Guards against requests of former terms that delay the present."""
        for job in ("a", "b", "c"):
            self.request(job)
        self.reply(Advice({}, 3.0))
        self.assertEqual(self.called(), ["a", "c"])
        self.assertEqual(self.outcomes(), [("b", False), ("a", True)])

    def test_failed_calls_are_reported(self):
        """Guards against a call whose error ends all later ones."""
        errors = [
            UnavailableError("down"),
            OverloadedError("429", retry_after_s=0.5),
            KeyError("unexpected"),
        ]
        for number, error in enumerate(errors):
            with self.subTest(error=error):
                if isinstance(error, KeyError):
                    with self.assertLogs("redwingrudder", "ERROR"):
                        self.request(f"job{number}")
                        self.reply(error)
                else:
                    self.request(f"job{number}")
                    self.reply(error)
                self.clock.advance(0.5)
                self.clock.advance(0.01)
                self.assertEqual(self.outcomes()[-1], (f"job{number}", False))

    def test_no_service(self):
        """Guards against a request without an outcome."""
        system = ActorSystem(self.clock)
        coordinator = Recording(system, COORDINATOR, {AdviceGiven: None})
        request = AskAdvice("a", 0, 0, (), ())
        system.tell(Advisor(system, None).name, request)
        for _ in range(3):
            self.clock.advance(0.5)
        self.assertEqual(coordinator.received, [AdviceGiven(request, None)])


if __name__ == "__main__":
    unittest.main()

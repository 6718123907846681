"""Calls that are written later than they were decided.

The process was paused, or the connection took long to open.
"""

import json
import math
import unittest

from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from redwingrudder._http_client import HttpClient
from redwingrudder.actors import ActorSystem
from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    LEADERSHIP,
    WorkerTimes,
)
from redwingrudder.coordination.messages import (
    Fenced,
    StartSettled,
    ThrottleUnanswered,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.worker_session import WorkerSession
from redwingrudder.exceptions import OutcomeUnknownError, UnavailableError
from redwingrudder.platform.http_client import JsonClient
from redwingrudder.platform.machines import PlatformMachines
from redwingrudder.platform.workers import PlatformChannels
from redwingrudder.timers import TimerService
from redwingrudder.workflows.model import StartRun, StopRun, ThrottleRun
from redwingrudder.workflows.run_table import START_ATTEMPTS_S

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, outcome, run_for
from .late_call_case import KEY, NO_ROOM, ROOM, LateCallCase

LEASE_S = 6.0
PAUSE_S = 5.0
TIMEOUT_S = 0.4
CONTENT = b'{"content":1}'


def pause_process(reactor, seconds=PAUSE_S):
    """Advance the clock without running timers.

    After a pause, events of connections may be handled before timers.
    """
    reactor.rightNow += seconds


class Connections:
    """Connections that a client opens, in their order."""

    def __init__(self, reactor):
        self._reactor = reactor
        self._protocols = []
        self.transports = []

    def accept_next(self):
        """Establish the next connection; returns its transport."""
        factory = self._reactor.tcpClients[len(self.transports)][2]
        transport = StringTransport()
        self.transports.append(transport)
        self._protocols.append(factory.buildProtocol(None))
        self._protocols[-1].makeConnection(transport)
        return transport

    def reply(self, index, document):
        """Reply to the request that was written on a connection."""
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transports[index].clear()
        self._protocols[index].dataReceived(head.encode() + body)


class HttpClientTests(unittest.TestCase):
    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.connections = Connections(self.reactor)
        self.client = HttpClient(self.reactor, 2, 0.5, 20.0)
        self.allowed = True

    def send(self):
        call = self.client.send(
            "POST",
            "http://10.0.0.9:80/order",
            CONTENT,
            TIMEOUT_S,
            may_send=lambda: self.allowed,
        )
        return ensureDeferred(call)

    def assert_not_sent(self, call, transport):
        """Check that no complete request was sent, and that this is known.

        An aborted connection does not send what it has buffered.
        """
        self.assertNotIn(CONTENT, transport.value())
        self.assertTrue(transport.disconnected)
        error = outcome(call)
        self.assertIsInstance(error, UnavailableError)
        self.assertNotIsInstance(error, OutcomeUnknownError)

    def test_body_is_written_when_the_connection_stands(self):
        """Guards against requests that are never written."""
        call = self.send()
        transport = self.connections.accept_next()
        self.assertTrue(transport.value().endswith(b"\r\n\r\n" + CONTENT))
        self.connections.reply(0, {})
        self.assertEqual(outcome(call).status, 200)

    def test_condition_is_checked_when_the_connection_stands(self):
        """Guards against an order that nobody may send any more."""
        call = self.send()
        self.allowed = False
        self.assert_not_sent(call, self.connections.accept_next())

    def test_condition_is_checked_on_a_kept_connection(self):
        """Guards against a check of new connections only."""
        first = self.send()
        self.connections.accept_next()
        self.connections.reply(0, {})
        self.assertEqual(outcome(first).status, 200)
        self.allowed = False
        self.assert_not_sent(self.send(), self.connections.transports[0])

    def test_request_is_not_written_after_its_time_limit(self):
        """Guards against a request of a process that was paused."""
        call = self.send()
        pause_process(self.reactor)
        self.assert_not_sent(call, self.connections.accept_next())

    def test_connection_that_is_not_accepted_is_no_unknown_outcome(self):
        """Guards against a request that counts as sent unconnected."""
        call = self.send()
        run_for(self.reactor, 1.0)
        error = outcome(call)
        self.assertIsInstance(error, UnavailableError)
        self.assertNotIsInstance(error, OutcomeUnknownError)


class SessionTests(unittest.TestCase):
    """A session whose calls wait for a connection."""

    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.system = ActorSystem(self.reactor)
        TimerService(self.system)
        messages = (
            WorkerPolled,
            WorkerSilent,
            WorkerLeaseLapsed,
            StartSettled,
            ThrottleUnanswered,
        )
        Recording(self.system, COORDINATOR, dict.fromkeys(messages, None))
        Recording(self.system, LEADERSHIP, {Fenced: None})
        self.authority = Authority(self.reactor.seconds, math.inf)
        self.session = WorkerSession(
            self.system,
            fx.worker("w1"),
            PlatformChannels(self.reactor).open(fx.worker("w1")),
            3,
            WorkerTimes(LEASE_S, 1.5),
            self.authority,
        )
        self.connections = Connections(self.reactor)
        self.session.start()
        run_for(self.reactor, 0.01)
        self.connections.accept_next()
        report = {"clockMs": 1, "born": 1, "running": [], "ended": []}
        self.connections.reply(0, report)
        run_for(self.reactor, 0.01)
        # Occupies the kept connection, so that each call needs a new one.
        self.session._poll_beside()
        run_for(self.reactor, 0.01)
        self.assertIn(b"/hold", self.connections.transports[0].value())

    def tell(self, message):
        """Let the session prepare a call, which waits for a connection."""
        self.system.tell(self.session.name, message)
        run_for(self.reactor, 0.05)

    def start_run(self, **changes):
        run = StartRun("w1", fx.key(), 1, "payload", "")
        self.tell(run._replace(**changes))

    def assert_not_written(self, content):
        """Establish the next connection; the call is not written on it."""
        value = self.connections.accept_next().value()
        self.assertNotIn(content, value)

    def test_start_is_written_on_a_connection_that_opens_in_time(self):
        """Guards against starts that wait for a kept connection."""
        self.start_run()
        self.assertIn(b'"runId":1', self.connections.accept_next().value())

    def test_orders_are_not_written_without_authority(self):
        """Guards against an order beside those of a successor."""
        run = ("w1", fx.key(), 1)
        orders = (
            (StartRun(*run, "payload", ""), b'"runId"'),
            (StopRun(*run), b'"runId"'),
            (ThrottleRun(*run, 50), b'"percent"'),
        )
        for order, content in orders:
            with self.subTest(order=type(order).__name__):
                self.setUp()
                self.tell(order)
                self.authority.revoke()
                self.assert_not_written(content)

    def test_start_is_not_written_after_a_stop_of_its_run(self):
        """Guards against a run that begins after it was given up."""
        self.start_run()
        self.tell(StopRun("w1", fx.key(), 1))
        self.assert_not_written(b'"spec"')

    def test_start_is_not_written_after_its_time(self):
        """Guards against a start long after an acknowledged cancellation."""
        self.start_run(send_until=self.reactor.seconds() + 0.1)
        pause_process(self.reactor, 0.1)
        self.assert_not_written(b'"spec"')

    def test_closed_session_writes_nothing(self):
        """Guards against calls that the next process of a worker gets."""
        self.start_run()
        self.session.stop()
        self.assert_not_written(b'"spec"')

    def test_poll_is_not_written_after_a_pause(self):
        """Guards against an extension of the lease of a successor's runs."""
        self.session._poll_soon()
        run_for(self.reactor, 0.05)
        self.authority.revoke()
        self.assert_not_written(b'"deadlineAtMs"')

    def test_poll_of_a_closed_session_is_not_written(self):
        """Guards against ends of a new process that are forgotten.

        The numbers of its ends begin anew.
        """
        self.session._poll_soon()
        run_for(self.reactor, 0.05)
        self.session.stop()
        self.assert_not_written(b'"observed"')


class MachineOrderTests(unittest.TestCase):
    def test_order_is_not_written_without_permission(self):
        """Guards against orders of two coordinators for one machine."""
        for move in (False, True):
            with self.subTest(move=move):
                reactor = MemoryReactorClock()
                machines = PlatformMachines(JsonClient(reactor, "10.0.0.9:80", 2))
                permission = Authority(reactor.seconds, math.inf)
                order = ("n1", 3, lambda permission=permission: permission.valid)
                call = ensureDeferred(
                    machines.move("m1", "p2", *order)
                    if move
                    else machines.begin_upkeep("m1", 7, *order)
                )
                permission.revoke()
                transport = Connections(reactor).accept_next()
                self.assertNotIn(b'"machine"', transport.value())
                self.assertIsInstance(outcome(call), UnavailableError)
                self.assertNotIsInstance(outcome(call), OutcomeUnknownError)


class CancelCheckTests(LateCallCase):
    """Starts that are sent long after the cancellations were looked at."""

    def setUp(self):
        super().setUp()
        self.register("w2", NO_ROOM)

    def first_run_starts(self):
        """Return the late starts of the run that was placed first."""
        calls = self.w1.late_calls
        runs = [call.arguments[2] for call in calls if call.name == "start"]
        return runs.count(min(runs))

    def test_start_is_not_repeated_after_a_pause(self):
        """Guards against a start more than 3 s after a cancellation."""
        self.w1.late = {"start"}
        self.submit("job", 0.1)
        self.assertEqual(self.first_run_starts(), 1)
        self.clock.advance(PAUSE_S)
        self.run_for(0.5)
        self.assertEqual(self.first_run_starts(), 1)

    def test_start_is_not_written_after_a_pause(self):
        """Guards against a start that waits for its connection meanwhile."""
        self.w1.connect_s = 0.3
        self.w1.late = {"start"}
        self.submit("job", 0.1)
        self.clock.advance(START_ATTEMPTS_S)
        self.assertEqual(self.w1.late_calls, [])
        self.run_for(3.0)
        runs = [call.arguments[2] for call in self.w1.late_calls]
        self.assertGreater(min(runs), 1001)
        self.w1.late_calls = []

    def test_start_is_written_on_a_slow_connection(self):
        """Guards against starts that a slow connection prevents for good."""
        self.w1.connect_s = 0.3
        self.register("w1", ROOM)
        self.submit("job", 1.0)
        self.assertIn(KEY, self.w1.process.runs_by_key)


if __name__ == "__main__":
    unittest.main()

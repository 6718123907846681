"""Tests of actors, mailboxes and the timer service."""

import unittest
from typing import NamedTuple
from unittest import mock

from twisted.internet.task import Clock

from redwingrudder import actors
from redwingrudder.actors import Actor, ActorSystem
from redwingrudder.exceptions import MailboxFullError, NotFoundError
from redwingrudder.timers import (
    TIMERS,
    Subscribe,
    TimerFired,
    TimerService,
    Unsubscribe,
)


class Add(NamedTuple):
    """Ask -> the new total."""

    amount: int


class Counter(Actor):
    """Adds amounts, fails on negative ones and records fired timers."""

    def __init__(self, system):
        self.total = 0
        self.fired = []
        super().__init__(system, "counter")

    def handlers(self):
        return {Add: self.add, TimerFired: self.fired.append}

    async def add(self, message):
        if message.amount < 0:
            raise ValueError(f"amount {message.amount} is negative")
        self.total += message.amount
        return self.total


class ActorTests(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.system = ActorSystem(self.clock)
        self.counter = Counter(self.system)

    def ask(self, message, address="counter"):
        outcomes = []
        self.system.ask(address, message).addBoth(outcomes.append)
        self.clock.advance(0)
        return outcomes[0]

    def test_ask_returns_the_reply_in_order(self):
        """Guards against a reply that is sent for another message."""
        self.assertEqual(self.ask(Add(2)), 2)
        self.assertEqual(self.ask(Add(3)), 5)

    def test_errors_reach_the_asker_and_the_actor_goes_on(self):
        """Guards against an actor that stops after a failed handler."""
        self.assertIsNotNone(self.ask(Add(-1)).check(ValueError))
        self.assertIsNotNone(self.ask("text").check(NotFoundError))
        self.assertIsNotNone(self.ask(Add(1), "nobody").check(NotFoundError))
        self.assertEqual(self.ask(Add(1)), 1)

    def test_full_mailbox_refuses_and_loses_nothing_accepted(self):
        """Guards against an unbounded mailbox and lost messages."""
        with mock.patch.object(actors, "MAILBOX_LIMIT", 3):
            for _ in range(3):
                self.system.tell("counter", Add(1))
            with self.assertRaises(MailboxFullError):
                self.system.tell("counter", Add(1))
        self.clock.advance(0)
        self.assertEqual(self.counter.total, 3)

    def test_timers_repeat_until_unsubscribed(self):
        """Guards against timers that drift or fire after their end."""
        TimerService(self.system)
        self.system.tell(TIMERS, Subscribe("counter", "beat", 1.0, 2.0))
        self.system.tell(TIMERS, Subscribe("counter", "once", 2.0))
        self.clock.pump([0] + [0.5] * 11)
        self.assertEqual(
            self.counter.fired,
            [("beat", 1.0), ("once", 2.0), ("beat", 3.0), ("beat", 5.0)],
        )
        self.system.tell(TIMERS, Unsubscribe("counter", "beat"))
        self.clock.pump([0.5] * 10)
        self.assertEqual(len(self.counter.fired), 4)

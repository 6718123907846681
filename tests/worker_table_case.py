"""Base class of tests that drive a worker table without a coordinator."""

import math
import unittest

from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import COORDINATOR, LEADERSHIP
from redwingrudder.coordination.messages import (
    Fenced,
    ProcessReplaced,
    StartSettled,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.worker_table import WorkerTable
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.timers import TimerService
from redwingrudder.workflows.engine import Engine

from .coordination_fakes import Recording, node_system, run_for
from .test_worker_session import TIMES

APPLY_INTERVAL_S = 0.05


class WorkerTableCase(unittest.TestCase):
    """Has an engine and a worker table, and applies the sessions' messages.

    Attributes:
        channels_type: Class of the channel factory; it gets the clock.
        term: Term of the engine.
        leadership: Records what the sessions tell LEADERSHIP.
    """

    channels_type = None
    term = 1

    def setUp(self):
        self.clock, self.system, self.store = node_system()
        TimerService(self.system)
        self._apply_by_type = {
            WorkerPolled: lambda message: self.workers.take_report(message),
            WorkerSilent: lambda message: self.workers.set_silent(message),
            WorkerLeaseLapsed: lambda message: self.workers.set_lapsed(message),
            ProcessReplaced: lambda message: self.workers.replace_process(message),
            StartSettled: self._settle_start,
        }
        self._coordinator = Recording(
            self.system, COORDINATOR, dict.fromkeys(self._apply_by_type, None)
        )
        self.leadership = Recording(self.system, LEADERSHIP, {Fenced: None})
        self.channels = self.channels_type(self.clock)
        self.engine = Engine()
        self.engine.term = self.term
        self.workers = WorkerTable(
            self.system,
            self.engine,
            PlatformRegistry(),
            self.channels,
            TIMES,
            Authority(self.clock.seconds, math.inf),
        )

    def run_for(self, seconds):
        """Advance the clock, and do what COORDINATOR would do meanwhile."""
        for _ in range(round(seconds / APPLY_INTERVAL_S)):
            run_for(self.clock, APPLY_INTERVAL_S)
            received, self._coordinator.received = self._coordinator.received, []
            for message in received:
                self._apply_by_type[type(message)](message)
            for effect in self.engine.take_effects():
                self.workers.send(effect)

    def _settle_start(self, message):
        now, start = self.clock.seconds(), message.run
        if message.reply.accepted:
            self.engine.start_confirmed(start.key, start.run, now)
        else:
            self.engine.start_rejected(start.key, start.run, message.reply.reason, now)

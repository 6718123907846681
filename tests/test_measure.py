"""Smoke tests of the measurements at small sizes, without time bounds."""

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.trial.unittest import TestCase

from redwingrudder._measure_decisions import (
    measure_configurations,
    measure_placements,
    measure_states,
)
from redwingrudder._measure_links import measure_exchanges, measure_links
from redwingrudder._measure_members import measure_members
from redwingrudder._measure_planning import measure_planning
from redwingrudder.exceptions import BadRequestError
from redwingrudder.measure import measure


class MeasureTest(TestCase):
    """Guards against measurements that run without load or count nothing."""

    def test_decisions(self):
        """The scheduler is filled; changes are smaller than the document."""
        (state,) = measure_states(1, (24,), job_ends=5)
        self.assertGreater(state.tasks, 24 * 9)
        self.assertGreaterEqual(state.events, 5)
        (change,) = measure_configurations((8,))
        self.assertGreater(change.document_bytes, change.change_bytes)
        (placement,) = measure_placements(1, (120,))
        self.assertGreater(placement.p99_ms, 0)

    def test_planning(self):
        """Planning passes run on a fleet with more tasks than workers."""
        (row,) = measure_planning(1, (24,))
        self.assertGreater(row.running, 24)
        self.assertGreater(row.mean_ms, 0)

    def test_links_and_exchange(self):
        """Polls, exchanges and list reads happen; their bytes are counted."""
        from twisted.internet import reactor

        async def run():
            (links,) = await measure_links(reactor, (2,), 2.5)
            self.assertGreater(links.polls, 0)
            self.assertGreater(links.bytes_per_poll, 100)
            (exchange,) = await measure_exchanges(reactor, (3,), 1.5)
            self.assertGreater(exchange.owner_bytes_per_s, 0)
            self.assertGreater(exchange.bytes_per_exchange, 50)
            (members,) = await measure_members(reactor, (30,))
            self.assertGreater(members.changed_bytes, members.unchanged_bytes)

        return ensureDeferred(run())

    def test_unknown_part(self):
        """A misspelt part raises an error instead of measuring nothing."""
        measuring = Deferred.fromCoroutine(measure("plcement", 1, None))
        return self.assertFailure(measuring, BadRequestError)

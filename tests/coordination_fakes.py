"""Recording actors and helpers to run actors on a virtual clock."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from redwingrudder.actors import Actor, ActorSystem
from redwingrudder.coordination.gateways import COORDINATOR, AwaitChanges
from redwingrudder.coordination.leadership import Identity, Leadership
from redwingrudder.coordination.messages import BeginTerm, EndTerm, LeaseConfirmed
from redwingrudder.coordination.metrics import (
    METRICS,
    IncrementCounter,
    ObserveDuration,
    SetGauge,
)
from redwingrudder.exceptions import StoreUnavailableError
from redwingrudder.simulation import MemoryStore, StoreContents
from redwingrudder.timers import TimerService

STEP_S = 0.01
CALL_TIMEOUT_S = 0.4  # of the client of the platform's store


class Recording(Actor):
    """Records messages of given types; gives each type a fixed reply.

    A reply that is an exception is raised.
    """

    def __init__(self, system, name, replies_by_type):
        self.received = []
        self._replies = replies_by_type
        super().__init__(system, name)

    def handlers(self):
        return {message_type: self._record for message_type in self._replies}

    def _record(self, message):
        self.received.append(message)
        reply = self._replies[type(message)]
        if isinstance(reply, Exception):
            raise reply
        return reply


def node_system(contents=None):
    """Return a clock, an actor system that uses it and a store actor."""
    clock = Clock()
    system = ActorSystem(clock)
    Recording(
        system, METRICS, {IncrementCounter: None, ObserveDuration: None, SetGauge: None}
    )
    store = MemoryStore(system, contents or StoreContents())
    return clock, system, store


def leadership_of_one_node(system):
    """Return the leadership of a node "n1" and the recorded coordinator."""
    TimerService(system)
    handled = {BeginTerm: None, EndTerm: None, LeaseConfirmed: None}
    coordinator = Recording(system, COORDINATOR, handled)
    return Leadership(system, Identity("n1", "10.0.0.1:1", "life"), ()), coordinator


def run_for(clock, seconds, stores=()):
    """Advance the clock in steps of 10 ms; notify the stores after each."""
    for _ in range(max(int(seconds / STEP_S), 1)):
        clock.advance(STEP_S)
        for store in stores:
            store.notify()


def time_out_watches(store):
    """Let all watches fail at the time limit of the client, in vain."""

    def watch(message):
        reply = Deferred()
        error = StoreUnavailableError("no reply to the watch in time")
        limit_s = message.wait_s + CALL_TIMEOUT_S
        store.system.clock.callLater(limit_s, reply.errback, error)
        return reply

    store._handlers_by_type[AwaitChanges] = watch


def outcome(deferred):
    """Return the result or exception of a Deferred, None if it is pending."""
    results = []
    deferred.addBoth(results.append)
    if not results:
        return None
    result = results[0]
    return result.value if isinstance(result, Failure) else result

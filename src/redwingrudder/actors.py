"""Actors: tasks that own their state and sockets and talk by messages.

An actor has one bounded mailbox and handles one message at a time on the
reactor's thread. A handler may be a coroutine; while it awaits, the actor
handles further messages, so state must be consistent at each ``await``.
"""

import abc
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from .exceptions import MailboxFullError, NotFoundError, RedwingrudderError

MAILBOX_LIMIT = 10_000  # messages
MAILBOX_RETRY_AFTER_S = 1.0
MESSAGES_PER_TURN = 64  # bounds the time until sockets are served again

Message = Any
Handler = Callable[[Any], Any]

_logger = logging.getLogger(__name__)


class _Envelope(NamedTuple):
    message: Message
    reply: Deferred | None


class Actor(abc.ABC):
    """Base class of all actors.

    A subclass returns its handlers by message type. The value that a handler
    returns, or that its coroutine returns, is the reply to an ``ask``.
    """

    def __init__(self, system: "ActorSystem", name: str) -> None:
        self.system = system
        self.name = name
        self._mailbox: deque[_Envelope] = deque()
        self._turn_scheduled = False
        self._handlers_by_type = self.handlers()
        system.register(self)

    @abc.abstractmethod
    def handlers(self) -> dict[type, Handler]:
        """Return the handler of each message type that the actor accepts."""

    def start(self) -> None:
        """Open sockets and subscribe to timers.

        The system calls it once for each actor that is registered when the
        system starts. An actor created later is started by its creator.
        """

    def stop(self) -> Deferred | None:
        """Close sockets; the returned Deferred fires when all are closed."""

    def tell(self, address: str, message: Message) -> None:
        """Send a message without a reply.

        Raises:
            MailboxFullError: The mailbox of the receiver is full.
            NotFoundError: There is no actor of that name.
        """
        self.system.tell(address, message)

    def ask(self, address: str, message: Message) -> Deferred:
        """Send a message; the Deferred fires with the reply or an error."""
        return self.system.ask(address, message)

    def deliver(self, envelope: _Envelope) -> None:
        """Append a message to the mailbox; called by the actor system only.

        Raises:
            MailboxFullError: The mailbox has ``MAILBOX_LIMIT`` messages.
        """
        if len(self._mailbox) >= MAILBOX_LIMIT:
            raise MailboxFullError(
                f"mailbox of {self.name} is full with {MAILBOX_LIMIT} messages",
                retry_after_s=MAILBOX_RETRY_AFTER_S,
            )
        self._mailbox.append(envelope)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self.system.clock.callLater(0, self._take_turn)

    def _take_turn(self) -> None:
        self._turn_scheduled = False
        for _ in range(min(len(self._mailbox), MESSAGES_PER_TURN)):
            self._handle_envelope(self._mailbox.popleft())
        if self._mailbox:
            self._schedule_turn()

    def _handle_envelope(self, envelope: _Envelope) -> None:
        handler = self._handlers_by_type.get(type(envelope.message))
        if handler is None:
            outcome: Any = Failure(
                NotFoundError(
                    f"{self.name} has no handler for {type(envelope.message).__name__}"
                )
            )
        else:
            try:
                outcome = handler(envelope.message)
            except Exception:
                outcome = Failure()
        if hasattr(outcome, "__await__") and not isinstance(outcome, Deferred):
            outcome = ensureDeferred(outcome)
        self._settle_reply(envelope, outcome)

    def _settle_reply(self, envelope: _Envelope, outcome: Any) -> None:
        if isinstance(outcome, Deferred):
            outcome.addBoth(lambda result: self._settle_reply(envelope, result))
        elif envelope.reply is None:
            if isinstance(outcome, Failure):
                self._log_failure(envelope.message, outcome)
        elif not envelope.reply.called:
            envelope.reply.callback(outcome)

    def _log_failure(self, message: Message, failure: Failure) -> None:
        expected = failure.check(RedwingrudderError) is not None
        _logger.log(
            logging.WARNING if expected else logging.ERROR,
            "message handler failed",
            extra={
                "actor": self.name,
                "message_type": type(message).__name__,
                "error": str(failure.value),
                "traceback": None if expected else failure.getTraceback(),
            },
        )


class ActorSystem:
    """The actors of one process, by name.

    Args:
        clock: The reactor, or a ``twisted.internet.task.Clock`` in tests.
        unix_time: Returns the time of day in seconds since the Unix epoch.
    """

    def __init__(
        self, clock: IReactorTime, unix_time: Callable[[], float] = time.time
    ) -> None:
        self.clock = clock
        self.unix_time = unix_time
        self._actors_by_name: dict[str, Actor] = {}

    def register(self, actor: Actor) -> None:
        """Add an actor under its name.

        Raises:
            ValueError: An actor of that name is registered already.
        """
        if actor.name in self._actors_by_name:
            raise ValueError(f"actor {actor.name!r} is already registered")
        self._actors_by_name[actor.name] = actor

    def unregister(self, actor: Actor) -> None:
        """Remove an actor after its sockets are closed."""
        self._actors_by_name.pop(actor.name, None)

    def names(self) -> list[str]:
        """Return the names of all actors in the order of registration."""
        return list(self._actors_by_name)

    def start(self) -> None:
        """Start all actors in the order of registration."""
        for actor in list(self._actors_by_name.values()):
            actor.start()

    async def stop(self) -> None:
        """Stop all actors in the reverse order of registration."""
        for actor in reversed(list(self._actors_by_name.values())):
            closing = actor.stop()
            if closing is not None:
                await closing
            self.unregister(actor)

    def tell(self, address: str, message: Message) -> None:
        """Deliver a message without a reply; raises like ``Actor.tell``."""
        self._find(address).deliver(_Envelope(message, None))

    def ask(self, address: str, message: Message) -> Deferred:
        """Deliver a message and return a Deferred of the reply.

        Delivery errors are reported by the Deferred, too.
        """
        reply: Deferred = Deferred()
        try:
            self._find(address).deliver(_Envelope(message, reply))
        except RedwingrudderError:
            reply.errback(Failure())
        return reply

    def _find(self, address: str) -> Actor:
        actor = self._actors_by_name.get(address)
        if actor is None:
            raise NotFoundError(f"no actor named {address!r}", code="no_such_actor")
        return actor

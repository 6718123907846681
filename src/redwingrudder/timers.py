"""Timer service: the source of all periodic and delayed events.

Actors subscribe with ``Subscribe`` and receive ``TimerFired``. The service
does not poll: it keeps one delayed call of the reactor per subscription.
"""

from typing import NamedTuple

from .actors import Actor, ActorSystem, Handler
from .exceptions import MailboxFullError, NotFoundError

TIMERS = "timers"
FULL_MAILBOX_RETRY_S = 1.0


class Subscribe(NamedTuple):
    """Request ``TimerFired``; replaces the subscriber's timer of that name.

    Attributes:
        subscriber: Name of the actor that receives the event.
        timer: Name of the timer, unique for the subscriber.
        delay_s: Seconds until the first event.
        interval_s: Seconds between events, or 0 for a single event.
    """

    subscriber: str
    timer: str
    delay_s: float
    interval_s: float = 0.0


class Unsubscribe(NamedTuple):
    """End a subscription; ignored if there is none of that name."""

    subscriber: str
    timer: str


class TimerFired(NamedTuple):
    """Sent to the subscriber; ``now`` is the reactor's time in seconds."""

    timer: str
    now: float


class TimerService(Actor):
    """Actor that sends ``TimerFired`` to its subscribers."""

    def __init__(self, system: ActorSystem) -> None:
        self._calls_by_key: dict[tuple[str, str], object] = {}
        super().__init__(system, TIMERS)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {Subscribe: self._subscribe, Unsubscribe: self._unsubscribe}

    def stop(self) -> None:
        """Cancel all delayed calls."""
        for call in self._calls_by_key.values():
            call.cancel()
        self._calls_by_key.clear()

    def _subscribe(self, request: Subscribe) -> None:
        self._cancel((request.subscriber, request.timer))
        self._schedule(request, request.delay_s)

    def _unsubscribe(self, request: Unsubscribe) -> None:
        self._cancel((request.subscriber, request.timer))

    def _cancel(self, key: tuple[str, str]) -> None:
        call = self._calls_by_key.pop(key, None)
        if call is not None:
            call.cancel()

    def _schedule(self, request: Subscribe, delay_s: float) -> None:
        call = self.system.clock.callLater(max(delay_s, 0.0), self._fire, request)
        self._calls_by_key[request.subscriber, request.timer] = call

    def _fire(self, request: Subscribe) -> None:
        del self._calls_by_key[request.subscriber, request.timer]
        if request.interval_s > 0:
            self._schedule(request, request.interval_s)
        fired = TimerFired(request.timer, self.system.clock.seconds())
        try:
            self.tell(request.subscriber, fired)
        except MailboxFullError:
            # A periodic timer skips this event; a single event is sent later.
            if request.interval_s == 0:
                self._schedule(request, FULL_MAILBOX_RETRY_S)
        except NotFoundError:
            self._cancel((request.subscriber, request.timer))

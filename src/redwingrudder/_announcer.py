"""Messages to subscribers that must arrive, and in order."""

from collections import deque
from typing import Any

from .actors import Actor
from .exceptions import MailboxFullError
from .timers import TIMERS, Subscribe

TIMER = "announce"
RETRY_S = 0.1
QUEUE_LIMIT = 1_000  # messages per subscriber


class Announcer:
    """Tells messages to subscribers and again when a mailbox was full.

    The owning actor calls ``retry`` when the timer ``TIMER`` fires.

    Args:
        actor: The actor that sends.
        subscribers: Names of the receivers.
    """

    def __init__(self, actor: Actor, subscribers: tuple[str, ...]) -> None:
        self._actor = actor
        self._queues_by_subscriber: dict[str, deque[Any]] = {
            subscriber: deque() for subscriber in subscribers
        }

    def announce(self, message: Any) -> None:
        """Send a message to all subscribers.

        Raises:
            MailboxFullError: ``QUEUE_LIMIT`` messages wait already.
        """
        queues = self._queues_by_subscriber
        if any(len(queue) >= QUEUE_LIMIT for queue in queues.values()):
            raise MailboxFullError(f"{QUEUE_LIMIT} messages wait for a subscriber")
        for queue in queues.values():
            queue.append(message)
        self.retry()

    def retry(self) -> None:
        """Send what waits, each subscriber's messages in order."""
        for subscriber, queue in self._queues_by_subscriber.items():
            try:
                while queue:
                    self._actor.tell(subscriber, queue[0])
                    queue.popleft()
            except MailboxFullError:
                again = Subscribe(self._actor.name, TIMER, RETRY_S)
                self._actor.tell(TIMERS, again)

"""Ordered delivery of messages to subscribers with bounded mailboxes."""

from collections import deque
from typing import Any

from .actors import Actor
from .exceptions import MailboxFullError
from .timers import TIMERS, Subscribe

TIMER = "announce"
RETRY_INTERVAL_S = 0.1
MAX_QUEUED_MESSAGES = 1_000  # per subscriber


class Announcer:
    """Sends messages to subscribers and queues them while a mailbox is full.

    The sending actor must call ``retry`` when the timer ``TIMER`` fires.

    Args:
        actor: The sending actor.
        subscribers: Names of the receiving actors.
    """

    def __init__(self, actor: Actor, subscribers: tuple[str, ...]) -> None:
        self._actor = actor
        self._queues_by_subscriber: dict[str, deque[Any]] = {
            subscriber: deque() for subscriber in subscribers
        }

    def announce(self, message: Any) -> None:
        """Send a message to all subscribers.

        Raises:
            MailboxFullError: The queue of a subscriber already has
                ``MAX_QUEUED_MESSAGES``; nothing was sent.
        """
        queues = self._queues_by_subscriber
        if any(len(queue) >= MAX_QUEUED_MESSAGES for queue in queues.values()):
            raise MailboxFullError(
                f"{MAX_QUEUED_MESSAGES} messages are queued for a subscriber"
            )
        for queue in queues.values():
            queue.append(message)
        self.retry()

    def retry(self) -> None:
        """Send the queued messages, in order for each subscriber."""
        for subscriber, queue in self._queues_by_subscriber.items():
            try:
                while queue:
                    self._actor.tell(subscriber, queue[0])
                    queue.popleft()
            except MailboxFullError:
                retry_timer = Subscribe(self._actor.name, TIMER, RETRY_INTERVAL_S)
                self._actor.tell(TIMERS, retry_timer)

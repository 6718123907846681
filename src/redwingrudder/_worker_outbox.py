"""Messages that wait while the mailbox of their receiver is full."""

from collections import deque

from .actors import ActorSystem, Message
from .exceptions import MailboxFullError, NotFoundError


class Outbox:
    """Delivers messages to one actor in order and loses none.

    Its size is bounded by what a worker holds: there is one message for each
    answered command and each task that ended.
    """

    def __init__(self, system: ActorSystem, receiver: str) -> None:
        self._system = system
        self._receiver = receiver
        self._messages: deque[Message] = deque()

    def add(self, message: Message) -> None:
        """Put a message behind the others."""
        self._messages.append(message)

    def flush(self) -> bool:
        """Deliver what the mailbox takes; false when something is left."""
        try:
            while self._messages:
                self._system.tell(self._receiver, self._messages[0])
                self._messages.popleft()
        except MailboxFullError:
            return False
        except NotFoundError:
            self._messages.clear()
        return True

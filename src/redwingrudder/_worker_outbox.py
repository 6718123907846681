"""Queue of messages to an actor whose mailbox may be full."""

from collections import deque

from .actors import ActorSystem, Message
from .exceptions import MailboxFullError, NotFoundError


class Outbox:
    """Delivers messages to one actor in order, and queues them until then.

    Messages are discarded only when the receiver no longer exists. The queue
    has no limit. Its length is bounded by the number of gangs and tasks at
    one worker: there is one message for each answered command and each ended
    task.

    Args:
        system: The actors of the node.
        receiver: Name of the receiving actor.
    """

    def __init__(self, system: ActorSystem, receiver: str) -> None:
        self._system = system
        self._receiver = receiver
        self._messages: deque[Message] = deque()

    def add(self, message: Message) -> None:
        """Append a message; ``flush`` delivers it."""
        self._messages.append(message)

    def flush(self) -> bool:
        """Deliver messages until the mailbox is full; false if some remain."""
        try:
            while self._messages:
                self._system.tell(self._receiver, self._messages[0])
                self._messages.popleft()
        except MailboxFullError:
            return False
        except NotFoundError:
            self._messages.clear()
        return True

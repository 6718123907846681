"""A test actor that replies from a script."""

from redwingrudder.actors import Actor


class Scripted(Actor):
    """Records its messages and replies to each with the next scripted reply.

    Exceptions in the script are raised.

    Attributes:
        script: Replies to the next messages, in order.
        default: Reply when the script is empty.
        received: Messages received so far.
    """

    def __init__(self, system, name, message_types, default=None):
        self.message_types = message_types
        self.default = default
        self.script = []
        self.received = []
        super().__init__(system, name)

    def handlers(self):
        return dict.fromkeys(self.message_types, self._handle)

    def _handle(self, message):
        self.received.append(message)
        reply = self.script.pop(0) if self.script else self.default
        if isinstance(reply, Exception):
            raise reply
        return reply

"""An actor for tests that answers from a script."""

from redwingrudder.actors import Actor


class Scripted(Actor):
    """Keeps what it receives; answers from its script, then the default."""

    def __init__(self, system, name, kinds, default=None):
        self.kinds = kinds
        self.default = default
        self.script = []
        self.received = []
        super().__init__(system, name)

    def handlers(self):
        return dict.fromkeys(self.kinds, self._handle)

    def _handle(self, message):
        self.received.append(message)
        answer = self.script.pop(0) if self.script else self.default
        if isinstance(answer, Exception):
            raise answer
        return answer

"""Announcements to the coordinators of a simulation."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from ..coordination.messages import CancelStored, WorkflowStored

Announcement = WorkflowStored | CancelStored


class Announcements:
    """Carries announcements to nodes, each once.

    A late announcement reaches the node to which it was sent, whether or not
    that node still leads then.

    Args:
        clock: Clock of the simulation.
        deliver: Called with the index of a node and its announcement.
        log: Called with a line about each announcement that is disturbed.

    Attributes:
        lost: Announcements are lost.
        delay_s: Seconds by which announcements are late.
    """

    def __init__(
        self,
        clock: IReactorTime,
        deliver: Callable[[int, Announcement], None],
        log: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._deliver = deliver
        self._log = log
        self.lost = False
        self.delay_s = 0.0

    def send(self, index: int, message: Announcement) -> None:
        """Send an announcement to a node."""
        what = "cancellation" if isinstance(message, CancelStored) else "submission"
        name = f"announcement of the {what} of {message.workflow_id} to n{index + 1}"
        if self.lost:
            self._log(f"{name} is lost")
        elif self.delay_s:
            self._log(f"{name} is late by {self.delay_s:.1f} s")
            self._clock.callLater(self.delay_s, self._deliver, index, message)
        else:
            self._deliver(index, message)

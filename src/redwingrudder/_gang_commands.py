"""Commands for gang members; releases wait until the answer is safe."""

from collections.abc import Callable

from ._worker_roster import WorkerRoster
from .messages import ReleaseMember, ReserveMember, StartMember, StopMember
from .model import MemberState, WorkerReport


class GangCommands:
    """Sends commands to workers and holds some releases back.

    Workers keep the results of a member until it is released. The release
    of a member that was started waits while the final answer of its job is
    neither recorded nor past the retention of results.

    Args:
        roster: Passes commands to workers.
        is_pending: Whether the answer of a job exists at its workers only.
    """

    def __init__(self, roster: WorkerRoster, is_pending: Callable[[str], bool]) -> None:
        self._roster = roster
        self._is_pending = is_pending
        self._jobs_by_gang: dict[str, str] = {}
        self._gangs_by_job: dict[str, set[str]] = {}
        self._started_gangs: set[str] = set()
        self._held_by_job: dict[str, list[ReleaseMember]] = {}
        # Jobs whose start is being recorded or sent; the next owner could not
        # tell whether they ran.
        self.starting_jobs: set[str] = set()
        self._draining = False

    def drain(self) -> bool:
        """Record no further starts; returns whether one is in progress."""
        self._draining = True
        return bool(self.starting_jobs)

    def try_begin_start(self, job_id: str) -> bool:
        """Note that a start is recorded, unless the owner is leaving.

        The next owner releases a gang without a recorded start and places
        its job again.
        """
        if not self._draining:
            self.starting_jobs.add(job_id)
        return not self._draining

    def track_members(self, report: WorkerReport) -> None:
        """Remember the gangs that a worker holds."""
        for member in report.members:
            self._note_member(member.gang_id, member.job_id)
            if member.state is not MemberState.RESERVED:
                self._started_gangs.add(member.gang_id)

    def reserve(self, effect: ReserveMember) -> None:
        """Send a reservation."""
        self._note_member(effect.gang_id, effect.job_id)
        self._roster.send(effect.member.worker_id, effect)

    def start(self, effect: StartMember) -> None:
        """Send a start."""
        self._started_gangs.add(effect.gang_id)
        self._roster.send(effect.worker_id, effect)

    def stop(self, effect: StopMember) -> None:
        """Send a stop."""
        self._roster.send(effect.worker_id, effect)

    def release(self, effect: ReleaseMember) -> None:
        """Send a release, or hold it until ``release_held``."""
        job_id = self._jobs_by_gang.get(effect.gang_id, "")
        if effect.gang_id in self._started_gangs and self._is_pending(job_id):
            self._held_by_job.setdefault(job_id, []).append(effect)
        else:
            self._roster.send(effect.worker_id, effect)

    def release_held(self, job_id: str) -> None:
        """Send the held releases of a job and forget its gangs."""
        for release in self._held_by_job.pop(job_id, []):
            self._roster.send(release.worker_id, release)
        for gang_id in self._gangs_by_job.pop(job_id, ()):
            self._jobs_by_gang.pop(gang_id, None)
            self._started_gangs.discard(gang_id)

    def _note_member(self, gang_id: str, job_id: str) -> None:
        self._jobs_by_gang[gang_id] = job_id
        self._gangs_by_job.setdefault(job_id, set()).add(gang_id)

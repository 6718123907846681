"""Sends the commands for gang members, and delays some releases.

A release is delayed until the results of its job are recorded or have expired.
"""

from collections.abc import Callable

from ._worker_roster import WorkerRoster
from .messages import ReleaseMember, ReserveMember, StartMember, StopMember
from .model import MemberState, WorkerReport


class GangCommands:
    """Sends commands to the members of gangs and delays some releases.

    A worker deletes the results of a member when the member is released. The
    release of a started member is therefore held until the final answer of
    its job is recorded or the retention period of its results has ended.

    Args:
        roster: Passes the commands to the links of the workers.
        is_answer_pending: Returns for a job id whether the final answer
            exists only in this process and at the workers.

    Attributes:
        starting_jobs: Ids of the jobs whose start is being recorded or sent.
    """

    def __init__(
        self, roster: WorkerRoster, is_answer_pending: Callable[[str], bool]
    ) -> None:
        self._roster = roster
        self._is_answer_pending = is_answer_pending
        self._jobs_by_gang: dict[str, str] = {}
        self._gangs_by_job: dict[str, set[str]] = {}
        self._started_gangs: set[str] = set()
        self._held_releases_by_job: dict[str, list[ReleaseMember]] = {}
        # If this node stopped now, the next owner could not know whether these
        # jobs ran.
        self.starting_jobs: set[str] = set()
        self._draining = False

    def drain(self) -> bool:
        """Refuse further starts; returns whether any start is in progress."""
        self._draining = True
        return bool(self.starting_jobs)

    def try_begin_start(self, job_id: str) -> bool:
        """Mark a job as starting; returns false while the owner drains.

        A start that is refused here is not recorded. The next owner then
        releases the gang and places its job again.
        """
        if not self._draining:
            self.starting_jobs.add(job_id)
        return not self._draining

    def track_members(self, report: WorkerReport) -> None:
        """Add the gangs that a claimed worker reports."""
        for member in report.members:
            self._track_member(member.gang_id, member.job_id)
            if member.state is not MemberState.RESERVED:
                self._started_gangs.add(member.gang_id)

    def reserve(self, effect: ReserveMember) -> None:
        """Send the reservation of a member."""
        self._track_member(effect.gang_id, effect.job_id)
        self._roster.send(effect.member.worker_id, effect)

    def start(self, effect: StartMember) -> None:
        """Send the start of a member; its releases may be held from now on."""
        self._started_gangs.add(effect.gang_id)
        self._roster.send(effect.worker_id, effect)

    def stop(self, effect: StopMember) -> None:
        """Send the stop of a member."""
        self._roster.send(effect.worker_id, effect)

    def release(self, effect: ReleaseMember) -> None:
        """Send the release of a member, or hold it until ``release_held``."""
        job_id = self._jobs_by_gang.get(effect.gang_id, "")
        if effect.gang_id in self._started_gangs and self._is_answer_pending(job_id):
            self._held_releases_by_job.setdefault(job_id, []).append(effect)
        else:
            self._roster.send(effect.worker_id, effect)

    def release_held(self, job_id: str) -> None:
        """Send the held releases of a job and stop tracking its gangs."""
        for release in self._held_releases_by_job.pop(job_id, []):
            self._roster.send(release.worker_id, release)
        for gang_id in self._gangs_by_job.pop(job_id, ()):
            self._jobs_by_gang.pop(gang_id, None)
            self._started_gangs.discard(gang_id)

    def _track_member(self, gang_id: str, job_id: str) -> None:
        self._jobs_by_gang[gang_id] = job_id
        self._gangs_by_job.setdefault(job_id, set()).add(gang_id)

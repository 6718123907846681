"""Holds releases back until the answer of their job is safe."""

from collections.abc import Callable

from .messages import ReleaseMember


class ReleaseGate:
    """Workers keep the results of a member until it is released.

    The release of a member that was started waits while the final answer of
    its job is neither recorded nor past the retention of results.

    Args:
        is_pending: Whether the answer of a job exists at its workers only.
    """

    def __init__(self, is_pending: Callable[[str], bool]) -> None:
        self._is_pending = is_pending
        self._jobs_by_gang: dict[str, str] = {}
        self._gangs_by_job: dict[str, set[str]] = {}
        self._started_gangs: set[str] = set()
        self._held_by_job: dict[str, list[ReleaseMember]] = {}

    def note_member(self, gang_id: str, job_id: str) -> None:
        """Remember the job of a gang."""
        self._jobs_by_gang[gang_id] = job_id
        self._gangs_by_job.setdefault(job_id, set()).add(gang_id)

    def note_started(self, gang_id: str) -> None:
        """Remember that a start was sent for a gang."""
        self._started_gangs.add(gang_id)

    def admit(self, release: ReleaseMember) -> bool:
        """Return whether to send a release now; otherwise it is held."""
        job_id = self._jobs_by_gang.get(release.gang_id, "")
        started = release.gang_id in self._started_gangs
        if not started or not self._is_pending(job_id):
            return True
        self._held_by_job.setdefault(job_id, []).append(release)
        return False

    def open(self, job_id: str) -> list[ReleaseMember]:
        """Return the held releases of a job and forget its gangs."""
        for gang_id in self._gangs_by_job.pop(job_id, ()):
            self._jobs_by_gang.pop(gang_id, None)
            self._started_gangs.discard(gang_id)
        return self._held_by_job.pop(job_id, [])

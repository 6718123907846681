"""Fake worker that follows the protocol of ``worker_api``, for tests."""

from redwingrudder import messages as m
from redwingrudder.model import (
    MemberReport,
    MemberState,
    TaskResult,
    WorkerInfo,
    WorkerReport,
)

DOMAIN = "bangkok-1"


def make_worker(index):
    rack = f"r{index // 2}"
    return WorkerInfo(f"w{index}", f"10.0.0.{index}:1", DOMAIN, rack, 4, 8, 64, 1000)


class FakeWorker:
    """Fake worker that holds gang members and answers commands.

    Attributes:
        restart_count: Part of the boot id, which changes with each restart.
        members: Reports of the members held, by gang id.
        commands: Commands that have been sent and not executed yet.
    """

    def __init__(self, info):
        self.info = info
        self.restart_count = 0
        self.draining = False
        self.members = {}
        self.started_gangs = set()
        self.commands = []

    def restart(self):
        self.restart_count += 1
        self.draining = False
        self.members.clear()
        self.started_gangs.clear()
        self.commands.clear()

    def report(self):
        boot_id = f"{self.info.worker_id}.{self.restart_count}"
        members = tuple(self.members.values())
        return WorkerReport(self.info, boot_id, self.draining, members)

    def held_accelerators(self):
        return {
            accelerator
            for member in self.members.values()
            if member.state is not MemberState.ENDED
            for accelerator in member.placement.accelerators
        }

    def execute(self, command):
        """Execute a command and return the event that answers it, if any."""
        gang_id, worker_id = command.gang_id, self.info.worker_id
        member = self.members.get(gang_id)
        if isinstance(command, m.ReserveMember):
            code = self._reserve(command)
            return m.ReserveAnswered(gang_id, worker_id, not code, code)
        if isinstance(command, m.StartMember):
            code = "" if member else "unknown_gang"
            if member and member.state is not MemberState.RESERVED:
                code = "already_started"
            elif member:
                started = member._replace(state=MemberState.STARTED)
                self.members[gang_id] = started
                self.started_gangs.add(gang_id)
            return m.StartAnswered(gang_id, worker_id, not code, code)
        if isinstance(command, m.ReleaseMember):
            if member and member.state is MemberState.STARTED:
                raise AssertionError(f"running member of {gang_id} was released")
            self.members.pop(gang_id, None)
            return m.ReleaseAnswered(gang_id, worker_id)
        return None

    def _reserve(self, command):
        if self.draining:
            return "draining"
        already_held = self.held_accelerators() & set(command.member.accelerators)
        assert not already_held, f"accelerators {already_held} were reserved twice"
        self.members[command.gang_id] = MemberReport(
            command.gang_id,
            command.job_id,
            command.spec,
            command.submitted_at,
            command.member,
            command.gang_members,
            MemberState.RESERVED,
            (),
        )
        return ""

    def end_task(self, gang_id, task, outcome):
        member = self.members.get(gang_id)
        if member is None or member.state is not MemberState.STARTED:
            return None
        if any(result.task_index == task for result in member.results):
            return None
        result = TaskResult(task, outcome, f"{gang_id}:{task}")
        results = (*member.results, result)
        all_ended = len(results) == len(member.placement.tasks)
        state = MemberState.ENDED if all_ended else MemberState.STARTED
        self.members[gang_id] = member._replace(results=results, state=state)
        return m.TaskEnded(gang_id, self.info.worker_id, result)

"""A small failure domain that property tests change by generated steps."""

import contextlib
import random

from hypothesis import settings
from hypothesis import strategies as st

from redwingrudder._placement import BestFitPlacement
from redwingrudder.exceptions import ConflictError, NotFoundError, UnprocessableError
from redwingrudder.fleet import Fleet
from redwingrudder.guarantees import CellTable, plan_cells
from redwingrudder.model import (
    Configuration,
    JobSpec,
    MemberPlacement,
    Organisation,
    Shape,
    WorkerInfo,
)

HYPOTHESIS_SETTINGS = settings(derandomize=True, max_examples=60, deadline=None)
SHAPES = (Shape(1, 2), Shape(2, 1), Shape(3, 2), Shape(4, 1), Shape(8, 1), Shape(12, 1))
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("place", "place", "place", "place", "release", "lose", "return")
            + ("drain", "quarantine", "configure", "report")
        ),
        st.integers(0, 2**32),
    ),
    max_size=40,
)


def make_spec(
    organisation="a",
    tasks=1,
    per_task=1,
    borrower=False,
    cores=1,
    memory_mb=1,
    stop_bound_s=2.0,
):
    return JobSpec(
        organisation,
        *("class", "caller", "key"),
        *(tasks, per_task, cores, memory_mb, borrower, borrower),
        *(10.0, stop_bound_s, ""),
    )


def make_workers(count=8, per_rack=4, accelerators=4, slots=4, domain="d0"):
    return tuple(
        WorkerInfo(
            *(f"{domain}w{i}", "", domain, f"{domain}r{i // per_rack}"),
            *(accelerators, slots, accelerators * 4, accelerators * 10),
        )
        for i in range(count)
    )


def make_configuration(guarantees, workers, cells=()):
    organisations = {
        name: Organisation(name, tuple(shapes)) for name, shapes in guarantees.items()
    }
    configuration = Configuration(1, organisations, {}, tuple(cells))
    return configuration._replace(cells=plan_cells(configuration, workers))


class SimulatedDomain:
    """A domain whose cells are reassigned after each change of its workers.

    Cells are also reassigned after a change of the configuration and after a
    worker has reported a member.
    """

    def __init__(self, guarantees, workers=None, policy=None):
        self.workers = workers or make_workers()
        self.policy = policy or BestFitPlacement()
        self.fleet = Fleet()
        self.cell_table = CellTable()
        self.configuration = make_configuration(guarantees, self.workers)
        self.now = 0.0
        self.last_gang_number = 0
        for info in self.workers:
            self.fleet.add_worker(info, "boot", draining=False)
        self.assign()

    def assign(self):
        self.now += 1.0
        self.cell_table.assign(self.configuration, "d0", self.fleet, self.now)

    def place(self, spec):
        placement = self.policy.place(spec, self.fleet, self.cell_table)
        return self.hold(spec, placement) if placement else None

    def hold(self, spec, placement):
        self.last_gang_number += 1
        gang_id = f"g{self.last_gang_number:05}"
        self.fleet.hold(gang_id, spec, placement)
        return gang_id

    def release(self, gang_id):
        for worker_id in list(self.fleet.gangs_by_id[gang_id].members_by_worker):
            self.fleet.release_member(gang_id, worker_id)

    def apply_step(self, name, seed):
        rng = random.Random(seed)
        info = rng.choice(self.workers)
        if name == "place":
            self.place(random_spec(rng))
            return
        if name == "release":
            if self.fleet.gangs_by_id:
                self.release(rng.choice(list(self.fleet.gangs_by_id)))
            return
        if name == "lose":
            self.fleet.remove_worker(info.worker_id)
        elif name == "return":
            self.fleet.add_worker(info, "boot2", draining=False)
        elif name == "drain":
            self.fleet.set_draining(info.worker_id)
        elif name == "report":
            self.report_member(info, rng)
        elif name == "quarantine":
            self.fleet.set_quarantined(info.worker_id, rng.random() < 0.5)
        else:
            self.reconfigure(rng)
        self.assign()

    def report_member(self, info, rng):
        """Hold a member that a worker reported, regardless of the cells."""
        spec = random_spec(rng)
        per_task = spec.accelerators_per_task
        tasks = rng.randint(1, spec.tasks)
        first = rng.randrange(2)
        accelerators = tuple(range(first, first + tasks * per_task))
        member = MemberPlacement(info.worker_id, accelerators, tuple(range(tasks)))
        self.last_gang_number += 1
        with contextlib.suppress(ConflictError, NotFoundError):
            self.fleet.hold_member(f"g{self.last_gang_number:05}", spec, member)

    def reconfigure(self, rng):
        guarantees = {
            name: rng.sample(SHAPES, rng.randrange(3)) for name in ("a", "b", "c")
        }
        try:
            self.configuration = make_configuration(
                guarantees, self.workers, self.configuration.cells
            )
        except UnprocessableError:
            return


def random_spec(rng):
    per_task = rng.choice((0, 1, 1, 1, 2, 3))
    spec = make_spec(
        rng.choice("abcd"),
        rng.choice((1, 1, 2, 3, 4, 6, 12)),
        per_task,
        rng.random() < 0.5,
        rng.choice((1, 2, 4, 7)),
        rng.choice((0, 1, 10, 25)),
        rng.choice((1.0, 2.0, 2.1)),
    )
    return spec._replace(preemptible=spec.idempotent and rng.random() < 0.8)

"""Machines as the platform lists them."""

import enum
from typing import NamedTuple

from .model import NO_RESOURCES, Resources


class MachineState(enum.StrEnum):
    """State of a machine, as reported by the platform."""

    UP = "up"
    CHANGING = "changing"
    DOWN = "down"


class Machine(NamedTuple):
    """A machine as listed by the platform.

    Attributes:
        machine_id: Id of the machine.
        state: Reported state.
        worker_id: Worker that currently runs on the machine, "" if none does.
        pool: Pool to which the machine belongs.
        labels: All labels of the machine.
        kind: Kind of the machine, "" if unknown. The machines of a pool are
            of the kinds that its work can use.
        capacity: Total resources of the machine.
    """

    machine_id: str
    state: MachineState
    worker_id: str
    pool: str = ""
    labels: frozenset[str] = frozenset()
    kind: str = ""
    capacity: Resources = NO_RESOURCES

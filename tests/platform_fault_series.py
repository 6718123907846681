"""Series of faults that overlap, for the soak test."""

import abc
import signal
import time

MAX_FAULTS = 5  # of one series
SERIES_S = 1.5  # from the first to the last fault of a series
SECOND_SIGTERM_PROBABILITY = 0.5
# While calls to a worker are carried out late.
COORDINATOR_KILL_PROBABILITY = 0.5
WORKER_RESTART_PROBABILITY = 0.7


class Fault(abc.ABC):
    """A fault that is injected for a while.

    Args:
        deployment: The processes.
        draws: Random generator.
    """

    longest_s = 3.0

    def __init__(self, deployment, draws):
        self.deployment = deployment
        self.draws = draws
        self.node = draws.randrange(deployment.node_count)
        self.worker = draws.randrange(deployment.worker_count)

    @abc.abstractmethod
    def begin(self):
        """Inject the fault."""

    def end(self):
        """End the fault; by default it has no end."""

    def set_worker_mode(self, mode):
        self.deployment.control({"workers": {str(self.worker): mode}})


class NodeKill(Fault):
    """A node is killed; it is restarted as soon as it is gone."""

    def begin(self):
        self.deployment.signal(self.node, signal.SIGKILL)


class CoordinatorKill(Fault):
    """The coordinator is killed."""

    def begin(self):
        node = self.deployment.coordinator_index()
        if node is not None:
            self.deployment.signal(node, signal.SIGKILL)


class NodeTermination(Fault):
    """A node gets SIGTERM, and sometimes another one before it is gone."""

    longest_s = 2.5

    def begin(self):
        self.deployment.signal(self.node, signal.SIGTERM)

    def end(self):
        repeated = self.draws.random() < SECOND_SIGTERM_PROBABILITY
        if repeated and self.deployment.is_terminating(self.node):
            self.deployment.signal(self.node, signal.SIGTERM)


class CoordinatorTermination(Fault):
    """The coordinator gets SIGTERM and hands its work over."""

    def begin(self):
        node = self.deployment.coordinator_index()
        if node is not None:
            self.deployment.signal(node, signal.SIGTERM)


class NodePause(Fault):
    """A node is paused."""

    longest_s = 4.0

    def begin(self):
        self.deployment.signal(self.node, signal.SIGSTOP)

    def end(self):
        self.deployment.signal(self.node, signal.SIGCONT)


class ReloadSignals(Fault):
    """All nodes get SIGHUP, twice."""

    longest_s = 0.3

    def begin(self):
        for index in range(self.deployment.node_count):
            self.deployment.signal(index, signal.SIGHUP)

    def end(self):
        self.begin()


class ConfigurationChange(Fault):
    """Two versions of the configuration follow each other."""

    longest_s = 1.0

    def begin(self):
        self.deployment.change_configuration()

    def end(self):
        self.deployment.change_configuration()


class StoreFault(Fault):
    """The store is down, silent, slow or lossy."""

    def begin(self):
        mode = self.draws.choice(("down", "silent", "slow", "lossy"))
        self.deployment.control({"store": mode})

    def end(self):
        self.deployment.control({"store": "up"})


class WorkerSilence(Fault):
    """A worker does not reply."""

    longest_s = 2.0

    def begin(self):
        self.set_worker_mode("silent")

    def end(self):
        self.set_worker_mode("up")


class WorkerCrash(Fault):
    """A worker loses all state and restarts under its id."""

    def begin(self):
        self.set_worker_mode("crash")


class LateCalls(Fault):
    """A worker restarts while calls to it are carried out late.

    The calls of a coordinator that was killed reach the next process too.
    """

    def begin(self):
        self.set_worker_mode("late_calls")

    def end(self):
        if self.draws.random() < COORDINATOR_KILL_PROBABILITY:
            CoordinatorKill(self.deployment, self.draws).begin()
        if self.draws.random() < WORKER_RESTART_PROBABILITY:
            self.set_worker_mode("crash")
        self.set_worker_mode("up")


class LinkFault(Fault):
    """Data on one link is delayed, dropped or cut off."""

    longest_s = 4.0

    def __init__(self, deployment, draws):
        super().__init__(deployment, draws)
        ports = deployment.store_proxy_ports + deployment.worker_proxy_ports
        self.port = draws.choice(ports)

    def begin(self):
        mode = self.draws.choice(("delay", "cut", "one_way", "reset", "mute"))
        self.deployment.set_link_mode(self.port, mode)

    def end(self):
        self.deployment.set_link_mode(self.port, "up")


FAULTS = (
    NodeKill,
    CoordinatorKill,
    NodeTermination,
    NodeTermination,
    CoordinatorTermination,
    NodePause,
    ReloadSignals,
    ConfigurationChange,
    StoreFault,
    WorkerSilence,
    WorkerCrash,
    LateCalls,
    LateCalls,
    LinkFault,
    LinkFault,
)


class FaultSeries:
    """Begins and ends faults when they are due.

    Args:
        deployment: The processes.
        draws: Random generator.
    """

    def __init__(self, deployment, draws):
        self._deployment = deployment
        self._draws = draws
        # Pairs of time, in seconds of the monotonic clock, and action.
        self._actions = []

    def begin(self):
        """Plan a series of faults."""
        now = time.monotonic()
        for _ in range(self._draws.randint(2, MAX_FAULTS)):
            kind = self._draws.choice(FAULTS)
            fault = kind(self._deployment, self._draws)
            begins_at = now + self._draws.uniform(0, SERIES_S)
            ends_at = begins_at + self._draws.uniform(0.3, 1) * fault.longest_s
            self._actions += [(begins_at, fault.begin), (ends_at, fault.end)]
        self._actions.sort(key=lambda action: action[0])

    def advance(self):
        """Begin and end the faults that are due."""
        while self._actions and self._actions[0][0] <= time.monotonic():
            self._actions.pop(0)[1]()

    def end(self):
        """Forget what is still planned."""
        self._actions.clear()

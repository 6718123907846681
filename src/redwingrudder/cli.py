"""The command line ``redwingrudder``.

Each public method of ``Commands`` is one subcommand; ``fire`` takes the help
texts from the docstrings.
"""

import json as json_module
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import fire
from fire.decorators import SetParseFn
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import react

from . import settings
from ._tables import (
    print_configuration,
    print_domains,
    print_explanation,
    print_fields,
    print_json,
    print_reports,
)
from .client import Client
from .configuration import ConfigurationDocument, parse_document
from .exceptions import (
    BadRequestError,
    InvalidConfigurationError,
    RedwingrudderError,
    SettingsError,
)

DEFAULT_NODE = "http://127.0.0.1:8080"


class Commands:
    """Scheduler for multi-accelerator jobs under organisation guarantees.

    Exit codes: 0 success, 2 bad request, 3 invalid settings, 4 not found,
    5 conflict, 6 unavailable, 7 overloaded, 70 internal error.
    """

    def check(self, *files: str) -> None:
        """Check settings and configuration files and report every problem.

        Args:
            files: Paths of node, deployment or configuration files.
        """
        if not files:
            raise BadRequestError("no file given, at least one is required")
        problems: list[str] = []
        for path in files:
            problems += _check_file(path)
        for problem in problems:
            print(problem)
        if problems:
            raise SettingsError(f"{len(problems)} problem(s) found")
        print(f"{len(files)} file(s) checked, no problems")

    def node(self, settings_file: str) -> None:
        """Run one entry node until SIGTERM.

        Args:
            settings_file: Settings of the node (JSON with comments).
        """
        from .node import run_node

        run_node(settings.load_node_settings(settings_file), default_reactor)

    def local(self, deployment: str, configuration: str, port: int = 8080) -> None:
        """Run a whole deployment and its stand-ins in this process.

        Args:
            deployment: Deployment file (JSON with comments).
            configuration: Initial operators' configuration.
            port: HTTP port of the first node; the others use the next ports.
        """
        from .local import run_local

        run_local(deployment, configuration, int(port), default_reactor)

    def demo(self, example: str = "examples/huon", seed: int = 1) -> None:
        """Run a mix of jobs on an example deployment and print a summary.

        Args:
            example: Folder with deployment.jsonc and configuration.jsonc.
            seed: Seed of the job mix.
        """
        from .demo import run_demo

        if not run_demo(example, int(seed), default_reactor):
            raise RedwingrudderError(
                "the demo failed: not every job ended with all of its results"
            )

    def bench(
        self,
        scenario: str = "all",
        example: str = "examples/huon",
        policy: str = "both",
        seed: int = 1,
        horizon: float = 3600.0,
        json: bool = False,
    ) -> None:
        """Run the scheduler's decision code on a virtual clock and measure it.

        Args:
            scenario: Names of scenarios, separated by commas, or "all".
            example: Folder with deployment.jsonc and configuration.jsonc.
            policy: "slack" (used by nodes), "fcfs" (baseline) or "both".
            seed: Seed of the workload; the same seed gives the same figures.
            horizon: Seconds of virtual time in which jobs arrive, up to 3600.
            json: Print JSON.
        """
        from . import bench

        fleet = bench.load_fleet(example)
        names = bench.SCENARIOS_BY_NAME if scenario == "all" else _split(scenario)
        policies = ("slack", "fcfs") if policy == "both" else (policy,)
        reports = [
            bench.run_scenario(
                fleet,
                bench.find_scenario(name),
                policy_name,
                int(seed),
                float(horizon),
            )
            for name in names
            for policy_name in policies
        ]
        print_reports(reports, json)

    def measure(
        self,
        parts: str = "all",
        seed: int = 1,
        pid: int = 0,
        node: str = DEFAULT_NODE,
        json: bool = False,
    ) -> None:
        """Measure the cost of each part on this machine, using stand-ins.

        Args:
            parts: "all", or any of placement, state, links, exchange, members,
                nodes, jobs, configuration and planning, separated by commas;
                "process" measures a running node.
            seed: Seed of the generated load.
            pid: Process id of the node, for the part "process" (Linux only).
            node: Entry node URL of that process.
            json: Print JSON.
        """
        from .measure import run_measure

        run_measure(_split(parts), int(seed), int(pid), node, json, default_reactor)

    # Otherwise fire would evaluate the JSON text as a Python expression.
    @SetParseFn(str, "job", "key")
    def submit(
        self,
        job: str,
        key: str,
        node: str = DEFAULT_NODE,
        wait: float = 0.0,
        json: bool = False,
    ) -> None:
        """Submit a job; repeating it with the same key starts no second job.

        Args:
            job: JSON document of the job, or @FILE to read it from a file.
            key: Idempotency key.
            node: Entry node URL, or several separated by commas.
            wait: Seconds to wait for the end of the job, at most 30.
            json: Print JSON.
        """
        body = _read_job(job)
        if wait:
            body["wait_s"] = float(wait)
        self._send_and_print(node, lambda client: client.submit(body, str(key)), json)

    def status(
        self,
        job_id: str = "",
        node: str = DEFAULT_NODE,
        wait: float = 0.0,
        json: bool = False,
    ) -> None:
        """Show one job, or the failure domains when no job is named.

        Args:
            job_id: Job to show.
            node: Entry node URL, or several separated by commas.
            wait: Seconds to wait for the end of the job, at most 30.
            json: Print JSON.
        """
        if job_id:
            self._send_and_print(
                node, lambda client: client.job(job_id, float(wait)), json
            )
        else:
            self._send_and_print(
                node, lambda client: client.status(), json, print_domains
            )

    def cancel(self, job_id: str, node: str = DEFAULT_NODE, json: bool = False) -> None:
        """Cancel a job.

        Args:
            job_id: Job to cancel.
            node: Entry node URL, or several separated by commas.
            json: Print JSON.
        """
        self._send_and_print(node, lambda client: client.cancel(job_id), json)

    def explain(
        self, job_id: str, node: str = DEFAULT_NODE, json: bool = False
    ) -> None:
        """Show why a job waits, runs or was refused.

        Args:
            job_id: Job to explain.
            node: Entry node URL, or several separated by commas.
            json: Print JSON.
        """
        self._send_and_print(
            node, lambda client: client.explain(job_id), json, print_explanation
        )

    def show(self, node: str = DEFAULT_NODE, json: bool = False) -> None:
        """Show the configuration in force.

        Args:
            node: Entry node URL, or several separated by commas.
            json: Print JSON.
        """
        self._send_and_print(
            node, lambda client: client.configuration(), json, print_configuration
        )

    def apply(
        self,
        file: str,
        base_version: int,
        node: str = DEFAULT_NODE,
        json: bool = False,
    ) -> None:
        """Replace the configuration in force.

        Args:
            file: Operators' configuration (JSON with comments).
            base_version: Version that the edited file is based on.
            node: Entry node URL, or several separated by commas.
            json: Print JSON.
        """
        document = _read_configuration(file)
        version = int(base_version)
        self._send_and_print(
            node,
            lambda client: client.apply(document, version),
            json,
            print_configuration,
        )

    def platform(self, port: int = 7000, host: str = "127.0.0.1") -> None:
        """Run a stand-in of the platform with its store and VM list.

        Args:
            port: TCP port, 0 for any free port.
            host: Address to listen on.
        """
        from .standins.platform import run_platform

        run_platform(host, int(port), default_reactor)

    def worker(
        self,
        worker_id: str,
        failure_domain: str,
        rack: str,
        port: int = 0,
        host: str = "127.0.0.1",
        accelerators: int = 8,
        slots: int = 8,
        cores: int = 128,
        memory_mb: int = 262_144,
    ) -> None:
        """Run a stand-in of a worker.

        It prints its address, which the platform's VM list must contain.

        Args:
            worker_id: Id of the worker in the VM list.
            failure_domain: Failure domain of the worker.
            rack: Rack of the worker.
            port: TCP port, 0 for any free port.
            host: Address to listen on.
            accelerators: Number of accelerators.
            slots: Number of task slots.
            cores: Number of CPU cores.
            memory_mb: Memory in MB.
        """
        from .model import WorkerInfo
        from .standins.worker import run_worker

        info = WorkerInfo(
            worker_id,
            f"{host}:{port}",
            failure_domain,
            rack,
            accelerators,
            slots,
            cores,
            memory_mb,
        )
        run_worker(info, host, int(port), default_reactor)

    def _send_and_print(
        self,
        nodes: str,
        request: Callable[[Client], Awaitable[Any]],
        as_json: bool,
        print_body: Callable[[Any], None] = lambda body: print_fields(body),
    ) -> None:
        """Send a request and print the reply as JSON or by ``print_body``."""
        reply = _run_request(_split(nodes), request)
        if as_json:
            print_json(reply.body)
        else:
            print_body(reply.body)


def main() -> None:
    """Run the command line; exits with the code of a raised error."""
    try:
        fire.Fire(Commands(), name="redwingrudder")
    except RedwingrudderError as error:
        for problem in getattr(error, "problems", ()):
            print(problem, file=sys.stderr)
        print(f"redwingrudder: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


def _run_request(
    nodes: tuple[str, ...], request: Callable[[Client], Awaitable[Any]]
) -> Any:
    """Run a reactor for one request; returns the reply or raises its error."""
    outcomes: list[Any] = []

    async def run(reactor: Any) -> None:
        try:
            outcomes.append(await request(Client(nodes, reactor)))
        except RedwingrudderError as error:
            outcomes.append(error)

    try:
        react(lambda reactor: ensureDeferred(run(reactor)))
    except SystemExit as exit_request:
        # react() always raises SystemExit, with code 0 after a success.
        if exit_request.code:
            raise
    if isinstance(outcomes[0], RedwingrudderError):
        raise outcomes[0]
    return outcomes[0]


def _split(nodes: str | tuple[str, ...]) -> tuple[str, ...]:
    # fire passes "a,b" as a tuple when both parts look like Python names.
    if isinstance(nodes, str):
        return tuple(part for part in nodes.split(",") if part)
    return tuple(nodes)


def _read_job(job: str) -> dict[str, Any]:
    text = settings.read_file(job[1:]) if job.startswith("@") else job
    try:
        body = json_module.loads(text)
    except ValueError as error:
        raise BadRequestError(
            f"the job is not a JSON document: {error}", code="malformed_json"
        ) from None
    if not isinstance(body, dict):
        raise BadRequestError("the job must be a JSON object", code="invalid_job")
    return body


def _check_file(path: str) -> list[str]:
    """Return a line for each problem of a file."""
    loaders_by_kind: dict[str, Callable[[str], Any]] = {
        "node": settings.load_node_settings,
        "deployment": settings.load_deployment,
        "configuration": _read_configuration,
    }
    try:
        kind = settings.read_kind(path)
        if kind not in loaders_by_kind:
            allowed = ", ".join(sorted(loaders_by_kind))
            return [f"{path}: kind: found {kind!r}, allowed: {allowed}"]
        loaders_by_kind[kind](path)
    except RedwingrudderError as error:
        return list(getattr(error, "problems", ())) or [str(error)]
    return []


def _read_configuration(path: str) -> ConfigurationDocument:
    try:
        return parse_document(settings.read_file(path))
    except RedwingrudderError as error:
        # The name of the file makes the messages usable among several files.
        error.detail = f"{path}: {error.detail}"
        if isinstance(error, InvalidConfigurationError):
            error.problems = tuple(f"{path}: {line}" for line in error.problems)
        raise

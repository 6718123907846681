"""Command ``redwingrudder``; each public method of ``Commands`` is one."""

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
from .exceptions import BadRequestError, RedwingrudderError, SettingsError

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
            raise BadRequestError("name at least one file")
        problems: list[str] = []
        for path in files:
            problems += _check_file(path)
        for line in problems:
            print(line)
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
        """Run a whole deployment with its stand-ins in this process.

        Args:
            deployment: Deployment file (JSON with comments).
            configuration: Operators' configuration to start with.
            port: HTTP port of the first node; others follow it.
        """
        from .local import run_local

        run_local(deployment, configuration, int(port), default_reactor)

    def demo(self, example: str = "examples/huon", seed: int = 1) -> None:
        """Run a morning of jobs on an example deployment and summarise it.

        Args:
            example: Folder with deployment.jsonc and configuration.jsonc.
            seed: Seed of the job mix.
        """
        from .demo import run_demo

        if not run_demo(example, int(seed), default_reactor):
            raise RedwingrudderError("not every job was accounted for")

    def bench(
        self,
        scenario: str = "all",
        example: str = "examples/huon",
        policy: str = "both",
        seed: int = 1,
        horizon: float = 3600.0,
        json: bool = False,
    ) -> None:
        """Measure policies on the real decision code with a virtual clock.

        Args:
            scenario: Name of a scenario, several with commas, or "all".
            example: Folder with deployment.jsonc and configuration.jsonc.
            policy: "slack" (shipped), "fcfs" (baseline) or "both".
            seed: The same seed gives the same figures.
            horizon: Seconds of virtual time in which jobs arrive, up to 3600.
            json: Print JSON.
        """
        from . import bench

        fleet = bench.load_fleet(example)
        names = bench.SCENARIOS_BY_NAME if scenario == "all" else _split(scenario)
        policies = ("slack", "fcfs") if policy == "both" else (policy,)
        reports = [
            bench.run_scenario(
                fleet, bench.find_scenario(name), each, int(seed), float(horizon)
            )
            for name in names
            for each in policies
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
        """Measure the cost of each part on this machine, with stand-ins.

        Args:
            parts: "all", or any of placement, state, links, exchange, members,
                nodes, jobs and configuration; "process" is a running node.
            seed: Seed of the generated load.
            pid: Process of the node, for the part "process" (Linux).
            node: Entry node URL of that process.
            json: Print JSON.
        """
        from .measure import run_measure

        run_measure(_split(parts), int(seed), int(pid), node, json, default_reactor)

    # Without this, fire reads the JSON text as a Python expression.
    @SetParseFn(str, "job", "key")
    def submit(
        self,
        job: str,
        key: str,
        node: str = DEFAULT_NODE,
        wait: float = 0.0,
        json: bool = False,
    ) -> None:
        """Submit a job; the same key never starts a second one.

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
        self._call(node, lambda client: client.submit(body, str(key)), json)

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
            self._call(node, lambda client: client.job(job_id, float(wait)), json)
        else:
            self._call(node, lambda client: client.status(), json, print_domains)

    def cancel(self, job_id: str, node: str = DEFAULT_NODE, json: bool = False) -> None:
        """Cancel a job.

        Args:
            job_id: Job to cancel.
            node: Entry node URL, or several separated by commas.
            json: Print JSON.
        """
        self._call(node, lambda client: client.cancel(job_id), json)

    def explain(
        self, job_id: str, node: str = DEFAULT_NODE, json: bool = False
    ) -> None:
        """Tell why a job waits, runs or was refused.

        Args:
            job_id: Job to explain.
            node: Entry node URL, or several separated by commas.
            json: Print JSON.
        """
        self._call(node, lambda client: client.explain(job_id), json, print_explanation)

    def show(self, node: str = DEFAULT_NODE, json: bool = False) -> None:
        """Show the configuration in force.

        Args:
            node: Entry node URL, or several separated by commas.
            json: Print JSON.
        """
        self._call(
            node, lambda client: client.configuration(), json, print_configuration
        )

    def apply(
        self,
        file: str,
        base_version: int,
        node: str = DEFAULT_NODE,
        json: bool = False,
    ) -> None:
        """Put a configuration into force.

        Args:
            file: Operators' configuration (JSON with comments).
            base_version: Version that the change was made from.
            node: Entry node URL, or several separated by commas.
            json: Print JSON.
        """
        document = _read_configuration(file)
        version = int(base_version)
        self._call(
            node,
            lambda client: client.apply(document, version),
            json,
            print_configuration,
        )

    def platform(self, port: int = 7000, host: str = "127.0.0.1") -> None:
        """Run the stand-in of the platform's store and VM list.

        Args:
            port: TCP port, 0 for any free one.
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
        """Run the stand-in of a worker.

        It prints its address; the VM list of the platform must name it.

        Args:
            worker_id: Id of the worker.
            failure_domain: Its failure domain.
            rack: Its rack.
            port: TCP port, 0 for any free one.
            host: Address to listen on.
            accelerators: Number of accelerators.
            slots: Number of slots.
            cores: Number of cores.
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

    def _call(
        self,
        nodes: str,
        request: Callable[[Client], Awaitable[Any]],
        as_json: bool,
        show: Callable[[Any], None] = lambda body: print_fields(body),
    ) -> None:
        reply = _run_request(_split(nodes), request)
        if as_json:
            print_json(reply.body)
        else:
            show(reply.body)


def main() -> None:
    """Entry point; maps errors to exit codes."""
    try:
        fire.Fire(Commands(), name="redwingrudder")
    except RedwingrudderError as error:
        for line in getattr(error, "problems", ()):
            print(line, file=sys.stderr)
        print(f"redwingrudder: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


def _run_request(
    nodes: tuple[str, ...], request: Callable[[Client], Awaitable[Any]]
) -> Any:
    outcome: list[Any] = []

    async def run(reactor: Any) -> None:
        try:
            outcome.append(await request(Client(nodes, reactor)))
        except RedwingrudderError as error:
            outcome.append(error)

    try:
        react(lambda reactor: ensureDeferred(run(reactor)))
    except SystemExit as stop:
        if stop.code:
            raise
    if isinstance(outcome[0], RedwingrudderError):
        raise outcome[0]
    return outcome[0]


def _split(nodes: str | tuple[str, ...]) -> tuple[str, ...]:
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
    checks: dict[str, Callable[[str], Any]] = {
        "node": settings.load_node_settings,
        "deployment": settings.load_deployment,
        "configuration": _read_configuration,
    }
    try:
        kind = settings.read_kind(path)
        if kind not in checks:
            allowed = ", ".join(sorted(checks))
            return [f"{path}: kind: found {kind!r}, allowed: {allowed}"]
        checks[kind](path)
    except RedwingrudderError as error:
        return list(getattr(error, "problems", ())) or [str(error)]
    return []


def _read_configuration(path: str) -> ConfigurationDocument:
    try:
        return parse_document(settings.read_file(path))
    except RedwingrudderError as error:
        error.detail = f"{path}: {error.detail}"
        raise

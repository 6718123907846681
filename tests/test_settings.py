"""Tests of the loading and validation of settings files."""

import pathlib
import tempfile
import unittest

from redwingrudder.exceptions import SettingsError
from redwingrudder.settings import (
    deployment_workers,
    load_deployment,
    load_node_settings,
)

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


class SettingsTests(unittest.TestCase):
    def write(self, text):
        """Write a temporary settings file and return its path."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, "node.jsonc")
        path.write_text(text, "utf-8")
        return str(path)

    def problems(self, text):
        """Return the problems found when loading node settings."""
        with self.assertRaises(SettingsError) as caught:
            load_node_settings(self.write(text))
        return caught.exception.problems

    def test_examples_are_valid(self):
        """Guards against example files that are invalid or of another size."""
        # Numbers of workers, accelerators and entry nodes.
        sizes = {
            "huon": (24, 192, 9),
            "saengthong": (24, 192, 8),
            "target": (1700, 2500, 40),
        }
        for name, expected in sizes.items():
            deployment = load_deployment(str(EXAMPLES / name / "deployment.jsonc"))
            workers = deployment_workers(deployment)
            accelerators = sum(worker.accelerators for worker in workers)
            nodes = sum(domain["nodes"] for domain in deployment["failure_domains"])
            self.assertEqual((len(workers), accelerators, nodes), expected)
            self.assertEqual(
                len({worker.worker_id for worker in workers}), len(workers)
            )
        for path in EXAMPLES.glob("*/node-*.jsonc"):
            load_node_settings(str(path))

    def test_all_problems_are_reported_at_once(self):
        """Guards against reporting only the first of several problems."""
        text = (EXAMPLES / "huon/node-hobart-1.jsonc").read_text("utf-8")
        text = text.replace('"rank": 1', '"rank": -1, "colour": "red"')
        text = text.replace("127.0.0.1:9090", "localhost:9090")
        text = text.replace('"worker_lease_s": 30.0', '"worker_lease_s": 3.0')
        text = text.replace('"platform"', '"plattform"')
        problems = self.problems(text)
        paths = {problem.split(": ")[1] for problem in problems}
        expected = {"rank", "colour", "listen.thrift", "platform", "plattform"}
        expected.add("worker_lease_s")
        self.assertEqual(paths, expected)
        self.assertTrue(
            all("found" in problem and "allowed" in problem for problem in problems)
        )

    def test_malformed_documents(self):
        """Guards against malformed files that raise another error."""
        for text in ("{", '{"a": 1, "a": 2}', '{"a": NaN}', "[" * 100_000, "[]"):
            with self.subTest(text[:20]):
                self.assertEqual(len(self.problems(text)), 1)

    def test_missing_file_and_unknown_domain(self):
        """Guards against a wrong error code and an unnamed invalid domain."""
        with self.assertRaises(SettingsError) as caught:
            load_node_settings("/nonexistent.jsonc")
        self.assertEqual(caught.exception.code, "unreadable_file")
        text = (EXAMPLES / "huon/node-hobart-1.jsonc").read_text("utf-8")
        text = text.replace('"failure_domain": "hobart"', '"failure_domain": "perth"')
        self.assertIn("'perth'", self.problems(text)[0])

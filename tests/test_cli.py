"""Tests of the exit codes and the output of the command line."""

import contextlib
import io
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

from redwingrudder import cli

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


class CommandTests(unittest.TestCase):
    def run_command(self, *arguments):
        """Return the exit code and the combined standard output and error."""
        output = io.StringIO()
        with (
            mock.patch.object(sys, "argv", ["redwingrudder", *arguments]),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            try:
                cli.main()
            except SystemExit as exit_request:
                return exit_request.code, output.getvalue()
        return 0, output.getvalue()

    def test_check_accepts_all_examples(self):
        """Guards against example files that the check refuses."""
        files = map(str, sorted(EXAMPLES.glob("*/*.jsonc")))
        code, text = self.run_command("check", *files)
        self.assertEqual((code, "no problems" in text), (0, True), text)

    def test_check_names_file_path_found_and_allowed(self):
        """Guards against problems that an operator cannot locate."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "wrong.jsonc")
            text = (EXAMPLES / "huon/configuration.jsonc").read_text("utf-8")
            path.write_text(text.replace('"copies": 3', '"copies": 0'), "utf-8")
            code, text = self.run_command("check", str(path))
        self.assertEqual(code, 3)
        self.assertIn(f"{path}: organisations.shop-counters.guarantees", text)
        self.assertIn("found 0", text)
        self.assertIn("allowed", text)

    def test_errors_of_each_family_have_their_exit_code(self):
        """Guards against tracebacks and against wrong exit codes."""
        arguments_by_exit_code = {
            2: ("submit", "not json", "--key", "k"),
            3: ("check", "/nonexistent.jsonc"),
            4: ("bench", "--scenario", "nothing"),
        }
        for exit_code, arguments in arguments_by_exit_code.items():
            with self.subTest(arguments):
                code, text = self.run_command(*arguments)
                self.assertEqual(code, exit_code, text)
                self.assertNotIn("Traceback", text)

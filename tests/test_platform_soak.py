"""A short seeded run of the soak: real nodes, faults from outside."""

import tempfile
import unittest

from .platform_soak import run_seed

SECONDS = 6.0


class PlatformSoakTests(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        """Guards against jobs lost, doubled or run after a refusal."""
        with tempfile.TemporaryDirectory() as folder:
            run_seed(1, SECONDS, folder)


if __name__ == "__main__":
    unittest.main()

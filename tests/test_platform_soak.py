"""Short run of the soak test with one seed, on node processes."""

import tempfile
import unittest

from .platform_soak import run_seed

FAULT_PERIOD_S = 6.0


class PlatformSoakTests(unittest.TestCase):
    def test_invariants_hold_under_faults(self):
        """Guards against lost jobs, double runs and runs of rejected jobs."""
        with tempfile.TemporaryDirectory() as folder:
            run_seed(1, FAULT_PERIOD_S, folder)


if __name__ == "__main__":
    unittest.main()

"""Short runs of the soak test on node processes, and tests of its checks."""

import tempfile
import unittest

from .platform_clients import ConnectionEnd
from .platform_shutdowns import GRACE_S, Shutdown, find_violation
from .platform_soak import FIRST_SERIES_SEED, run_seed

FAULT_PERIOD_S = 6.0
PORT = 8000


class PlatformSoakTests(unittest.TestCase):
    def test_invariants_hold_under_faults(self):
        """Guards against lost jobs, double runs and runs of rejected jobs."""
        with tempfile.TemporaryDirectory() as folder:
            run_seed(1, FAULT_PERIOD_S, folder)

    def test_invariants_hold_under_series_of_faults(self):
        """Guards against faults that show only beside other faults."""
        with tempfile.TemporaryDirectory() as folder:
            run_seed(FIRST_SERIES_SEED, FAULT_PERIOD_S, folder)


class ShutdownCheckTests(unittest.TestCase):
    """Ends of connections to a node that gets SIGTERM at 10 s."""

    shutdown = Shutdown(PORT, 10.0, 12.5)

    def violation(self, *ends, disruptions=()):
        return find_violation([self.shutdown], disruptions, ends)

    def test_connections_that_are_served_until_the_end(self):
        """Guards against reports of connections that were served."""
        ends = (
            ConnectionEnd(PORT, 12.1, 5, False, 0.0, "GET"),
            ConnectionEnd(PORT, 12.1, 5, False, 12.0, "GET"),
            ConnectionEnd(PORT, 10.5, 5, True, 0.0, "GET"),
            ConnectionEnd(PORT, 9.9, 5, False, 9.0, "GET"),
            ConnectionEnd(PORT + 1, 11.0, 5, False, 10.1, "GET"),
        )
        self.assertEqual(self.violation(*ends), "")

    def test_lost_request(self):
        """Guards against a request without a response that is not seen."""
        end = ConnectionEnd(PORT, 12.1, 5, False, 11.5, "DELETE")
        self.assertIn("lost a request", self.violation(end))
        # A pause of the same node excuses it, one of another node does not.
        self.assertEqual(self.violation(end, disruptions=((PORT, 8.0),)), "")
        other = ((PORT + 1, 8.0), (PORT, 6.0))
        self.assertIn("lost a request", self.violation(end, disruptions=other))

    def test_connection_closed_early(self):
        """Guards against connections that are closed on SIGTERM."""
        end = ConnectionEnd(PORT, 10.1, 5, False, 0.0, "GET")
        self.assertIn("too early", self.violation(end))

    def test_node_outlives_its_grace_period(self):
        """Guards against a node that the platform would have to kill."""
        end = ConnectionEnd(PORT, 10.1 + GRACE_S, 5, True, 0.0, "GET")
        shutdown = Shutdown(PORT, 10.0, 15.0)
        self.assertIn("grace period", find_violation([shutdown], (), [end]))


if __name__ == "__main__":
    unittest.main()

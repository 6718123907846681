"""Test suite of redwingrudder; importing it sets up logging and hypothesis."""

import logging

from hypothesis import HealthCheck, settings

# The tests assert the failures that they provoke, so the log lines of these
# failures are discarded to keep the output of the suite readable.
logging.getLogger().addHandler(logging.NullHandler())

# Test results must not depend on the load of the machine, so hypothesis
# examples have no deadline. This does not change what they check.
settings.register_profile(
    "any_load", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("any_load")

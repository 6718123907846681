"""Tests of redwingrudder."""

import logging

from hypothesis import HealthCheck, settings

# Expected failures are asserted on; their log lines would hide real output.
logging.getLogger().addHandler(logging.NullHandler())

# The verdict must not depend on how busy the machine is, so examples have no
# time limit. What the examples check stays as it is.
settings.register_profile(
    "any_load", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("any_load")

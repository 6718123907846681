"""Tests of redwingrudder."""

import logging

# Expected failures are asserted on; their log lines would hide real output.
logging.getLogger().addHandler(logging.NullHandler())

"""Starts a node from a checkout."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from redwingrudder.platform.node import main  # noqa: E402

sys.exit(main())

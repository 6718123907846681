"""Starts a node of the users' platform from a source checkout."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from redwingrudder.platform.node import main  # noqa: E402

sys.exit(main())

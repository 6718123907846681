"""Entry point: runs a node on the users' platform."""

import sys

from .node import main

sys.exit(main())

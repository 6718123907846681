"""Runs the command line with ``python -m redwingrudder``."""

from .cli import main

main()

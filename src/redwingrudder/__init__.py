"""Scheduler for multi-accelerator jobs under organisation guarantees."""

__version__ = "0.1.0"

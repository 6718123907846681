"""Adapters between the users' platform and the scheduler.

The platform's names occur in this package only. Each message of the platform
is decoded once, into the types of the other packages.
"""

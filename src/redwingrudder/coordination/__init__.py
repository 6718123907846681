"""Actors of a node that serves workflows through a platform's store.

One node, the coordinator, runs the workflow engine; every node stores what
callers submit and answers what they ask. Names and encodings of a platform
are behind the abstract classes of ``gateways``.
"""

"""Actors of a node that schedules workflows through a platform's store.

One elected node, the coordinator, runs the workflow engine. Every node stores
the workflows and cancellations that callers submit and answers their queries.
The key names and encodings of a platform are hidden behind the abstract
classes of ``gateways``.
"""

"""Stand-ins for the external systems: the platform and the workers.

They are HTTP servers with fault switches, for tests, measurements and local
deployments.
"""

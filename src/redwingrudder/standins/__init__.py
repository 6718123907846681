"""Stand-ins of the outside systems: platform and workers."""

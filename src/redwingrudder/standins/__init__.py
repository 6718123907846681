"""Stand-ins of the outside systems, with switches for faults."""

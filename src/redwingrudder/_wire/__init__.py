"""Thrift messages between nodes; ``generated`` is the compiler's output."""

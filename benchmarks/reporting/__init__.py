"""Benchmarks of what the report costs a node."""

"""Benchmarks of the cost of the report."""

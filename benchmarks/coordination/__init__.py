"""Benchmarks of the coordination between VMs."""

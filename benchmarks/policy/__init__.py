"""Benchmark of the policy by simulation with engine models."""

"""Benchmark of the policy: decision objects before engine models."""

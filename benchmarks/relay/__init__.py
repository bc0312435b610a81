"""Benchmark of a daemon's cost per relayed token and per request."""

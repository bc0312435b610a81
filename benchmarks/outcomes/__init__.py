"""Checks invariants in random histories of generations and keyed calls."""

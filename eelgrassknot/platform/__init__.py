"""Adapter of the users' platform: translates names and makes no decisions."""

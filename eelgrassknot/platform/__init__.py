"""Adapter to the users' platform: translates names, decides nothing."""

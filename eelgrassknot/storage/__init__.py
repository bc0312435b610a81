"""Interfaces to the platform, and plug-ins that reach it."""

"""Measurements of the coordination between VMs."""

"""Features and test helpers for the coordination between VMs."""

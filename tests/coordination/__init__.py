"""Features and helpers on the coordination between VMs."""

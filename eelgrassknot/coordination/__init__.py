"""Configuration, membership, leases and digests of many VMs."""

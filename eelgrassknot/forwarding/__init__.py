"""Forwarding of opaque requests and streams to upstreams of a platform."""

"""Shared state of a daemon, its assembly, and the duties of one daemon."""

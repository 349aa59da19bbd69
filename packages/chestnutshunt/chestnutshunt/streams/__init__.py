"""Streams and texts that several targets generate in turn."""

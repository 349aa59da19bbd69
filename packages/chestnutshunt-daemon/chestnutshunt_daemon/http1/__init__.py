"""Checks of HTTP/1 responses that the standard library does not make."""

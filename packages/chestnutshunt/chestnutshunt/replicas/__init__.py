"""Registered targets and the load balancing among them."""

"""Limits on the rate of requests that targets ask for."""

"""Serves callers: requests, batch jobs and readiness."""

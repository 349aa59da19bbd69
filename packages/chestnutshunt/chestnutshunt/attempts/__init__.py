"""Execution of requests: attempts, retries and answers."""

"""Authentication, rate limits and fair queueing of requests."""

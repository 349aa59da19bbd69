"""Record of requests that may run at most once."""

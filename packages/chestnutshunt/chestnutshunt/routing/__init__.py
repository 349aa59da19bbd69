"""Load balancing of requests over targets."""

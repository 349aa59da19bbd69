"""Batch jobs: acceptance, item state, and the log of results."""

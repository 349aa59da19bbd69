"""Counts of the requests and tokens of each workspace by time window."""

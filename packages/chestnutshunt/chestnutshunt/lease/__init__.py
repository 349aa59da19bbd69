"""Leases on duties, stored as platform objects."""

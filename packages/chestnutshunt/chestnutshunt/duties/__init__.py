"""Duties, which one daemon at a time carries out for the fleet."""

"""Measurements with their baselines in the same run."""

"""Samples and steps, and the stores that hold their bytes for trainers."""

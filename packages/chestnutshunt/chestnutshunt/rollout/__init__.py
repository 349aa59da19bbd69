"""Samples, steps and their hand-over to trainers."""

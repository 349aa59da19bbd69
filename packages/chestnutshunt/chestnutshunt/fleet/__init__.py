"""Autoscaling: decides which targets run."""

"""Runs batch jobs."""

"""Sends requests to targets and reads their responses."""

"""Counting of what each workspace used, window by window."""

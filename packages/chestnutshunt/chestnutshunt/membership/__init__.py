"""Membership and failure detection of the daemons."""

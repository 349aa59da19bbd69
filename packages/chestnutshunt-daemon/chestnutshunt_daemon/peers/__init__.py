"""Heartbeats, replication and relayed store calls between daemons."""

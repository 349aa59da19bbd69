"""Connections of clients, and one budget for all that they hold."""

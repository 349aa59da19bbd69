"""Interface to the platform's object store, and helpers for its callers."""

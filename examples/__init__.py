"""Examples that can be run."""

"""The tree of settings that operators edit."""

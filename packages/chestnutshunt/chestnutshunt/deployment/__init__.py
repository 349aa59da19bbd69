"""Configuration of a deployment: routes, services, keys and limits."""

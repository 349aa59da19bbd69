"""How many targets run, and which."""

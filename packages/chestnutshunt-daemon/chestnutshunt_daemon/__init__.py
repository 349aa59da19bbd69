"""The chestnutshunt daemon."""

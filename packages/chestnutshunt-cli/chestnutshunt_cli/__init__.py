"""The operators' command line of chestnutshunt."""

"""Command line with which operators configure and inspect chestnutshunt."""

"""Planning and orders for loading weight versions at targets."""

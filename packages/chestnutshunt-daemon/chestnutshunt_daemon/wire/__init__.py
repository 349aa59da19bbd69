"""Generated code of the protocols between daemons."""

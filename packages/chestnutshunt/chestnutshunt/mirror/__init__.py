"""Local copies of platform objects, updated by watches and by peers."""

"""node."""

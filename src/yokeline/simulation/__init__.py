"""simulation."""

"""gateway."""

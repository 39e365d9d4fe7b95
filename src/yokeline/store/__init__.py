"""store."""

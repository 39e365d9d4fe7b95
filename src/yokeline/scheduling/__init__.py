"""scheduling."""

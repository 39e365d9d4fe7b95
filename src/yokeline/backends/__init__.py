"""backends."""

"""membership."""

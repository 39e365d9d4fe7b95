"""experiment."""

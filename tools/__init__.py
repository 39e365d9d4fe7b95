"""Tools for developers."""

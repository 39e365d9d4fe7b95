"""Checks of what must always hold, from outside: books in, violations out."""

"""Measurements of single parts; run by hand, not by the tests."""

"""Yokeline: a scheduler for agent programs, run as a shared service of plain processes."""

__version__ = "0.1.0"

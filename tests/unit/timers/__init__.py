"""Tests of the timers."""

"""Tests of the scheduling policies and their bookkeeping."""

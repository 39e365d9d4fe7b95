"""Tests of the scheduling policies and the state they decide on."""

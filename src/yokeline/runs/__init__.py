"""Runs: their replicated state machine, budgets, history and the executor that drives them."""

"""The replicated ledger of programs: token budgets and retained turns, on the storage nodes."""

"""The replicated ledger of programs on the storage nodes: token budgets and retained turns."""

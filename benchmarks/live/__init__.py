"""Live load on one node: what it carries, what it costs, and what it adds to a call."""

"""The public and admin HTTP API of a node, without I/O of its own."""

"""Shards: placement, the host of their Raft groups, and requests to their leaders."""

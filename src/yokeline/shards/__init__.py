"""Replicated shards: replica placement, Raft groups, and routing of requests to leaders."""

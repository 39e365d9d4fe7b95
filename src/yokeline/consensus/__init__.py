"""Raft core without I/O: log, election, replication, membership change, snapshot."""

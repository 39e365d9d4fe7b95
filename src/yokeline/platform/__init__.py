"""Adapter for the platform: header fields, documents and store requests; no forwarding logic."""

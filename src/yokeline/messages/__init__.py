"""Typed messages between nodes, their codec and their framing."""

"""What a node learns from the key-value service: configuration, engines, other nodes."""

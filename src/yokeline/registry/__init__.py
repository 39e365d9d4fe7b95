"""Registry of the configuration, the engines and the nodes, kept in the key-value service."""

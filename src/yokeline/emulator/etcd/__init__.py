"""The key-value service: versioned state, leases, watches, and the etcd v3 JSON bodies."""

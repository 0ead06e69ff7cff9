"""The platform's key-value store as a peer: clients, followers and leases."""

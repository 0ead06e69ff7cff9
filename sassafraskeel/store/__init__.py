"""The platform's store as a peer: following it and registering in it."""

"""The platform's store as a peer: what hosts keep there and how they follow it."""

"""Emulators of the platform, the store, the upstreams and a wide-area network."""

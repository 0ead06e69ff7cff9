"""Randomized soak test of host processes under injected faults."""

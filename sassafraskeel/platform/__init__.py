"""Adapter to the users' platform: names, formats and calls, but no decisions."""

"""Handling of calls, whether they come from a caller or from another host."""

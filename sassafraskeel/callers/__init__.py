"""The HTTP interface to callers."""

"""Decisions on typed data, without input or output."""

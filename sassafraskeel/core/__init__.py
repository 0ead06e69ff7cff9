"""Shared modules: time, network, HTTP, types, errors, settings, logs and metrics."""

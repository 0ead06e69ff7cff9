"""Fixtures and replacements for clocks, networks and stores that tests share."""

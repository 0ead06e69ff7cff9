"""Benchmarks; the commands are run as `python -m bench.NAME`."""

"""Command-line tools for developers; not part of the library."""

"""The interface to operators: command line and HTTP server."""

"""The users' platform: names, formats and calls, and nothing that decides."""

"""A multi-region inference gateway, as a library."""

from importlib import import_module

_MODULES = {
    "Environment": "sassafraskeel.host",
    "Host": "sassafraskeel.host",
    "RouteEnvironment": "sassafraskeel.route_host",
    "RouteHost": "sassafraskeel.route_host",
    "RouteSettings": "sassafraskeel.core.route_settings",
    "Settings": "sassafraskeel.core.settings",
    "load_settings": "sassafraskeel.core.settings",
}

__all__ = list(_MODULES)


def __getattr__(name: str):
    """Import a public name at its first use.

    A host of routes loads none of the modules for sheets and orders, which take up
    several megabytes on each of many small hosts.
    """
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name]), name)

"""Checks of the fields that are kept from documents of the platform's store.

A value of the store may have a mebibyte, and a field of it may be as long.
"""

import ipaddress

# Names of replicas, services, zones and hosts, and versions of software.
MAX_TEXT_LENGTH = 200
# Error details quote this much of a document.
MAX_DETAIL_LENGTH = 200


def is_text(value, max_length: int = MAX_TEXT_LENGTH) -> bool:
    """Return whether a value is a short text that messages between hosts can carry."""
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False  # JSON can escape lone surrogates.
    return True


def is_name(value) -> bool:
    """Return whether a value is a text that can be a part of a header."""
    return is_text(value) and value.isprintable() and value.strip() == value


def is_ip(text: str) -> bool:
    """Return whether a text is an IP address without a scope.

    Connecting to a name would look it up, which blocks the event loop.
    """
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return "%" not in text


def shorten_detail(detail: str) -> str:
    """Return an error detail, which may quote a field, or its beginning."""
    if len(detail) <= MAX_DETAIL_LENGTH:
        return detail
    return f"{detail[:MAX_DETAIL_LENGTH]}... ({len(detail)} characters)"

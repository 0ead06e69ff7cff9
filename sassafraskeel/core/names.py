"""Names that callers choose, where only their equality matters."""

import hashlib

MAX_NAME_LENGTH = 64
DIGEST_BYTES = 16


def shorten(name: str) -> str:
    """Return a name, or a digest in place of one over MAX_NAME_LENGTH.

    Tables bound the number of their names; this bounds their size.
    """
    if len(name) <= MAX_NAME_LENGTH:
        return name
    data = name.encode(errors="surrogatepass")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()

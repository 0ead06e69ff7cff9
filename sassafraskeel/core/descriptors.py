"""The standard streams of a process."""

import os

STANDARD_DESCRIPTORS = (0, 1, 2)
STDOUT = 1
STDERR = 2


def open_standard_streams() -> None:
    """Open the null device in place of standard streams that are closed.

    Otherwise sockets get their descriptors, and what the process prints goes to a peer.
    """
    for fd in STANDARD_DESCRIPTORS:
        try:
            os.fstat(fd)
        except OSError:
            # The system returns the lowest free descriptor, which is this one.
            os.open(os.devnull, os.O_RDWR)

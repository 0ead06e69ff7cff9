"""Bounds on the work that a message may cause beside its content."""

from typing import NamedTuple

# A chunk or event of this length costs little beside its bytes. Shorter ones are
# counted, since each costs as much as a long one.
FULL_PIECE_BYTES = 512
# Bytes that belong to no content, such as chunk extensions, that count as one piece.
OVERHEAD_BYTES_IN_PIECE = 256


class WorkRate(NamedTuple):
    """The pieces that a message may have at once, and further ones per second."""

    burst: float
    per_second: float


# A replica that was not read for some seconds sends thousands of events at once, and no
# model writes 2,000 tokens a second. A burst costs a host about 0.2 s.
ANSWER_WORK = WorkRate(16_384, 2000.0)
# Clients send bodies in chunks of some KB, of which the limit of a body allows few.
REQUEST_WORK = WorkRate(4096, 1000.0)
# For the requests of all connections together. A piece costs about 12 us, so that this
# is a tenth of the smallest processor.
ALL_REQUESTS_WORK = WorkRate(16_384, 8000.0)
# The first pieces of each request don't count in ALL_REQUESTS_WORK. They cost less than
# the request itself.
FREE_PIECES = 64


class WorkLimit:
    """The work that may still be caused; `now` is in monotonic seconds."""

    def __init__(self, rate: WorkRate, now: float):
        self._rate = rate
        self._allowance = rate.burst
        self._updated_at = now

    def spend(self, pieces: float, now: float) -> bool:
        """Take pieces from the allowance; return whether there were enough.

        Pieces beyond it are owed, up to a burst.
        """
        burst = self._rate.burst
        earned = (now - self._updated_at) * self._rate.per_second
        left = min(self._allowance + earned, burst) - pieces
        self._allowance = max(left, -burst)
        self._updated_at = now
        return self._allowance >= 0


def all_requests_work(processor: float) -> WorkRate:
    """Return the rate for all requests; 1.0 stands for the smallest processor."""
    burst, per_second = ALL_REQUESTS_WORK
    return WorkRate(burst, per_second * processor)


def count_pieces(count: int, size: int) -> float:
    """Return what some chunks or events with `size` bytes in all count as."""
    return max(count - size / FULL_PIECE_BYTES, 0.0)


def count_overhead(size: int) -> float:
    """Return what some bytes that belong to no content count as."""
    return size / OVERHEAD_BYTES_IN_PIECE

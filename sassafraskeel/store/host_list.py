"""Polls the platform's list of hosts, which lags behind the actual state."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.sheets.model import Upstream

# An upstream that is listed as leaving gets no new work after a few seconds. At this
# interval 410 hosts make 82 of the about 2,000 reads a second that the store answers.
POLL_SECONDS = 5.0
# A restored list may show a leaving upstream as live until the platform has written its
# state again.
LEAVING_KEPT_SECONDS = 60.0
LEAVING_STATE = "leaving"


class HostListSource(Protocol):
    """A source of the host list; may raise PlatformUnavailable."""

    async def hosts(self) -> dict[str, str]:
        """Return the state (`live` or `leaving`) of the listed hosts."""


class LeavingUpstreams:
    """The leaving hosts of the last lists, kept while the platform is unavailable."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._listed_at: dict[str, float] = {}

    def set_states(self, states: dict[str, str]) -> None:
        """Record a newer list; a host stays leaving for LEAVING_KEPT_SECONDS."""
        now = self._clock.monotonic()
        kept = {
            name: listed_at
            for name, listed_at in self._listed_at.items()
            if now - listed_at < LEAVING_KEPT_SECONDS
        }
        listed = [name for name, state in states.items() if state == LEAVING_STATE]
        self._listed_at = kept | dict.fromkeys(listed, now)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream is listed as leaving, by name, address or IP."""
        names = (upstream.name, str(upstream.address), upstream.address.ip)
        return any(name in self._listed_at for name in names)


async def poll_host_list(
    platform: HostListSource,
    clock: Clock,
    on_host_list: Callable[[dict[str, str]], Awaitable[None]],
) -> None:
    """Read the list periodically and pass it to `on_host_list`, forever."""
    while True:
        try:
            await on_host_list(await platform.hosts())
        except SassafraskeelError:
            pass  # The list is one of several sources; the sheet follower logs outages.
        await clock.sleep(POLL_SECONDS)

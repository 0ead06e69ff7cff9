"""Following the platform's list of hosts, which lags."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.sheets.model import Upstream

# A leaving upstream gets no new work after a few seconds; 410 hosts read the list
# 82 times a second together, of about 2,000 reads that the store answers.
POLL_SECONDS = 5.0
LEAVING_STATE = "leaving"


class HostListSource(Protocol):
    """The platform's list; may raise PlatformUnavailable."""

    async def hosts(self) -> dict[str, str]:
        """Return the state (`live` or `leaving`) of the listed hosts."""


class LeavingUpstreams:
    """The leaving hosts of the last list; kept while the platform is away."""

    def __init__(self):
        self._leaving: frozenset[str] = frozenset()

    def set_states(self, states: dict[str, str]) -> None:
        """Use a newer list."""
        self._leaving = frozenset(
            name for name, state in states.items() if state == LEAVING_STATE
        )

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream is listed as leaving, by name, address or IP."""
        names = (upstream.name, str(upstream.address), upstream.address.ip)
        return any(name in self._leaving for name in names)


async def poll_host_list(
    platform: HostListSource,
    clock: Clock,
    on_host_list: Callable[[dict[str, str]], Awaitable[None]],
) -> None:
    """Pass on the list again and again; never returns."""
    while True:
        try:
            await on_host_list(await platform.hosts())
        except SassafraskeelError:
            pass  # The list is one of several sources; the sheet follower logs this.
        await clock.sleep(POLL_SECONDS)

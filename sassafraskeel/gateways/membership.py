"""The task that updates control links, domain summaries and the table of hosts."""

from collections.abc import Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import UserError
from sassafraskeel.core.net import parse_address
from sassafraskeel.decisions.domains import DomainHosts
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.decisions.summaries import SummaryTable
from sassafraskeel.decisions.topology import choose_link_addresses
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.summaries import SummaryExchange

INTERVAL_SECONDS = 1.0


class MembershipUpdater:
    """Periodically updates the state of other hosts and the links to them."""

    def __init__(
        self,
        membership: Membership,
        summaries: SummaryTable,
        domains: DomainHosts,
        exchange: SummaryExchange,
        links: LinkManager,
        clock: Clock,
        local_load: Callable[[], tuple[dict[str, tuple[float, float]], int]],
        remote_links: int,
        draining: Callable[[], bool],
    ):
        self._membership = membership
        self._summaries = summaries
        self._domains = domains
        self._exchange = exchange
        self._links = links
        self._clock = clock
        self._local_load = local_load
        self._remote_links = remote_links
        self._draining = draining

    async def run(self) -> None:
        """Update everything every INTERVAL_SECONDS; never returns."""
        while True:
            await self._update()
            await self._clock.sleep(INTERVAL_SECONDS)

    async def apply_host_list(self, states: dict[str, str]) -> None:
        """Add the hosts of the platform's list as seeds, or mark them as leaving.

        `states` maps the names of hosts to their states; leaving hosts get no work.
        """
        for name, state in states.items():
            if state == "leaving":
                self._membership.mark_leaving(name, "")
                continue
            try:
                self._links.add_seed(parse_address(name))
            except UserError:
                continue  # The host is found through its peers: its name is no address.

    async def _update(self) -> None:
        now = self._clock.monotonic()
        self._membership.drop_expired(now)
        self._summaries.drop_expired(now)
        self._domains.update_reachability(now)
        self._write_summary(now)
        members = [member.info for member in self._membership.members()]
        members += self._links.inbound_hosts(now)
        self._exchange.retain({member.name for member in members})
        targets = choose_link_addresses(
            self._membership.local_host,
            self._summaries.rosters(),
            members,
            self._remote_links,
            self._links.recently_failed(now),
        )
        await self._links.set_targets(targets)

    def _write_summary(self, now: float) -> None:
        local_host = self._membership.local_host
        hosts = self._domains.hosts(local_host.domain, now)
        if any(host.name < local_host.name for host in hosts):
            return  # Only the live host with the lowest name writes the summary.
        spare, sheet_version = self._local_load()
        self._summaries.update_local_load(spare, sheet_version, now)
        roster = hosts if self._draining() else [local_host, *hosts]
        self._summaries.update_local_roster(tuple(roster), now)

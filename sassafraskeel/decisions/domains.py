"""The hosts and failure domains to which calls may be forwarded."""

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.health import Health
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.decisions.summaries import SummaryTable


class DomainHosts:
    """Selects hosts by heartbeats, summaries and the results of forwarded calls."""

    def __init__(
        self, membership: Membership, summaries: SummaryTable, ramp_seconds: float
    ):
        self._membership = membership
        self._summaries = summaries
        self._health = Health(ramp_seconds)
        self._unreachable: set[str] = set()

    def hosts(self, domain: str, now: float) -> list[HostInfo]:
        """Return the hosts of a domain that take new work, sorted by name."""
        if not self._health.usable(_domain_key(domain), now):
            return []
        found = {}
        if domain != self._membership.local_host.domain:
            found = {
                host.name: host for host in self._summaries.reachable_hosts(domain, now)
            }
        for member in self._membership.members():
            if member.info.domain == domain:
                found[member.info.name] = member.info
        return [
            found[name]
            for name in sorted(found)
            if self._health.usable(name, now)
            and self._membership.accepts_work(found[name], now)
        ]

    def all_hosts(self, now: float) -> list[HostInfo]:
        """Return the hosts of all domains that take new work, except this host."""
        names = {member.info.domain for member in self._membership.members()}
        names |= set(self._summaries.rosters())
        local_name = self._membership.local_host.name
        return [
            host
            for domain in sorted(names)
            for host in self.hosts(domain, now)
            if host.name != local_name
        ]

    def spare_slots(self, domain: str, service: str, prior: float, now: float) -> float:
        """Return the spare slots of a domain, reduced during its ramp."""
        spare_slots = self._summaries.spare_slots(domain, service, prior, now)
        return spare_slots * self._health.ramp(_domain_key(domain), now)

    def failed(self, host: HostInfo, silent: bool, now: float) -> None:
        """Record a failed call; a `silent` host did not answer in time.

        A silent host may mean that the link to its domain is cut, so that the failure
        counts against the domain as well.
        """
        self._health.failed(host.name, now)
        if silent:
            self._health.failed(_domain_key(host.domain), now)

    def succeeded(self, host: HostInfo, now: float) -> None:
        """Record a successful call to a host."""
        self._health.succeeded(host.name, now)
        self._health.succeeded(_domain_key(host.domain), now)

    def update_reachability(self, now: float) -> None:
        """Start the ramp of domains that were unreachable and are reachable again."""
        unreachable = {
            domain
            for domain in self._summaries.rosters()
            if not self._summaries.reachable_hosts(domain, now)
        }
        for domain in self._unreachable - unreachable:
            self._health.start_ramp(_domain_key(domain), now)
        self._unreachable = unreachable


def _domain_key(domain: str) -> str:
    return f"domain/{domain}"  # The prefix keeps the key apart from host names.

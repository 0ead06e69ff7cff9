"""The other hosts to which this host keeps control links."""

import math

from sassafraskeel.core.net import Address
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.affinity import rendezvous

# Each link to another domain carries all summaries, so that the hosts of a domain share
# this number of links; each host keeps at least one.
DOMAIN_LINKS = 6


def choose_link_addresses(
    local_host: HostInfo,
    rosters: dict[str, tuple[HostInfo, ...]],
    peers: list[HostInfo],
    remote_links: int,
    failing: set[Address],
) -> set[Address]:
    """Return the addresses to link to, in the local domain and a few other domains.

    Every host of the local domain is linked. The other domains are ranked by a
    rendezvous hash of the name of this host, so that the links of a domain's hosts
    spread over all domains and a change of one domain changes few links. `failing`
    addresses of other domains are skipped.
    """
    addresses = {peer.gateways for peer in peers if peer.domain == local_host.domain}
    addresses |= {host.gateways for host in rosters.get(local_host.domain, ())}
    remote = {
        domain: [host for host in hosts if host.gateways not in failing]
        for domain, hosts in rosters.items()
        if domain != local_host.domain
    }
    key = local_host.name.encode()[:64]
    domains = [domain for domain, hosts in remote.items() if hosts]
    hosts = max(len(addresses | {local_host.gateways}), 1)
    count = min(math.ceil(DOMAIN_LINKS / hosts), remote_links)
    for domain in rendezvous(key, domains)[:count]:
        by_name = {host.name: host for host in remote[domain]}
        addresses.add(by_name[rendezvous(key, list(by_name))[0]].gateways)
    return addresses - {local_host.gateways}


def choose_linked_hosts(
    local_host: HostInfo,
    hosts: list[HostInfo],
    regions: dict[str, str],
    local_links: int,
    remote_links: int,
) -> list[HostInfo]:
    """Return the hosts to link to, `local_links` in the local region.

    In each other region, `remote_links` hosts are chosen. The choice is a rendezvous
    hash of the name of this host, so that the links of many hosts spread evenly and few
    links change when a host is added or removed.
    """
    groups: dict[str, list[HostInfo]] = {}
    for host in hosts:
        if host.name != local_host.name:
            groups.setdefault(regions.get(host.domain, ""), []).append(host)

    key = local_host.name.encode()
    local_region = regions.get(local_host.domain, "")
    chosen = []
    for region, members in sorted(groups.items()):
        count = local_links if region == local_region else remote_links
        by_name = {host.name: host for host in members}
        chosen += [by_name[name] for name in rendezvous(key, list(by_name))[:count]]
    return chosen

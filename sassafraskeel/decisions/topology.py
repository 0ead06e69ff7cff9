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


def choose_forward_hosts(
    local_host: HostInfo, hosts: list[HostInfo], count: int
) -> list[HostInfo]:
    """Return the `count` hosts of another region to which calls are forwarded.

    The choice is a rendezvous hash of the name of the local host, so that the calls of
    many hosts spread evenly and few choices change when a host is added or removed.
    """
    by_name = {host.name: host for host in hosts}
    names = rendezvous(local_host.name.encode()[:64], list(by_name))
    return [by_name[name] for name in names[:count]]

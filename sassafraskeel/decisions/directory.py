"""The hosts that a caller should use."""

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.residency import allowed_domains
from sassafraskeel.sheets.model import Sheet

MAX_HOSTS_IN_ANSWER = 8


def choose_hosts(
    sheet: Sheet, workspace: str, service: str, hosts: list[HostInfo], local_domain: str
) -> list[HostInfo]:
    """Return at most MAX_HOSTS_IN_ANSWER hosts that may hold the workspace's data.

    Hosts of the home failure domain come first, then those of `local_domain`, the
    failure domain of the host that was asked.
    """
    allowed = allowed_domains(sheet, workspace, service)
    home = sheet.workspaces[workspace].home
    candidates = [host for host in hosts if host.domain in allowed]
    candidates.sort(
        key=lambda host: (host.domain != home, host.domain != local_domain, host.name)
    )
    return candidates[:MAX_HOSTS_IN_ANSWER]

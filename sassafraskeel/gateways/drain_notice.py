"""The notice to other hosts that the local host drains."""

from collections.abc import Callable

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.messages import DrainNotice

NOTICE_TIMEOUT_SECONDS = 1.0


async def notify_peers(
    links: LinkManager, local_host: HostInfo, on_failure: Callable[[Exception], None]
) -> None:
    """Send a drain notice on all control links concurrently.

    An unresponsive link delays the return by NOTICE_TIMEOUT_SECONDS at most.
    """
    group = SupervisedTaskGroup(on_failure)
    for link in links.links():
        await group.spawn(_notify_peer, link, local_host)
    await group.join()


async def _notify_peer(link: ControlLink, local_host: HostInfo) -> None:
    try:
        await link.request(DrainNotice(local_host), NOTICE_TIMEOUT_SECONDS)
    except SassafraskeelError:
        return  # The reply to the peer's next heartbeat has `draining` set.

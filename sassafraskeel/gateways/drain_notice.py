"""Telling the other hosts that this one drains."""

from collections.abc import Callable

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.gateways.codec import DrainNotice
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager

NOTICE_TIMEOUT_SECONDS = 1.0


async def notify_peers(
    links: LinkManager, local_host: HostInfo, on_failure: Callable[[Exception], None]
) -> None:
    """Send the notice on all links at once; a silent link delays it only briefly."""
    group = SupervisedTaskGroup(on_failure)
    for link in links.links():
        await group.spawn(_notify_peer, link, local_host)
    await group.join()


async def _notify_peer(link: ControlLink, local_host: HostInfo) -> None:
    try:
        await link.request(DrainNotice(local_host), NOTICE_TIMEOUT_SECONDS)
    except SassafraskeelError:
        return  # The peer learns of the drain from the answer to its next ping.

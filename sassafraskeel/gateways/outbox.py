"""Messages that wait to be sent on a control link."""

from typing import NamedTuple

import curio

from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.gateways.channel import Channel

MAX_QUEUED_MESSAGES = 4096


class Outbox:
    """Queues messages for one task that sends all that are queued in one write.

    A peer that does not read thus delays no task that has a message for it.
    """

    def __init__(self, channel: Channel):
        self._channel = channel
        self._messages: list[NamedTuple] = []
        self._filled = curio.Event()

    async def put(self, message: NamedTuple) -> None:
        """Queue a message; raise ConnectionLost if too many are queued."""
        if len(self._messages) >= MAX_QUEUED_MESSAGES:
            raise ConnectionLost("the peer does not read its messages")
        self._messages.append(message)
        await self._filled.set()

    async def run(self) -> None:
        """Send queued messages; raise ConnectionLost when the link is lost."""
        while True:
            await self._filled.wait()
            self._filled.clear()
            messages, self._messages = self._messages, []
            await self._channel.send(*messages)

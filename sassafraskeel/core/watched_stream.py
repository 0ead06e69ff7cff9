"""Detecting the end of a connection while its task waits for something else."""

import curio

from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.net import READ_SIZE_BYTES, BufferSizes, Stream

# A peer that sends more than this during the current answer is no longer watched;
# further data stays in the bounded buffers of the operating system. The head of a next
# request that does not wait for the answer fits.
MAX_READ_AHEAD_BYTES = 4096


class PeerLeft(curio.CancelledError):
    """Cancels a task whose connection was closed by the other end."""


class WatchedStream:
    """A stream that can read ahead and detect that the other end closed it."""

    def __init__(self, inner: Stream):
        self._inner = inner
        self._ended = False
        self.unread = bytearray()

    async def read(self, max_bytes: int = READ_SIZE_BYTES) -> bytes:
        if self.unread:
            data = bytes(self.unread[:max_bytes])
            del self.unread[:max_bytes]
            return data
        return b"" if self._ended else await self._inner.read(max_bytes)

    async def write(self, data: bytes) -> None:
        await self._inner.write(data)

    async def end_writing(self) -> None:
        await self._inner.end_writing()

    async def close(self) -> None:
        await self._inner.close()

    async def reset(self) -> None:
        await self._inner.reset()

    def set_buffers(self, buffers: BufferSizes) -> None:
        self._inner.set_buffers(buffers)

    async def read_ahead(self, max_bytes: int = MAX_READ_AHEAD_BYTES) -> bool:
        """Wait for more data and buffer it for `read`; return False at EOF."""
        if not self._ended:
            data = await self._inner.read(max_bytes)
            self.unread += data
            self._ended = not data
        return not self._ended

    def watch(
        self, cancel_on_disconnect: bool, ahead_bytes: int = 0
    ) -> "DisconnectWatch":
        """Return a context manager that raises PeerLeft in its body on a disconnect.

        Without `cancel_on_disconnect` the body is not interrupted: an order that runs
        cannot be undone, and its caller may ask for the result again. `ahead_bytes`
        have been read already and count in MAX_READ_AHEAD_BYTES.
        """
        return DisconnectWatch(self, cancel_on_disconnect, ahead_bytes)


class DisconnectWatch:
    """Reads ahead in a task and cancels the watched task at the end of the stream."""

    def __init__(
        self, stream: WatchedStream, cancel_on_disconnect: bool, ahead_bytes: int
    ):
        self._stream = stream
        self._cancel_on_disconnect = cancel_on_disconnect
        self._max_unread = MAX_READ_AHEAD_BYTES - ahead_bytes
        self._watched_task = None
        self._reading_task = None

    async def __aenter__(self):
        self._watched_task = await curio.current_task()
        if self._cancel_on_disconnect:
            self._reading_task = await curio.spawn(self._read, daemon=True)
        return self

    async def _read(self):
        try:
            while (room := self._max_unread - len(self._stream.unread)) > 0:
                if not await self._stream.read_ahead(room):
                    break
            else:
                return
        except ConnectionLost:
            pass  # A reset is treated like EOF: the client does not read the answer.
        await self._watched_task.cancel(exc=PeerLeft, blocking=False)

    async def __aexit__(self, exc_type, exc, traceback):
        if self._reading_task is None:
            return
        async with curio.disable_cancellation():
            await self._reading_task.cancel()

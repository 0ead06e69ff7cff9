"""Waiting for operating system signals in a task."""

import signal
from collections import deque


class SignalWaiter:
    """Receives signals from its creation on; use at most one per process.

    The default action of most signals ends the process at once, so a process creates
    its waiter before the imports that take most of its start. After the waiter is
    closed, its signals are ignored: the process has nothing left to do but to exit.
    """

    def __init__(self, *numbers: int):
        self._numbers = numbers
        self._received: deque[int] = deque()
        self._reader = None
        self._writer = None
        self._previous_wakeup_fd = -1
        for number in numbers:
            signal.signal(number, self._record)

    def _record(self, number, frame) -> None:
        self._received.append(number)

    async def __aenter__(self):
        from curio import socket  # Its import takes long; see above.

        self._reader, self._writer = socket.socketpair()
        # The interpreter writes to the socket after each signal, which wakes the task.
        self._previous_wakeup_fd = signal.set_wakeup_fd(
            self._writer.fileno(), warn_on_full_buffer=False
        )
        return self

    async def wait(self) -> int:
        """Return the number of the next signal."""
        while not self._received:
            await self._reader.recv(64)
        return self._received.popleft()

    async def __aexit__(self, exc_type, exc, traceback):
        for number in self._numbers:
            # While the interpreter exits, it restores the default of other handlers.
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(self._previous_wakeup_fd)
        await self._reader.close()
        await self._writer.close()

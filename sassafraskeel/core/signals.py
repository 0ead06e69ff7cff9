"""Waiting for operating system signals in a task."""

import signal

from curio import socket


class SignalWaiter:
    """Receives signals through a socket pair; use at most one per process."""

    def __init__(self, *numbers: int):
        self._numbers = numbers
        self._previous_handlers = {}
        self._reader = None
        self._writer = None
        self._previous_wakeup_fd = -1

    async def __aenter__(self):
        self._reader, self._writer = socket.socketpair()
        self._previous_wakeup_fd = signal.set_wakeup_fd(self._writer.fileno())
        for number in self._numbers:
            # The handler does nothing, because the interpreter writes the number of
            # the signal to the socket.
            self._previous_handlers[number] = signal.signal(number, lambda *args: None)
        return self

    async def wait(self) -> int:
        """Return the number of the next signal."""
        while True:
            number = (await self._reader.recv(1))[0]
            if number in self._numbers:
                return number

    async def __aexit__(self, exc_type, exc, traceback):
        for number, handler in self._previous_handlers.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(self._previous_wakeup_fd)
        await self._reader.close()
        await self._writer.close()

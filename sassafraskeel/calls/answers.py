"""An answer that releases the slot of its call when it is closed."""

from sassafraskeel.core.types import Answer, ResponseHead

SERVED_BY_HEADER = b"x-served-by"
ATTEMPTS_HEADER = b"x-attempts"


class ReleasingAnswer:
    """An answer with additional headers that releases its slot when it is closed.

    `headers` replace headers of the same names. `release` is called once, with True
    if the answer was read to its end.
    """

    def __init__(self, answer: Answer, headers, release):
        names = {name for name, _ in headers}
        kept = tuple(pair for pair in answer.head.headers if pair[0] not in names)
        self.head = ResponseHead(answer.head.status, (*kept, *headers))
        self._answer = answer
        self._release = release
        self._closed = False
        self._is_complete = False

    async def read(self) -> bytes:
        data = await self._answer.read()
        self._is_complete = not data
        return data

    async def close(self) -> None:
        if not self._closed:
            self._closed = True
            try:
                await self._answer.close()
            finally:
                await self._release(self._is_complete)

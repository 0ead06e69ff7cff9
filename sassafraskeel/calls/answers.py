"""An answer that holds the place where its call runs until it is over."""

from sassafraskeel.core.types import Answer, Head

SERVED_BY_HEADER = b"x-served-by"
ATTEMPTS_HEADER = b"x-attempts"


class ReleasingAnswer:
    """An answer with the headers that say where and how it was produced."""

    def __init__(self, answer: Answer, headers, release):
        names = {name for name, _ in headers}
        kept = tuple(pair for pair in answer.head.headers if pair[0] not in names)
        self.head = Head(answer.head.status, (*kept, *headers))
        self._answer = answer
        self._release = release
        self._closed = False
        self._is_whole = False

    async def read(self) -> bytes:
        data = await self._answer.read()
        self._is_whole = not data
        return data

    async def close(self) -> None:
        if not self._closed:
            self._closed = True
            try:
                await self._answer.close()
            finally:
                await self._release(self._is_whole)

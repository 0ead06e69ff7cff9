"""Answers that are buffered, or release the slot of their call when they are closed."""

from http import HTTPStatus

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ConnectionLost,
    Outcome,
    Reason,
    SassafraskeelError,
    TimedOut,
    UpstreamLost,
    unknown_outcome_refusal,
)
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import BODYLESS_STATUSES
from sassafraskeel.core.types import (
    Answer,
    BufferedAnswer,
    Call,
    Headers,
    ResponseHead,
    read_to_end,
)

SERVED_BY_HEADER = b"x-served-by"
ATTEMPTS_HEADER = b"x-attempts"
MAX_BUFFERED_ANSWER_BYTES = 4 * 1024 * 1024
# How long an answer without a length, a part of which is held, waits for more room.
MAX_PART_WAIT_SECONDS = 1.0


class ReleasingAnswer:
    """An answer with additional headers that releases its slot when it is closed.

    `headers` replace headers of the same names. `release` is called once, with True
    if the answer was read to its end. `software_version` is that of the replica that
    writes the answer, "" if it is unknown.
    """

    def __init__(self, answer: Answer, headers, release, software_version: str = ""):
        names = {name for name, _ in headers}
        kept = tuple(pair for pair in answer.head.headers if pair[0] not in names)
        self.head = ResponseHead(answer.head.status, (*kept, *headers))
        self.software_version = software_version
        self._answer = answer
        self._release = release
        self._closed = False
        self._is_complete = False

    async def read(self) -> bytes:
        data = await self._answer.read()
        self._is_complete = not data
        return data

    async def stop(self) -> None:
        await self._end(self._answer.stop)

    async def close(self) -> None:
        await self._end(self._answer.close)

    async def _end(self, end_answer) -> None:
        if not self._closed:
            self._closed = True
            try:
                await end_answer()
            finally:
                await self._release(self._is_complete)


async def buffer_answer(
    source: str, call: Call, answer: Answer, clock: Clock, software_version: str = ""
) -> BufferedAnswer:
    """Read and close an answer that is no stream; raise Refusal unless it is whole.

    No truncated answer is thus forwarded. An answer is read no faster than the host has
    room for it. `source` names the target that answers, and
    `software_version` is that of its replica.
    """
    try:
        data = await _read_with_room(call, answer, clock)
    except TimedOut as exc:
        raise unknown_outcome_refusal(Reason.DEADLINE, f"{source}: {exc}") from exc
    except (AnswerTruncated, ConnectionLost) as exc:
        detail = f"{source}: {exc}"
        raise UpstreamLost(Outcome.UNKNOWN, Reason.UPSTREAM_FAILED, detail) from exc
    except SassafraskeelError as exc:
        raise unknown_outcome_refusal(
            Reason.UPSTREAM_FAILED, f"{source}: {exc}"
        ) from exc
    finally:
        await answer.close()
    if data is None:
        raise unknown_outcome_refusal(
            Reason.UPSTREAM_FAILED, f"{source}: answer too long"
        )
    headers = _framing_headers(call, answer.head, len(data))
    head = ResponseHead(answer.head.status, headers)
    return BufferedAnswer(head, data, software_version)


async def _read_with_room(call: Call, answer: Answer, clock: Clock) -> bytes | None:
    """Return the rest of an answer, or None if it is too long.

    Raise TimedOut if there is no room for it in time. Room for an announced length is
    taken at once: answers that each wait for the rest of theirs would wait for ever.
    """
    held = call.held
    if held is None:
        return await read_to_end(answer, MAX_BUFFERED_ANSWER_BYTES)
    announced = 0
    if call.method != "HEAD" and answer.head.status not in BODYLESS_STATUSES:
        announced = int(find_header(answer.head.headers, b"content-length") or 0)
    if announced > MAX_BUFFERED_ANSWER_BYTES:
        return None
    await held.add_in_time(announced, clock, call.expires)
    size = 0

    async def count(part: int) -> None:
        nonlocal size
        size += part
        if size > announced:
            expires = min(call.expires, clock.monotonic() + MAX_PART_WAIT_SECONDS)
            await held.add_in_time(part, clock, expires)

    return await read_to_end(answer, MAX_BUFFERED_ANSWER_BYTES, count)


def _framing_headers(call: Call, head: ResponseHead, size: int) -> Headers:
    """Return the headers of an answer with the length of its body, if it has one.

    The length in an answer to HEAD and in a 304 is that of a body that is not sent, and
    a 204 has none (RFC 9110, section 8.6).
    """
    names = {b"content-length", b"transfer-encoding"}
    added = ((b"content-length", str(size).encode()),)
    if call.method == "HEAD" or head.status in BODYLESS_STATUSES:
        added = ()
        if head.status != HTTPStatus.NO_CONTENT:
            names.remove(b"content-length")
    return tuple(pair for pair in head.headers if pair[0] not in names) + added

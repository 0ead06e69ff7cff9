"""The data that moves through a gateway host."""

import math
from enum import StrEnum
from typing import NamedTuple, Protocol

from sassafraskeel.core.net import Address

Headers = tuple[tuple[bytes, bytes], ...]


class CallKind(StrEnum):
    """How a call may be executed."""

    MODEL = "model"
    READ = "read"
    ORDER = "order"


class HostInfo(NamedTuple):
    """One run of a gateway host; `incarnation` differs after every start."""

    name: str
    domain: str
    incarnation: str
    callers: Address
    gateways: Address


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share, and its length in tokens."""

    name: str
    tokens: int


class Prompt(NamedTuple):
    """What a model call has to read and may generate, in tokens."""

    model: str
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]


class RoutePolicy(NamedTuple):
    """What the route of a call allows; times are in seconds.

    `homes` are the regions that may run the call; empty means all of them.
    """

    route: str
    version: int
    repeatable: bool
    resumable: bool
    objective: float
    max_pause: float
    max_upstreams: int
    home_regions: frozenset[str] = frozenset()
    prompt: Prompt | None = None


class Call(NamedTuple):
    """The header of a call: all that routing and admission need.

    `expires` is a reading of the local monotonic clock in seconds. `hops` are the
    names of the hosts that the call has passed. `fingerprint` names the request for
    decisions.suspects; it stays on this host. Calls of a route carry its `terms`, and
    `resume_after` the id of the last event of a stream that the caller has. A call
    that has no slot at `queue_deadline` is refused, so that its caller can ask again.
    """

    call_id: str
    workspace: str
    service: str
    kind: CallKind
    method: str
    path: str
    headers: Headers
    expires: float
    priority: int = 3
    hops: tuple[str, ...] = ()
    order_id: str = ""
    stream: bool = False
    fingerprint: str = ""
    route_policy: RoutePolicy | None = None
    resume_after: str = ""
    queue_deadline: float = math.inf


def is_cancelled_with_caller(call: Call) -> bool:
    """Return whether a call ends when its caller leaves.

    An order of the own interface goes on, because its caller may ask for the result
    under the same order id; a call of a route has no such id.
    """
    return call.kind is not CallKind.ORDER or call.route_policy is not None


class ResponseHead(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Headers


class Answer(Protocol):
    """An answer that is being received."""

    head: ResponseHead

    async def read(self) -> bytes:
        """Return the next bytes, or b"" after the whole answer.

        Raises AnswerTruncated, UpstreamStalled or ConnectionLost when the answer
        ends before its end marker.
        """

    async def close(self) -> None:
        """Release the answer; abandons it upstream if it is not whole."""


class BufferedAnswer:
    """An answer that is held in memory."""

    def __init__(self, head: ResponseHead, body: bytes):
        self.head = head
        self._body = body

    async def read(self) -> bytes:
        body, self._body = self._body, b""
        return body

    async def close(self) -> None:
        self._body = b""


async def read_to_end(answer: Answer, max_bytes: int) -> bytes | None:
    """Return the rest of an answer, or None if it is longer than `max_bytes`."""
    parts = []
    size = 0
    while data := await answer.read():
        size += len(data)
        if size > max_bytes:
            return None
        parts.append(data)
    return b"".join(parts)

"""Data types shared by the packages of a gateway host."""

import math
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from sassafraskeel.core.held_memory import HeldMemory
from sassafraskeel.core.net import Address

Headers = tuple[tuple[bytes, bytes], ...]

# What a call's answer has brought by its end may still be written for this long.
ANSWER_WRITE_SECONDS = 0.2
# Before a call goes on at another upstream, the one before may take this long to close
# its connection. It may be silent for a second or so without being lost, and may run
# the call for 0.4 s more.
STOP_SECONDS = 0.6


class CallKind(StrEnum):
    """The kind of a call, which decides how it may be executed."""

    MODEL = "model"
    READ = "read"
    ORDER = "order"


class HostInfo(NamedTuple):
    """One run of a gateway host; every start has a new `incarnation`.

    `capacity` is the speed of the host in processor cores.
    """

    name: str
    domain: str
    incarnation: str
    callers: Address
    gateways: Address
    capacity: float = 1.0


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share, and its length in tokens."""

    name: str
    tokens: int


class Prompt(NamedTuple):
    """The prompt of a model call and the limit of its output, in tokens."""

    model: str
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]


class RoutePolicy(NamedTuple):
    """What the route of a call allows, and the call's prompt; times are in seconds.

    `home_regions` are the regions that may run the call; if empty, all regions may.
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


class RouteServices(NamedTuple):
    """The services that a route may use.

    Calls with the same id have gone to the same one of them since `unchanged_since`, in
    monotonic seconds.
    """

    names: tuple[str, ...]
    unchanged_since: float = -math.inf


class Call(NamedTuple):
    """The header of a call: everything that routing and admission need.

    `expires` and `queue_deadline` are times of the local monotonic clock in seconds. An
    answer that has begun may last until `answer_expires`, if that is later. A
    call that has no slot at `queue_deadline` is refused, so that its caller can retry.
    `hops` are the names of the hosts that forwarded the call. `fingerprint` identifies
    the request in decisions.suspects or decisions.crash_evidence and is not sent along
    with a forwarded call. Calls of a route have a `route_policy`; their `resume_after`
    is the id of the last event of a stream that the caller has received.

    A forwarded call of a route states how long its host must stay: for `run_seconds`
    after it was sent to a replica, but not after `needed_until`, a time of the local
    monotonic clock. `run_seconds` is finite only if the forwarding host can continue
    the call elsewhere after a cut.

    A call that takes up a stream names in `resumes` the attempt of its caller that
    brought the first event. It may run only at replicas with its `software_version`,
    or at any if that is empty. `route_services` are known at the host of the caller
    only. `held` counts what its connection to this host holds, its answer included.
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
    needed_until: float = math.inf
    run_seconds: float = math.inf
    resumes: str = ""
    software_version: str = ""
    route_services: RouteServices | None = None
    held: HeldMemory | None = None
    answer_expires: float = -math.inf

    @property
    def ends_by(self) -> float:
        """Return when the answer must have ended, in monotonic seconds."""
        return max(self.expires, self.answer_expires)


def is_cancelled_with_caller(call: Call) -> bool:
    """Return whether a call is cancelled when its caller disconnects.

    An order of the sheet interface continues, because its caller may ask for the
    result with the same order id; a call of a route has no order id.
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
        """Return the next bytes, or b"" at the end of the answer.

        Raise AnswerTruncated, UpstreamStalled or ConnectionLost if the answer ends
        before its end marker.
        """

    async def close(self) -> None:
        """Release the answer; abandon it at the upstream if it is incomplete."""


class StoppableAnswer(Answer, Protocol):
    """An answer whose call may go on at another upstream."""

    async def stop(self) -> None:
        """Close the answer once its upstream has closed its end of the connection.

        Close it after STOP_SECONDS at the latest.
        """


class BufferedAnswer:
    """An answer that is held in memory.

    `software_version` is that of the replica that wrote it, "" if it is unknown.
    """

    def __init__(self, head: ResponseHead, body: bytes, software_version: str = ""):
        self.head = head
        self.software_version = software_version
        self._body = body

    async def read(self) -> bytes:
        body, self._body = self._body, b""
        return body

    async def close(self) -> None:
        self._body = b""


async def read_to_end(
    answer: Answer,
    max_bytes: int,
    on_data: Callable[[int], Awaitable[None]] | None = None,
) -> bytes | None:
    """Return the rest of an answer, or None if it is longer than `max_bytes`.

    `on_data` is called with the size of each part; what it raises ends the reading.
    """
    parts = []
    size = 0
    while data := await answer.read():
        size += len(data)
        if size > max_bytes:
            return None
        if on_data is not None:
            await on_data(len(data))
        parts.append(data)
    return b"".join(parts)

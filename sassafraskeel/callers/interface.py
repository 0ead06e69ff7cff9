"""Interfaces to callers: how their requests and the answers are encoded."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

import h11

from sassafraskeel.callers.refusals import encode_refusal
from sassafraskeel.core.errors import Reason, Refusal, not_run_refusal
from sassafraskeel.core.http_requests import RequestTimeouts
from sassafraskeel.core.types import Call, Headers, ResponseHead

METRICS_PATH = b"/metrics"
DIRECT_LIMITS = RequestTimeouts(idle=15.0, head=3.0, body=3.0)


class DirectAnswer(NamedTuple):
    """An answer that the host gives without dispatching a call."""

    head: ResponseHead
    body: bytes


class CallerInterface(Protocol):
    """Decodes the requests of callers and encodes the answers to them."""

    def limits(self) -> RequestTimeouts:
        """Return the time limits for a request of a caller."""

    def max_body_bytes(self) -> int:
        """Return the size of the largest body that is accepted."""

    def call_id(self, request: h11.Request, default: str) -> str:
        """Return the id for log lines: one from the request, or `default`."""

    def answer_directly(self, request: h11.Request) -> DirectAnswer | None:
        """Return the answer to a request that is not a call; raise Refusal."""

    async def wait_ready(self) -> None:
        """Wait until calls can be served, or until a bounded time has passed."""

    def read_call(self, request: h11.Request, call_id: str, now: float) -> Call:
        """Return the call of a request; raise Refusal if it is malformed."""

    def refusal_answer(
        self, refusal: Refusal, call: Call | None, call_id: str
    ) -> DirectAnswer:
        """Return the answer that reports a refusal."""

    def answer_headers(self, call_id: str, headers: Headers) -> Headers:
        """Return the headers of an answer to a call."""


class DirectInterface:
    """The base class of interfaces that only give direct answers and serve no calls."""

    def limits(self) -> RequestTimeouts:
        return DIRECT_LIMITS

    def max_body_bytes(self) -> int:
        return 0

    def call_id(self, request: h11.Request, default: str) -> str:
        return default

    def answer_directly(self, request: h11.Request) -> DirectAnswer | None:
        raise not_run_refusal(Reason.BAD_REQUEST, "the path is not known")

    async def wait_ready(self) -> None:
        return

    def read_call(self, request: h11.Request, call_id: str, now: float) -> Call:
        raise not_run_refusal(Reason.BAD_REQUEST, "this listener does not accept calls")

    def refusal_answer(
        self, refusal: Refusal, call: Call | None, call_id: str
    ) -> DirectAnswer:
        return DirectAnswer(*encode_refusal(refusal))

    def answer_headers(self, call_id: str, headers: Headers) -> Headers:
        return headers


class MetricsInterface(DirectInterface):
    """Serves the metrics of a host as text."""

    def __init__(self, text: Callable[[], bytes]):
        self._text = text

    def answer_directly(self, request: h11.Request) -> DirectAnswer | None:
        if request.target.partition(b"?")[0] != METRICS_PATH:
            raise not_run_refusal(Reason.BAD_REQUEST, "the path is not known")
        return DirectAnswer(
            ResponseHead(200, ((b"content-type", b"text/plain"),)), self._text()
        )

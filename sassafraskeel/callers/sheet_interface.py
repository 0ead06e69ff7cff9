"""The interface to callers of the services of a sheet."""

import json
from urllib.parse import parse_qs

import h11

from sassafraskeel.callers.interface import DirectAnswer
from sassafraskeel.callers.refusals import JSON_HEADER, encode_refusal
from sassafraskeel.callers.requests import parse_call
from sassafraskeel.calls.request_tracker import RequestTracker
from sassafraskeel.calls.sheet_calls import SheetCalls
from sassafraskeel.core.errors import Reason, Refusal, not_run_refusal
from sassafraskeel.core.http_requests import RequestTimeouts
from sassafraskeel.core.settings import CallerSection
from sassafraskeel.core.types import Call, Headers, ResponseHead
from sassafraskeel.decisions.directory import choose_hosts
from sassafraskeel.decisions.membership import Membership

CALL_ID_HEADER = b"x-call-id"


class SheetInterface:
    """The interface to the services of a sheet: calls below /w/, directory, health."""

    def __init__(
        self,
        cfg: CallerSection,
        dispatcher: SheetCalls,
        membership: Membership,
        request_tracker: RequestTracker,
    ):
        self._cfg = cfg
        self._dispatcher = dispatcher
        self._membership = membership
        self._request_tracker = request_tracker
        self._limits = RequestTimeouts(
            cfg.idle_timeout.total_seconds(),
            cfg.head_timeout.total_seconds(),
            cfg.body_timeout.total_seconds(),
        )

    def limits(self) -> RequestTimeouts:
        return self._limits

    def max_body_bytes(self) -> int:
        return self._cfg.max_body_bytes

    def call_id(self, request: h11.Request, default: str) -> str:
        return default

    def answer_directly(self, request: h11.Request) -> DirectAnswer | None:
        path, _, query = request.target.decode("latin-1").partition("?")
        if path.startswith("/w/"):
            return None
        if request.method not in (b"GET", b"HEAD"):
            raise not_run_refusal(Reason.BAD_REQUEST, "method not allowed")
        if path == "/v1/directory":
            content = self._directory(parse_qs(query, max_num_fields=16))
        elif path == "/health":
            content = self._health()
        else:
            raise not_run_refusal(Reason.BAD_REQUEST, "the path is not known")
        return DirectAnswer(
            ResponseHead(200, (JSON_HEADER,)), json.dumps(content).encode()
        )

    async def wait_ready(self) -> None:
        return

    def read_call(self, request: h11.Request, call_id: str, now: float) -> Call:
        self._request_tracker.check_caller()
        return parse_call(request, self._cfg, self._dispatcher.sheet(), call_id, now)

    def refusal_answer(
        self, refusal: Refusal, call: Call | None, call_id: str
    ) -> DirectAnswer:
        head, body = encode_refusal(refusal)
        if call_id:
            headers = (*head.headers, (CALL_ID_HEADER, call_id.encode()))
            head = ResponseHead(head.status, headers)
        return DirectAnswer(head, body)

    def answer_headers(self, call_id: str, headers: Headers) -> Headers:
        kept = [pair for pair in headers if pair[0] != CALL_ID_HEADER]
        return (*kept, (CALL_ID_HEADER, call_id.encode()))

    def _health(self) -> dict:
        return {
            "status": "draining" if self._request_tracker.draining else "ok",
            "sheet_version": self._dispatcher.sheet_version(),
        }

    def _directory(self, query) -> dict:
        workspace = query.get("workspace", [""])[0]
        service = query.get("service", [""])[0]
        local_host = self._membership.local_host
        hosts = self._dispatcher.known_hosts()
        if not self._request_tracker.draining:
            hosts.append(local_host)
        chosen = choose_hosts(
            self._dispatcher.sheet(), workspace, service, hosts, local_host.domain
        )
        return {
            "hosts": [
                {"address": str(host.callers), "domain": host.domain, "name": host.name}
                for host in chosen
            ],
            "ttl_s": self._cfg.directory_ttl.total_seconds(),
        }

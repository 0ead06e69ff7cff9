"""Workloads of the deployments cooperativa and atlas, and the requests of calls."""

import json
import uuid
from datetime import datetime
from typing import NamedTuple

from sassafraskeel.core.types import CallKind

# Different prompt prefixes (lots, catalogues) of one kind of call in a workspace.
PROMPT_PREFIXES = 24
PROMPT_PREFIX_CHARACTERS = 96
UUIDV7_RANDOM_BITS = 74


class CallTemplate(NamedTuple):
    """A kind of call; `weight` is its share of all calls, `deadline` is in seconds."""

    name: str
    kind: CallKind
    weight: float
    deadline: float
    tokens: int = 0
    priority: int = 3
    stream: bool = False


class HttpCall(NamedTuple):
    """An HTTP request of a call."""

    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


WORKLOADS = {
    "cooperativa": (
        CallTemplate("lot summary", CallKind.MODEL, 0.35, 3.0, tokens=24, priority=4),
        CallTemplate(
            "cellar question", CallKind.MODEL, 0.4, 1.5, tokens=12, priority=1
        ),
        CallTemplate("weighing", CallKind.ORDER, 0.1, 3.0),
        CallTemplate("lot lookup", CallKind.READ, 0.15, 2.0),
    ),
    "atlas": (
        CallTemplate(
            "draft", CallKind.MODEL, 0.3, 5.0, tokens=40, priority=5, stream=True
        ),
        CallTemplate("quote chat", CallKind.MODEL, 0.45, 2.0, tokens=8, priority=3),
        CallTemplate("order", CallKind.ORDER, 0.1, 3.0),
        CallTemplate("stock read", CallKind.READ, 0.15, 2.0),
    ),
}


def build_request(
    template: CallTemplate,
    workspace: str,
    services: dict[CallKind, str],
    number: int,
    now: datetime,
) -> HttpCall:
    """Return the request of a call; `number` determines its content."""
    base = f"/w/{workspace}/{services[template.kind]}"
    headers = (
        (b"x-deadline-ms", str(int(template.deadline * 1000)).encode()),
        (b"priority", f"u={template.priority}".encode()),
    )
    if template.kind is CallKind.READ:
        return HttpCall("GET", f"{base}/items/{number % 1000}", headers, b"")
    if template.kind is CallKind.ORDER:
        order_id = build_order_id(now, number)
        headers += ((b"idempotency-key", order_id.encode()),)
        return HttpCall("POST", f"{base}/orders", headers, b"{}")
    prefix = f"{workspace} {template.name} {number % PROMPT_PREFIXES} ".ljust(
        PROMPT_PREFIX_CHARACTERS
    )
    content = {
        "messages": [{"role": "user", "content": f"{prefix}{number}"}],
        "max_tokens": template.tokens,
        "stream": template.stream,
    }
    body = json.dumps(content).encode()
    return HttpCall("POST", f"{base}/v1/chat/completions", headers, body)


def build_order_id(now: datetime, number: int) -> str:
    """Return a UUIDv7 (RFC 9562); its random bits derive from time and number."""
    bits = uuid.uuid5(uuid.NAMESPACE_OID, f"{now.isoformat()}{number}").int
    bits &= (1 << UUIDV7_RANDOM_BITS) - 1
    value = int(now.timestamp() * 1000) << 80 | 7 << 76 | (bits >> 62) << 64
    return str(uuid.UUID(int=value | 2 << 62 | bits & ((1 << 62) - 1)))

"""Which replica is likely to hold the prefix of a prompt in its cache."""

import hashlib
import hmac
import json
from typing import NamedTuple

from sassafraskeel.core.types import Call, CallKind

PREFIX_CHARACTERS = 64
FINGERPRINT_BYTES = 16
# Longer bodies are not decoded a second time; their first bytes stand for them.
MAX_DECODED_BYTES = 256 * 1024
MAX_LOAD_RATIO = 1.25


class CallProfile(NamedTuple):
    """What routing needs of a body: keyed fingerprint and class of work."""

    fingerprint: bytes
    work_class: str


def call_profile(call: Call, body: bytes, key: bytes) -> CallProfile:
    """Return the profile of a call; only a keyed hash of the prompt is kept."""
    if call.kind is not CallKind.MODEL:
        return CallProfile(b"", call.kind.value)
    prefix, tokens = _prefix_and_tokens(body)
    text = f"{call.workspace}\0{call.service}\0{prefix}".encode(errors="replace")
    digest = hmac.digest(key, text, "sha256")
    return CallProfile(digest[:FINGERPRINT_BYTES], f"model-{tokens.bit_length()}")


def _prefix_and_tokens(body: bytes) -> tuple[str, int]:
    try:
        if len(body) > MAX_DECODED_BYTES:
            raise ValueError
        content = json.loads(body)
        prompt = "".join(str(entry["content"]) for entry in content["messages"])
        return prompt[:PREFIX_CHARACTERS], int(content.get("max_tokens", 0))
    except (
        ValueError,
        KeyError,
        TypeError,
        ArithmeticError,
        AttributeError,
        RecursionError,
    ):
        # The upstream judges the body; here it only has no known prefix.
        return body[:PREFIX_CHARACTERS].decode("latin-1"), 0


def rendezvous(fingerprint: bytes, names: list[str]) -> list[str]:
    """Return names in the order in which they are preferred for a fingerprint."""

    def score(name):
        return hashlib.blake2b(name.encode(), key=fingerprint, digest_size=8).digest()

    return sorted(names, key=score, reverse=True)


def bounded_load_choice(fingerprint: bytes, loads: dict[str, float]) -> str:
    """Return the first preferred name whose load is within the bound."""
    bound = MAX_LOAD_RATIO * sum(loads.values()) / len(loads)
    order = rendezvous(fingerprint, list(loads))
    for name in order:
        if loads[name] <= bound:
            return name
    return order[0]

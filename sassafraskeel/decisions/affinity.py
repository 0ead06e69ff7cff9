"""Cache affinity: which upstream is likely to have the prefix of a prompt cached."""

import hashlib
import hmac
import json
from typing import NamedTuple

from sassafraskeel.core.types import Call, CallKind

PREFIX_CHARACTERS = 64
FINGERPRINT_BYTES = 16
# Longer bodies are not decoded a second time; their first bytes serve as the prefix.
MAX_DECODED_BYTES = 256 * 1024
# An upstream above this multiple of the mean load is passed over.
MAX_LOAD_RATIO = 1.25


class CallProfile(NamedTuple):
    """The keyed fingerprint of a prompt prefix, and the class of work for estimates."""

    fingerprint: bytes
    work_class: str


def call_profile(call: Call, body: bytes, key: bytes) -> CallProfile:
    """Return the profile of a call; it holds only a keyed hash of the prompt."""
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
        # The upstream validates the body; here its first bytes serve as the prefix.
        return body[:PREFIX_CHARACTERS].decode("latin-1"), 0


def rendezvous(fingerprint: bytes, names: list[str]) -> list[str]:
    """Return names in order of preference for a fingerprint (rendezvous hashing)."""
    if len(fingerprint) > hashlib.blake2b.MAX_KEY_SIZE:
        fingerprint = hashlib.blake2b(fingerprint).digest()

    def score(name):
        return hashlib.blake2b(name.encode(), key=fingerprint, digest_size=8).digest()

    return sorted(names, key=score, reverse=True)


def bounded_load_choice(fingerprint: bytes, loads: dict[str, float]) -> str:
    """Return the most preferred name with at most MAX_LOAD_RATIO of the mean load."""
    bound = MAX_LOAD_RATIO * sum(loads.values()) / len(loads)
    order = rendezvous(fingerprint, list(loads))
    for name in order:
        if loads[name] <= bound:
            return name
    return order[0]

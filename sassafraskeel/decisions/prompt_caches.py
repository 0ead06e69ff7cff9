"""Estimates which parts of prompts the KV cache of each replica holds."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from sassafraskeel.core.types import Prompt, PromptPart
from sassafraskeel.decisions.affinity import rendezvous

# Parts recorded for each replica; its KV cache holds fewer.
MAX_PARTS = 4096
# Shared parts with fewer tokens are prefilled again in less than 25 ms, and announcing
# each of them would take up most of the heartbeats.
MIN_ANNOUNCED_TOKENS = 1000
# Prefixes kept for the next heartbeats; older ones are no longer announced.
MAX_SENT_PREFIXES = 256
# Prefixes in one heartbeat; a host sends about ten prompts of this size a second.
MAX_ANNOUNCED_PREFIXES = 16


class SentPrefix(NamedTuple):
    """The shared parts of a prompt sent to a replica; `number` counts per sender."""

    number: int
    replica: str
    parts: tuple[PromptPart, ...]


class PromptCaches:
    """Records the prompt parts sent to each replica, and drops the least recently used.

    In heartbeats, hosts announce the large shared parts that they have sent.
    """

    def __init__(self):
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._sent_prefixes: deque[SentPrefix] = deque(maxlen=MAX_SENT_PREFIXES)
        self._number = 0

    def record_prompt(self, replica: str, prompt: Prompt, kv_cache_tokens: int) -> None:
        """Record a prompt that is sent to a replica.

        `kv_cache_tokens` is the size of the replica's KV cache.
        """
        self._record(replica, prompt.parts, kv_cache_tokens)
        if shared_tokens(prompt) >= MIN_ANNOUNCED_TOKENS:
            self._number += 1
            self._sent_prefixes.append(
                SentPrefix(self._number, replica, prompt.parts[:-1])
            )

    def record_remote(self, prefix: SentPrefix, kv_cache_tokens: int) -> None:
        """Record a prefix that another host has sent to a replica."""
        self._record(prefix.replica, prefix.parts, kv_cache_tokens)

    def prefixes_after(self, number: int) -> list[SentPrefix]:
        """Return the newest prefixes sent by the local host after `number`.

        At most MAX_ANNOUNCED_PREFIXES are returned, oldest first.
        """
        return [prefix for prefix in self._sent_prefixes if prefix.number > number][
            -MAX_ANNOUNCED_PREFIXES:
        ]

    def _record(self, replica, parts: Iterable[PromptPart], kv_cache_tokens) -> None:
        known = self._parts.setdefault(replica, OrderedDict())
        for part in parts:
            known.pop(part.name, None)
            known[part.name] = part.tokens
        kept = sum(known.values())
        while known and (len(known) > MAX_PARTS or kept > kv_cache_tokens):
            kept -= known.popitem(last=False)[1]

    def cached_tokens(self, replica: str, prompt: Prompt) -> int:
        """Return the estimated number of leading tokens that a replica has cached."""
        parts = self._parts.get(replica)
        tokens = 0
        for part in prompt.parts:
            if not parts or part.name not in parts:
                break
            tokens += part.tokens
        return tokens

    def retain(self, replicas: set[str]) -> None:
        """Forget all replicas except the given ones."""
        for name in [name for name in self._parts if name not in replicas]:
            del self._parts[name]


def shared_tokens(prompt: Prompt) -> int:
    """Return the number of tokens in the parts that other requests share."""
    return sum(part.tokens for part in prompt.parts[:-1])


def preferred_replica(prompt: Prompt, replicas: Iterable[str]) -> str:
    """Return the replica that all hosts prefer for a prompt (rendezvous hashing)."""
    if len(prompt.parts) < 2:
        return ""
    ranked = rendezvous(prompt.parts[-2].name.encode(), list(replicas))
    return ranked[0] if ranked else ""

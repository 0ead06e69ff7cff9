"""Which parts of prompts a replica is believed to hold in its memory."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from sassafraskeel.core.types import Prompt, PromptPart
from sassafraskeel.decisions.affinity import rendezvous

# Parts kept for each replica; a replica's own memory holds fewer.
MAX_PARTS = 4096
# Shared parts of fewer tokens are read again in less than 25 ms, and telling of each
# would take most of the heartbeats.
MIN_ANNOUNCED_TOKENS = 1000
# Reads that are kept for the next heartbeats; older ones are not told any more.
MAX_SENT_PREFIXES = 256
# Reads in one heartbeat; a host sends about ten such prompts a second.
MAX_ANNOUNCED_PREFIXES = 16


class SentPrefix(NamedTuple):
    """The shared parts of a prompt that a replica was sent; numbered by this host."""

    number: int
    replica: str
    parts: tuple[PromptPart, ...]


class PromptCaches:
    """Parts that replicas were sent, the least recently used dropped first.

    The sends of other hosts are known from their heartbeats, for large shared parts.
    """

    def __init__(self):
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._sent_prefixes: deque[SentPrefix] = deque(maxlen=MAX_SENT_PREFIXES)
        self._number = 0

    def record_prompt(self, replica: str, prompt: Prompt, kv_cache_tokens: int) -> None:
        """Record that a replica reads a prompt; it keeps at most `kv_cache_tokens`."""
        self._record(replica, prompt.parts, kv_cache_tokens)
        if shared_tokens(prompt) >= MIN_ANNOUNCED_TOKENS:
            self._number += 1
            self._sent_prefixes.append(
                SentPrefix(self._number, replica, prompt.parts[:-1])
            )

    def record_remote(self, prefix: SentPrefix, kv_cache_tokens: int) -> None:
        """Record what another host sent."""
        self._record(prefix.replica, prefix.parts, kv_cache_tokens)

    def prefixes_after(self, number: int) -> list[SentPrefix]:
        """Return the newest of the own reads after a number."""
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
        """Return the leading tokens of a prompt that a replica is believed to hold."""
        parts = self._parts.get(replica)
        tokens = 0
        for part in prompt.parts:
            if not parts or part.name not in parts:
                break
            tokens += part.tokens
        return tokens

    def retain(self, replicas: set[str]) -> None:
        """Forget the replicas that are gone."""
        for name in [name for name in self._parts if name not in replicas]:
            del self._parts[name]


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of the parts that other requests share."""
    return sum(part.tokens for part in prompt.parts[:-1])


def preferred_replica(prompt: Prompt, replicas: Iterable[str]) -> str:
    """Return the replica that all hosts prefer for a prompt (rendezvous hashing)."""
    if len(prompt.parts) < 2:
        return ""
    ranked = rendezvous(prompt.parts[-2].name.encode(), list(replicas))
    return ranked[0] if ranked else ""

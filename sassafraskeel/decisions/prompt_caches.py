"""Estimates which parts of prompts the KV cache of each replica holds."""

from collections import OrderedDict
from collections.abc import Iterable

from sassafraskeel.core.types import Prompt
from sassafraskeel.decisions.affinity import rendezvous

# Parts recorded for each replica; its KV cache holds fewer.
MAX_PARTS = 4096
# Parts recorded for all replicas, 209 bytes each. At 80 replicas of a region, each may
# have 409, as many as fill a KV cache of 256,000 tokens with 628 tokens each.
MAX_ALL_PARTS = 32_768


class PromptCaches:
    """Records the prompt parts sent to each replica, and drops the least recently used.

    The coordinator of a region records the prompts of all hosts of the region.
    """

    def __init__(self):
        self._parts: dict[str, OrderedDict[str, int]] = {}

    def record_prompt(self, replica: str, prompt: Prompt, kv_cache_tokens: int) -> None:
        """Record a prompt that is sent to a replica.

        `kv_cache_tokens` is the size of the replica's KV cache.
        """
        known = self._parts.setdefault(replica, OrderedDict())
        for part in prompt.parts:
            known.pop(part.name, None)
            known[part.name] = part.tokens
        kept = sum(known.values())
        while known and (len(known) > MAX_PARTS or kept > kv_cache_tokens):
            kept -= known.popitem(last=False)[1]
        self._drop_excess()

    def _drop_excess(self) -> None:
        """Drop parts of the replica that has the most of them while there are too many.

        Parts without tokens fill no KV cache, so that clients could fill the tables of
        all replicas.
        """
        excess = sum(len(parts) for parts in self._parts.values()) - MAX_ALL_PARTS
        while excess > 0:
            largest = max(self._parts.values(), key=len)
            for _ in range(min(excess, len(largest))):
                largest.popitem(last=False)
                excess -= 1

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

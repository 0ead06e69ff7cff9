"""Which parts of prompts a replica is believed to hold in its memory."""

from collections import OrderedDict
from collections.abc import Iterable

from sassafraskeel.core.types import Prompt
from sassafraskeel.decisions.affinity import rendezvous

# Parts kept for each replica; a replica's own memory holds fewer.
MAX_PARTS = 4096


class PromptCaches:
    """Parts that this host had replicas read, the least recently used dropped first."""

    def __init__(self):
        self._parts: dict[str, OrderedDict[str, int]] = {}

    def read(self, replica: str, prompt: Prompt, memory_tokens: int) -> None:
        """Record that a replica reads a prompt; it keeps at most `memory_tokens`."""
        parts = self._parts.setdefault(replica, OrderedDict())
        for part in prompt.parts:
            parts.pop(part.name, None)
            parts[part.name] = part.tokens
        kept = sum(parts.values())
        while parts and (len(parts) > MAX_PARTS or kept > memory_tokens):
            kept -= parts.popitem(last=False)[1]

    def held(self, replica: str, prompt: Prompt) -> int:
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

    def forget(self, replica: str) -> None:
        """Forget what a replica held before it restarted."""
        self._parts.pop(replica, None)


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of the parts that other requests share."""
    return sum(part.tokens for part in prompt.parts[:-1])


def preferred(prompt: Prompt, replicas: Iterable[str]) -> str:
    """Return the replica that all hosts prefer for a prompt (rendezvous hashing)."""
    if len(prompt.parts) < 2:
        return ""
    ranked = rendezvous(prompt.parts[-2].name.encode(), list(replicas))
    return ranked[0] if ranked else ""

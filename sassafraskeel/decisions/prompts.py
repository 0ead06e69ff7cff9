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
TOLD_TOKENS = 1000
# Reads that are kept for the next heartbeats; older ones are not told any more.
MAX_READS = 256
# Reads in one heartbeat; a host sends about ten such prompts a second.
MAX_TOLD = 16


class Read(NamedTuple):
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
        self._reads: deque[Read] = deque(maxlen=MAX_READS)
        self._number = 0

    def read(self, replica: str, prompt: Prompt, memory_tokens: int) -> None:
        """Record that a replica reads a prompt; it keeps at most `memory_tokens`."""
        self._record(replica, prompt.parts, memory_tokens)
        if shared_tokens(prompt) >= TOLD_TOKENS:
            self._number += 1
            self._reads.append(Read(self._number, replica, prompt.parts[:-1]))

    def told(self, read: Read, memory_tokens: int) -> None:
        """Record what another host sent."""
        self._record(read.replica, read.parts, memory_tokens)

    def reads_after(self, number: int) -> list[Read]:
        """Return the newest of the own reads after a number."""
        return [read for read in self._reads if read.number > number][-MAX_TOLD:]

    def _record(self, replica, parts: Iterable[PromptPart], memory_tokens) -> None:
        known = self._parts.setdefault(replica, OrderedDict())
        for part in parts:
            known.pop(part.name, None)
            known[part.name] = part.tokens
        kept = sum(known.values())
        while known and (len(known) > MAX_PARTS or kept > memory_tokens):
            kept -= known.popitem(last=False)[1]

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


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of the parts that other requests share."""
    return sum(part.tokens for part in prompt.parts[:-1])


def preferred(prompt: Prompt, replicas: Iterable[str]) -> str:
    """Return the replica that all hosts prefer for a prompt (rendezvous hashing)."""
    if len(prompt.parts) < 2:
        return ""
    ranked = rendezvous(prompt.parts[-2].name.encode(), list(replicas))
    return ranked[0] if ranked else ""

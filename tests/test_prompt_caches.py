"""Tests of the estimates of cached prompts."""

from unittest import TestCase

from sassafraskeel.core.types import Prompt, PromptPart
from sassafraskeel.decisions.prompt_caches import (
    MAX_ALL_PARTS,
    MAX_PARTS,
    PromptCaches,
    preferred_replica,
)

MEMORY = 100_000


def prompt(*parts):
    tokens = sum(count for _, count in parts)
    return Prompt("m", tokens, 50, tuple(PromptPart(*part) for part in parts))


LONG = prompt(("system", 1200), ("lot", 900), ("own", 300))


class PromptCachesTest(TestCase):
    def setUp(self):
        self.caches = PromptCaches()

    def test_shared_parts(self):
        """Guards against a shared part that counts at a replica that never got it."""
        self.caches.record_prompt("r-1", LONG, MEMORY)
        other = prompt(("system", 1200), ("lot", 900), ("other", 300))
        self.assertEqual(self.caches.cached_tokens("r-1", other), 2100)
        self.assertEqual(self.caches.cached_tokens("r-2", other), 0)

    def test_bound(self):
        """Guards against a table that grows with every prompt of a replica."""
        for number in range(MAX_PARTS + 10):
            self.caches.record_prompt("r-1", prompt((f"p-{number}", 0)), MEMORY)
        self.assertEqual(len(self.caches._parts["r-1"]), MAX_PARTS)

    def test_bound_of_all(self):
        """Guards against a table that grows with the replicas of a region.

        Clients choose names, and parts without tokens fill no KV cache.
        """
        self.caches.record_prompt("r-sound", LONG, MEMORY)
        for replica in range(80):
            for number in range(16):
                parts = ((f"{replica}-{number}-{part}", 0) for part in range(256))
                self.caches.record_prompt(f"r-{replica}", prompt(*parts), MEMORY)
        kept = sum(len(parts) for parts in self.caches._parts.values())
        self.assertLessEqual(kept, MAX_ALL_PARTS)
        self.assertEqual(self.caches.cached_tokens("r-sound", LONG), 2400)

    def test_long_names(self):
        """Guards against calls that fail because their parts have long names."""
        replicas = ["r-1", "r-2", "r-3"]
        chosen = set()
        for number in range(20):
            parts = prompt((f"{'a' * 64}{number}", 10), ("own", 1))
            chosen.add(preferred_replica(parts, replicas))
        self.assertEqual(chosen, set(replicas))

    def test_gone_replica(self):
        """Guards against prompts that count at a replica that started again."""
        self.caches.record_prompt("r-1", LONG, MEMORY)
        self.caches.retain({"r-2"})
        self.assertEqual(self.caches.cached_tokens("r-1", LONG), 0)

    def test_least_recently_used(self):
        """Guards against parts that count as cached although the cache is full."""
        self.caches.record_prompt("r-1", LONG, 2500)
        self.caches.record_prompt("r-1", prompt(("other", 600), ("mine", 100)), 2500)
        self.assertEqual(self.caches.cached_tokens("r-1", LONG), 0)
        self.assertEqual(self.caches.cached_tokens("r-1", prompt(("lot", 900))), 900)

    def test_first_part_missing(self):
        """Guards against cached parts that count although an earlier one is missing."""
        self.caches.record_prompt("r-1", prompt(("lot", 900), ("own", 1)), MEMORY)
        self.assertEqual(self.caches.cached_tokens("r-1", LONG), 0)

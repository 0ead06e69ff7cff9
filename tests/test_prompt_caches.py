"""Tests of the estimates of cached prompts, and of their announcement."""

from unittest import TestCase

from sassafraskeel.core.types import Prompt, PromptPart
from sassafraskeel.decisions.prompt_caches import MAX_ANNOUNCED_PREFIXES, PromptCaches

MEMORY = 100_000


def prompt(*parts):
    tokens = sum(count for _, count in parts)
    return Prompt("m", tokens, 50, tuple(PromptPart(*part) for part in parts))


LONG = prompt(("system", 1200), ("lot", 900), ("own", 300))
SHORT = prompt(("system", 200), ("own", 300))


class PromptCachesTest(TestCase):
    def setUp(self):
        self.local_caches, self.remote_caches = PromptCaches(), PromptCaches()

    def test_announced_prefix(self):
        """Guards against hosts that do not learn which shared parts are cached."""
        self.local_caches.record_prompt("r-1", LONG, MEMORY)
        for prefix in self.local_caches.prefixes_after(0):
            self.remote_caches.record_remote(prefix, MEMORY)
        self.assertEqual(self.remote_caches.cached_tokens("r-1", LONG), 2100)
        self.assertEqual(self.remote_caches.cached_tokens("r-2", LONG), 0)

    def test_short_parts_are_not_announced(self):
        """Guards against heartbeats that are filled up by short prompts."""
        self.local_caches.record_prompt("r-1", SHORT, MEMORY)
        self.assertEqual(self.local_caches.prefixes_after(0), [])

    def test_announced_once(self):
        """Guards against prefixes that are announced twice or without a limit."""
        for _ in range(2 * MAX_ANNOUNCED_PREFIXES):
            self.local_caches.record_prompt("r-1", LONG, MEMORY)
        prefixes = self.local_caches.prefixes_after(0)
        self.assertEqual(len(prefixes), MAX_ANNOUNCED_PREFIXES)
        self.assertEqual(self.local_caches.prefixes_after(prefixes[-1].number), [])

    def test_least_recently_used(self):
        """Guards against parts that count as cached although the cache is full."""
        self.local_caches.record_prompt("r-1", LONG, 2500)
        self.local_caches.record_prompt(
            "r-1", prompt(("other", 600), ("mine", 100)), 2500
        )
        self.assertEqual(self.local_caches.cached_tokens("r-1", LONG), 0)
        self.assertEqual(
            self.local_caches.cached_tokens("r-1", prompt(("lot", 900))), 900
        )

    def test_first_part_missing(self):
        """Guards against cached parts that count although an earlier one is missing."""
        self.local_caches.record_prompt("r-1", prompt(("lot", 900), ("own", 1)), MEMORY)
        self.assertEqual(self.local_caches.cached_tokens("r-1", LONG), 0)

"""What hosts know of the prompts that replicas keep."""

from unittest import TestCase

from sassafraskeel.core.types import Prompt, PromptPart
from sassafraskeel.decisions.prompts import MAX_TOLD, PromptCaches

MEMORY = 100_000


def prompt(*parts):
    tokens = sum(count for _, count in parts)
    return Prompt("m", tokens, 50, tuple(PromptPart(*part) for part in parts))


LONG = prompt(("system", 1200), ("lot", 900), ("own", 300))
SHORT = prompt(("system", 200), ("own", 300))


class PromptCachesTest(TestCase):
    def setUp(self):
        self.own, self.other = PromptCaches(), PromptCaches()

    def test_told(self):
        """Guards against shared parts that are read again for want of knowledge."""
        self.own.read("r-1", LONG, MEMORY)
        for read in self.own.reads_after(0):
            self.other.told(read, MEMORY)
        self.assertEqual(self.other.held("r-1", LONG), 2100)
        self.assertEqual(self.other.held("r-2", LONG), 0)

    def test_short_parts_are_not_told(self):
        """Guards against heartbeats that are filled with short prompts."""
        self.own.read("r-1", SHORT, MEMORY)
        self.assertEqual(self.own.reads_after(0), [])

    def test_told_once(self):
        """Guards against reads that are told again, or without a bound."""
        for _ in range(2 * MAX_TOLD):
            self.own.read("r-1", LONG, MEMORY)
        reads = self.own.reads_after(0)
        self.assertEqual(len(reads), MAX_TOLD)
        self.assertEqual(self.own.reads_after(reads[-1].number), [])

    def test_least_recently_used(self):
        """Guards against parts that are believed held after the memory is full."""
        self.own.read("r-1", LONG, 2500)
        self.own.read("r-1", prompt(("other", 600), ("mine", 100)), 2500)
        self.assertEqual(self.own.held("r-1", LONG), 0)
        self.assertEqual(self.own.held("r-1", prompt(("lot", 900))), 900)

    def test_first_part_missing(self):
        """Guards against parts that count although one before them is missing."""
        self.own.read("r-1", prompt(("lot", 900), ("own", 1)), MEMORY)
        self.assertEqual(self.own.held("r-1", LONG), 0)

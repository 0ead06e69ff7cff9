"""Tests of predicted times, and of the choice between replicas and regions."""

from unittest import TestCase

from sassafraskeel.core.net import Address
from sassafraskeel.core.types import Prompt, PromptPart
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.loads import Load
from sassafraskeel.decisions.placement import (
    affinity_bonus_seconds,
    busy_seconds,
    predicted_seconds,
    prefers_other_region,
)
from sassafraskeel.decisions.routes import EngineSpec, ServiceSpec

REPLICA = Replica("r-1", 1, "chat", "a", Address("10.0.0.1", 80), 64, False)
ENGINE = ServiceSpec("chat", "/healthz", 100, 0.0, 0.0, EngineSpec(64, 200_000))
PLAIN = ServiceSpec("desk", "/healthz", 100, 0.0, 0.0, None)
PROMPT = Prompt("m", 9000, 50, (PromptPart("lot", 6000), PromptPart("own", 3000)))


class PlacementTest(TestCase):
    def predicted(self, load, held=0, prompt=PROMPT):
        return predicted_seconds(REPLICA, load, ENGINE, prompt, held, 0.05)

    def test_pending_prompts(self):
        """Guards against the choice of an engine that has long prompts to prefill."""
        busy = self.predicted(Load(1, 30_000))
        self.assertGreater(busy, self.predicted(Load(1, 0)) + 0.9)

    def test_running_requests_count_little(self):
        """Guards against the choice of an idle engine over one with a cached prompt."""
        with_cache = self.predicted(Load(40, 0), held=6000)
        self.assertLess(with_cache, self.predicted(Load(0, 0)))

    def test_prefill_interferes(self):
        """Guards against long prompts sent to an engine full of running requests.

        scale-2 of pomar-prensa: streams take up to eight times as long while the same
        engine prefills prompts.
        """
        idle, full = self.predicted(Load(0, 0)), self.predicted(Load(60, 0))
        self.assertGreater(full, idle + 0.15)
        short = PROMPT._replace(input_tokens=600, parts=())
        idle = self.predicted(Load(0, 0), prompt=short)
        full = self.predicted(Load(60, 0), prompt=short)
        self.assertLess(full, idle + 0.05)

    def test_affinity_bonus(self):
        """Guards against prompts with shared parts that spread over all engines."""
        self.assertGreater(affinity_bonus_seconds(PROMPT, 0), 0.05)
        self.assertEqual(affinity_bonus_seconds(PROMPT, 6000), 0.0)

    def test_full_slots(self):
        """Guards against a full service that is predicted to answer at once."""
        idle = predicted_seconds(REPLICA, Load(0, 0), PLAIN, None, 0, 0.05)
        full = predicted_seconds(REPLICA, Load(64, 0), PLAIN, None, 0, 0.05)
        self.assertGreater(full, idle + 0.04)

    def test_busy_seconds(self):
        """Guards against forwarded calls whose work is not counted."""
        self.assertAlmostEqual(busy_seconds(REPLICA, ENGINE, PROMPT, 6000, 0.05), 0.1)
        self.assertLess(busy_seconds(REPLICA, PLAIN, None, 0, 0.05), 0.001)

    def test_region_margin(self):
        """Guards against a change of region for a small difference in time."""
        self.assertTrue(prefers_other_region(None, 3.0))
        self.assertTrue(prefers_other_region(0.8, 0.5))
        self.assertFalse(prefers_other_region(0.55, 0.5))

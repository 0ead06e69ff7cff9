"""Tests of the retry budget that all hosts share."""

from unittest import TestCase

from hypothesis import given, settings, strategies as st

from sassafraskeel.decisions.shared_retry_budget import SharedRetryBudget

RATIO, EXTRA, WINDOW = 0.2, 54, 10.0


class SharedRetryBudgetTest(TestCase):
    @settings(max_examples=40)
    @given(st.integers(1, 9), st.lists(st.integers(0, 8), min_size=30, max_size=60))
    def test_hosts_keep_the_bound(self, hosts, steps):
        """Guards against hosts that together exceed the budget in a window."""
        budgets = [SharedRetryBudget(RATIO, EXTRA, WINDOW) for _ in range(hosts)]
        requests, retries = [], []
        for step, count in enumerate(steps):
            now = step * 0.5
            for number in range(count):
                budget = budgets[number % hosts]
                budget.record_call("desk", now)
                requests.append(now)
                while budget.allows("desk", hosts, now):
                    budget.record_retry("desk", now)
                    retries.append(now)
        for end in [step * 0.5 for step in range(len(steps))]:
            inside = [at for at in retries if end - WINDOW < at <= end]
            seen = [at for at in requests if end - WINDOW < at <= end]
            self.assertLessEqual(len(inside), RATIO * len(seen) + EXTRA)

    def test_host_without_traffic(self):
        """Guards against a host that may never retry because it had no traffic."""
        budget = SharedRetryBudget(RATIO, EXTRA, WINDOW)
        self.assertTrue(budget.allows("desk", 7, 0.0))

    def test_retry_that_was_not_sent(self):
        """Guards against a budget that is used up by offers to hosts that are stopped.

        A stream that waits for a host may be offered many times within a second.
        """
        budget = SharedRetryBudget(0.0, 2.0, WINDOW)
        for step in range(10):
            self.assertTrue(budget.allows("desk", 1, step * 0.2))
            budget.record_retry("desk", step * 0.2)
            budget.cancel_retry("desk", step * 0.2)
        budget.record_retry("desk", 2.0)
        budget.cancel_retry("desk", 1.8)
        self.assertFalse(budget.allows("desk", 1, 2.0))

"""The routing and retry policies that the settings select."""

from sassafraskeel.core.settings import LimitSection
from sassafraskeel.decisions.baselines import (
    LeastRequests,
    RoundRobin,
    UnlimitedRetries,
)
from sassafraskeel.decisions.retries import RetryBudget, RetryPolicy
from sassafraskeel.decisions.routing import RoutingPolicy, WeightedCost


def routing_policy(cfg: LimitSection) -> RoutingPolicy:
    """Return the routing policy that the settings select."""
    if cfg.routing == "round_robin":
        return RoundRobin()
    if cfg.routing == "least_requests":
        return LeastRequests()
    return WeightedCost(cfg.prefill.total_seconds(), cfg.routing == "cost")


def retry_policy(cfg: LimitSection) -> RetryPolicy:
    """Return the retry policy that the settings select."""
    if cfg.retries == "unlimited":
        return UnlimitedRetries(cfg.max_attempts)
    return RetryBudget(cfg.retry_budget, cfg.max_attempts)

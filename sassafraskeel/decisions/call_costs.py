"""How much work calls are for an engine, compared with those of their service."""

from sassafraskeel.core.types import Prompt

# A step of an engine generates a token for each of its running requests. With 64 of
# them it takes as long as the prefill of about five tokens for each.
PREFILL_TOKENS_PER_OUTPUT_TOKEN = 5
# The weight of the latest call in the moving average of a service.
MOVING_AVERAGE_WEIGHT = 0.05
MAX_SERVICES = 1024


class CallCosts:
    """Moving averages of the work of calls, by service, in tokens to prefill.

    A replica that takes few requests relieves the others most with the calls that are
    the most work.
    """

    def __init__(self):
        self._means: dict[str, float] = {}

    def record(self, service: str, cost: float) -> None:
        """Add a call to the average of its service; the oldest service is dropped."""
        mean = self._means.get(service, cost)
        self._means[service] = mean + MOVING_AVERAGE_WEIGHT * (cost - mean)
        if len(self._means) > MAX_SERVICES:
            del self._means[next(iter(self._means))]

    def is_costly(self, service: str, cost: float) -> bool:
        """Return whether a call is at least as much work as the average one."""
        return cost >= self._means.get(service, 0.0)


def call_cost(prompt: Prompt, cached_tokens: int) -> float:
    """Return the work of a call at a replica that has a part of its prompt cached."""
    uncached = max(prompt.input_tokens - cached_tokens, 0)
    return uncached + PREFILL_TOKENS_PER_OUTPUT_TOKEN * prompt.max_output_tokens

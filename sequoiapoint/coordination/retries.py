"""The retry budget, which limits retries to a share of the original requests."""

MAX_BURST = 10.0
"""Maximum number of consecutive retries after a period without retries."""


class RetryBudget:
    """A token bucket that original requests fill and retries drain.

    :param percent: The number of retries allowed per hundred original requests.
    """

    def __init__(self, percent: float) -> None:
        self._tokens_per_request = percent / 100.0
        self._tokens = MAX_BURST

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self._tokens = min(MAX_BURST, self._tokens + self._tokens_per_request)

    def try_acquire(self) -> bool:
        """Use one retry from the budget, if any is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

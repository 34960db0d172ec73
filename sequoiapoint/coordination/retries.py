"""The retry budget: retries never exceed a share of first tries."""

MAX_BURST = 10.0
"""How many retries may follow one another when nothing was retried for long."""


class RetryBudget:
    """A token bucket that first tries fill and retries empty.

    :param percent: The share of first tries that may be retried, in percent.
    """

    def __init__(self, percent: float) -> None:
        self._per_try = percent / 100.0
        self._tokens = MAX_BURST

    def record_request(self) -> None:
        """Note a first try."""
        self._tokens = min(MAX_BURST, self._tokens + self._per_try)

    def try_acquire(self) -> bool:
        """Take the right to one retry, where there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

"""The retry budget that all hosts share without communicating.

When servers fail many requests at once, retries by all hosts together stay below a
share of the requests to the service in any time window.  Each host uses the part of the
budget that corresponds to its own requests, and its part of the fixed allowance.
"""

from collections import deque

USED_BUDGET_SHARE = 0.7
"""Share of the budget that is used; the rest covers hosts that miscount each other."""


class RetryWindow:
    """Counts the attempts for one service in a sliding window.

    :param ratio: Retries allowed for each request.
    :param allowance: Additional retries allowed, over all hosts.
    :param window_s: Length of the window in seconds.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._requests.append(now)
        self._expire(now)

    def is_available(self, now: float, hosts: int) -> bool:
        """Tell whether the budget has a retry left.

        :param hosts: Number of hosts that share the allowance.
        """
        self._expire(now)
        limit = self._ratio * len(self._requests) + self._allowance / max(1, hosts)
        return len(self._retries) + 1 <= USED_BUDGET_SHARE * limit

    def try_acquire(self, now: float, hosts: int) -> bool:
        """Use one retry from the budget, if any is left.

        :param hosts: Number of hosts that share the allowance.
        :return: Whether the request may be retried.
        """
        if not self.is_available(now, hosts):
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        start = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()

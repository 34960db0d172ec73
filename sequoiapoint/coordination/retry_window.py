"""The retry budget that all hosts share, without a word between them.

Answers servers that fail many requests at once: resends stay below a share of the
requests to a service in any window, over all hosts.  Each host takes the share that
belongs to its own requests, and its part of the fixed allowance.
"""

from collections import deque

MARGIN = 0.7
"""Part of the budget that is used; the rest covers hosts that miscount each other."""


class RetryWindow:
    """Counts the sends to one service in a sliding window.

    :param ratio: Resends allowed for each request.
    :param allowance: Resends allowed besides, over all hosts.
    :param window_s: Length of the window in seconds.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._resends: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Note the first send of a request."""
        self._requests.append(now)
        self._forget(now)

    def try_acquire(self, now: float, hosts: int) -> bool:
        """Take the right to send a request once more, where there is one.

        :param hosts: How many hosts share the allowance.
        """
        self._forget(now)
        limit = self._ratio * len(self._requests) + self._allowance / max(1, hosts)
        if len(self._resends) + 1 > MARGIN * limit:
            return False
        self._resends.append(now)
        return True

    def _forget(self, now: float) -> None:
        start = now - self._window_s
        for times in (self._requests, self._resends):
            while times and times[0] < start:
                times.popleft()

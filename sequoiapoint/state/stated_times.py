"""For how long a request has been under way before its caller sent it to this host.

Answers callers that were rejected and come back: each attempt is a new request with its
own id and states the time that is left.  Without the time that has passed, a request
that is late already would precede others of its priority that can still be on time.

Callers of a route usually state the same time with their first attempts, the longest
one, and less when they come back.  A shorter time counts as a later attempt only if
most requests of the last minute have stated the longest: as a caller comes back at most
once, later attempts are fewer than first ones.  Otherwise the times of the route differ
by nature, and nothing can be told from them.
"""

from collections import deque
from dataclasses import dataclass

RETENTION_S = 60.0
"""Time for which a stated time counts."""
PERIOD_S = 10.0
"""Time over which requests are counted together."""
MIN_REQUESTS = 10
"""Number of requests on a route from which anything can be told."""
MIN_LONGEST_SHARE = 0.5
"""Share of requests that state the longest time above which it is the usual one."""
TOLERANCE_S = 0.01
"""Difference up to which times are the same, as callers round them."""


@dataclass
class _Period:
    """The requests of a route in some seconds.

    :param count: The number of requests.
    :param longest_count: The number that stated the longest time.
    """

    started_at: float
    longest_s: float = 0.0
    longest_count: int = 0
    count: int = 0

    def add(self, stated_s: float) -> None:
        """Count a request."""
        self.count += 1
        if stated_s > self.longest_s + TOLERANCE_S:
            self.longest_s, self.longest_count = stated_s, 0
        if stated_s >= self.longest_s - TOLERANCE_S:
            self.longest_count += 1


class StatedTimes:
    """The times that callers have stated lately, by route."""

    def __init__(self) -> None:
        self._periods: dict[str, deque[_Period]] = {}

    def note(self, route: str, stated_s: float | None, now: float) -> float:
        """Record the time that a request states; return how long it was under way.

        :param stated_s: The time that the caller waits, in seconds; None if not stated.
        :return: The time since its first attempt, in seconds; 0 if that is not known.
        """
        if stated_s is None:
            return 0.0
        periods = self._periods.setdefault(route, deque())
        while periods and now - periods[0].started_at > RETENTION_S:
            periods.popleft()
        if not periods or now - periods[-1].started_at >= PERIOD_S:
            periods.append(_Period(now))
        periods[-1].add(stated_s)
        longest_s = max(period.longest_s for period in periods)
        count = sum(period.count for period in periods)
        longest_count = sum(
            period.longest_count
            for period in periods
            if period.longest_s >= longest_s - TOLERANCE_S
        )
        is_usual = longest_count > MIN_LONGEST_SHARE * count
        under_way_s = longest_s - stated_s
        if count < MIN_REQUESTS or not is_usual or under_way_s <= TOLERANCE_S:
            return 0.0
        return under_way_s

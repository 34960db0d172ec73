"""Admission control: requests that cannot meet their service class are rejected early.

Time to first token and time between tokens are estimated from this host's own requests,
and scaled by the server's current load.
"""

import math
from dataclasses import dataclass

from sequoiapoint.protocol.document import Promise

SMOOTHING = 0.1
INITIAL_FIRST_TOKEN_S = 0.1
INITIAL_TOKEN_S = 0.02
PRIORITY_RESERVE = 0.05
"""Share of a request's time reserved for more urgent requests, per priority level."""
DECAY_HALF_LIFE_S = 5.0
MIN_RETRY_AFTER_S = 1.0


@dataclass
class _LatencyEstimate:
    """Latency estimates of one model, in seconds."""

    first_token_s: float = INITIAL_FIRST_TOKEN_S
    token_s: float = INITIAL_TOKEN_S
    updated_at: float = 0.0

    def expected_first_token_s(self, now: float) -> float:
        """Return the expected time to the first token, in seconds.

        The estimate decays to its initial value, so that a model whose requests are
        rejected because it was slow is tried again.
        """
        weight = 0.5 ** ((now - self.updated_at) / DECAY_HALF_LIFE_S)
        excess = self.first_token_s - INITIAL_FIRST_TOKEN_S
        return INITIAL_FIRST_TOKEN_S + weight * excess


@dataclass(frozen=True)
class Admitted:
    """A request may be sent to a server.

    :param finish_s: The estimated time to its completion, in seconds.
    """

    finish_s: float


@dataclass(frozen=True)
class Rejected:
    """A request cannot meet its service class.

    :param reason: overload or deadline.
    :param retry_after_s: The time after which it might, in seconds.
    """

    reason: str
    retry_after_s: float


class Admission:
    """Estimates the time to the first token and to completion.

    :param max_load: Number of requests that a server runs at once before they queue.
    """

    def __init__(self, max_load: float = 96.0) -> None:
        self._max_load = max_load
        self._estimates: dict[str, _LatencyEstimate] = {}

    def observe_first_token(self, model: str, seconds: float, now: float) -> None:
        """Update the estimate with a time to first token.

        :param seconds: The time since the request was sent.
        """
        estimate = self._estimates.setdefault(model, _LatencyEstimate())
        estimate.first_token_s = estimate.expected_first_token_s(now)
        estimate.updated_at = now
        estimate.first_token_s += SMOOTHING * (seconds - estimate.first_token_s)

    def observe_token(self, model: str, seconds: float) -> None:
        """Update the estimate with the mean time between tokens of a response."""
        estimate = self._estimates.setdefault(model, _LatencyEstimate())
        estimate.token_s += SMOOTHING * (seconds - estimate.token_s)

    def decide(
        self,
        model: str,
        promise: Promise,
        tokens: int,
        remaining_s: float,
        load: float,
        now: float,
    ) -> Admitted | Rejected:
        """Decide whether to admit a request.

        :param tokens: Maximum number of tokens that it may generate.
        :param remaining_s: The time to its deadline, in seconds.
        :param load: Number of requests on the chosen server.
        """
        estimate = self._estimates.get(model, _LatencyEstimate())
        first_token_s = estimate.expected_first_token_s(now)
        service_s = first_token_s + tokens * estimate.token_s
        queued_rounds = max(0.0, load + 1.0 - self._max_load) / self._max_load
        wait_s = queued_rounds * service_s
        time_share = 1.0 - PRIORITY_RESERVE * promise.priority
        first_token_limit_s = promise.first_token_ms / 1000.0 * time_share
        excess_s = max(
            wait_s + first_token_s - first_token_limit_s,
            wait_s + service_s - remaining_s * time_share,
        )
        if excess_s <= 0:
            return Admitted(wait_s + service_s)
        if wait_s <= 0:
            return Rejected("deadline", MIN_RETRY_AFTER_S)
        return Rejected("overload", max(MIN_RETRY_AFTER_S, math.ceil(excess_s)))

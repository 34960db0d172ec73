"""Admission: what cannot keep its promise is refused at once.

The time to the first token and between tokens are learned from what this host's own
requests saw, and scaled by the server's present load.
"""

import math
from dataclasses import dataclass

from sequoiapoint.protocol.document import Promise

SMOOTHING = 0.1
INITIAL_FIRST_TOKEN_S = 0.1
INITIAL_TOKEN_S = 0.02
PRIORITY_RESERVE = 0.05
"""The share of its time that each step of priority leaves to more urgent requests."""
DECAY_HALF_LIFE_S = 5.0
MIN_RETRY_AFTER_S = 1.0


@dataclass
class _Speed:
    """What was learned of one model, in seconds."""

    first_token_s: float = INITIAL_FIRST_TOKEN_S
    token_s: float = INITIAL_TOKEN_S
    learned_at: float = 0.0

    def expected_first_token_s(self, now: float) -> float:
        """Return the expected time to the first token, in seconds.

        What was learned fades, so that a model that is refused because it was slow
        is tried again.
        """
        weight = 0.5 ** ((now - self.learned_at) / DECAY_HALF_LIFE_S)
        excess = self.first_token_s - INITIAL_FIRST_TOKEN_S
        return INITIAL_FIRST_TOKEN_S + weight * excess


@dataclass(frozen=True)
class Admitted:
    """A request may go to a server.

    :param finish_s: The estimated time to its end, in seconds.
    """

    finish_s: float


@dataclass(frozen=True)
class Rejected:
    """A request cannot keep its promise.

    :param reason: overload or deadline.
    :param retry_after_s: When it could, in seconds.
    """

    reason: str
    retry_after_s: float


class Admission:
    """Estimates of the time to the first token and to the end.

    :param max_load: The requests that a server runs at a time before they queue.
    """

    def __init__(self, max_load: float = 96.0) -> None:
        self._max_load = max_load
        self._speeds: dict[str, _Speed] = {}

    def observe_first_token(self, model: str, seconds: float, now: float) -> None:
        """Learn from a first token.

        :param seconds: The time since the request was sent.
        """
        speed = self._speeds.setdefault(model, _Speed())
        speed.first_token_s = speed.expected_first_token_s(now)
        speed.learned_at = now
        speed.first_token_s += SMOOTHING * (seconds - speed.first_token_s)

    def observe_token(self, model: str, seconds: float) -> None:
        """Learn from the mean time between the tokens of an answer."""
        speed = self._speeds.setdefault(model, _Speed())
        speed.token_s += SMOOTHING * (seconds - speed.token_s)

    def decide(
        self,
        model: str,
        promise: Promise,
        tokens: int,
        remaining_s: float,
        load: float,
        now: float,
    ) -> Admitted | Rejected:
        """Decide on a request.

        :param tokens: The most tokens that it may generate.
        :param remaining_s: The time to its deadline, in seconds.
        :param load: The requests on the chosen server.
        """
        speed = self._speeds.get(model, _Speed())
        first_token_s = speed.expected_first_token_s(now)
        service_s = first_token_s + tokens * speed.token_s
        rounds_waiting = max(0.0, load + 1.0 - self._max_load) / self._max_load
        wait_s = rounds_waiting * service_s
        share = 1.0 - PRIORITY_RESERVE * promise.priority
        first_allowed_s = promise.first_token_ms / 1000.0 * share
        late_s = max(
            wait_s + first_token_s - first_allowed_s,
            wait_s + service_s - remaining_s * share,
        )
        if late_s <= 0:
            return Admitted(wait_s + service_s)
        if wait_s <= 0:
            return Rejected("deadline", MIN_RETRY_AFTER_S)
        return Rejected("overload", max(MIN_RETRY_AFTER_S, math.ceil(late_s)))

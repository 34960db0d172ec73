"""Choice of the server for one send of a request.

Answers an even load: many hosts decide alone, each with counts that are some hundred
milliseconds old, so that the least loaded server must not draw them all at once.  Few
hosts take the lightest server, or the lighter one of two that are drawn from many;
many hosts draw servers by the room that they have.  A busy server, one that fails more
than its peers or one in another zone counts as more loaded than it is.
"""

import bisect
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import ServerEntry

REMOTE_ZONE_LOAD = 0.06
"""Share of its places by which a server in another zone counts as more loaded; pays for
the bytes between zones without giving up the balance."""
FAILURE_WEIGHT = 4.0
"""How many full batches a server that fails all requests counts as."""
FAILURE_TOLERANCE = 0.1
"""Failures beyond the median of the candidates that count as chance."""
MAX_COMPARED_CANDIDATES = 6
"""Up to this many, all are compared; above, two are drawn."""
MAX_LOCAL_VIEW_HOSTS = 16
"""Up to this many hosts, each knows enough of the load by its own requests."""
ROOM_EXPONENT = 2.0
"""How much more a server with room draws of many hosts: with twice the room four times
as many requests."""
LOCAL_ZONE_FACTOR = 2.0
"""How much more a server of a host's own zone draws at the same room."""
MIN_ROOM = 0.02
"""Room of a full server, so that there is always a choice."""


@dataclass(frozen=True)
class Candidate:
    """A server that could run the request.

    :param load: Requests believed to be there, in work and waiting.
    :param is_last_resort: Whether it is used only where nothing else is left.
    """

    entry: ServerEntry
    load: float
    failure_rate: float
    is_last_resort: bool


def choose(
    candidates: Sequence[Candidate],
    own_zone: str,
    random: Callable[[], float],
    host_count: int = 1,
) -> Candidate | None:
    """Return the server to send to, or None where there is no candidate.

    :param random: Returns random numbers from 0 to 1.
    :param host_count: How many hosts choose among the servers.
    """
    usable = [c for c in candidates if not c.is_last_resort] or list(candidates)
    if not usable:
        return None
    if host_count > MAX_LOCAL_VIEW_HOSTS:
        return _draw(usable, own_zone, random)
    if len(usable) > MAX_COMPARED_CANDIDATES:
        first = int(random() * len(usable))
        other = (first + 1 + int(random() * (len(usable) - 1))) % len(usable)
        usable = [usable[first], usable[other]]
    median = _median_failure_rate(candidates)
    return min(usable, key=lambda c: (_cost(c, own_zone, median), random()))


def _draw(
    usable: Sequence[Candidate], own_zone: str, chance: Callable[[], float]
) -> Candidate:
    """Draw a server by its room."""
    median = _median_failure_rate(usable)
    room = [max(MIN_ROOM, 1.0 - _cost(c, own_zone, median)) for c in usable]
    shares = (
        r**ROOM_EXPONENT * (LOCAL_ZONE_FACTOR if c.entry.zone == own_zone else 1.0)
        for r, c in zip(room, usable, strict=True)
    )
    weights = list(itertools.accumulate(shares))
    place = bisect.bisect_right(weights, chance() * weights[-1])
    return usable[min(place, len(usable) - 1)]


def _median_failure_rate(candidates: Sequence[Candidate]) -> float:
    rates = sorted(c.failure_rate for c in candidates)
    return rates[(len(rates) - 1) // 2]


def _cost(candidate: Candidate, own_zone: str, median_failure_rate: float) -> float:
    entry = candidate.entry
    excess = candidate.failure_rate - median_failure_rate - FAILURE_TOLERANCE
    cost = candidate.load / entry.slots + FAILURE_WEIGHT * max(0.0, excess)
    if entry.zone != own_zone:
        cost += REMOTE_ZONE_LOAD
    return cost

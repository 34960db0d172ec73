"""Choice of the server for one send of a request.

Answers an even load: many hosts decide alone, each with counts that are some hundred
milliseconds old, so that the least loaded server must not draw them all at once.  Two
candidates are drawn, the lighter one wins; a busy server, one that fails more than its
peers or one in another zone counts as more loaded than it is.
"""

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
FEW_CANDIDATES = 6
"""Up to this many, all are compared; above, two are drawn."""


@dataclass(frozen=True)
class Candidate:
    """A server that could run the request.

    :param load: Requests believed to be there, in work and waiting.
    :param is_avoided: Whether it is used only where nothing else is left.
    """

    entry: ServerEntry
    load: float
    failure_rate: float
    is_avoided: bool


def choose(
    candidates: Sequence[Candidate], own_zone: str, chance: Callable[[], float]
) -> Candidate | None:
    """Return the server to send to, or None where there is no candidate.

    :param chance: Returns random numbers from 0 to 1.
    """
    usable = [c for c in candidates if not c.is_avoided] or list(candidates)
    if not usable:
        return None
    if len(usable) > FEW_CANDIDATES:
        first = int(chance() * len(usable))
        other = (first + 1 + int(chance() * (len(usable) - 1))) % len(usable)
        usable = [usable[first], usable[other]]
    rates = sorted(c.failure_rate for c in candidates)
    median = rates[(len(rates) - 1) // 2]
    return min(usable, key=lambda c: (_cost(c, own_zone, median), chance()))


def _cost(candidate: Candidate, own_zone: str, median_failure_rate: float) -> float:
    entry = candidate.entry
    excess = candidate.failure_rate - median_failure_rate - FAILURE_TOLERANCE
    cost = candidate.load / entry.slots + FAILURE_WEIGHT * max(0.0, excess)
    if entry.zone != own_zone:
        cost += REMOTE_ZONE_LOAD
    return cost

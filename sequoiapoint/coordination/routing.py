"""Choice of the backend server for one attempt of a request."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from sequoiapoint.coordination import rendezvous
from sequoiapoint.coordination.servers import ServerTable
from sequoiapoint.protocol.document import Promise

REMOTE_LOAD_PENALTY = 8.0
"""Number of requests added to the load of a server in another zone."""
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 2.0


@dataclass(frozen=True)
class Candidate:
    """A server that can run a request."""

    server: str
    zone: str
    address: str


def allowed_zone(promise: Promise, own_zone: str, home_zone: str) -> str | None:
    """Return the only zone in which a request may run, or None if any may."""
    if promise.where == "own_zone":
        return own_zone
    if promise.where == "home_zone":
        return home_zone
    return None


def choose(
    candidates: Sequence[Candidate],
    table: ServerTable,
    own_zone: str,
    prefix: str,
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """Choose a server by prompt prefix unless it is busy, else the better of two.

    :param candidates: The servers that can run the request.
    :param own_zone: This host's zone, which is preferred.
    :param prefix: A key shared by requests that can reuse the same cached state.
    :param now: The time, in seconds.
    :param rng: The source of randomness.
    :return: The chosen server, or None if no server is usable.
    """
    usable_servers = set(table.usable((c.server for c in candidates), now))
    usable = [c for c in candidates if c.server in usable_servers]
    if not usable:
        return None

    def cost(candidate: Candidate) -> float:
        penalty = 0.0 if candidate.zone == own_zone else REMOTE_LOAD_PENALTY
        return table.load(candidate.server, now) + penalty

    preferred = _preferred_candidate(usable, own_zone, prefix)
    mean_cost = sum(map(cost, usable)) / len(usable)
    if cost(preferred) <= AFFINITY_LOAD_FACTOR * mean_cost + AFFINITY_LOAD_SLACK:
        return preferred
    sampled = rng.sample(usable, 2) if len(usable) > 2 else usable
    return min(sampled, key=cost)


def _preferred_candidate(
    usable: list[Candidate], own_zone: str, prefix: str
) -> Candidate:
    """Return the server that a prefix hashes to, in this host's zone if possible."""
    local = [c for c in usable if c.zone == own_zone] or usable
    name = rendezvous.highest(prefix, (c.server for c in local))
    return next(c for c in local if c.server == name)

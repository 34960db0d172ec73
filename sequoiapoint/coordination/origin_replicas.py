"""Chooses the hosts that remember which server began a stream.

Answers a caller whose host is gone, or whose stream broke off, and who takes the stream
up again at a host that never saw it.  The id of the caller's attempt determines the
hosts to tell and to ask, so that neither their number nor the work of a host grows with
the number of hosts.  Most of them are in the zone of the stream's host, where its
caller usually returns; at least one is in another zone, in case that zone is lost.
"""

import bisect
from collections.abc import Iterable, Sequence

import xxhash

REPLICAS = 3
"""Number of hosts that are told of a stream, in addition to the one that serves it."""
MAX_REPLICAS_IN_ZONE = 2
"""Number of these in the zone of the stream's host."""
ASKED_IN_ZONE = 3
"""Number of hosts of the own zone that are asked: one more than are told, in case one
has joined or left since."""
ASKED_ZONES = 3
"""Number of zones whose relays are asked."""
POINTS_PER_MEMBER = 8
"""Number of points of each member on the ring; evens out the members' shares."""


class HashRing:
    """Orders members by a key so that few keys change when a member joins or leaves."""

    def __init__(self, members: Iterable[str]) -> None:
        points = sorted(
            (xxhash.xxh64_intdigest(f"{member}\0{number}".encode()), member)
            for member in set(members)
            for number in range(POINTS_PER_MEMBER)
        )
        self._hashes = [point for point, _ in points]
        self._members = [member for _, member in points]

    def successors(self, key: str, count: int) -> list[str]:
        """Return the first members for a key, in the order on which all hosts agree."""
        start = bisect.bisect(self._hashes, xxhash.xxh64_intdigest(key.encode()))
        found: dict[str, None] = {}
        for offset in range(len(self._members)):
            if len(found) >= count:
                break
            found[self._members[(start + offset) % len(self._members)]] = None
        return list(found)


def replica_zones(
    ring: HashRing, stream: str, own_zone: str, replicas_in_zone: int
) -> list[str]:
    """Return the other zones with a host to tell of a stream.

    :param ring: The zones with live hosts.
    :param replicas_in_zone: Number of hosts of the own zone that are told.
    """
    count = REPLICAS - min(replicas_in_zone, MAX_REPLICAS_IN_ZONE)
    zones = ring.successors(stream, count + 1)
    return [zone for zone in zones if zone != own_zone][:count]


def replica_relay(relays: Sequence[str], stream: str) -> str | None:
    """Return the relay of another zone to tell of a stream, None without any."""
    if not relays:
        return None
    return relays[xxhash.xxh64_intdigest(stream.encode()) % len(relays)]

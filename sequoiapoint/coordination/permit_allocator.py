"""Allocates the requests that a server with a limit takes to the requests of all hosts.

Answers a server in need that takes a few requests a second from hundreds of hosts.  A
host's share of such a limit is less than one request in a minute, and no host knows how
many requests the others send, so one host, the allocator, grants a permit for each
request.  A permit is available whenever the server's limit allows one more request.

A caller that is told to come back finds the permit that it was promised: the allocator
reserves it for the same request, for a short time after it has become available.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.protocol.permits import PermitOutcome, PermitReply, PermitRequest

MIN_BURST = 2.0
"""Number of unused permits that are kept for any limit."""
BURST_S = 0.25
"""Time of the limit for which further unused permits are kept."""
RESERVATION_GRACE_S = 0.5
"""Time for which a reserved permit is kept for a caller that does not come back."""
MAX_RESERVED_S = 8.0
"""Longest time ahead for which a permit is reserved."""
MAX_RESERVATIONS = 200
"""Number of permits of one server that are reserved at the same time."""
MAX_WAIT_S = 60.0
"""Longest time that a caller is told to wait."""
MIN_WAIT_S = 0.02
"""Shortest time that a caller is told to wait: a round trip."""
VISIBLE_HOSTS_MARGIN = 1.4
"""Factor on the share of the hosts in contact with the allocator, up to the whole
limit.  Two parts of a divided deployment, each with an allocator, then grant at most
1.4 times the limit together; a few hosts that are down cost nothing."""


def granted_rate(limit_per_s: float, visible_hosts: int, known_hosts: int) -> float:
    """Return the rate at which an allocator grants permits, in requests a second.

    Answers hosts that are cut off from others and still reach the server: each part of
    the deployment grants in proportion to its hosts.

    :param visible_hosts: Number of hosts that are in contact with the allocator.
    :param known_hosts: Number of hosts that may send to the server.
    """
    share = VISIBLE_HOSTS_MARGIN * visible_hosts / max(1, known_hosts)
    return limit_per_s * min(1.0, share)


def allocating_zone(zone: str, live_zones: Sequence[str]) -> str | None:
    """Return the availability zone whose aggregator allocates a server's permits.

    It is the server's own zone, which every host that reaches the server can usually
    reach too.  If that zone has no live host, it is the next one in alphabetical order.

    :param zone: The server's zone.
    :param live_zones: The zones with live hosts.
    :return: None if there is no live zone.
    """
    if zone in live_zones:
        return zone
    ordered = sorted(live_zones)
    return next((z for z in ordered if z > zone), ordered[0] if ordered else None)


@dataclass
class _Bucket:
    """The permits of one server process.

    :param available: Number of permits that may be granted now.
    :param reservations: The time from which each caller's permit is available.
    """

    available: float
    updated_at: float
    reservations: dict[int, float] = field(default_factory=dict)

    def update(self, rate: float, now: float) -> None:
        """Add the permits since the last update, and drop outdated reservations."""
        expired = [
            caller
            for caller, due_at in self.reservations.items()
            if due_at + RESERVATION_GRACE_S < now
        ]
        for caller in expired:
            del self.reservations[caller]
        gained = rate * max(0.0, now - self.updated_at)
        kept = MIN_BURST + BURST_S * rate + self.due_reservations(now)
        self.available = min(kept, self.available + gained)
        self.updated_at = now

    def due_reservations(self, now: float) -> int:
        """Return the number of permits that are kept for callers to come back."""
        return sum(due_at <= now for due_at in self.reservations.values())

    def may_grant(self, caller: int, now: float) -> bool:
        """Tell whether a caller may get a permit that is reserved for no other one."""
        if caller in self.reservations:
            return self.available >= 1.0 and self.reservations[caller] <= now
        return self.available >= 1.0 + self.due_reservations(now)

    def wait_s(self, caller: int, rate: float, now: float) -> float:
        """Return the time until a permit is available for a caller, in seconds."""
        if caller in self.reservations:
            return max(MIN_WAIT_S, self.reservations[caller] - now)
        missing = len(self.reservations) + 1.0 - self.available
        if missing >= MAX_WAIT_S * rate:
            return MAX_WAIT_S
        return max(MIN_WAIT_S, missing / rate)


class PermitAllocator:
    """The permits of the servers with a limit.

    A new allocator begins without any permits, as it does not know what its predecessor
    has granted.
    """

    def __init__(self) -> None:
        self._buckets: dict[Incarnation, _Bucket] = {}

    def request(self, request: PermitRequest, rate: float, now: float) -> PermitReply:
        """Grant a permit, or say when one will be available.

        :param rate: The permits a second, see ``granted_rate``.
        """
        bucket = self._buckets.get(request.server)
        if bucket is None:
            bucket = self._buckets[request.server] = _Bucket(0.0, now)
        bucket.update(rate, now)
        caller = request.caller
        if bucket.may_grant(caller, now):
            bucket.reservations.pop(caller, None)
            bucket.available -= 1.0
            return PermitReply(request.host, request.number, PermitOutcome.GRANTED)
        wait_s = bucket.wait_s(caller, rate, now)
        is_reserved = caller in bucket.reservations or (
            wait_s <= min(request.max_wait_s, MAX_RESERVED_S)
            and len(bucket.reservations) < MAX_RESERVATIONS
        )
        if is_reserved:
            bucket.reservations.setdefault(caller, now + wait_s)
        return PermitReply(
            request.host, request.number, PermitOutcome.DENIED, wait_s, is_reserved
        )

    def retain(self, servers: set[Incarnation]) -> None:
        """Forget all servers but those that have a limit."""
        self._buckets = {s: b for s, b in self._buckets.items() if s in servers}

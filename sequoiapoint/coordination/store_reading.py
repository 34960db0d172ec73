"""Decides whether a host reads the store's topics itself or replicates from its zone.

Answers two load patterns at hundreds of hosts.  One failed call of an aggregator is no
outage: hosts that all turned to the store at once made hundreds of calls within a
tenth of a second.  While the store is down, or turns the zone's relays away, a few
hosts of each zone try it in turn, so that the number of calls does not grow with the
hosts, and all hosts replicate from one that is served.
"""

from collections.abc import Callable
from dataclasses import dataclass

PROBES_PER_S = 4.0
"""Rate at which the hosts of a zone together try the store if their relays cannot reach
it."""
PROBE_DURATION_S = 0.3
"""Time for which a host that tries the store starts reads."""
MAX_LAG_S = 1.5
"""Time for which a host waits for a change from its zone; the shortest limit for
applying a configuration or a server's leaving is two seconds."""
STALL_S = 1.0
"""Time without a new offset after which the zone counts as cut off from the store:
servers write their entries about once a second."""


@dataclass(frozen=True)
class ZoneView:
    """What a host knows of the aggregator of its zone.

    :param is_aggregator: Whether this host is the aggregator.
    :param is_standby: Whether this host is the aggregator's standby.
    :param is_aggregator_heard: Whether the aggregator's digests arrive.
    :param is_store_reachable: Whether the aggregator reaches the store.
    :param server_end: The aggregator's offset in the topic of servers.
    :param hosts: Number of hosts in the zone.
    :param lag_s: Time for which this host has lacked a change that the aggregator has
        announced, in seconds.
    """

    is_aggregator: bool
    is_standby: bool = False
    is_aggregator_heard: bool = False
    is_store_reachable: bool = False
    server_end: int = -1
    hosts: int = 1
    lag_s: float = 0.0


class StoreReading:
    """Whether this host reads the store itself.

    :param random: Returns random numbers from 0 to 1.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._known_end = -1
        self._advanced_at = 0.0
        self._probe_at: float | None = None

    def reads_itself(self, view: ZoneView, now: float) -> bool:
        """Tell whether this host reads the store itself at the given time."""
        if view.server_end != self._known_end:
            self._known_end, self._advanced_at = view.server_end, now
        if view.is_aggregator or not view.is_aggregator_heard:
            return True
        if view.lag_s > MAX_LAG_S:
            return True
        if view.is_store_reachable:
            self._probe_at = None
            return False
        if view.is_standby:
            return True
        if now - self._advanced_at < STALL_S:
            # Another host is served by the store.
            return False
        return self._probes(view.hosts, now)

    def _probes(self, hosts: int, now: float) -> bool:
        """Tell whether it is this host's turn to try the store."""
        interval_s = hosts / PROBES_PER_S
        if interval_s <= PROBE_DURATION_S:
            return True
        if self._probe_at is None or now > self._probe_at + PROBE_DURATION_S:
            self._probe_at = now + 2.0 * interval_s * self._random()
        return now >= self._probe_at

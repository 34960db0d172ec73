"""When the platform's store last returned from an outage, as seen by all known hosts.

Entries of servers that expired during an outage are written again shortly after it.  A
host must not take its own lost connection, or that of its zone's reader, for an outage:
an entry that disappears while the store serves others belongs to a server that leaves.
"""

import math


class StoreOutage:
    """Detects outages from the times at which the store has served any host.

    Times are on this host's monotonic clock, in seconds.

    :param min_outage_s: The time without service to any host that counts as an outage.
    :ivar ended_at: When the store served the first call after the last outage; -inf if
        there was none.
    """

    def __init__(self, min_outage_s: float) -> None:
        self._min_outage_s = min_outage_s
        self._served_at: float | None = None
        self.ended_at = -math.inf

    def note_served(self, at: float) -> None:
        """Note that the store has served a call of this host or of another one."""
        if self._served_at is not None:
            if at - self._served_at > self._min_outage_s:
                self.ended_at = at
            at = max(at, self._served_at)
        self._served_at = at

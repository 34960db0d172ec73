"""Choice of the host through which a host that is cut off from servers sends a request.

Hosts of the own zone come first, as bytes between zones have a price; other zones
follow when hosts of the own one have failed to help.  Two hosts are drawn at random, so
that hosts cut off together do not all ask the same one, and the cost of a choice does
not grow with the number of hosts.
"""

from collections import Counter
from collections.abc import Callable, Collection, Sequence

from sequoiapoint.protocol.digests import Member

AVOIDED_S = 2.0
"""Time for which a host that has refused or failed is asked no more: about four probes
of a host that is itself cut off."""
MAX_DRAWS = 8
"""Number of hosts drawn until two of them can be asked."""
CANDIDATES = 2
MIN_ZONE_FAILURES = 3
"""Failures of hosts of the own zone, without a success in between, after which other
zones come first."""


class HelperChoice:
    """What this host knows of its helpers, and the choice among them.

    :param random: Returns random numbers from 0 to 1.
    :param zone: This host's zone.
    """

    def __init__(self, random: Callable[[], float], zone: str) -> None:
        self._random = random
        self._zone = zone
        self._running: Counter[str] = Counter()
        self._avoided_until: dict[str, float] = {}
        self._zone_failures = 0
        self._zone_avoided_until = 0.0

    def note_started(self, helper: Member) -> None:
        """Record that a request was sent to a helper."""
        self._running[helper.host] += 1

    def note_ended(self, helper: Member) -> None:
        """Record that a request at a helper has ended."""
        self._running[helper.host] -= 1
        if self._running[helper.host] <= 0:
            del self._running[helper.host]

    def note_failure(self, helper: Member, now: float) -> None:
        """Record that a helper refused, failed or could not be reached."""
        self._avoided_until = {
            host: until for host, until in self._avoided_until.items() if until > now
        }
        self._avoided_until[helper.host] = now + AVOIDED_S
        if helper.zone == self._zone:
            self._zone_failures += 1
            if self._zone_failures >= MIN_ZONE_FAILURES:
                self._zone_avoided_until = now + AVOIDED_S

    def note_success(self, helper: Member) -> None:
        """Record that a helper has passed on a server's response."""
        self._avoided_until.pop(helper.host, None)
        if helper.zone == self._zone:
            self._zone_failures = 0
            self._zone_avoided_until = 0.0

    def choose(
        self,
        own_zone: Sequence[Member],
        other_zones: Sequence[Member],
        asked: Collection[str],
        now: float,
    ) -> Member | None:
        """Return the host to ask next, None if there is none.

        :param own_zone: The other hosts of this host's zone.
        :param other_zones: Hosts of the other zones.
        :param asked: The hosts that have been asked for the same request.
        """
        groups = [own_zone, other_zones]
        if now < self._zone_avoided_until:
            groups.reverse()
        for members in groups:
            candidates = self._draw(members, asked, now)
            if candidates:
                return min(candidates, key=lambda m: self._running[m.host])
        return None

    def _draw(
        self, members: Sequence[Member], asked: Collection[str], now: float
    ) -> list[Member]:
        """Draw hosts at random until two of them can be asked."""
        if len(members) <= MAX_DRAWS:
            drawn = sorted(members, key=lambda m: self._random())
        else:
            drawn = [members[self._index(len(members))] for _ in range(MAX_DRAWS)]
        candidates: dict[str, Member] = {}
        for member in drawn:
            is_avoided = self._avoided_until.get(member.host, 0.0) > now
            if member.host not in asked and not is_avoided:
                candidates[member.host] = member
            if len(candidates) == CANDIDATES:
                break
        return list(candidates.values())

    def _index(self, count: int) -> int:
        return min(count - 1, int(self._random() * count))

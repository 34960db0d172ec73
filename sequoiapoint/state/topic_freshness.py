"""Until when a host's replica of a topic is known to be complete.

A host that replicates from others must notice when their path to the store fails, even
if their messages still arrive.  It therefore tracks the time of the last read of the
store that its replica contains, whichever host made it.  The difference between that
time and the present is an upper bound on how late the host may learn of a change.
"""

import math
from dataclasses import dataclass

MAX_PENDING_ANNOUNCEMENTS = 16
"""Number of announcements of ends that this host has not reached; several seconds of
digests from the relays of a few zones."""


@dataclass(frozen=True)
class ChangeLag:
    """Upper bounds on how late a change was applied after the store acknowledged it.

    :param unread_s: The time between two reads of the store; the change was
        acknowledged within it or later.
    :param relayed_s: The time since the second read began: its duration, and the way
        to this host.
    """

    unread_s: float
    relayed_s: float

    @property
    def total_s(self) -> float:
        """Return the bound on the time since the acknowledgement."""
        return self.unread_s + self.relayed_s


class TopicFreshness:
    """Tracks the reads of the store that a replica contains.

    Times are on this host's monotonic clock, in seconds.

    :ivar complete_until: Every change that was acknowledged by then is in the replica;
        -inf if no read is known.
    """

    def __init__(self) -> None:
        self.complete_until = -math.inf
        self._previous = -math.inf
        self._announced: list[tuple[int, float]] = []

    def age_s(self, now: float) -> float:
        """Return for how long the replica may have missed changes."""
        return now - self.complete_until

    def known_age_s(self, now: float) -> float | None:
        """Return the age as it is sent to other hosts, None if no read is known."""
        age_s = self.age_s(now)
        return age_s if math.isfinite(age_s) else None

    def note_read(self, started_at: float) -> None:
        """Note that the replica contains a read of the store.

        :param started_at: When the call began.
        """
        if started_at > self.complete_until:
            self._previous, self.complete_until = self.complete_until, started_at

    def note_announcement(self, end: int, read_at: float, known_end: int) -> None:
        """Note a host's announcement of the end that it has reached.

        :param read_at: When the read began after which that host was at this end.
        :param known_end: The end of this host's replica.
        """
        if end <= known_end:
            self.note_read(read_at)
            return
        self._announced.append((end, read_at))
        del self._announced[:-MAX_PENDING_ANNOUNCEMENTS]

    def note_end(self, known_end: int) -> None:
        """Note that the replica has reached an end, which may have been announced."""
        reached = [at for end, at in self._announced if end <= known_end]
        self._announced = [(e, at) for e, at in self._announced if e > known_end]
        if reached:
            self.note_read(max(reached))

    def change_lag(self, now: float) -> ChangeLag:
        """Return the lag of the changes that the replica's newest read has brought."""
        return ChangeLag(
            self.complete_until - self._previous, now - self.complete_until
        )

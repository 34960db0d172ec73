"""Until when the configuration in force is known to be complete.

An operator who withdraws a key must be able to rely on it after a stated time, at every
host.  A host that may have missed a newer version of the configuration must therefore
know for how long.  Evidence is a statement "no version newer than V was acknowledged by
time T"; it counts once this host's version has reached V, since versions only rise.

Only two things are evidence: a read of the store that this host began at T, and another
host's reply to a question of this host, where T is the time at which the question left
less the age in the reply.  So the clocks of two hosts are never compared, and a
datagram that waited at a suspended host makes nothing appear newer than it is.

A store that has come back from an older copy lacks versions that it had acknowledged,
until the operators have written them again.  Reads count only after that time.
"""

import math

ERA_SETTLING_S = 3.0
"""Time after an era of the store was first seen from which on reads count: operators
write their newest records again within two seconds of the store's return."""
MAX_PENDING_REPLIES = 16
"""Number of replies that are kept until the configuration reaches their version."""
STORE = "store"
"""Source of the evidence of an own read of the store."""


class ConfigurationAge:
    """Tracks the evidence for the configuration in force.

    All times are in seconds on the clock that includes the suspension of the system.

    :ivar complete_until: Every version that was acknowledged by then is in force or
        outdated; -inf without evidence.
    :ivar source: Where the evidence comes from: ``STORE`` or a host; "" without any.
    """

    def __init__(self) -> None:
        self.complete_until = -math.inf
        self.source = ""
        self._reads_count_from = -math.inf
        self._pending: list[tuple[int, float, str]] = []

    def age_s(self, now: float) -> float:
        """Return for how long a newer version may have been missed; inf if unknown."""
        return now - self.complete_until

    def do_reads_count(self, now: float) -> bool:
        """Tell whether a read of the store that begins now is evidence."""
        return now >= self._reads_count_from

    def note_era(self, era: int, now: float) -> None:
        """Note that the store's era is seen for the first time.

        A process that starts cannot know for how long the era has lasted.
        """
        if era > 0:
            self._reads_count_from = now + ERA_SETTLING_S

    def note_read(self, started_at: float) -> bool:
        """Note a read of the store whose records are in force.

        :param started_at: When the call began.
        :return: Whether it is newer evidence than before.
        """
        return self.do_reads_count(started_at) and self._advance(started_at, STORE)

    def note_reply(
        self, version: int, complete_until: float, source: str, known_version: int
    ) -> bool:
        """Note the reply of another host to a question.

        :param version: The version in force at that host.
        :param complete_until: When the question left, less the age in the reply.
        :param known_version: The version in force at this host.
        :return: Whether it is newer evidence than before.
        """
        if version <= known_version:
            return self._advance(complete_until, source)
        self._pending.append((version, complete_until, source))
        del self._pending[:-MAX_PENDING_REPLIES]
        return False

    def note_version(self, known_version: int) -> None:
        """Note the version in force, which a kept reply may have waited for."""
        if not self._pending:
            return
        for version, complete_until, source in self._pending:
            if version <= known_version:
                self._advance(complete_until, source)
        self._pending = [p for p in self._pending if p[0] > known_version]

    def _advance(self, complete_until: float, source: str) -> bool:
        if complete_until <= self.complete_until:
            return False
        self.complete_until, self.source = complete_until, source
        return True

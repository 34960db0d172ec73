"""Decides when a host should claim ownership of its zone's backend servers.

The log determines which host owns a zone.  This module only decides when to try, so
that hosts do not compete for ownership unnecessarily.
"""

from sequoiapoint.coordination import rendezvous
from sequoiapoint.coordination.membership import Membership
from sequoiapoint.protocol.records import OwnerClaimed
from sequoiapoint.state.control import Owner

STARTUP_DELAY_S = 2.0
"""Time for which a new host collects heartbeats before it may claim."""
CLAIM_INTERVAL_S = 5.0
"""Minimum time between two claims of one host."""


class Candidacy:
    """Decides when this host claims its zone.

    :param membership: This host's view of the live hosts.
    :param now: The time, in seconds.
    """

    def __init__(self, membership: Membership, now: float) -> None:
        self._membership = membership
        self._next_claim_at = now + STARTUP_DELAY_S

    def is_owner(self, owner: Owner | None) -> bool:
        """Tell whether this process is the owner."""
        local_member = self._membership.local_member
        local_process = (local_member.host, str(local_member.incarnation))
        return owner is not None and (owner.host, owner.incarnation) == local_process

    def claim(self, owner: Owner | None, now: float) -> OwnerClaimed | None:
        """Return a claim if the zone needs an owner and this host ranks first.

        :param owner: The owner according to the log.
        :param now: The time, in seconds.
        """
        local_member = self._membership.local_member
        if now < self._next_claim_at or local_member.is_leaving or self.is_owner(owner):
            return None
        if owner is not None and self._is_serving(owner, now):
            return None
        hosts = [m.host for m in self._membership.serving(now, local_member.zone)]
        if rendezvous.highest(local_member.zone, hosts) != local_member.host:
            return None
        self._next_claim_at = now + CLAIM_INTERVAL_S
        return OwnerClaimed(local_member.zone, owner.claim if owner else 0)

    def _is_serving(self, owner: Owner, now: float) -> bool:
        """Tell whether the owner's process is alive and not leaving."""
        local_member = self._membership.local_member
        return any(
            (m.host, str(m.incarnation)) == (owner.host, owner.incarnation)
            for m in self._membership.serving(now, local_member.zone)
        )

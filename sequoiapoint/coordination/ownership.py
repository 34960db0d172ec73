"""When a host should claim the backend servers of its zone.

The log decides who owns a zone.  This only decides when to try, so that hosts do not
claim against each other without need.
"""

from sequoiapoint.coordination import rendezvous
from sequoiapoint.coordination.membership import Membership
from sequoiapoint.protocol.records import OwnerClaimed
from sequoiapoint.state.control import Owner

STARTUP_DELAY_S = 2.0
"""How long a new host listens before it may claim."""
CLAIM_INTERVAL_S = 5.0
"""The least time between two claims of one host."""


class Candidacy:
    """Decides when this host claims its zone.

    :param membership: The view of the living hosts.
    :param now: The time, in seconds.
    """

    def __init__(self, membership: Membership, now: float) -> None:
        self._membership = membership
        self._may_claim_at = now + STARTUP_DELAY_S

    def is_owner(self, owner: Owner | None) -> bool:
        """Tell whether this process holds the claim."""
        me = self._membership.local_member
        mine = (me.host, str(me.incarnation))
        return owner is not None and (owner.host, owner.incarnation) == mine

    def claim(self, owner: Owner | None, now: float) -> OwnerClaimed | None:
        """Return a claim where the zone needs an owner and this host is first in line.

        :param owner: The owner by the log.
        :param now: The time, in seconds.
        """
        me = self._membership.local_member
        if now < self._may_claim_at or me.is_leaving or self.is_owner(owner):
            return None
        if owner is not None and self._serves(owner, now):
            return None
        hosts = [m.host for m in self._membership.serving(now, me.zone)]
        if rendezvous.highest(me.zone, hosts) != me.host:
            return None
        self._may_claim_at = now + CLAIM_INTERVAL_S
        return OwnerClaimed(me.zone, owner.claim if owner else 0)

    def _serves(self, owner: Owner, now: float) -> bool:
        """Tell whether the owner's process lives and does not leave."""
        me = self._membership.local_member
        return any(
            (m.host, str(m.incarnation)) == (owner.host, owner.incarnation)
            for m in self._membership.serving(now, me.zone)
        )

"""The lease of the leader, the host that sends orders to engines.

The platform's store assigns a group's only partition to one host, the lease holder.  A
holder relies on the assignment for less than the store's lease time, measured on a
clock that keeps running while the machine is suspended.  A new holder sends no orders
until the required gap since the last possible order of another holder has passed.
"""

from sequoiapoint.protocol.gateway import GroupMembership

MAX_GENERATION = 1_000_000
"""Number of fencing tokens in an era of the store.  Generations start again after the
store has come back older; the tokens of a later era are greater than all before."""

PARTITION = 0
"""The partition whose owner is the leader."""
TRUSTED_SHARE = 0.75
"""Share of the lease time for which a holder relies on its lease; the rest covers clock
differences and delays."""
MIN_HANDOVER_WAIT_S = 0.3
"""Minimum wait of a new holder: a digest of another holder that is still alive arrives
within this time, or has arrived before."""


class OrderLease:
    """Whether this host may send orders, and with which fencing token.

    :param lease_s: Time for which the store keeps a holder that does not renew, in
        seconds.
    :param handover_gap_s: Minimum time between the orders of two holders, in seconds.
    :param is_fence_checked: Whether engines reject a fencing token lower than one they
        have seen; a new holder then only waits for holders it still receives digests
        from.
    """

    def __init__(
        self, lease_s: float, handover_gap_s: float, is_fence_checked: bool
    ) -> None:
        self._lease_s = lease_s
        self._handover_gap_s = handover_gap_s
        self._is_fence_checked = is_fence_checked
        self._membership = GroupMembership(0)
        self._era = 0
        self._requested_at = -lease_s
        self._held_since: float | None = None
        self._rejected_fence = -1
        self._other_holder_seen_at = -handover_gap_s

    @property
    def generation(self) -> int:
        """Return the newest known generation in the store's present era, or 0."""
        return self._membership.generation if self._is_current_era else 0

    @property
    def _is_current_era(self) -> bool:
        return self._membership.era == self._era

    @property
    def fence(self) -> int:
        """Return the fencing token for orders."""
        return self._membership.era * MAX_GENERATION + self._membership.generation

    def note_era(self, era: int) -> None:
        """Note the era of the store; a lease of an earlier one is no longer held."""
        self._era = max(self._era, era)

    def renew(self, membership: GroupMembership, requested_at: float) -> None:
        """Handle the store's response to a renewal.

        :param requested_at: When the renewal was sent; the lease starts at this time.
        """
        known = self._membership
        self.note_era(membership.era)
        if (membership.era, membership.generation) < (known.era, known.generation):
            return
        is_held = PARTITION in membership.partitions
        is_new_era = membership.era > known.era
        if (
            not is_held
            or is_new_era
            or requested_at - self._requested_at > self._lease_s
        ):
            self._held_since = None
        if is_held and self._held_since is None:
            self._held_since = requested_at
        self._membership = membership
        self._requested_at = requested_at

    def note_rejected(self, fence: int) -> None:
        """Note that an engine has rejected a fencing token for a higher one."""
        self._rejected_fence = max(self._rejected_fence, fence)

    def note_other_holder(self, heard_at: float) -> None:
        """Note when another host last announced that it holds the lease.

        :param heard_at: Also from the time before this host held the lease; -inf if
            there is no holder to wait for.
        """
        self._other_holder_seen_at = heard_at

    def release(self) -> None:
        """Stop sending orders."""
        self._held_since = None

    def is_held(self, now: float) -> bool:
        """Tell whether the store has confirmed the lease recently enough."""
        trusted_until = self._requested_at + TRUSTED_SHARE * self._lease_s
        return (
            self._held_since is not None
            and self._is_current_era
            and now < trusted_until
        )

    def may_order(self, now: float) -> bool:
        """Tell whether this host may send orders.

        :param now: Seconds on a clock that keeps running during suspension.
        """
        if not self.is_held(now) or self.fence <= self._rejected_fence:
            return False
        if not self._is_fence_checked:
            return now >= self._held_since + self._handover_gap_s
        return (
            now >= self._held_since + MIN_HANDOVER_WAIT_S
            and now >= self._other_holder_seen_at + self._handover_gap_s
        )

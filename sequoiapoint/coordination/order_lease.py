"""The lease of the host that gives orders to engines.

The platform's store says who holds a group's only partition.  A holder trusts that
for less than the store's lease, counted on a clock that runs through suspension.  A
successor waits until no other holder can have given an order for the time within which
two must not take turns.
"""

from sequoiapoint.protocol.gateway import GroupMembership

PARTITION = 0
"""The partition whose owner gives orders."""
TRUST_SHARE = 0.75
"""Part of a lease for which a holder trusts it; the rest covers clocks and delays."""
MIN_HANDOVER_WAIT_S = 0.3
"""Least wait of a successor: a digest of a holder that still lives comes within it, or
has come before."""


class OrderLease:
    """Whether this host may give orders, and under which number.

    :param lease_s: For how long the store keeps a silent holder, in seconds.
    :param handover_gap_s: Minimum time between the orders of two holders, in seconds.
    :param is_fence_checked: Whether engines refuse a lower number after a higher one;
        a successor then only waits for holders that it still hears of.
    """

    def __init__(
        self, lease_s: float, handover_gap_s: float, is_fence_checked: bool
    ) -> None:
        self._lease_s = lease_s
        self._turn_s = handover_gap_s
        self._is_fence_checked = is_fence_checked
        self._membership = GroupMembership(0)
        self._asked_at = -lease_s
        self._held_since: float | None = None
        self._refused_fence = -1
        self._other_holder_at = -handover_gap_s

    @property
    def generation(self) -> int:
        """Return the newest generation heard of."""
        return self._membership.generation

    @property
    def fence(self) -> int:
        """Return the number to give orders under."""
        return self._membership.generation

    def renew(self, membership: GroupMembership, requested_at: float) -> None:
        """Take in the store's answer.

        :param requested_at: When the question was sent; the lease runs from then.
        """
        if membership.generation < self._membership.generation:
            return
        is_held = PARTITION in membership.partitions
        if not is_held or requested_at - self._asked_at > self._lease_s:
            self._held_since = None
        if is_held and self._held_since is None:
            self._held_since = requested_at
        self._membership = membership
        self._asked_at = requested_at

    def note_refused(self, fence: int) -> None:
        """Note that an engine has seen a higher number."""
        self._refused_fence = max(self._refused_fence, fence)

    def note_other_holder(self, now: float) -> None:
        """Note that another host says that it gives orders."""
        self._other_holder_at = now

    def release(self) -> None:
        """Stop giving orders."""
        self._held_since = None

    def is_held(self, now: float) -> bool:
        """Tell whether the store's word is recent enough to be trusted."""
        trusted_until = self._asked_at + TRUST_SHARE * self._lease_s
        return self._held_since is not None and now < trusted_until

    def may_order(self, now: float) -> bool:
        """Tell whether this host may give orders.

        :param now: Seconds on the clock that runs through suspension.
        """
        if not self.is_held(now) or self.fence <= self._refused_fence:
            return False
        if not self._is_fence_checked:
            return now >= self._held_since + self._turn_s
        return (
            now >= self._held_since + MIN_HANDOVER_WAIT_S
            and now >= self._other_holder_at + self._turn_s
        )

"""Acquires, renews and releases the leader's lease.

The leader is the host that sends orders to engines.  The lease is the only partition of
a group in the store: a host acquires it by joining the group and renews it by joining
again.  The leader announces its fencing token to the other hosts in its digests.
"""

import asyncio
from collections.abc import Callable

from sequoiapoint.coordination.order_lease import OrderLease
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.placement_exchange import MAX_LEADER_CANDIDATES
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.transport.clock import monotonic_s, pause_to_tick_s, since_boot_s
from sequoiapoint.transport.store_client import StoreClient

GROUP = "engine-orders"
GROUP_TOPIC = "engine-orders"
LEASE_DURATION_S = 1.8
"""Time without a renewal after which the store revokes the lease.  It is short because
a time without a leader costs callers more than frequent renewals, ten of which cost as
much as one call."""
LEADER_RENEWAL_INTERVAL_S = 0.45
"""Interval between the leader's renewals: four in the duration of a lease, three in the
part of it for which the leader trusts the lease."""
CANDIDATE_RENEWAL_INTERVAL_S = 0.8
"""Interval between the renewals of candidates: two in the duration of a lease."""
LEADER_SILENCE_S = 1.2
"""Age of a leader's last digest from which candidates join the group: two lost digests,
and less than the duration of the lease."""
FIRST_JOIN_DELAY_S = 0.6
"""Delay after the start before a host may join the group.  An unnecessary join may move
the lease to another host."""
CANDIDATE_GROWTH_S = 2.0
"""Time without a leader after which as many further hosts become candidates: the first
ones may be unable to lead, for longer than a lease takes to be acquired."""
CANDIDATE_CHECK_INTERVAL_S = 0.2
"""Interval at which a host outside the group checks whether it is a candidate."""


class LeaseManager:
    """Keeps this host's membership of the group and tells whether it may send orders.

    :param on_change: Called when this host has acquired or lost the lease.
    :param may_lead: Tells whether this host reaches engines; a leader that does not
        leaves the lease to another host.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        exchange: PeerExchange,
        on_change: Callable[[], None],
        may_lead: Callable[[], bool] = lambda: True,
    ) -> None:
        self._may_lead = may_lead
        self._leaderless_since: float | None = None
        self._state = state
        self._store = store
        self._exchange = exchange
        self._on_change = on_change
        bounds = state.settings.bounds
        self._lease = OrderLease(
            LEASE_DURATION_S, bounds.order_lease_s, bounds.is_fence_checked
        )

    @property
    def fence(self) -> int:
        """Return the fencing token for orders."""
        return self._lease.fence

    @property
    def is_held(self) -> bool:
        """Tell whether this host holds the lease; update the announced token."""
        self._lease.note_era(self._store.era)
        is_held = self._lease.is_held(since_boot_s())
        self._exchange.placement.fence = self._lease.fence if is_held else 0
        return is_held

    def may_order(self) -> bool:
        """Tell whether this host may send an order now."""
        self._lease.note_era(self._store.era)
        silent_s = monotonic_s() - self._exchange.peers.other_leader_heard_at()
        self._lease.note_other_holder(since_boot_s() - silent_s)
        return not self._state.is_draining and self._lease.may_order(since_boot_s())

    def note_rejected(self, fence: int) -> None:
        """Note that an engine has seen a higher fencing token and rejected this one."""
        self._lease.note_rejected(fence)

    async def release(self) -> None:
        """Release the lease so that another host can acquire it at once."""
        self._lease.release()
        self._exchange.placement.fence = 0
        await self._store.leave(GROUP, self._state.settings.host)

    async def run(self) -> None:
        """Acquire and renew the lease until the host drains."""
        was_held = False
        # The first digests show which hosts there are and thus who is a candidate.
        await asyncio.sleep(FIRST_JOIN_DELAY_S)
        while not self._state.is_draining:
            self._lease.note_era(self._store.era)
            is_held = self._lease.is_held(since_boot_s())
            if is_held and not self._may_lead():
                await self.release()
                is_held = False
            if is_held or self._is_candidate():
                await self._join()
                is_held = self._lease.is_held(since_boot_s())
                pause_s = (
                    LEADER_RENEWAL_INTERVAL_S
                    if is_held
                    else CANDIDATE_RENEWAL_INTERVAL_S
                )
            else:
                pause_s = pause_to_tick_s(CANDIDATE_CHECK_INTERVAL_S)
            if is_held != was_held:
                was_held = is_held
                self._notify_change(is_held)
            await asyncio.sleep(pause_s)

    def _is_candidate(self) -> bool:
        """Tell whether this host should be in the group as a candidate for the lease.

        There are no candidates while digests of a leader arrive, because each member
        that joins or leaves may move the lease.  All hosts rank the known relays in the
        same way; if their views differ for a while, the group is only larger than
        necessary.  The longer there is no leader, the more hosts are candidates.
        """
        now = monotonic_s()
        if self._exchange.placement.has_other_leader(now, LEADER_SILENCE_S):
            self._leaderless_since = None
            return False
        if self._leaderless_since is None:
            self._leaderless_since = now
        if not self._may_lead():
            return False
        leaderless_s = now - self._leaderless_since
        count = MAX_LEADER_CANDIDATES * (1 + int(leaderless_s / CANDIDATE_GROWTH_S))
        hosts = self._exchange.peers.leader_candidates(count, now)
        return self._state.settings.host in hosts

    async def _join(self) -> None:
        requested_at = since_boot_s()
        response = await self._store.join(
            GROUP,
            GROUP_TOPIC,
            self._state.settings.host,
            LEASE_DURATION_S,
            self._lease.generation,
        )
        if not isinstance(response, Failure) and not self._state.is_draining:
            self._lease.renew(response, requested_at)

    def _notify_change(self, is_held: bool) -> None:
        """Notify the callback and the other hosts of the change, and log it."""
        self._on_change()
        self._exchange.placement.fence = self._lease.fence if is_held else 0
        self._exchange.schedule_digest()
        self._state.log.event(
            "order_lease", "held" if is_held else "lost", fence=self._lease.fence
        )

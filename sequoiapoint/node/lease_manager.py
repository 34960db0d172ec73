"""Keeps the lease of the host that gives orders to engines.

Joins and renews the store's group whose partition is the lease, and tells the other
hosts of the number under which orders are given.
"""

import asyncio
from collections.abc import Callable

from sequoiapoint.coordination.order_lease import OrderLease
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.placement_exchange import MAX_LEADER_CANDIDATES
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.transport.clock import monotonic_s, since_boot_s
from sequoiapoint.transport.store_client import StoreClient

GROUP = "engine-orders"
GROUP_TOPIC = "engine-orders"
LEASE_S = 1.8
"""For how long the store keeps a silent holder; a gap in orders costs callers more than
renewals, of which ten have the price of a call."""
HOLDER_RENEWAL_S = 0.45
"""Time between renewals by the holder: four in a lease, three while it is trusted."""
CANDIDATE_RENEWAL_S = 0.8
"""The same for hosts that would follow it: two in a lease."""
HOLDER_NOW_S = 0.6
"""Age of a digest up to which its sender counts as giving orders still."""
LEADER_SILENCE_S = 1.2
"""Age of a holder's last digest from which others want to follow it: two digests lost,
and less than the time for which the store keeps its lease."""
FIRST_JOIN_DELAY_S = 0.6
"""Time after the start before a host may join the group: a join that was not needed
moves the lease."""
OUTSIDER_CHECK_S = 0.2
"""Time between looks at whether this host should be in the group."""


class LeaseManager:
    """Joins the group when that is due, and knows whether orders may be given.

    :param on_turn: Called when the lease comes or goes.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        exchange: PeerExchange,
        on_change: Callable[[], None],
    ) -> None:
        self._state = state
        self._store = store
        self._exchange = exchange
        self._on_turn = on_change
        bounds = state.settings.bounds
        self._lease = OrderLease(LEASE_S, bounds.order_lease_s, bounds.is_fence_checked)

    @property
    def fence(self) -> int:
        """Return the number to give orders under."""
        return self._lease.fence

    @property
    def is_held(self) -> bool:
        """Tell whether this host holds the lease, and let the others know."""
        is_held = self._lease.is_held(since_boot_s())
        self._exchange.placement.fence = self._lease.fence if is_held else 0
        return is_held

    def may_order(self) -> bool:
        """Tell whether this host may give an order now."""
        if self._exchange.placement.has_other_leader(monotonic_s(), HOLDER_NOW_S):
            self._lease.note_other_holder(since_boot_s())
        return not self._state.is_draining and self._lease.may_order(since_boot_s())

    def note_rejected(self, fence: int) -> None:
        """Note that an engine has seen a higher number."""
        self._lease.note_rejected(fence)

    async def release(self) -> None:
        """Give the lease up, so that another host follows soon."""
        self._lease.release()
        self._exchange.placement.fence = 0
        await self._store.leave(GROUP, self._state.settings.host)

    async def run(self) -> None:
        """Renew the lease for as long as the process runs."""
        was_held = False
        # The first digests tell which hosts there are, and so who belongs to the group.
        await asyncio.sleep(FIRST_JOIN_DELAY_S)
        while not self._state.is_draining:
            is_held = self._lease.is_held(since_boot_s())
            if is_held or self._is_candidate():
                await self._join()
                is_held = self._lease.is_held(since_boot_s())
                pause_s = HOLDER_RENEWAL_S if is_held else CANDIDATE_RENEWAL_S
            else:
                pause_s = OUTSIDER_CHECK_S
            if is_held != was_held:
                was_held = is_held
                self._note_turn(is_held)
            await asyncio.sleep(pause_s)

    def _is_candidate(self) -> bool:
        """Tell whether this host should be in the group without holding the lease.

        While a holder is heard of, nobody else is: each member that comes or goes may
        move the lease.  All hosts rank the relays that they hear of alike; views that
        differ for a while only make the group larger.
        """
        now = monotonic_s()
        if self._exchange.placement.has_other_leader(now, LEADER_SILENCE_S):
            return False
        hosts = self._exchange.peers.leader_candidates(MAX_LEADER_CANDIDATES, now)
        return self._state.settings.host in hosts

    async def _join(self) -> None:
        asked_at = since_boot_s()
        answer = await self._store.join(
            GROUP,
            GROUP_TOPIC,
            self._state.settings.host,
            LEASE_S,
            self._lease.generation,
        )
        if not isinstance(answer, Failure) and not self._state.is_draining:
            self._lease.renew(answer, asked_at)

    def _note_turn(self, is_held: bool) -> None:
        """Tell the other hosts, and what hangs on the lease."""
        self._on_turn()
        self._exchange.placement.fence = self._lease.fence if is_held else 0
        self._exchange.schedule_digest()
        self._state.log.event(
            "order_lease", "held" if is_held else "lost", fence=self._lease.fence
        )

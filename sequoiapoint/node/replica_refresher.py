"""Refreshes the replica of the servers' topic when it has become too old."""

import asyncio
from collections.abc import Awaitable, Callable

from sequoiapoint.coordination import replica_refresh
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.store_watch import TopicWatch
from sequoiapoint.state.peers import Peer, Peers
from sequoiapoint.transport.clock import monotonic_s

AGE_CHECK_INTERVAL_S = 0.1
"""Interval at which the age of the replica is checked while it may be too old."""
MAX_SOURCES = 2
"""Number of hosts that are asked at the same time."""

Fetch = Callable[[TopicWatch, Peer, float, bool], Awaitable[bool]]


class ReplicaRefresher:
    """Asks other hosts and the store as ``coordination.replica_refresh`` decides.

    :param watch: The watch of the servers' topic.
    :param fetch: Fetches a topic from a host with a timeout in seconds, and without
        waiting for a change there; tells whether the host has answered.
    """

    def __init__(
        self, state: GatewayState, peers: Peers, watch: TopicWatch, fetch: Fetch
    ) -> None:
        self._state = state
        self._peers = peers
        self._watch = watch
        self._fetch = fetch
        self._has_answer = False

    async def run(self) -> None:
        """Keep the replica fresh until the process stops."""
        pause_s = AGE_CHECK_INTERVAL_S
        while True:
            await asyncio.sleep(pause_s)
            if not self._watch.content.is_known:
                continue
            refresh = self._decide()
            if not refresh.asks_peers:
                self._has_answer = False
                pause_s = max(AGE_CHECK_INTERVAL_S, self._fresh_for_s())
                continue
            self._state.metrics.event("replica_stale")
            await self._refresh(refresh)
            is_fresh = not self._decide().asks_peers
            pause_s = (
                AGE_CHECK_INTERVAL_S
                if is_fresh
                else replica_refresh.next_pause_s(pause_s)
            )

    def _fresh_for_s(self) -> float:
        return replica_refresh.fresh_for_s(
            self._watch.freshness.age_s(monotonic_s()),
            self._state.settings.bounds.server_drain_s,
        )

    def _decide(self) -> replica_refresh.Refresh:
        now = monotonic_s()
        own, members = self._state.settings.host, self._peers.listed_members()
        return replica_refresh.decide(
            self._watch.freshness.age_s(now),
            self._state.settings.bounds.server_drain_s,
            self._peers.is_relay(now),
            members.index(own) if own in members else 0,
            max(1, len(members)),
            self._has_answer,
        )

    async def _refresh(self, refresh: replica_refresh.Refresh) -> None:
        drain_s = self._state.settings.bounds.server_drain_s
        timeout_s = replica_refresh.TIMEOUT_SHARE * drain_s
        fetches = asyncio.gather(
            *(
                self._fetch(self._watch, peer, timeout_s, False)
                for peer in self._sources(monotonic_s())
            )
        )
        if refresh.reads_store:
            await self._watch.refresh(timeout_s)
        self._has_answer = any(await fetches)

    def _sources(self, now: float) -> list[Peer]:
        """Return the hosts to ask: those that are ahead, and the zone's relays."""
        known = self._watch.content.end
        ahead = [p for p in self._peers.live(now) if p.digest.server_end > known]
        ahead.sort(key=lambda peer: -peer.digest.server_end)
        relays = (self._peers.peer(m.host) for m in self._peers.own_relays(now))
        sources = {peer.host: peer for peer in (*ahead, *relays) if peer is not None}
        return list(sources.values())[:MAX_SOURCES]

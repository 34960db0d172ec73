"""Digests between hosts over UDP.

A digest is small and old ones do not matter, so a lost datagram is not sent again.
Hosts report to the relays of their zone; the relay that sums up tells the other zones'
relays the sums of its zone, and the hosts of its zone the sums of all.
"""

import asyncio
from collections import Counter

from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.host_registry import HostRegistry
from sequoiapoint.node.placement_exchange import PlacementExchange
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.node.topic_exchange import TopicExchange
from sequoiapoint.protocol.digests import Member, Scope, decode_digest
from sequoiapoint.state.peers import Peers
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.store_client import StoreClient

DIGEST_INTERVAL_S = 0.5
"""Time between digests: loads change within a second."""
URGENT_INTERVAL_S = 0.02
"""Least time between digests for news that requests wait for."""
SUSPICION_NEWS_S = 1.6
"""For how long a suspicion is repeated: three digests, of which one may get lost."""
SUSPICIONS = 20
"""Suspicions in a digest; with more of them at once the cause is not a request."""


class _Datagrams(asyncio.DatagramProtocol):
    """Receives digests."""

    def __init__(self, exchange: "PeerExchange") -> None:
        self._exchange = exchange

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take in a datagram."""
        self._exchange.handle_datagram(data, address)

    def error_received(self, error: OSError) -> None:
        """Count an error; a peer that is down answers so."""
        self._exchange.count_error(error)


class PeerExchange:
    """Sends this host's digests and takes in the others'.

    :ivar peers: The other hosts.
    :ivar orders: What is told to and by the host that gives orders.
    """

    def __init__(
        self, state: GatewayState, store: StoreClient, watch: StoreWatch
    ) -> None:
        self._state = state
        self._sender = DigestSender(state, store, watch)
        self._own = self._sender.self_member
        self._urgent = asyncio.Event()
        self._has_urgent_counts = False
        self.peers = Peers(self._own)
        self.placement = PlacementExchange(
            state, self.peers, self._sender, self._urgent.set
        )
        self._topics = TopicExchange(state, store, watch, self.peers)
        self._registry = HostRegistry(
            state, store, self.peers, self._own, self.schedule_digest
        )
        watch.on_advance = self._tell_zone_soon

    async def start(self) -> None:
        """Listen for digests and calls."""
        host, _, port = self._own.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._sender.transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self), (host, int(port))
        )
        await self._topics.start()

    async def run(self) -> None:
        """Exchange digests for as long as the process runs."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._registry.run())
            tasks.create_task(self._send_regularly())
            tasks.create_task(self._send_urgently())
            tasks.create_task(self._topics.run())

    async def stop(self) -> None:
        """Tell the others and stop listening."""
        self._send_counts(monotonic_s())
        self._sender.transport.close()
        await self._topics.stop()

    def schedule_digest(self) -> None:
        """Send digests at once, for those that have not heard of this host."""
        self._has_urgent_counts = True
        self._urgent.set()

    def _tell_zone_soon(self) -> None:
        """Tell the hosts for which this one reads the store that there is news."""
        if self.peers.is_aggregator(monotonic_s()):
            self.schedule_digest()

    # Sending

    async def _send_regularly(self) -> None:
        while True:
            now = monotonic_s()
            self._state.host_count = self.peers.record_host_count(now)
            self._state.recent_max_host_count = self.peers.recent_max_host_count()
            self._send_counts(now)
            self.placement.send_periodic(now)
            await asyncio.sleep(DIGEST_INTERVAL_S * self._state.rng.uniform(0.9, 1.1))

    async def _send_urgently(self) -> None:
        while True:
            await self._urgent.wait()
            self._urgent.clear()
            now = monotonic_s()
            if self._has_urgent_counts:
                self._has_urgent_counts = False
                self._send_counts(now)
            self.placement.send_pending(now)
            await asyncio.sleep(URGENT_INTERVAL_S)

    def _zone_members(self, now: float) -> list[Member]:
        return [peer.member for peer in self.peers.zone_members(now)]

    def _send_counts(self, now: float) -> None:
        """Report this host's requests, or the sums over the hosts that report to it."""
        state = self._state
        own = state.loads.report()
        suspicions = tuple(
            (s.fingerprint, s.deaths)
            for s in state.quarantine.recent_changes(now, SUSPICION_NEWS_S, SUSPICIONS)
        )
        if not self.peers.is_aggregator(now):
            report = self._sender.build_digest(
                scope=Scope.HOST, counts=tuple(own.items()), suspicions=suspicions
            )
            self._sender.send(report, self.peers.own_relays(now))
            return
        zone = Counter(self.peers.zone_counts(now))
        others = Counter(self.peers.other_zones_counts(now))
        state.loads.set_remote_running(zone + others, now)
        zone += Counter(own)
        hosts = self.peers.zone_hosts(now)
        relays = self.peers.all_relays(now)
        to_zones = self._sender.build_digest(
            scope=Scope.ZONE,
            counts=tuple(zone.items()),
            suspicions=suspicions,
            host_count=len(hosts),
            relays=tuple(r for r in relays if r.zone == self._own.zone),
        )
        to_hosts = self._sender.build_digest(
            scope=Scope.FLEET,
            counts=tuple((zone + others).items()),
            suspicions=suspicions,
            host_count=self.peers.host_count(now),
            members=hosts,
            relays=relays,
        )
        self._sender.send(to_zones, (r for r in relays if r.zone != self._own.zone))
        self._sender.send(to_hosts, self._zone_members(now))

    # Receiving

    def count_error(self, error: OSError) -> None:
        """Count a datagram that could not be delivered."""
        self._state.metrics.event("digest_undelivered")

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Take in a datagram."""
        state = self._state
        now = monotonic_s()
        try:
            digest = decode_digest(data)
        except ValueError as error:
            state.metrics.event("digest_unreadable")
            state.log.event("digest_unreadable", peer=address[0], error=str(error))
            return
        if digest.host == self._own.host:
            return
        if self.peers.merge(digest, now):
            state.log.event(
                "peer_seen", peer=digest.host, zone=digest.zone, address=digest.address
            )
            self.schedule_digest()
        if digest.scope is Scope.FLEET and not self.peers.is_aggregator(now):
            state.loads.set_cluster_running(dict(digest.counts), now)
        for fingerprint, deaths in digest.suspicions:
            state.quarantine.merge(fingerprint, deaths, now)
        self.placement.handle_digest(digest, now)
        self._topics.handle_digest(digest)
        is_from_author = digest.address == "{}:{}".format(*address)
        is_for_all = digest.scope is Scope.NONE and not digest.is_demand_report
        if is_for_all and is_from_author and self.peers.is_aggregator(now):
            members = [m for m in self._zone_members(now) if m != digest.sender]
            self._sender.forward(data, members)

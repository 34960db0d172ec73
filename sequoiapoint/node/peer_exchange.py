"""Digests between hosts over UDP, and whole topics over TCP for hosts that lag.

A digest is small and old ones do not matter, so a lost datagram is not sent again.
"""

import asyncio
import http
import json

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.store_watch import StoreWatch, TopicWatch
from sequoiapoint.protocol.digests import (
    Digest,
    decode_digest,
    decode_topic_state,
    encode_digest,
    encode_topic_state,
)
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.ports import HttpCall
from sequoiapoint.state.demand import FleetDemand
from sequoiapoint.state.peers import Peer, Peers
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.loop_client import ConnectionPool, call
from sequoiapoint.transport.loop_server import InboundRequest, LoopServer, Responder
from sequoiapoint.transport.store_client import StoreClient

DIGEST_INTERVAL_S = 0.5
"""Time between digests: loads change within a second."""
URGENT_INTERVAL_S = 0.02
"""Least time between digests for news that requests wait for."""
HOLDINGS_INTERVAL_S = 1.0
"""Time between repetitions of what all engines hold; a lost datagram costs as much."""
FETCH_TIMEOUT_S = 1.0
"""Time to fetch a topic from a peer."""
FETCH_DELAY_S = 0.4
"""How long the store may lag behind a peer before the peer is asked."""
SUSPICION_NEWS_S = 1.6
"""For how long a suspicion is repeated: three digests, of which one may get lost."""
SUSPICIONS = 20
"""Suspicions in a digest; with more of them at once the cause is not a request."""
HOST_TOPIC = "keyed.hosts"
"""Where hosts write their addresses, for those that start later."""
REGISTER_RETRY_S = 1.0
"""Pause between tries to register and to read the other hosts."""
TOPIC_PATH = "/topics/"


class _Datagrams(asyncio.DatagramProtocol):
    """Receives digests."""

    def __init__(self, exchange: "PeerExchange") -> None:
        self._exchange = exchange

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take in a datagram."""
        self._exchange.receive(data, address)

    def error_received(self, error: OSError) -> None:
        """Count an error; a peer that is down answers so."""
        self._exchange.count_error(error)


class PeerExchange:
    """Sends this host's digests and takes in the others'."""

    def __init__(
        self, state: GatewayState, store: StoreClient, watch: StoreWatch
    ) -> None:
        self._state = state
        self._store = store
        self._watch = watch
        self._transport: asyncio.DatagramTransport | None = None
        self._server = LoopServer(self._answer_call, lambda status: None)
        self._lagging_since: dict[str, float] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._urgent = asyncio.Event()
        self._urgent_holdings: set[tuple[str, int]] = set()
        self._holdings_at = 0.0
        self.peers = Peers()
        self.fleet_demand = FleetDemand()
        self.fence = 0

    async def start(self) -> None:
        """Listen for digests and calls."""
        address = self._state.settings.peer_address
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self), (host, int(port))
        )
        await self._server.start(address)

    async def run(self) -> None:
        """Exchange digests for as long as the process runs."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._register())
            tasks.create_task(self._send_regularly())
            tasks.create_task(self._send_urgently())
            tasks.create_task(self._fetch_what_lags())

    def hears_other_holder(self, now: float, age_s: float) -> bool:
        """Tell whether another host has said lately that it gives orders.

        :param age_s: How old its word may be, in seconds.
        """
        return any(
            peer.digest.fence > 0 and now - peer.heard_at < age_s
            for peer in self.peers.live(now)
        )

    def send_soon(self, holding: tuple[str, int] | None = None) -> None:
        """Send a digest at once, with what an engine holds if that has changed."""
        if holding is not None:
            self._urgent_holdings.add(holding)
        self._urgent.set()

    # Sending

    async def _register(self) -> None:
        settings = self._state.settings
        value = json.dumps({"address": settings.peer_address, "zone": settings.zone})
        has_written = False
        while True:
            if not has_written:
                failure = await self._store.put(
                    HOST_TOPIC, settings.host, value.encode()
                )
                has_written = failure is None
            answer = await self._store.newest(HOST_TOPIC) if has_written else None
            if has_written and not isinstance(answer, Failure):
                for record in answer[0]:
                    self._learn(record.key, record.value)
                self.send_soon()
                return
            await asyncio.sleep(REGISTER_RETRY_S)

    def _learn(self, host: str, value: bytes | None) -> None:
        if host == self._state.settings.host or value is None:
            return
        try:
            known = json.loads(value)
            self.peers.learn(host, known["zone"], known["address"], monotonic_s())
        except (ValueError, KeyError, TypeError) as error:
            self._state.log.event("record_unreadable", key=host, reason=str(error))

    async def _send_regularly(self) -> None:
        while True:
            now = monotonic_s()
            with_holdings = now - self._holdings_at >= HOLDINGS_INTERVAL_S
            if with_holdings:
                self._holdings_at = now
            self._send(now, self._all_holdings() if with_holdings else ())
            self._state.host_count = 1 + len(self.peers.live(now))
            await asyncio.sleep(DIGEST_INTERVAL_S * self._state.rng.uniform(0.9, 1.1))

    async def _send_urgently(self) -> None:
        while True:
            await self._urgent.wait()
            self._urgent.clear()
            changed, self._urgent_holdings = self._urgent_holdings, set()
            holdings = tuple(h for h in self._all_holdings() if h[0] in changed)
            self._send(monotonic_s(), holdings, is_urgent=True)
            await asyncio.sleep(URGENT_INTERVAL_S)

    def _all_holdings(self) -> tuple:
        if not self.fence:
            return ()
        fleet = self._state.fleet
        return tuple(
            (entry.incarnation, fleet.held_by(entry))
            for entry in fleet.entries.values()
            if fleet.held_by(entry)
        )

    def _send(self, now: float, holdings: tuple, is_urgent: bool = False) -> None:
        state = self._state
        demands = tuple(state.demand.report())
        self.fleet_demand.take(state.settings.host, demands, now)
        digest = self._digest(now, holdings)
        holder = self.peers.holder(now)
        with_demand = encode_digest(Digest(**(vars(digest) | {"demands": demands})))
        plain = encode_digest(digest) if demands else with_demand
        for peer in self.peers.all(now):
            is_holder = holder is not None and peer.host == holder.host
            if is_urgent and not is_holder and not (holdings or state.is_draining):
                continue
            host, _, port = peer.address.rpartition(":")
            data = with_demand if is_holder or holder is None else plain
            self._transport.sendto(data, (host, int(port)))

    def _digest(self, now: float, holdings: tuple) -> Digest:
        state = self._state
        return Digest(
            host=state.settings.host,
            zone=state.settings.zone,
            address=state.settings.peer_address,
            started_ms=state.started_ms,
            is_leaving=state.is_draining,
            configuration_end=self._watch.configuration.content.end,
            server_end=self._watch.servers.content.end,
            is_store_reachable=self._store.is_reachable,
            fence=self.fence,
            counts=tuple(state.loads.own_counts().items()),
            holdings=holdings,
            suspicions=tuple(
                (s.fingerprint, s.deaths)
                for s in state.quarantine.news(now, SUSPICION_NEWS_S, SUSPICIONS)
            ),
        )

    # Receiving

    def count_error(self, error: OSError) -> None:
        """Count a datagram that could not be delivered."""
        self._state.metrics.event("digest_undelivered")

    def receive(self, data: bytes, address: tuple[str, int]) -> None:
        """Take in a datagram."""
        state = self._state
        now = monotonic_s()
        try:
            digest = decode_digest(data)
        except ValueError as error:
            state.metrics.event("digest_unreadable")
            state.log.event("digest_unreadable", peer=address[0], error=str(error))
            return
        if digest.host == state.settings.host:
            return
        if self.peers.take(digest, now):
            state.log.event(
                "peer_seen", peer=digest.host, zone=digest.zone, address=digest.address
            )
            self.send_soon()
        for incarnation, running in digest.counts:
            state.loads.of(incarnation).take_peer_count(digest.host, running, now)
        for fingerprint, deaths in digest.suspicions:
            state.quarantine.merge(fingerprint, deaths, now)
        if digest.demands:
            self.fleet_demand.take(digest.host, digest.demands, now)
            if any(demand.waiting for demand in digest.demands):
                state.wants_order.set()
        self._take_holdings(digest, now)

    def _take_holdings(self, digest: Digest, now: float) -> None:
        holder = self.peers.holder(now)
        if not digest.holdings or self.fence:
            return
        if holder is None or holder.host != digest.host:
            return
        is_news = [self._state.fleet.set_held(i, held) for i, held in digest.holdings]
        if any(is_news):
            self._state.waiting.notify()

    # Topics

    async def _fetch_what_lags(self) -> None:
        while True:
            await asyncio.sleep(FETCH_DELAY_S / 2)
            now = monotonic_s()
            for watch in (self._watch.configuration, self._watch.servers):
                await self._fetch_if_lagging(watch, now)

    def _end_at(self, peer: Peer, watch: TopicWatch) -> int:
        if watch is self._watch.configuration:
            return peer.digest.configuration_end
        return peer.digest.server_end

    async def _fetch_if_lagging(self, watch: TopicWatch, now: float) -> None:
        ahead = [
            peer
            for peer in self.peers.live(now)
            if self._end_at(peer, watch) > watch.content.end
        ]
        is_own_business = self._store.is_reachable and (
            watch is self._watch.servers
            or now - self._store.answered_at < FETCH_DELAY_S
        )
        if not ahead or is_own_business:
            self._lagging_since.pop(watch.topic, None)
            return
        since = self._lagging_since.setdefault(watch.topic, now)
        if now - since < FETCH_DELAY_S:
            return
        own_zone = self._state.settings.zone
        nearest = min(
            ahead, key=lambda p: (p.zone != own_zone, -self._end_at(p, watch))
        )
        await self._fetch(watch, nearest)

    async def _fetch(self, watch: TopicWatch, peer: Peer) -> None:
        pool = self._pools.setdefault(peer.address, ConnectionPool(peer.address))
        request = HttpCall("GET", TOPIC_PATH + watch.topic)
        answer = await call(pool, peer.address, request, FETCH_TIMEOUT_S)
        if isinstance(answer, Failure):
            self._state.log.event("topic_fetch", "failed", peer=peer.host, error=answer)
            return
        try:
            records, end = decode_topic_state(answer.body)
        except ValueError as error:
            self._state.log.event("topic_fetch", "failed", peer=peer.host, error=error)
            return
        self._state.log.event(
            "topic_fetch", "taken", topic=watch.topic, peer=peer.host, end=end
        )
        watch.take_peer_state(records, end)

    async def _answer_call(self, request: InboundRequest, responder: Responder) -> None:
        """Answer another host's call."""
        watch = self._watch.topic(request.target.removeprefix(TOPIC_PATH))
        if watch is None or not watch.content.is_known:
            responder.send_whole(int(http.HTTPStatus.NOT_FOUND), [])
            return
        content = watch.content
        body = encode_topic_state(list(content.records.values()), content.end)
        responder.send_whole(int(http.HTTPStatus.OK), [], body)

    async def stop(self) -> None:
        """Tell the others and stop listening."""
        self._send(monotonic_s(), ())
        self._transport.close()
        await self._server.stop()

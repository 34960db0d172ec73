"""Replication of the store's topics between hosts, over TCP.

The aggregator of a zone reads the store.  The other hosts of the zone fetch changes
along a tree whose root is their aggregator, and read the store themselves if the
aggregator falls silent or cannot reach the store.  An aggregator that lags behind other
hosts fetches from them as well.
"""

import asyncio
import http
import math
from urllib.parse import parse_qs, urlencode, urlsplit

from sequoiapoint.coordination import distribution_tree
from sequoiapoint.coordination.store_reading import StoreReading, ZoneView
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.replica_refresher import ReplicaRefresher
from sequoiapoint.node.store_watch import StoreWatch, TopicWatch
from sequoiapoint.protocol.digests import (
    Digest,
    TopicState,
    decode_topic_state,
    encode_topic_state,
)
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.ports import HttpCall
from sequoiapoint.state.keyed_topic import KeyedTopic
from sequoiapoint.state.message_delays import MessageDelays
from sequoiapoint.state.peers import Peer, Peers
from sequoiapoint.transport.async_http_client import ConnectionPool, call
from sequoiapoint.transport.async_http_server import InboundRequest, Responder
from sequoiapoint.transport.clock import monotonic_s, since_boot_s
from sequoiapoint.transport.store_client import StoreClient

FETCH_TIMEOUT_S = 1.0
"""Timeout of a fetch from a peer."""
LAGGING_FETCH_TIMEOUT_S = 0.4
"""The same for a peer that is known to have the change and responds at once.  Two such
fetches, the delays before them and a digest's interval take less than two seconds, the
shortest limit for applying a configuration."""
MAX_LAGGING_FETCHES = 2
"""Number of peers that are asked for a change, one after the other."""
LAG_CHECK_INTERVAL_S = 0.2
"""Interval at which a topic that lags is checked."""
IDLE_CHECK_INTERVAL_S = 1.0
"""Interval at which a topic that does not lag is checked; a digest that announces a
change requests a check."""
READER_TTL_S = 0.02
"""Time for which the reader of the store is not determined again: the topics and their
fetches ask for it in the same wake-up."""
MAX_CONFIGURATION_LAG_S = 0.4
"""Time for which this host may lag behind a peer's configuration before it fetches it
from the peer.  It is short because the store responds to a waiting read at once."""
MAX_AGGREGATOR_AGE_S = 1.8
"""Maximum age of the aggregator's last digest for this host to rely on it; below two
seconds, the shortest limit for applying a configuration or a server's leaving."""
MAX_SERVER_LAG_S = 0.9
"""Time for which this host may lag behind a peer's server entries before it fetches
them from the peer.  It is longer than for a configuration because the store is read
with pauses between the reads."""
MAX_HOLD_S = 0.5
"""Time for which a host holds another host's fetch until it has the change itself."""
TOPIC_PATH = "/topics/"
KEEP_ALIVE = (b"Keep-Alive", b"timeout=10")
"""Tells the peer that its next fetch, usually within a second, may use the connection
again; it is below the idle timeout of the server for peers."""


class TopicExchange:
    """Fetches topics from other hosts and serves them to other hosts."""

    def __init__(
        self, state: GatewayState, store: StoreClient, watch: StoreWatch, peers: Peers
    ) -> None:
        self._state = state
        self._store = store
        self._watch = watch
        self._peers = peers
        self._pools: dict[str, ConnectionPool] = {}
        self._fetch_requested = {
            watch.topic: asyncio.Event()
            for watch in (watch.configuration, watch.servers)
        }
        # By topic: a peer's end offset, and since when this host has lagged behind it.
        self._lags: dict[str, tuple[int, float]] = {}
        self._reader = ""
        self._reader_at = -math.inf
        self._reading = StoreReading(state.rng.random)
        self._advanced = asyncio.Event()
        self._delays = MessageDelays()
        # By topic: an announced end offset that this host lacks, and since when.
        self._awaited: dict[str, tuple[int, float]] = {}
        self._refresher = ReplicaRefresher(state, peers, watch.servers, self.fetch)
        watch.reads_via_relay = self.reads_via_relay

    async def run(self) -> None:
        """Fetch lagging topics until the process stops."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_fetches(self._watch.configuration))
            tasks.create_task(self._run_fetches(self._watch.servers))
            tasks.create_task(self._refresher.run())

    async def _run_fetches(self, watch: TopicWatch) -> None:
        requested = self._fetch_requested[watch.topic]
        while True:
            is_lagging = any(
                self._known_end(peer, watch) > watch.content.end
                for peer in self._peers.live(monotonic_s())
            )
            interval_s = LAG_CHECK_INTERVAL_S if is_lagging else IDLE_CHECK_INTERVAL_S
            try:
                async with asyncio.timeout(interval_s):
                    await requested.wait()
            except TimeoutError:
                pass
            requested.clear()
            await self._fetch_if_lagging(watch)

    def note_advance(self) -> None:
        """Answer the held fetches of other hosts, as a topic has advanced."""
        self._advanced.set()
        self._advanced = asyncio.Event()

    def handle_digest(self, digest: Digest) -> None:
        """Note what a digest announces; schedule a fetch if this host lags behind."""
        late_s = 0.0
        if digest.sent_at is not None:
            process = (digest.host, digest.started_ms)
            late_s = self._delays.late_s(process, digest.sent_at, since_boot_s())
        if digest.server_age_s is not None:
            self._watch.handle_announcement(
                digest.server_end, digest.server_age_s + late_s, monotonic_s()
            )
        for watch in (self._watch.configuration, self._watch.servers):
            is_behind = _known_end(digest, watch, self._watch) > watch.content.end
            # A topic that is known to lag is checked at intervals.
            if is_behind and (watch.topic not in self._lags or self.reads_via_relay()):
                self._fetch_requested[watch.topic].set()

    def reads_via_relay(self) -> bool:
        """Tell whether a relay reads the store for this host; log a new reader."""
        now = monotonic_s()
        if 0.0 <= now - self._reader_at < READER_TTL_S:
            return self._reader != self._state.settings.host
        self._reader_at = now
        reader = self._state.settings.host
        if not self._reading.reads_itself(self._zone_view(now), now):
            reader = self._peers.aggregator_host
        if reader != self._reader:
            self._reader = reader
            is_own = reader == self._state.settings.host
            outcome = "own" if is_own else "relay"
            self._state.log.event("store_reader", outcome, reader=reader)
        return reader != self._state.settings.host

    def _zone_view(self, now: float) -> ZoneView:
        if self._peers.is_aggregator(now):
            return ZoneView(is_aggregator=True)
        aggregator = self._peers.aggregator(now, MAX_AGGREGATOR_AGE_S)
        if aggregator is None:
            return ZoneView(is_aggregator=False)
        return ZoneView(
            is_aggregator=False,
            is_standby=self._peers.is_relay(now),
            is_aggregator_heard=True,
            is_store_reachable=aggregator.digest.is_store_reachable,
            server_end=aggregator.digest.server_end,
            hosts=max(1, len(self._peers.listed_members())),
            lag_s=self._lag_s(aggregator.digest, now),
        )

    def _lag_s(self, announced: Digest, now: float) -> float:
        """Return how long this host has lacked an announced change."""
        for watch in (self._watch.configuration, self._watch.servers):
            awaited_end, _ = self._awaited.get(watch.topic, (-1, now))
            if watch.content.end >= awaited_end:
                end = _known_end(announced, watch, self._watch)
                self._awaited[watch.topic] = (end, now)
                if watch.content.end >= end:
                    del self._awaited[watch.topic]
        return max((now - since for _, since in self._awaited.values()), default=0.0)

    async def _fetch_if_lagging(self, watch: TopicWatch) -> None:
        now = monotonic_s()
        aggregator = self._peers.aggregator(now, MAX_AGGREGATOR_AGE_S)
        if (
            self.reads_via_relay()
            and aggregator is not None
            and self._known_end(aggregator, watch) > watch.content.end
        ):
            await self._fetch_along_tree(watch, aggregator)
            return
        ahead = [
            peer
            for peer in self._peers.live(now)
            if self._known_end(peer, watch) > watch.content.end
        ]
        end, since = self._lags.get(watch.topic, (-1, now))
        if not ahead or watch.content.end >= end:
            self._lags.pop(watch.topic, None)
        if not ahead:
            return
        newest_end = max(self._known_end(peer, watch) for peer in ahead)
        end, since = self._lags.setdefault(watch.topic, (newest_end, now))
        is_servers = watch is self._watch.servers
        if now - since < (MAX_SERVER_LAG_S if is_servers else MAX_CONFIGURATION_LAG_S):
            return
        own_zone = self._state.settings.zone
        ahead.sort(key=lambda p: (p.zone != own_zone, -self._known_end(p, watch)))
        known = watch.content.end
        for peer in ahead[:MAX_LAGGING_FETCHES]:
            if watch.content.end <= known:
                await self.fetch(watch, peer, LAGGING_FETCH_TIMEOUT_S)

    async def _fetch_along_tree(self, watch: TopicWatch, aggregator: Peer) -> None:
        """Fetch a change from this host's source, or else from another host."""
        own, members = self._state.settings.host, self._peers.listed_members()
        known = watch.content.end
        first = distribution_tree.source(own, aggregator.host, members)
        second = distribution_tree.alternative(
            own, first, members, self._state.rng.random
        )
        for name in (first, second):
            source = None if name is None else self._peers.peer(name)
            if source is not None and watch.content.end <= known:
                await self.fetch(watch, source)

    def _known_end(self, peer: Peer, watch: TopicWatch) -> int:
        return _known_end(peer.digest, watch, self._watch)

    async def fetch(
        self,
        watch: TopicWatch,
        peer: Peer,
        timeout_s: float = FETCH_TIMEOUT_S,
        is_held: bool = True,
    ) -> bool:
        """Fetch a topic from another host.

        :param timeout_s: The timeout, in seconds.
        :param is_held: Whether the other host waits for a change if it has none yet.
        :return: Whether the host has answered.
        """
        pool = self._pools.setdefault(peer.address, ConnectionPool(peer.address))
        query = urlencode({"from": watch.content.end, "hold": int(is_held)})
        started_at = monotonic_s()
        request = HttpCall("GET", f"{TOPIC_PATH}{watch.topic}?{query}")
        response = await call(pool, peer.address, request, timeout_s)
        if isinstance(response, Failure):
            self._record_failure(watch, peer, response)
            return False
        if response.status != http.HTTPStatus.OK:
            self._record_failure(watch, peer, f"status {response.status}")
            return False
        try:
            state = decode_topic_state(response.body)
        except ValueError as error:
            self._record_failure(watch, peer, error)
            return False
        self._state.log.event(
            "topic_fetch",
            "taken",
            topic=watch.topic,
            peer=peer.host,
            known=watch.content.end,
            end=state.end,
            records=len(state.records),
        )
        watch.merge_peer_state(state)
        if state.age_s is not None:
            watch.note_announcement(state.end, state.age_s, started_at)
        return True

    def _record_failure(self, watch: TopicWatch, peer: Peer, error: object) -> None:
        self._state.metrics.event("topic_fetch_failed")
        self._state.log.event(
            "topic_fetch", "failed", topic=watch.topic, peer=peer.host, error=error
        )

    async def serve(self, request: InboundRequest, responder: Responder) -> None:
        """Serve a topic to another host: the changes since the offset that it knows.

        The complete topic is sent if the changes are no longer known.  If there is no
        change yet, the response waits for one.
        """
        url = urlsplit(request.target)
        watch = self._watch.topic(url.path.removeprefix(TOPIC_PATH))
        if watch is None or not watch.content.is_known:
            responder.send_response(int(http.HTTPStatus.NOT_FOUND), [])
            return
        fields = parse_qs(url.query)
        known = fields.get("from", [""])[0]
        is_held = fields.get("hold", ["1"])[0] == "1"
        content = watch.content
        if is_held and known.isdecimal() and int(known) >= content.end:
            await self._await_advance(content, int(known))
        changes = content.changes_since(int(known)) if known.isdecimal() else None
        is_complete = changes is None
        records = tuple(content.records.values()) if is_complete else changes
        age_s = watch.freshness.known_age_s(monotonic_s())
        state = TopicState(records, content.end, is_complete, age_s)
        body = encode_topic_state(state)
        responder.send_response(int(http.HTTPStatus.OK), [KEEP_ALIVE], body)

    async def _await_advance(self, content: KeyedTopic, known: int) -> None:
        """Wait until a topic has advanced beyond an offset, for a limited time."""
        try:
            async with asyncio.timeout(MAX_HOLD_S):
                while content.end <= known:
                    await self._advanced.wait()
        except TimeoutError:
            pass


def _known_end(digest: Digest, watch: TopicWatch, store_watch: StoreWatch) -> int:
    if watch is store_watch.configuration:
        return digest.configuration_end
    return digest.server_end

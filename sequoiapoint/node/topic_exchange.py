"""Topics of the platform's store from host to host, over TCP.

The relays of a zone read the store; the other hosts of the zone take what is new from
the one that sums up for them, and read the store themselves when it falls silent or
loses the store.  A relay that lags behind what the others know asks them too.
"""

import asyncio
import http
from urllib.parse import parse_qs, urlencode, urlsplit

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.store_watch import StoreWatch, TopicWatch
from sequoiapoint.protocol.digests import (
    Digest,
    Scope,
    TopicState,
    decode_topic_state,
    encode_topic_state,
)
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.ports import HttpCall
from sequoiapoint.state.peers import Peer, Peers
from sequoiapoint.transport.async_http_client import ConnectionPool, call
from sequoiapoint.transport.async_http_server import (
    AsyncHttpServer,
    InboundRequest,
    Responder,
)
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.store_client import StoreClient

FETCH_TIMEOUT_S = 1.0
"""Time to fetch from a peer."""
CHECK_INTERVAL_S = 0.2
"""Time between looks at whether a topic lags."""
CONFIGURATION_LAG_S = 0.4
"""How long the store may lag behind a peer with a configuration before the peer is
asked: it answers a read that waits at once."""
FOLLOW_AGE_S = 1.8
"""Age of a relay's last digest up to which it reads the store for this host; below the
shortest bound on a configuration or a leaving server, two seconds."""
SERVER_LAG_S = 0.9
"""The same for the servers' entries, between whose reads there are pauses."""
TOPIC_PATH = "/topics/"


class TopicExchange:
    """Takes topics from other hosts and answers them."""

    def __init__(
        self, state: GatewayState, store: StoreClient, watch: StoreWatch, peers: Peers
    ) -> None:
        self._state = state
        self._store = store
        self._watch = watch
        self._peers = peers
        self._server = AsyncHttpServer(self._answer, lambda status: None)
        self._pools: dict[str, ConnectionPool] = {}
        self._news = asyncio.Event()
        # By topic, an end that a peer has shown and since when this host lags behind.
        self._lags: dict[str, tuple[int, float]] = {}
        self._reader = ""
        watch.is_delegated = self.reads_via_relay

    async def start(self) -> None:
        """Listen for calls."""
        await self._server.start(self._state.settings.peer_address)

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def run(self) -> None:
        """Fetch what lags for as long as the process runs."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._news.wait()
            except TimeoutError:
                pass
            self._news.clear()
            for watch in (self._watch.configuration, self._watch.servers):
                await self._fetch_if_lagging(watch)

    def handle_digest(self, digest: Digest) -> None:
        """Look at once if a relay knows more than this host, or has lost the store."""
        if digest.scope is Scope.FLEET and not digest.is_store_reachable:
            self._watch.note_store_lost(monotonic_s())
        is_ahead = any(
            _end_at(digest, watch, self._watch) > watch.content.end
            for watch in (self._watch.configuration, self._watch.servers)
        )
        if is_ahead and self.reads_via_relay():
            self._news.set()

    def reads_via_relay(self) -> bool:
        """Tell whether a relay reads the store for this host; log who reads."""
        now = monotonic_s()
        relay = self._peers.aggregator(now, FOLLOW_AGE_S)
        reader = self._state.settings.host
        if relay is not None and not self._peers.is_relay(now):
            reader = relay.host if relay.digest.is_store_reachable else reader
        if reader != self._reader:
            self._reader = reader
            is_own = reader == self._state.settings.host
            outcome = "own" if is_own else "relay"
            self._state.log.event("store_reader", outcome, reader=reader)
        return reader != self._state.settings.host

    async def _fetch_if_lagging(self, watch: TopicWatch) -> None:
        now = monotonic_s()
        relay = self._peers.aggregator(now, FOLLOW_AGE_S)
        if self.reads_via_relay() and self._end_at(relay, watch) > watch.content.end:
            await self._fetch(watch, relay)
            return
        ahead = [
            peer
            for peer in self._peers.live(now)
            if self._end_at(peer, watch) > watch.content.end
        ]
        end, since = self._lags.get(watch.topic, (-1, now))
        if not ahead or watch.content.end >= end:
            self._lags.pop(watch.topic, None)
        if not ahead:
            return
        newest = max(self._end_at(peer, watch) for peer in ahead)
        end, since = self._lags.setdefault(watch.topic, (newest, now))
        is_servers = watch is self._watch.servers
        if now - since < (SERVER_LAG_S if is_servers else CONFIGURATION_LAG_S):
            return
        own_zone = self._state.settings.zone
        nearest = min(
            ahead, key=lambda p: (p.zone != own_zone, -self._end_at(p, watch))
        )
        await self._fetch(watch, nearest)

    def _end_at(self, peer: Peer, watch: TopicWatch) -> int:
        return _end_at(peer.digest, watch, self._watch)

    async def _fetch(self, watch: TopicWatch, peer: Peer) -> None:
        pool = self._pools.setdefault(peer.address, ConnectionPool(peer.address))
        query = urlencode({"from": watch.content.end})
        request = HttpCall("GET", f"{TOPIC_PATH}{watch.topic}?{query}")
        answer = await call(pool, peer.address, request, FETCH_TIMEOUT_S)
        if isinstance(answer, Failure):
            self._note_failure(watch, peer, answer)
            return
        if answer.status != http.HTTPStatus.OK:
            self._note_failure(watch, peer, f"status {answer.status}")
            return
        try:
            state = decode_topic_state(answer.body)
        except ValueError as error:
            self._note_failure(watch, peer, error)
            return
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

    def _note_failure(self, watch: TopicWatch, peer: Peer, error: object) -> None:
        self._state.metrics.event("topic_fetch_failed")
        self._state.log.event(
            "topic_fetch", "failed", topic=watch.topic, peer=peer.host, error=error
        )

    async def _answer(self, request: InboundRequest, responder: Responder) -> None:
        """Answer another host with what has changed since the offset that it knows."""
        url = urlsplit(request.target)
        watch = self._watch.topic(url.path.removeprefix(TOPIC_PATH))
        if watch is None or not watch.content.is_known:
            responder.send_response(int(http.HTTPStatus.NOT_FOUND), [])
            return
        known = parse_qs(url.query).get("from", [""])[0]
        content = watch.content
        changes = content.changes_since(int(known)) if known.isdecimal() else None
        is_whole = changes is None
        records = tuple(content.records.values()) if is_whole else changes
        body = encode_topic_state(TopicState(records, content.end, is_whole))
        responder.send_response(int(http.HTTPStatus.OK), [], body)


def _end_at(digest: Digest, watch: TopicWatch, watches: StoreWatch) -> int:
    if watch is watches.configuration:
        return digest.configuration_end
    return digest.server_end

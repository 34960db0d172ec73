"""Exchange of digests between hosts over UDP.

Digests are small and soon replaced by newer ones, so lost datagrams are not resent.
Hosts report to the relays of their zone.  One of the relays, the zone's aggregator,
sends the zone's totals to the relays of the other zones and the totals of all zones to
the hosts of its own zone.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

from sequoiapoint.coordination.fan_out import BYTES_PER_MBIT
from sequoiapoint.coordination.prompt_quarantine import process_number
from sequoiapoint.node.allowance_exchange import AllowanceExchange
from sequoiapoint.node.configuration_age_exchange import ConfigurationAgeExchange
from sequoiapoint.node.datagrams import decode_datagram
from sequoiapoint.node.detour_exchange import DetourExchange
from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.host_registry import HostRegistry
from sequoiapoint.node.origin_exchange import OriginExchange
from sequoiapoint.node.origin_store import OriginStore
from sequoiapoint.node.peer_server import PeerServer
from sequoiapoint.node.permit_exchange import PermitExchange
from sequoiapoint.node.placement_exchange import PlacementExchange, broadcast_kind
from sequoiapoint.node.slot_exchange import SlotExchange
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.node.topic_exchange import TOPIC_PATH, TopicExchange
from sequoiapoint.node.version_history import VersionHistoryStore
from sequoiapoint.protocol.allowances import PREFIX as ALLOWANCE_MESSAGE_PREFIX
from sequoiapoint.protocol.configuration_age import PREFIX as AGE_MESSAGE_PREFIX
from sequoiapoint.protocol.digests import (
    Digest,
    Member,
    Scope,
    ServerLimit,
    SpeedSample,
    decode_digest,
    encode_digest,
)
from sequoiapoint.protocol.origins import PREFIX as ORIGIN_MESSAGE_PREFIX
from sequoiapoint.protocol.permits import PREFIX as PERMIT_MESSAGE_PREFIX
from sequoiapoint.protocol.slots import PREFIX as SLOT_MESSAGE_PREFIX
from sequoiapoint.state.peers import Peers
from sequoiapoint.state.server_speed import add_samples
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.store_client import StoreClient

DIGEST_INTERVAL_S = 0.5
"""Mean interval between periodic digests; loads change within a second."""
TOTALS_LINK_SHARE = 0.1
"""Share of an aggregator's link that the totals for its zone may use.  Between totals
it sends heartbeats, whose size does not grow with the hosts and servers."""
MIN_URGENT_INTERVAL_S = 0.02
"""Minimum interval between urgent digests, which requests wait for."""
SUSPICION_REPEAT_S = 1.6
"""Time for which a changed suspicion is sent: three digests, one may be lost."""
MAX_SUSPICIONS_PER_DIGEST = 20
"""Maximum number of suspected requests in a digest; if there are more at the same time,
the cause of the crashes is not a request."""

MAX_SUSPECT_PARTS_PER_DIGEST = 40
"""Maximum number of suspect parts of prompts in a digest, the worst ones; 2 KB."""
MAX_LEAVING_PER_DIGEST = 100
"""Maximum number of leaving servers in a digest, the latest ones; 3 KB."""
MAX_LIMITS_PER_DIGEST = 60
"""Maximum number of servers' limits in a digest, those heard last; 2 KB."""
MAX_BRITTLE_PER_DIGEST = 60
"""Maximum number of brittle servers in a digest, those heard last; 2 KB."""
MAX_FALLEN_PER_DIGEST = 40
"""Maximum number of fallen servers in a digest, the latest ones; 1 KB."""


MAX_SPEEDS_PER_DIGEST = 60
"""Maximum number of servers' speeds in a digest, those heard last; 1 KB."""


def _newest_speeds(
    samples: Mapping[int, SpeedSample],
) -> tuple[tuple[int, SpeedSample], ...]:
    """Return the speeds to send, those heard last first."""
    newest = sorted(samples.items(), key=lambda item: item[1].age_s)
    return tuple(newest[:MAX_SPEEDS_PER_DIGEST])


class _DigestProtocol(asyncio.DatagramProtocol):
    """Receives digests."""

    def __init__(self, exchange: "PeerExchange") -> None:
        self._exchange = exchange

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle a received datagram."""
        self._exchange.handle_datagram(data, address)

    def error_received(self, error: OSError) -> None:
        """Count an error; a datagram to a host that is down may cause one."""
        self._exchange.count_error(error)


class PeerExchange:
    """Sends this host's digests and handles those of other hosts.

    :ivar peers: The other hosts.
    :ivar placement: The exchange of holdings and demand with the leader.
    :ivar slots: The exchange of slot messages with allocators.
    :ivar permits: The exchange of permit messages with allocators.
    :ivar allowances: The exchange of allowance messages with allocators.
    :ivar origins: The exchange of the origins of streams.
    :ivar configuration_age: The exchange about the age of the configuration.
    :ivar detours: The requests that this host sends through other hosts.
    :ivar server: The server for calls of other hosts.
    """

    def __init__(
        self, state: GatewayState, store: StoreClient, watch: StoreWatch
    ) -> None:
        self._state = state
        self._sender = DigestSender(state, store, watch)
        self._local_member = self._sender.local_member
        self._urgent_requested = asyncio.Event()
        self._are_counts_urgent = False
        self._totals_due_at = 0.0
        self._aggregator = ""
        self.peers = Peers(self._local_member)
        self.placement = PlacementExchange(
            state, self.peers, self._sender, self._urgent_requested.set
        )
        self.slots = SlotExchange(state, self.peers, self._sender)
        self.permits = PermitExchange(state, self.peers, self._sender)
        self.allowances = AllowanceExchange(state, self.peers, self._sender)
        self.origins = OriginExchange(
            state,
            watch,
            self.peers,
            self._sender,
            OriginStore(state, store, self.peers, self._sender),
            VersionHistoryStore(state, store, watch, self.peers),
        )
        self._topics = TopicExchange(state, store, watch, self.peers)
        self.configuration_age = ConfigurationAgeExchange(
            state, store, watch, self.peers, self._sender, self._topics.fetch
        )
        self._exchanges_by_prefix = {
            SLOT_MESSAGE_PREFIX: self.slots,
            PERMIT_MESSAGE_PREFIX: self.permits,
            ALLOWANCE_MESSAGE_PREFIX: self.allowances,
            ORIGIN_MESSAGE_PREFIX: self.origins,
            AGE_MESSAGE_PREFIX: self.configuration_age,
        }
        self.detours = DetourExchange(state, self.peers)
        self.server = PeerServer(state, {TOPIC_PATH: self._topics.serve})
        self._registry = HostRegistry(
            state, store, self.peers, self._local_member, self.schedule_digest
        )
        state.shared_state_changed = self.schedule_digest
        watch.on_advance = self._notify_zone
        watch.on_unchanged = self._notify_standby
        watch.expects_replica = self._expects_replica

    async def start(self) -> None:
        """Listen for digests over UDP and for calls of other hosts over TCP."""
        host, _, port = self._local_member.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._sender.transport, _ = await loop.create_datagram_endpoint(
            lambda: _DigestProtocol(self), (host, int(port))
        )
        await self.server.start()

    async def run(self) -> None:
        """Exchange digests until the process stops."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._registry.run())
            tasks.create_task(self._run_periodic())
            tasks.create_task(self._run_urgent())
            tasks.create_task(self._sender.run())
            tasks.create_task(self.slots.run())
            tasks.create_task(self.allowances.run())
            tasks.create_task(self._topics.run())
            tasks.create_task(self.configuration_age.run())

    async def stop(self) -> None:
        """Send a last digest, which announces the shutdown, and stop listening."""
        self._send_counts(monotonic_s())
        self._sender.transport.close()
        await self.server.stop()

    def schedule_digest(self) -> None:
        """Send a digest at once, for hosts that lack this host's current state."""
        self._are_counts_urgent = True
        self._urgent_requested.set()

    def _notify_zone(self) -> None:
        """Announce a new topic offset to the hosts for which this one reads it."""
        self._topics.note_advance()
        if self.peers.is_aggregator(monotonic_s()):
            self.schedule_digest()

    def _notify_standby(self) -> None:
        """Tell the standby that the store has been read.

        It reads the store itself if it does not know that for too long, and the next
        digest is up to an interval away.
        """
        now = monotonic_s()
        if self.peers.is_aggregator(now):
            heartbeat = self._sender.build_digest(
                scope=Scope.FLEET,
                is_heartbeat=True,
                host_count=self.peers.host_count(now),
                live_zones=self.peers.live_zones(now),
            )
            self._sender.send(heartbeat, self.peers.own_relays(now))

    def _expects_replica(self) -> bool:
        """Tell whether another host of the zone will soon deliver the topics."""
        is_alone = self._registry.has_been_read and self.peers.is_aggregator(
            monotonic_s()
        )
        return not is_alone

    # Sending

    async def _run_periodic(self) -> None:
        while True:
            now = monotonic_s()
            self._state.host_count = self.peers.record_host_count(now)
            self._state.recent_max_host_count = self.peers.recent_max_host_count()
            self._send_counts(now)
            self.placement.send_periodic(now)
            self.permits.refresh()
            self.origins.stored.hand_over()
            self.origins.history.write_if_due()
            await asyncio.sleep(DIGEST_INTERVAL_S * self._state.rng.uniform(0.9, 1.1))

    async def _run_urgent(self) -> None:
        while True:
            await self._urgent_requested.wait()
            self._urgent_requested.clear()
            now = monotonic_s()
            if self._are_counts_urgent:
                self._are_counts_urgent = False
                self._send_counts(now)
            self.placement.send_pending(now)
            await asyncio.sleep(MIN_URGENT_INTERVAL_S)

    def _zone_members(self, now: float) -> list[Member]:
        return [peer.member for peer in self.peers.zone_members(now)]

    def _send_counts(self, now: float) -> None:
        """Send this host's request counts, or the totals if it is the aggregator."""
        state = self._state
        local_counts = state.loads.report()
        self.slots.report(local_counts, now)
        changes = state.quarantine.recent_changes(
            now, SUSPICION_REPEAT_S, MAX_SUSPICIONS_PER_DIGEST
        )
        cleared = tuple(s.fingerprint for s in changes if s.is_cleared)
        suspects = [s for s in changes if not s.is_cleared]
        suspicions = tuple((s.fingerprint, s.deaths) for s in suspects)
        repeated = tuple((s.fingerprint, s.repeated) for s in suspects if s.repeated)
        suspect_parts = tuple(
            (s.part, s.crashes, s.is_cleared)
            for s in state.prompt_quarantine.recent_changes(
                now, SUSPICION_REPEAT_S, MAX_SUSPECT_PARTS_PER_DIGEST
            )
        )
        leaving = tuple(state.fleet.leaving())[-MAX_LEAVING_PER_DIGEST:]
        limits = tuple(
            ServerLimit(n.incarnation, n.per_s, now - n.heard_at)
            for n in state.limits.newest(now, MAX_LIMITS_PER_DIGEST)
        )
        brittle = tuple(
            ServerLimit(n.incarnation, n.per_s, now - n.heard_at)
            for n in state.brittle.newest(now, MAX_BRITTLE_PER_DIGEST)
        )
        fallen = tuple(
            state.brittle.recent_falls(now, SUSPICION_REPEAT_S, MAX_FALLEN_PER_DIGEST)
        )
        turned_away = tuple(
            state.brittle.recently_turned_away(now, MAX_FALLEN_PER_DIGEST)
        )
        contested = self.peers.contested_aggregators(now)
        speeds = self._own_speeds(now)
        if not self.peers.is_aggregator(now):
            report = self._sender.build_digest(
                scope=Scope.HOST,
                counts=tuple(local_counts.items()),
                suspicions=suspicions,
                repeated_crashes=repeated,
                cleared_requests=cleared,
                suspect_parts=suspect_parts,
                leaving_servers=leaving,
                limits=limits,
                brittle=brittle,
                fallen=fallen,
                turned_away=turned_away,
                contested=contested,
                speeds=_newest_speeds(speeds),
            )
            self._sender.send(report, self.peers.own_relays(now))
            return
        zone_totals = Counter(self.peers.zone_counts(now))
        other_totals = Counter(self.peers.other_zones_counts(now))
        state.loads.set_remote_running(zone_totals + other_totals, now)
        zone_totals += Counter(local_counts)
        zone_speeds = add_samples([speeds, *self.peers.zone_speeds(now)])
        all_speeds = add_samples([zone_speeds, *self.peers.other_zones_speeds(now)])
        self._merge_speeds(all_speeds, now)
        hosts = self.peers.zone_hosts(now)
        relays = self.peers.all_relays(now)
        zone_digest = self._sender.build_digest(
            scope=Scope.ZONE,
            counts=tuple(zone_totals.items()),
            suspicions=suspicions,
            repeated_crashes=repeated,
            cleared_requests=cleared,
            suspect_parts=suspect_parts,
            leaving_servers=leaving,
            limits=limits,
            brittle=brittle,
            fallen=fallen,
            turned_away=turned_away,
            contested=contested,
            speeds=_newest_speeds(zone_speeds),
            host_count=len(hosts),
            relays=tuple(r for r in relays if r.zone == self._local_member.zone),
        )
        cluster_digest = self._sender.build_digest(
            scope=Scope.FLEET,
            counts=tuple((zone_totals + other_totals).items()),
            suspicions=suspicions,
            repeated_crashes=repeated,
            cleared_requests=cleared,
            suspect_parts=suspect_parts,
            leaving_servers=leaving,
            limits=limits,
            brittle=brittle,
            fallen=fallen,
            turned_away=turned_away,
            speeds=_newest_speeds(all_speeds),
            host_count=self.peers.host_count(now),
            members=hosts,
            relays=relays,
            live_zones=self.peers.live_zones(now),
        )
        self._sender.send(
            zone_digest, (r for r in relays if r.zone != self._local_member.zone)
        )
        self._send_to_zone(cluster_digest, now)

    def _send_to_zone(self, totals: Digest, now: float) -> None:
        """Send totals to the hosts of the zone, or a heartbeat if they are not due."""
        members = self._zone_members(now)
        if now < self._totals_due_at:
            heartbeat = replace(
                totals, counts=(), members=(), relays=(), speeds=(), is_heartbeat=True
            )
            self._sender.spread("heartbeat", encode_digest(heartbeat), members)
            return
        data = encode_digest(totals)
        link_bytes_per_s = BYTES_PER_MBIT * self._state.settings.link_mbps
        interval_s = len(members) * len(data) / (TOTALS_LINK_SHARE * link_bytes_per_s)
        # Half an interval less, so that a digest that is sent early is not a heartbeat.
        self._totals_due_at = now + max(0.0, interval_s - DIGEST_INTERVAL_S / 2)
        self._sender.spread("totals", data, members)

    # Receiving

    def count_error(self, error: OSError) -> None:
        """Count a datagram that could not be delivered."""
        self._state.metrics.event("digest_undelivered")

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode and handle a datagram; forward a leader's broadcast to the zone."""
        exchange = self._exchanges_by_prefix.get(data[:1])
        if exchange is not None:
            exchange.handle_datagram(data, address)
            return
        state = self._state
        now = monotonic_s()
        digest = decode_datagram(state, decode_digest, data, address, "digest")
        if digest is None or digest.host == self._local_member.host:
            return
        if self.peers.merge(digest, now):
            state.log.event(
                "peer_seen", peer=digest.host, zone=digest.zone, address=digest.address
            )
            self.schedule_digest()
        self._log_aggregator(now)
        if (
            digest.scope is Scope.FLEET
            and not digest.is_heartbeat
            and digest.host == self.peers.aggregator_host
            and not self.peers.is_aggregator(now)
        ):
            state.loads.set_cluster_running(dict(digest.counts), now)
            self._merge_speeds(dict(digest.speeds), now)
        for incarnation in digest.leaving_servers:
            entry = state.fleet.entries.get(incarnation[0])
            if entry is not None and entry.incarnation == incarnation:
                state.note_server_leaving(entry, digest.host, now)
        for limit in digest.limits:
            state.note_server_limit(
                limit.server, limit.per_s, digest.host, now - limit.age_s
            )
        for notice in digest.brittle:
            state.note_server_brittle(
                notice.server, notice.per_s, digest.host, now - notice.age_s
            )
        for incarnation, age_s in digest.turned_away:
            state.note_turned_away(incarnation, now - age_s, now)
        for incarnation in digest.fallen:
            state.note_fall(incarnation, digest.host, now)
        self._merge_suspicions(digest, now)
        self._merge_suspect_parts(digest, now)
        self.slots.handle_report(digest, now)
        self.placement.handle_digest(digest, now)
        self._topics.handle_digest(digest)
        is_from_sender = digest.address == "{}:{}".format(*address)
        is_broadcast = digest.scope is Scope.NONE and not digest.is_demand_report
        if is_broadcast and is_from_sender and self.peers.is_aggregator(now):
            members = [m for m in self._zone_members(now) if m != digest.sender]
            self._sender.spread(broadcast_kind(digest), data, members)

    def _own_speeds(self, now: float) -> dict[int, SpeedSample]:
        """Return what this host knows of the speeds of servers, by process number."""
        samples = self._state.speeds.own_samples(now)
        return {process_number(server): s for server, s in samples.items()}

    def _merge_speeds(self, samples: Mapping[int, SpeedSample], now: float) -> None:
        """Take over the speeds of the servers that are known here."""
        if not samples:
            return
        entries = self._state.fleet.entries.values()
        known = {process_number(e.incarnation): e.incarnation for e in entries}
        self._state.speeds.merge(
            {known[p]: sample for p, sample in samples.items() if p in known}, now
        )

    def _merge_suspicions(self, digest: Digest, now: float) -> None:
        """Take over what another host knows of requests in flight at crashed servers.

        A host of an older build does not tell which servers were sent it as a suspect.
        """
        quarantine = self._state.quarantine
        for fingerprint in digest.cleared_requests:
            quarantine.clear(fingerprint, now)
        repeated = dict(digest.repeated_crashes)
        for fingerprint, deaths in digest.suspicions:
            was_quarantined = quarantine.is_quarantined(fingerprint, now)
            known = repeated.get(fingerprint, frozenset())
            if quarantine.merge(fingerprint, deaths, now, known) > was_quarantined:
                self._state.wait_queue.notify()

    def _merge_suspect_parts(self, digest: Digest, now: float) -> None:
        quarantine = self._state.prompt_quarantine
        known = quarantine.rejected
        changes = [
            quarantine.merge(part, crashes, is_cleared, now)
            for part, crashes, is_cleared in digest.suspect_parts
        ]
        if any(changes):
            self.schedule_digest()
        if quarantine.rejected != known:
            self._state.apply_rejected_parts(digest.host)

    def _log_aggregator(self, now: float) -> None:
        """Log which aggregator this host follows when that changes."""
        followed = self.peers.aggregator_host
        if followed != self._aggregator:
            self._state.log.event(
                "aggregator",
                self.peers.aggregator_change,
                followed=followed,
                previous=self._aggregator,
                hosts=self.peers.host_count(now),
            )
            self._aggregator = followed

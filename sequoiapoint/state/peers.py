"""The other hosts, as known from their digests.

Hosts report to the relays of their zone.  One of the relays, the zone's aggregator,
sends the zone's totals to the other zones and the totals of all zones to the hosts of
its own zone, so a host's traffic does not grow with the number of hosts elsewhere.
"""

import functools
import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

import xxhash

from sequoiapoint.protocol.digests import Digest, Member, Scope, SpeedSample
from sequoiapoint.protocol.gateway import Incarnation

LIVENESS_TIMEOUT_S = 2.5
"""Maximum age of the last digest of a live host."""
PEER_RETENTION_S = 60.0
"""Time without contact with a host after which it is removed; longer than network
partitions between zones usually last."""
RELAY_FAILOVER_S = 1.2
"""Time without contact with a zone's first relay after which the next one becomes the
aggregator: two lost digests."""
RELAYS_PER_ZONE = 2
"""Number of hosts that receive the reports of their zone: the aggregator and its
standby."""
RELAYS_TTL_S = 0.05
"""Time for which the relays of the own zone are not determined again while no host is
new, changed, draining or heard again.  Each host checks its role for every digest."""
REPORT_TTL_S = 1.6
"""Maximum age of a report that counts in the totals: three digest intervals."""


@dataclass
class Peer:
    """Another host.

    :param last_heard_at: The time of the last contact, direct or through another host.
    :param digest: Its newest digest, None before the first.
    :param report: Its newest digest with the counts of its own requests.
    """

    member: Member
    last_heard_at: float
    digest: Digest | None = None
    digest_at: float = -math.inf
    report: Digest | None = None
    report_at: float = -math.inf

    @property
    def host(self) -> str:
        """Return the host's name."""
        return self.member.host

    @property
    def zone(self) -> str:
        """Return the host's zone."""
        return self.member.zone

    @property
    def address(self) -> str:
        """Return the host's address for digests and calls."""
        return self.member.address


@functools.lru_cache(maxsize=4096)
def _hash(host: str) -> int:
    return xxhash.xxh64_intdigest(host.encode())


def _rank(member: Member) -> tuple[int, int]:
    return (-member.capacity, _hash(member.host))


def _is_live(peer: Peer, now: float) -> bool:
    """Tell whether a host counts as live, also before its first digest."""
    return now - peer.last_heard_at < LIVENESS_TIMEOUT_S and not (
        peer.digest and peer.digest.is_leaving
    )


def ranked(members: Iterable[Member]) -> list[Member]:
    """Return hosts in the order on which all hosts agree.

    Hosts with more processor capacity come first, since relays and the leader have more
    to do than the others; hosts with the same capacity are sorted by hash.
    """
    return sorted({member.host: member for member in members}.values(), key=_rank)


class Peers:
    """The other hosts by name, and this host's role among them.

    :param own: This host.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._peers: dict[str, Peer] = {}
        self._relays: dict[str, tuple[float, tuple[Member, ...]]] = {}
        self._zone_totals: dict[str, dict[str, tuple[float, Digest]]] = {}
        self._heard_aggregators: dict[str, dict[str, tuple[float, Digest]]] = {}
        self._preceding: tuple[float, Member] | None = None
        self._cluster_totals: tuple[float, Digest] | None = None
        self._aggregator_change = ""
        self._host_counts: deque[tuple[float, int]] = deque()
        self._other_leader: tuple[str, float] | None = None
        self._own_relays: tuple[float, tuple[Member, ...]] | None = None
        self._listed_members: list[str] = []
        self._ranked_members: tuple[Member, ...] = ()

    # Updates from the store and from digests

    def add(self, member: Member, last_heard_at: float) -> None:
        """Add a host or its new address, from the store or from cluster totals.

        :param last_heard_at: The time at which the host is known to have been live.
        """
        known = self._peers.get(member.host)
        if known is not None and known.member == member:
            return
        self._own_relays = None
        if known is None or known.address != member.address:
            self._peers[member.host] = Peer(member, last_heard_at)
        else:
            known.member = member

    def merge(self, digest: Digest, now: float) -> bool:
        """Merge a digest.

        :return: Whether the host, or its process, is new.
        """
        known = self._peers.get(digest.host)
        if known and known.digest and known.digest.started_ms > digest.started_ms:
            return False
        sender = digest.sender
        if digest.is_leaving or not self._is_known_live(known, sender, now):
            self._own_relays = None
        is_new = (
            known is None
            or known.digest is None
            or known.digest.started_ms != digest.started_ms
        )
        peer = Peer(sender, now, digest, now)
        if digest.scope is Scope.HOST:
            peer.report, peer.report_at = digest, now
        elif known is not None and not is_new:
            peer.report, peer.report_at = known.report, known.report_at
        self._peers[digest.host] = peer
        was_leader = known is not None and known.digest and known.digest.fence > 0
        self._record_leader(digest, bool(was_leader), now)
        if digest.scope in (Scope.ZONE, Scope.FLEET):
            heard = self._heard_aggregators.get(digest.zone, {})
            self._heard_aggregators[digest.zone] = {
                host: (at, totals)
                for host, (at, totals) in heard.items()
                if now - at < RELAY_FAILOVER_S
            } | {digest.host: (now, digest)}
        for member in digest.contested:
            if member.zone == self._own.zone and _rank(member) < _rank(self._own):
                self._preceding = (now, member)
        if digest.scope is Scope.ZONE:
            self._zone_totals.setdefault(digest.zone, {})[digest.host] = (now, digest)
            listed = (
                relay
                for aggregator in self._fresh_aggregators(digest.zone, now)
                for relay in aggregator.relays
            )
            self._relays[digest.zone] = (now, tuple(dict.fromkeys(listed)))
        elif digest.scope is Scope.FLEET and digest.zone == self._own.zone:
            self._merge_cluster_totals(digest, now)
        return is_new

    @staticmethod
    def _is_known_live(known: Peer | None, member: Member, now: float) -> bool:
        """Tell whether a host was live and is unchanged, so that relays stay."""
        return (
            known is not None
            and (known.member is member or known.member == member)
            and _is_live(known, now)
        )

    def _record_leader(self, digest: Digest, was_leader: bool, now: float) -> None:
        """Record when another leader was last heard.

        A leader that announces the loss of its lease may have sent orders until then.
        One that drains has given up the lease for good, so its successor need not wait
        for it.
        """
        if digest.is_leaving:
            if self._other_leader is not None and self._other_leader[0] == digest.host:
                self._other_leader = None
        elif digest.fence > 0 or was_leader:
            self._other_leader = (digest.host, now)

    def _merge_cluster_totals(self, digest: Digest, now: float) -> None:
        """Merge totals, or a heartbeat, unless they come from another aggregator.

        Several hosts may aggregate for a short time.  All hosts of a zone follow the
        one of them that precedes the others in the order of all hosts, and change only
        when it has been silent for ``RELAY_FAILOVER_S``.
        """
        was_heartbeat = digest.is_heartbeat
        if self._cluster_totals is not None:
            heard_at, known = self._cluster_totals
            if known.host != digest.host:
                is_recent = now - heard_at < RELAY_FAILOVER_S
                if is_recent and _rank(known.sender) < _rank(digest.sender):
                    return
                self._aggregator_change = "precedes" if is_recent else "other_silent"
            elif digest.is_heartbeat:
                digest = replace(digest, members=known.members, relays=known.relays)
        else:
            self._aggregator_change = "first"
        self._cluster_totals = (now, digest)
        if not was_heartbeat and digest.members != self._ranked_members:
            self._ranked_members = digest.members
            self._listed_members = [member.host for member in ranked(digest.members)]
        for member in digest.members:
            if member.host != self._own.host:
                self._merge_listed_member(member, now)
        by_zone: dict[str, list[Member]] = {}
        for relay in digest.relays:
            by_zone.setdefault(relay.zone, []).append(relay)
            if relay.host not in self._peers and relay.host != self._own.host:
                self.add(relay, now)
        for zone, relays in by_zone.items():
            if zone != self._own.zone:
                self._relays[zone] = (now, tuple(relays))

    def _merge_listed_member(self, member: Member, now: float) -> None:
        """Record that the zone's aggregator lists a host as live."""
        peer = self._peers.get(member.host)
        if self._is_known_live(peer, member, now):
            peer.last_heard_at = now
            return
        self._own_relays = None
        self.add(member, now)
        peer = self._peers[member.host]
        peer.last_heard_at = now
        if peer.digest is not None and peer.digest.is_leaving:
            # The host was draining, and is presumed to have restarted since.  This may
            # be wrong: totals sent before the aggregator learned of the draining also
            # list the host.
            self._peers[member.host] = Peer(member, now)

    # Known and live hosts

    def retained(self, now: float) -> list[Peer]:
        """Return the hosts that have not expired, and remove those that have."""
        self._peers = {
            host: peer
            for host, peer in self._peers.items()
            if now - peer.last_heard_at < PEER_RETENTION_S
        }
        return list(self._peers.values())

    def live(self, now: float) -> list[Peer]:
        """Return the hosts with a recent digest, except those that are draining."""
        return [
            peer
            for peer in self._peers.values()
            if peer.digest is not None
            and not peer.digest.is_leaving
            and now - peer.digest_at < LIVENESS_TIMEOUT_S
        ]

    def leader(self, now: float) -> Peer | None:
        """Return the leader: the live host with the highest fencing token."""
        leaders = [
            peer
            for peer in self._peers.values()
            if peer.digest is not None
            and peer.digest.fence > 0
            and not peer.digest.is_leaving
            and now - peer.digest_at < LIVENESS_TIMEOUT_S
        ]
        return max(leaders, key=lambda peer: peer.digest.fence, default=None)

    def other_leader_heard_at(self) -> float:
        """Return when another leader was last heard, in seconds; -inf if never.

        The time is kept after that host has lost the lease or fallen silent.
        """
        return -math.inf if self._other_leader is None else self._other_leader[1]

    def peer(self, host: str) -> Peer | None:
        """Return what is known of another host, None if it is unknown."""
        return self._peers.get(host)

    def member(self, host: str) -> Member | None:
        """Return a host's zone and address, None if the host is unknown."""
        peer = self._peers.get(host)
        return None if peer is None else peer.member

    def zone_members(self, now: float) -> list[Peer]:
        """Return the other hosts of this host's zone that have not expired."""
        return [peer for peer in self.retained(now) if peer.zone == self._own.zone]

    # Relays

    def _live_members(self, zone: str, now: float) -> list[Member]:
        """Return a zone's live hosts, including those without a digest so far."""
        members = [
            peer.member
            for peer in self._peers.values()
            if peer.member.zone == zone and _is_live(peer, now)
        ]
        return members + ([self._own] if zone == self._own.zone else [])

    def helpers(self, now: float) -> tuple[list[Member], list[Member]]:
        """Return the hosts that can run requests for this one.

        :return: The live hosts of this host's zone, and the relays of other zones.
        """
        own_zone = self._own.zone
        members = [
            m for m in self._live_members(own_zone, now) if m.host != self._own.host
        ]
        relays = [m for m in self.all_relays(now) if m.zone != own_zone]
        return members, relays

    def _select_relays(self, members: Iterable[Member]) -> tuple[Member, ...]:
        return tuple(ranked(members)[:RELAYS_PER_ZONE])

    def own_relays(self, now: float) -> tuple[Member, ...]:
        """Return the relays of this host's zone, in order of precedence."""
        if self._own_relays is None or not (
            0.0 <= now - self._own_relays[0] < RELAYS_TTL_S
        ):
            members = self._live_members(self._own.zone, now)
            self._own_relays = (now, self._select_relays(members))
        return self._own_relays[1]

    def relays(self, zone: str, now: float) -> tuple[Member, ...]:
        """Return a zone's relays, in order of precedence.

        :return: Relays chosen from its last known hosts if there was no recent contact
            with the zone, so that zones reconnect after a network partition.
        """
        if zone == self._own.zone:
            return self.own_relays(now)
        at, listed = self._relays.get(zone, (-LIVENESS_TIMEOUT_S, ()))
        if listed and now - at < LIVENESS_TIMEOUT_S:
            return listed
        members = self._live_members(zone, now)
        known = [peer.member for peer in self._peers.values() if peer.zone == zone]
        return self._select_relays(members or known)

    def zones(self, now: float) -> list[str]:
        """Return the zones with known hosts, including this host's zone."""
        return sorted({self._own.zone} | {peer.zone for peer in self.retained(now)})

    def all_relays(self, now: float) -> tuple[Member, ...]:
        """Return the relays of all zones."""
        return tuple(r for zone in self.zones(now) for r in self.relays(zone, now))

    def leader_candidates(self, count: int, now: float) -> list[str]:
        """Return the hosts that may become the leader, in order of precedence.

        These are relays, because relays receive digests from all zones.  The standbys
        come first, as aggregators have enough to do; hosts of this zone are added only
        if there are too few relays.
        """
        by_zone = [self.relays(zone, now) for zone in self.zones(now)]
        standbys = ranked(r for relays in by_zone for r in relays[1:])
        aggregators = ranked(r for relays in by_zone for r in relays[:1])
        own = ranked(self._live_members(self._own.zone, now))
        candidates = dict.fromkeys(m.host for m in [*standbys, *aggregators, *own])
        return list(candidates)[:count]

    def is_relay(self, now: float) -> bool:
        """Tell whether this host is a relay of its zone."""
        return self._own in self.own_relays(now)

    def is_aggregator(self, now: float) -> bool:
        """Tell whether this host is the aggregator of its zone."""
        for relay in self.own_relays(now):
            if relay == self._own:
                return True
            peer = self._peers[relay.host]
            if now - peer.last_heard_at < RELAY_FAILOVER_S:
                return False
        return False

    def _fresh_aggregators(self, zone: str, now: float) -> list[Digest]:
        """Return the last totals of the hosts that aggregate for a zone.

        There are several while two relays of the zone do not hear each other; the one
        that precedes the others comes first.
        """
        heard = self._heard_aggregators.get(zone, {})
        fresh = [digest for at, digest in heard.values() if now - at < RELAY_FAILOVER_S]
        return sorted(fresh, key=lambda digest: _rank(digest.sender))

    def contested_aggregators(self, now: float) -> tuple[Member, ...]:
        """Return the aggregators beside which another host aggregates for their zone.

        The other host is told of them: all hosts but it follow the preceding one.
        """
        by_zone = [
            self._fresh_aggregators(zone, now) for zone in self._heard_aggregators
        ]
        return tuple(digests[0].sender for digests in by_zone if len(digests) > 1)

    def is_preceded(self, now: float) -> bool:
        """Tell whether others hear an aggregator of this zone that precedes this host.

        This host may not hear it, and then takes itself for the aggregator.
        """
        return (
            self._preceding is not None and now - self._preceding[0] < RELAY_FAILOVER_S
        )

    def zone_aggregator(self, zone: str, now: float) -> Member | None:
        """Return the aggregator of a zone, None if it is not known."""
        if zone != self._own.zone:
            return next(iter(self.relays(zone, now)), None)
        if self.is_aggregator(now):
            return self._own
        return self.member(self.aggregator_host)

    def live_zones(self, now: float) -> tuple[str, ...]:
        """Return the zones with live hosts, including this host's zone.

        An aggregator knows them from the totals of the other zones, the other hosts
        from their aggregator.
        """
        if self.is_aggregator(now):
            zones = {digest.zone for digest in self._other_zone_totals(now)}
        elif (
            self._cluster_totals is not None
            and now - self._cluster_totals[0] < LIVENESS_TIMEOUT_S
        ):
            zones = set(self._cluster_totals[1].live_zones)
        else:
            zones = set()
        return tuple(sorted(zones | {self._own.zone}))

    @property
    def aggregator_host(self) -> str:
        """Return the aggregator whose totals this host follows, "" before the first."""
        return "" if self._cluster_totals is None else self._cluster_totals[1].host

    def zone_host_names(self, now: float) -> tuple[str, ...]:
        """Return the hosts of this host's zone on which its hosts agree.

        An aggregator knows them from their reports, the others from the aggregator.
        """
        if self.is_aggregator(now):
            return tuple(member.host for member in ranked(self.zone_hosts(now)))
        return tuple(self._listed_members)

    def listed_members(self) -> list[str]:
        """Return the hosts that the aggregator lists, in the order of all hosts."""
        return self._listed_members

    @property
    def aggregator_change(self) -> str:
        """Return why this host follows its present aggregator."""
        return self._aggregator_change

    def aggregator(self, now: float, max_age_s: float) -> Peer | None:
        """Return the aggregator of this host's zone, None if its totals are too old.

        It is also None while the host has no digest: its last one was dropped with its
        former address, or as the host is listed as live although it was draining.

        :param max_age_s: The maximum age of its last cluster totals, in seconds.
        """
        if self._cluster_totals is None or now - self._cluster_totals[0] >= max_age_s:
            return None
        peer = self._peers.get(self._cluster_totals[1].host)
        return None if peer is None or peer.digest is None else peer

    # Totals

    def _reports(self, now: float) -> list[Digest]:
        """Return the newest reports of the other hosts of this host's zone."""
        return [
            peer.report
            for peer in self._peers.values()
            if peer.zone == self._own.zone
            and now - peer.report_at < REPORT_TTL_S
            and not peer.digest.is_leaving
        ]

    def _other_zone_totals(self, now: float) -> list[Digest]:
        """Return the newest totals of each other zone."""
        totals = []
        for zone, by_relay in self._zone_totals.items():
            fresh = [d for at, d in by_relay.values() if now - at < REPORT_TTL_S]
            if fresh and zone != self._own.zone:
                # Two relays may aggregate for a short time, one of them for few hosts.
                totals.append(max(fresh, key=lambda digest: digest.host_count))
        return totals

    def zone_hosts(self, now: float) -> tuple[Member, ...]:
        """Return the hosts of the zone that report to this host, including itself."""
        return (self._own, *(report.sender for report in self._reports(now)))

    def zone_counts(self, now: float) -> Mapping[Incarnation, int]:
        """Return the request counts of the zone's other hosts, by server process."""
        return _sum_counts(self._reports(now))

    def zone_speeds(self, now: float) -> list[Mapping[int, SpeedSample]]:
        """Return what each of the zone's other hosts knows of servers' speeds."""
        reports = self._reports(now)
        return [_aged(d.speeds, now - self._peers[d.host].report_at) for d in reports]

    def other_zones_speeds(self, now: float) -> list[Mapping[int, SpeedSample]]:
        """Return what the hosts of each other zone know of servers' speeds."""
        return [
            _aged(d.speeds, now - self._zone_totals[d.zone][d.host][0])
            for d in self._other_zone_totals(now)
        ]

    def other_zones_counts(self, now: float) -> Mapping[Incarnation, int]:
        """Return the request counts of the other zones' hosts, by server process."""
        return _sum_counts(self._other_zone_totals(now))

    def host_count(self, now: float) -> int:
        """Return the number of live hosts, including this one."""
        has_totals = (
            self._cluster_totals is not None
            and now - self._cluster_totals[0] < LIVENESS_TIMEOUT_S
        )
        if has_totals and not self.is_aggregator(now):
            count = max(1, self._cluster_totals[1].host_count)
        else:
            others = sum(digest.host_count for digest in self._other_zone_totals(now))
            count = len(self.zone_hosts(now)) + others
        return count

    def record_host_count(self, now: float) -> int:
        """Count the live hosts, and keep the count for the recent maximum."""
        count = self.host_count(now)
        self._host_counts.append((now, count))
        while now - self._host_counts[0][0] > PEER_RETENTION_S:
            self._host_counts.popleft()
        return count

    def recent_max_host_count(self) -> int:
        """Return the maximum of the recent host counts.

        Hosts that are unreachable from here may still use their part of what all hosts
        share.
        """
        return max((count for _, count in self._host_counts), default=1)


def _sum_counts(digests: Iterable[Digest]) -> Mapping[Incarnation, int]:
    counts: Counter[Incarnation] = Counter()
    for digest in digests:
        counts.update(dict(digest.counts))
    return counts


def _aged(
    samples: Iterable[tuple[int, SpeedSample]], age_s: float
) -> Mapping[int, SpeedSample]:
    """Return samples as they were received, with their age as of now."""
    return {
        process: SpeedSample(
            sample.slowness, sample.age_s + age_s, sample.mean_work, sample.samples
        )
        for process, sample in samples
    }

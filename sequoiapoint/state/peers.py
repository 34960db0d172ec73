"""The other hosts, as their digests show them.

Hosts report to the relays of their zone; a zone's relay sums up for the other zones,
and tells the hosts of its own zone the sums over all.  What a host sends and takes in
so does not grow with the hosts of other zones.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from sequoiapoint.protocol.digests import Digest, Member, Scope
from sequoiapoint.protocol.gateway import Incarnation

LIVENESS_TIMEOUT_S = 2.5
"""Age of the last digest up to which a host counts as living."""
PEER_RETENTION_S = 60.0
"""Age of the last digest after which a host is not written to any more; longer than
cuts between zones usually last."""
RELAY_FAILOVER_S = 1.2
"""Silence of a zone's first relay after which the next one sums up: two of its digests
lost."""
RELAYS_PER_ZONE = 2
"""Hosts of a zone that know the others' reports: the one that sums up, and the one that
does so when that falls silent."""
REPORT_AGE_S = 1.6
"""Age up to which a report counts in the sums: three digests."""


@dataclass
class Peer:
    """Another host.

    :param heard_at: When it was last heard of, also from others.
    :param digest: Its newest digest, None before the first.
    :param report: Its newest digest with its own counts.
    """

    host: str
    zone: str
    address: str
    heard_at: float
    digest: Digest | None = None
    digest_at: float = -math.inf
    report: Digest | None = None
    report_at: float = -math.inf

    @property
    def member(self) -> Member:
        """Return where the host is."""
        return Member(self.host, self.zone, self.address)


def ranked(hosts: Iterable[str]) -> list[str]:
    """Return hosts in the order that all hosts agree on."""
    return sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(host.encode()))


class Peers:
    """The other hosts by name, and this host's part among them.

    :param own: This host.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._peers: dict[str, Peer] = {}
        self._relays: dict[str, tuple[float, tuple[Member, ...]]] = {}
        self._zone_sums: dict[str, dict[str, tuple[float, Digest]]] = {}
        self._fleet: tuple[float, Digest] | None = None
        self._host_counts: deque[tuple[float, int]] = deque()

    # What is heard

    def add(self, member: Member, heard_at: float) -> None:
        """Take in where a host is, from the store or from a relay.

        :param heard_at: When it is known to have lived.
        """
        known = self._peers.get(member.host)
        if known is None or known.address != member.address:
            self._peers[member.host] = Peer(
                member.host, member.zone, member.address, heard_at
            )

    def merge(self, digest: Digest, now: float) -> bool:
        """Take in a digest; tell whether the host, or its process, is new."""
        known = self._peers.get(digest.host)
        if known and known.digest and known.digest.started_ms > digest.started_ms:
            return False
        is_new = (
            known is None
            or known.digest is None
            or known.digest.started_ms != digest.started_ms
        )
        peer = Peer(digest.host, digest.zone, digest.address, now, digest, now)
        if digest.scope is Scope.HOST:
            peer.report, peer.report_at = digest, now
        elif known is not None and not is_new:
            peer.report, peer.report_at = known.report, known.report_at
        self._peers[digest.host] = peer
        if digest.scope is Scope.ZONE:
            self._zone_sums.setdefault(digest.zone, {})[digest.host] = (now, digest)
            self._relays[digest.zone] = (now, digest.relays)
        elif digest.scope is Scope.FLEET and digest.zone == self._own.zone:
            self._take_fleet_sums(digest, now)
        return is_new

    def _take_fleet_sums(self, digest: Digest, now: float) -> None:
        self._fleet = (now, digest)
        for member in digest.members:
            if member.host != self._own.host:
                self._take_listed(member, now)
        by_zone: dict[str, list[Member]] = {}
        for relay in digest.relays:
            by_zone.setdefault(relay.zone, []).append(relay)
            if relay.host not in self._peers and relay.host != self._own.host:
                self.add(relay, now)
        for zone, relays in by_zone.items():
            if zone != self._own.zone:
                self._relays[zone] = (now, tuple(relays))

    def _take_listed(self, member: Member, now: float) -> None:
        """Note that a relay has heard of a host."""
        self.add(member, now)
        peer = self._peers[member.host]
        peer.heard_at = now
        if peer.digest is not None and peer.digest.is_leaving:
            # It has started again since.
            self._peers[member.host] = Peer(*vars(member).values(), now)

    # Who is there

    def all(self, now: float) -> list[Peer]:
        """Return the hosts that are worth writing to."""
        self._peers = {
            host: peer
            for host, peer in self._peers.items()
            if now - peer.heard_at < PEER_RETENTION_S
        }
        return list(self._peers.values())

    def live(self, now: float) -> list[Peer]:
        """Return the hosts whose digests have come lately."""
        return [
            peer
            for peer in self._peers.values()
            if peer.digest is not None
            and not peer.digest.is_leaving
            and now - peer.digest_at < LIVENESS_TIMEOUT_S
        ]

    def leader(self, now: float) -> Peer | None:
        """Return the host that gives orders, the one with the highest number."""
        holders = [peer for peer in self.live(now) if peer.digest.fence > 0]
        return max(holders, key=lambda peer: peer.digest.fence, default=None)

    def member(self, host: str) -> Member | None:
        """Return where a host is, None where that is not known."""
        peer = self._peers.get(host)
        return None if peer is None else peer.member

    def zone_members(self, now: float) -> list[Peer]:
        """Return the other hosts of this host's zone that are worth writing to."""
        return [peer for peer in self.all(now) if peer.zone == self._own.zone]

    # Relays

    def _presumed_live(self, zone: str, now: float) -> list[Member]:
        """Return a zone's hosts that live, those just learnt of included."""
        members = [
            peer.member
            for peer in self._peers.values()
            if peer.zone == zone
            and now - peer.heard_at < LIVENESS_TIMEOUT_S
            and not (peer.digest and peer.digest.is_leaving)
        ]
        return members + ([self._own] if zone == self._own.zone else [])

    def _first(self, members: Iterable[Member]) -> tuple[Member, ...]:
        by_host = {member.host: member for member in members}
        return tuple(by_host[host] for host in ranked(by_host)[:RELAYS_PER_ZONE])

    def own_relays(self, now: float) -> tuple[Member, ...]:
        """Return the relays of this host's zone, the first one first."""
        return self._first(self._presumed_live(self._own.zone, now))

    def relays(self, zone: str, now: float) -> tuple[Member, ...]:
        """Return a zone's relays, the first one first.

        :return: Its last known hosts where nothing has been heard of it lately, so that
            the zones find each other again after a cut.
        """
        if zone == self._own.zone:
            return self.own_relays(now)
        at, listed = self._relays.get(zone, (-LIVENESS_TIMEOUT_S, ()))
        if listed and now - at < LIVENESS_TIMEOUT_S:
            return listed
        members = self._presumed_live(zone, now)
        known = [peer.member for peer in self._peers.values() if peer.zone == zone]
        return self._first(members or known)

    def zones(self, now: float) -> list[str]:
        """Return the zones that have hosts, this host's own included."""
        return sorted({self._own.zone} | {peer.zone for peer in self.all(now)})

    def all_relays(self, now: float) -> tuple[Member, ...]:
        """Return the relays of all zones."""
        return tuple(r for zone in self.zones(now) for r in self.relays(zone, now))

    def leader_candidates(self, count: int, now: float) -> list[str]:
        """Return the hosts that follow a host that gave orders, the first one first.

        They are relays, which know of all zones; other hosts only where those are few.
        """
        members = self.all_relays(now)
        if len(members) < count:
            members += tuple(self._presumed_live(self._own.zone, now))
        return ranked({member.host for member in members})[:count]

    def is_relay(self, now: float) -> bool:
        """Tell whether this host is a relay of its zone."""
        return self._own in self.own_relays(now)

    def is_aggregator(self, now: float) -> bool:
        """Tell whether this host sums up for its zone."""
        for relay in self.own_relays(now):
            if relay == self._own:
                return True
            peer = self._peers[relay.host]
            if now - peer.heard_at < RELAY_FAILOVER_S:
                return False
        return False

    def aggregator(self, now: float, age_s: float) -> Peer | None:
        """Return the relay that sums up for this host's zone, if it was heard lately.

        :param age_s: How old its word may be, in seconds.
        """
        if self._fleet is None or now - self._fleet[0] >= age_s:
            return None
        return self._peers.get(self._fleet[1].host)

    # Sums

    def _reports(self, now: float) -> list[Digest]:
        """Return the newest reports of the other hosts of this host's zone."""
        return [
            peer.report
            for peer in self._peers.values()
            if peer.zone == self._own.zone
            and now - peer.report_at < REPORT_AGE_S
            and not peer.digest.is_leaving
        ]

    def _other_zones(self, now: float) -> list[Digest]:
        """Return the newest sums of each other zone."""
        sums = []
        for zone, by_relay in self._zone_sums.items():
            fresh = [d for at, d in by_relay.values() if now - at < REPORT_AGE_S]
            if fresh and zone != self._own.zone:
                # Two relays may sum up for a moment, one of them for few hosts.
                sums.append(max(fresh, key=lambda digest: digest.host_count))
        return sums

    def zone_hosts(self, now: float) -> tuple[Member, ...]:
        """Return the hosts of the zone that report to this one, itself included."""
        return (self._own, *(report.sender for report in self._reports(now)))

    def zone_counts(self, now: float) -> Mapping[Incarnation, int]:
        """Return the requests of the other hosts of the zone, by server process."""
        return _summed(self._reports(now))

    def other_zones_counts(self, now: float) -> Mapping[Incarnation, int]:
        """Return the requests of the hosts of other zones, by server process."""
        return _summed(self._other_zones(now))

    def host_count(self, now: float) -> int:
        """Return how many hosts live, this one included."""
        is_told = self._fleet is not None and now - self._fleet[0] < LIVENESS_TIMEOUT_S
        if is_told and not self.is_aggregator(now):
            count = max(1, self._fleet[1].host_count)
        else:
            zones = sum(digest.host_count for digest in self._other_zones(now))
            count = len(self.zone_hosts(now)) + zones
        return count

    def record_host_count(self, now: float) -> int:
        """Count the hosts that live, and remember it for a while."""
        count = self.host_count(now)
        self._host_counts.append((now, count))
        while now - self._host_counts[0][0] > PEER_RETENTION_S:
            self._host_counts.popleft()
        return count

    def recent_max_host_count(self) -> int:
        """Return the most hosts that were counted of late.

        Hosts that cannot be heard may still take their part of what all share.
        """
        return max((count for _, count in self._host_counts), default=1)


def _summed(digests: Iterable[Digest]) -> Mapping[Incarnation, int]:
    counts: Counter[Incarnation] = Counter()
    for digest in digests:
        counts.update(dict(digest.counts))
    return counts

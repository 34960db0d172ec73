"""Membership of live entry hosts: heartbeats within a zone, digests between zones.

No decision that needs agreement depends on this view: an incorrect view costs time, but
breaks no guarantee.  A host sends heartbeats to all hosts of its own zone.  For each
other zone, one host of the zone, chosen by rendezvous hashing, sends a digest.  The
cost for a host thus grows with the size of its zone and the number of zones, not with
the total number of hosts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from sequoiapoint.coordination import rendezvous
from sequoiapoint.protocol.member import Member

HEARTBEAT_INTERVAL_S = 1.0
DIGEST_INTERVAL_S = 5.0
LIVENESS_TIMEOUT_S = 3.5
REMOTE_LIVENESS_TIMEOUT_S = 16.0
FORGET_TIMEOUT_S = 120.0
NEW_MEMBER_S = 3.0
"""Time for which a new member is listed in heartbeats."""


@dataclass(frozen=True)
class Peer:
    """A member as known to this host.

    :param last_heard_at: When the last newer heartbeat of it arrived, directly or
        forwarded, in seconds on the local clock.
    :param first_heard_at: When its incarnation was first seen.
    """

    member: Member
    last_heard_at: float
    first_heard_at: float


class Membership:
    """One host's view of the members.

    :param local_member: This host.
    :param seeds: Peer addresses to contact until members of the zone are known.
    :param now: The time, in seconds.
    """

    def __init__(self, local_member: Member, seeds: Iterable[str], now: float) -> None:
        self._local_member = local_member
        self._seeds = tuple(s for s in seeds if s != local_member.peer_address)
        self._peers: dict[str, Peer] = {}
        self._next_heartbeat = now
        self._next_digest = now

    @property
    def local_member(self) -> Member:
        """Return this host."""
        return self._local_member

    def leave(self) -> None:
        """Announce in all further heartbeats that this host is leaving."""
        self._local_member = replace(self._local_member, is_leaving=True)

    def merge(self, members: Iterable[Member], now: float) -> None:
        """Merge received member states, ignoring those older than the known ones."""
        for member in members:
            if member.host == self._local_member.host:
                continue
            known = self._peers.get(member.host)
            if known is not None and not _is_newer(member, known.member):
                continue
            is_known_incarnation = known is not None and (
                known.member.incarnation == member.incarnation
            )
            first_heard_at = known.first_heard_at if is_known_incarnation else now
            if not is_known_incarnation and member.zone != self._local_member.zone:
                # A host that has just started should not wait for the next digest.
                self._next_digest = now
            self._peers[member.host] = Peer(member, now, first_heard_at)

    def alive(self, now: float) -> list[Member]:
        """Return the live members, including this host and those that are leaving."""
        live_members = [
            p.member for p in self._peers.values() if self._is_alive(p, now)
        ]
        return [self._local_member, *live_members]

    def serving(self, now: float, zone: str | None = None) -> list[Member]:
        """Return the live members that are not leaving, of one zone or of all."""
        return [
            m
            for m in self.alive(now)
            if not m.is_leaving and (zone is None or m.zone == zone)
        ]

    def is_incarnation_alive(self, host: str, incarnation: str, now: float) -> bool:
        """Tell whether a particular process of a host is alive."""
        return any(
            m.host == host and str(m.incarnation) == incarnation
            for m in self.alive(now)
        )

    def _is_alive(self, peer: Peer, now: float) -> bool:
        is_local = peer.member.zone == self._local_member.zone
        limit = LIVENESS_TIMEOUT_S if is_local else REMOTE_LIVENESS_TIMEOUT_S
        return now - peer.last_heard_at < limit

    def tick(self, now: float) -> list[tuple[str, tuple[Member, ...]]]:
        """Return the heartbeats and digests that are due.

        :return: Pairs of a peer address and the members to send to it.
        """
        self._remove_expired(now)
        messages: list[tuple[str, tuple[Member, ...]]] = []
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_INTERVAL_S
            self._local_member = replace(
                self._local_member, heartbeat=self._local_member.heartbeat + 1
            )
            messages += self._heartbeats(now)
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_INTERVAL_S
            messages += self._digests(now)
        return messages

    def _heartbeats(self, now: float) -> list[tuple[str, tuple[Member, ...]]]:
        """Return heartbeats to the zone and to unknown seeds, or all seeds if alone."""
        heartbeat_members = (self._local_member, *self._new_members(now))
        zone_members = [
            m for m in self.alive(now)[1:] if m.zone == self._local_member.zone
        ]
        messages = [(m.peer_address, heartbeat_members) for m in zone_members]
        known = {p.member.peer_address for p in self._peers.values()}
        seeds = [s for s in self._seeds if s not in known or not zone_members]
        return messages + [(address, heartbeat_members) for address in seeds]

    def _new_members(self, now: float) -> list[Member]:
        """Return the zone's recently joined members, for all hosts to learn of them."""
        return [
            peer.member
            for peer in self._peers.values()
            if peer.member.zone == self._local_member.zone
            and now - peer.first_heard_at < NEW_MEMBER_S
            and self._is_alive(peer, now)
        ]

    def _digests(self, now: float) -> list[tuple[str, tuple[Member, ...]]]:
        """Return digests of this zone for other zones, and of those for this zone."""
        live_members = self.alive(now)
        zone_members = [m for m in live_members if m.zone == self._local_member.zone]
        members_by_zone: dict[str, list[Member]] = {}
        for member in live_members:
            if member.zone != self._local_member.zone:
                members_by_zone.setdefault(member.zone, []).append(member)
        hosts = [m.host for m in zone_members]
        messages: list[tuple[str, tuple[Member, ...]]] = []
        for zone, members in members_by_zone.items():
            zone_pair = "/".join(sorted((self._local_member.zone, zone)))
            if rendezvous.highest(zone_pair, hosts) != self._local_member.host:
                continue
            target = rendezvous.highest(zone_pair, [m.host for m in members])
            address = next(m.peer_address for m in members if m.host == target)
            messages.append((address, tuple(zone_members)))
            forwarded = tuple(members)
            messages += [
                (m.peer_address, forwarded)
                for m in zone_members
                if m != self._local_member
            ]
        messages += self._member_list_messages(zone_members)
        return messages

    def _member_list_messages(
        self, zone_members: list[Member]
    ) -> list[tuple[str, tuple[Member, ...]]]:
        """Return a list of the zone's members for one of them, chosen in rotation.

        This makes new members known to all.
        """
        others = [m for m in zone_members if m != self._local_member]
        if not others:
            return []
        target = others[self._local_member.heartbeat % len(others)]
        return [(target.peer_address, tuple(zone_members))]

    def _remove_expired(self, now: float) -> None:
        self._peers = {
            host: peer
            for host, peer in self._peers.items()
            if now - peer.last_heard_at < FORGET_TIMEOUT_S
        }


def _is_newer(member: Member, known: Member) -> bool:
    """Tell whether a received member state is newer than the known one."""
    new = (member.incarnation, member.heartbeat)
    return new > (known.incarnation, known.heartbeat)

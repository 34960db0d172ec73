"""Which entry hosts live: heartbeats within a zone, digests between zones.

Nothing that has to be agreed rests on this view.  A wrong one costs time, never a
promise.  A host sends to all hosts of its own zone, and for each other zone one host
of the zone, chosen by rendezvous hashing, sends a digest; so a host's cost grows with
its zone and the number of zones, not with the number of hosts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from sequoiapoint.coordination import rendezvous
from sequoiapoint.protocol.member import Member

HEARTBEAT_INTERVAL_S = 1.0
DIGEST_INTERVAL_S = 5.0
LIVENESS_TIMEOUT_S = 3.5
REMOTE_LIVENESS_TIMEOUT_S = 16.0
FORGET_AFTER_S = 120.0
NEW_MEMBER_S = 3.0
"""For how long a newly met member is named in heartbeats."""


@dataclass(frozen=True)
class Peer:
    """A member as it is known here.

    :param last_heard_at: When news of it last arrived, in seconds on the local clock.
    :param first_heard_at: When the incarnation was first heard of.
    """

    member: Member
    last_heard_at: float
    first_heard_at: float


class Membership:
    """The view of one host.

    :param local_member: This host.
    :param seeds: Peer addresses to try until a member is known.
    :param now: The time, in seconds.
    """

    def __init__(self, local_member: Member, seeds: Iterable[str], now: float) -> None:
        self._me = local_member
        self._seeds = tuple(s for s in seeds if s != local_member.peer_address)
        self._peers: dict[str, Peer] = {}
        self._next_heartbeat = now
        self._next_digest = now

    @property
    def local_member(self) -> Member:
        """Return this host."""
        return self._me

    def leave(self) -> None:
        """Say in every later heartbeat that this host leaves."""
        self._me = replace(self._me, is_leaving=True)

    def merge(self, members: Iterable[Member], now: float) -> None:
        """Take in news of members; older news of a member is dropped."""
        for member in members:
            if member.host == self._me.host:
                continue
            known = self._peers.get(member.host)
            if known is not None and not _is_newer(member, known.member):
                continue
            is_met = known is not None and (
                known.member.incarnation == member.incarnation
            )
            met_at = known.first_heard_at if is_met else now
            if not is_met and member.zone != self._me.zone:
                # A host that has just started should not wait for the next digest.
                self._next_digest = now
            self._peers[member.host] = Peer(member, now, met_at)

    def alive(self, now: float) -> list[Member]:
        """Return the members that live, this host included, leaving ones too."""
        living = [p.member for p in self._peers.values() if self._is_alive(p, now)]
        return [self._me, *living]

    def serving(self, now: float, zone: str | None = None) -> list[Member]:
        """Return the living members that do not leave, of one zone or of all."""
        return [
            m
            for m in self.alive(now)
            if not m.is_leaving and (zone is None or m.zone == zone)
        ]

    def is_incarnation_alive(self, host: str, incarnation: str, now: float) -> bool:
        """Tell whether a process, not only its host, lives."""
        return any(
            m.host == host and str(m.incarnation) == incarnation
            for m in self.alive(now)
        )

    def _is_alive(self, peer: Peer, now: float) -> bool:
        is_near = peer.member.zone == self._me.zone
        limit = LIVENESS_TIMEOUT_S if is_near else REMOTE_LIVENESS_TIMEOUT_S
        return now - peer.last_heard_at < limit

    def tick(self, now: float) -> list[tuple[str, tuple[Member, ...]]]:
        """Return the heartbeats and digests that are due.

        :return: Pairs of a peer address and the members to tell it of.
        """
        self._forget(now)
        messages: list[tuple[str, tuple[Member, ...]]] = []
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_INTERVAL_S
            self._me = replace(self._me, heartbeat=self._me.heartbeat + 1)
            messages += self._heartbeats(now)
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_INTERVAL_S
            messages += self._digests(now)
        return messages

    def _heartbeats(self, now: float) -> list[tuple[str, tuple[Member, ...]]]:
        """Return heartbeats to the zone, or to the seeds while it seems empty."""
        news = (self._me, *self._newcomers(now))
        near = [m for m in self.alive(now)[1:] if m.zone == self._me.zone]
        messages = [(m.peer_address, news) for m in near]
        known = {p.member.peer_address for p in self._peers.values()}
        seeds = [s for s in self._seeds if s not in known or not near]
        return messages + [(address, news) for address in seeds]

    def _newcomers(self, now: float) -> list[Member]:
        """Return the zone's members met lately, so that all learn of them at once."""
        return [
            peer.member
            for peer in self._peers.values()
            if peer.member.zone == self._me.zone
            and now - peer.first_heard_at < NEW_MEMBER_S
            and self._is_alive(peer, now)
        ]

    def _digests(self, now: float) -> list[tuple[str, tuple[Member, ...]]]:
        """Return digests of the own zone to others, and of others to the own zone."""
        living = self.alive(now)
        near = [m for m in living if m.zone == self._me.zone]
        far: dict[str, list[Member]] = {}
        for member in living:
            if member.zone != self._me.zone:
                far.setdefault(member.zone, []).append(member)
        hosts = [m.host for m in near]
        messages: list[tuple[str, tuple[Member, ...]]] = []
        for zone, members in far.items():
            pair = "/".join(sorted((self._me.zone, zone)))
            if rendezvous.highest(pair, hosts) != self._me.host:
                continue
            target = rendezvous.highest(pair, [m.host for m in members])
            address = next(m.peer_address for m in members if m.host == target)
            messages.append((address, tuple(near)))
            relayed = tuple(members)
            messages += [(m.peer_address, relayed) for m in near if m != self._me]
        messages += self._introductions(near)
        return messages

    def _introductions(
        self, near: list[Member]
    ) -> list[tuple[str, tuple[Member, ...]]]:
        """Tell one member of the zone of all others, so that newcomers are known."""
        others = [m for m in near if m != self._me]
        if not others:
            return []
        target = others[self._me.heartbeat % len(others)]
        return [(target.peer_address, tuple(near))]

    def _forget(self, now: float) -> None:
        self._peers = {
            host: peer
            for host, peer in self._peers.items()
            if now - peer.last_heard_at < FORGET_AFTER_S
        }


def _is_newer(member: Member, known: Member) -> bool:
    """Tell whether news of a member is newer than what is known."""
    new = (member.incarnation, member.heartbeat)
    return new > (known.incarnation, known.heartbeat)

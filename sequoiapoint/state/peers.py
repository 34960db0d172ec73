"""The other hosts, as their digests show them."""

from dataclasses import dataclass

from sequoiapoint.protocol.digests import Digest

LIVE_S = 2.5
"""Age of the last digest up to which a host counts as living."""
FORGET_S = 60.0
"""Age of the last digest after which a host is not written to any more; longer than
cuts between zones usually last."""


@dataclass
class Peer:
    """Another host.

    :param digest: Its newest digest, None before the first.
    """

    host: str
    zone: str
    address: str
    heard_at: float
    digest: Digest | None = None


class Peers:
    """The other hosts by name."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def learn(self, host: str, zone: str, address: str, now: float) -> None:
        """Take in where a host is, from the store."""
        known = self._peers.get(host)
        if known is None or known.address != address:
            self._peers[host] = Peer(host, zone, address, now)

    def take(self, digest: Digest, now: float) -> bool:
        """Take in a digest; tell whether the host, or its process, is new."""
        known = self._peers.get(digest.host)
        if known and known.digest and known.digest.started_ms > digest.started_ms:
            return False
        is_new = (
            known is None
            or known.digest is None
            or known.digest.started_ms != digest.started_ms
        )
        self._peers[digest.host] = Peer(
            digest.host, digest.zone, digest.address, now, digest
        )
        return is_new

    def all(self, now: float) -> list[Peer]:
        """Return the hosts that are worth writing to."""
        self._peers = {
            host: peer
            for host, peer in self._peers.items()
            if now - peer.heard_at < FORGET_S
        }
        return list(self._peers.values())

    def live(self, now: float) -> list[Peer]:
        """Return the hosts that were heard of lately."""
        return [
            peer
            for peer in self._peers.values()
            if peer.digest is not None
            and not peer.digest.is_leaving
            and now - peer.heard_at < LIVE_S
        ]

    def holder(self, now: float) -> Peer | None:
        """Return the host that gives orders, the one with the highest number."""
        holders = [peer for peer in self.live(now) if peer.digest.fence > 0]
        return max(holders, key=lambda peer: peer.digest.fence, default=None)

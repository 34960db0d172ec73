"""Exchanges gossip messages with other entry hosts."""

import threading

from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.protocol.member import Member
from sequoiapoint.protocol.peers import (
    BadMessageError,
    Gossip,
    decode_gossip,
    encode_gossip,
)
from sequoiapoint.transport import clock
from sequoiapoint.transport.peer_link import PeerLink

TICK_S = 0.1


class GossipLoop:
    """Sends heartbeats and digests, and merges those of other hosts.

    Urgent information (a server that leaves, a suspected request) is sent immediately
    and repeated in every later heartbeat.

    :param runtime: The shared state of the process.
    """

    def __init__(self, runtime: HostRuntime) -> None:
        self._runtime = runtime
        self._link: PeerLink | None = None
        self._loads: tuple[tuple[str, int], ...] = ()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="gossip", daemon=True)

    def set_link(self, link: PeerLink) -> None:
        """Set the link that messages are sent over."""
        self._link = link

    def __enter__(self) -> "GossipLoop":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join(timeout=2)

    def publish_loads(self, loads: dict[str, int]) -> None:
        """Include the loads of the zone's servers in the next messages."""
        self._loads = tuple(loads.items())

    def handle_datagram(self, data: bytes) -> None:
        """Decode a datagram and merge its contents."""
        try:
            gossip = decode_gossip(data)
        except BadMessageError:
            self._runtime.metrics.event("bad_datagram")
            return
        now = clock.monotonic_s()
        with self._runtime.coordination() as coordination:
            coordination.membership.merge(gossip.members, now)
            for server, load in gossip.loads:
                coordination.servers.note_load(server, load, now)
            for server in gossip.leaving:
                coordination.servers.set_leaving(server, "peer", True, now)
            for fingerprint, deaths in gossip.suspicions:
                coordination.quarantine.merge(fingerprint, deaths, now)

    def _run(self) -> None:
        while not self._stopped.is_set():
            is_urgent = self._runtime.urgent_gossip.wait(TICK_S)
            self._runtime.urgent_gossip.clear()
            self.send_due(is_urgent)

    def send_due(self, is_urgent: bool) -> None:
        """Send the messages that are due.

        :param is_urgent: Whether to send to all live hosts now, not only to those due.
        """
        now = clock.monotonic_s()
        with self._runtime.coordination() as coordination:
            messages = coordination.membership.tick(now)
            if is_urgent:
                local_member = coordination.membership.local_member
                others = coordination.membership.alive(now)[1:]
                messages += [(m.peer_address, (local_member,)) for m in others]
            leaving = coordination.servers.leaving_servers(now)
            suspicions = tuple(
                (s.fingerprint, s.deaths)
                for s in coordination.quarantine.suspicions(now)
            )
        encoded: dict[tuple[Member, ...], bytes] = {}
        for address, members in messages:
            if members not in encoded:
                gossip = Gossip(members, self._loads, leaving, suspicions)
                encoded[members] = encode_gossip(gossip)
            if self._link is not None:
                self._link.send(address, encoded[members])

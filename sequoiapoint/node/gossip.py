"""The loop that exchanges news with other entry hosts."""

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
    """Sends heartbeats and digests, and takes in those of others.

    What is urgent (a server that leaves, a suspected request) is sent at once, and
    stands in every heartbeat after that.

    :param runtime: The process.
    """

    def __init__(self, runtime: HostRuntime) -> None:
        self._runtime = runtime
        self._link: PeerLink | None = None
        self._loads: tuple[tuple[str, int], ...] = ()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="gossip", daemon=True)

    def attach(self, link: PeerLink) -> None:
        """Use a link for sending."""
        self._link = link

    def __enter__(self) -> "GossipLoop":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join(timeout=2)

    def publish_loads(self, loads: dict[str, int]) -> None:
        """Put the load reports of the zone into the next heartbeats."""
        self._loads = tuple(loads.items())

    def handle_datagram(self, data: bytes) -> None:
        """Take in a datagram."""
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
        """Send what is due now.

        :param is_urgent: Tell every living host at once, not only the zone.
        """
        now = clock.monotonic_s()
        with self._runtime.coordination() as coordination:
            messages = coordination.membership.tick(now)
            if is_urgent:
                me = coordination.membership.local_member
                others = coordination.membership.alive(now)[1:]
                messages += [(m.peer_address, (me,)) for m in others]
            leaving = coordination.servers.leaving_servers(now)
            suspicions = tuple(
                (s.fingerprint, s.deaths)
                for s in coordination.quarantine.suspicions(now)
            )
        encoded: dict[tuple[Member, ...], bytes] = {}
        for address, members in messages:
            if members not in encoded:
                news = Gossip(members, self._loads, leaving, suspicions)
                encoded[members] = encode_gossip(news)
            if self._link is not None:
                self._link.send(address, encoded[members])

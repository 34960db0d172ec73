"""Sends digests: messages with this host's address, status and topic offsets."""

import asyncio
from collections.abc import Hashable, Iterable

from sequoiapoint.coordination.fan_out import FanOutQueue
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.protocol.digests import Digest, Member, encode_digest
from sequoiapoint.transport.clock import monotonic_s, since_boot_s
from sequoiapoint.transport.store_client import StoreClient

MIN_PACING_PAUSE_S = 0.002
"""Minimum pause between two batches of paced datagrams."""


class DigestSender:
    """Sends digests to other hosts as UDP datagrams.

    :ivar local_member: This host's name, zone and peer address.
    :ivar transport: The UDP socket, None until the host listens.
    :ivar fence: The fencing token of this host's orders, 0 if it is not the leader.
    """

    def __init__(
        self, state: GatewayState, store: StoreClient, watch: StoreWatch
    ) -> None:
        self._state = state
        self._store = store
        self._watch = watch
        settings = state.settings
        self.local_member = Member(
            settings.host,
            settings.zone,
            settings.peer_address,
            round(1000 * settings.cpu_share * settings.cpu_speed),
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.fence = 0
        self._fan_out = FanOutQueue(settings.link_mbps)
        self._has_paced = asyncio.Event()

    async def run(self) -> None:
        """Send the paced datagrams when they are due, until the process stops."""
        while True:
            await self._has_paced.wait()
            self._has_paced.clear()
            while (pause_s := self._fan_out.pause_s()) is not None:
                await asyncio.sleep(max(MIN_PACING_PAUSE_S, pause_s))
                self.flush()

    def build_digest(self, **fields: object) -> Digest:
        """Build a digest with this host's common fields.

        A draining host is called leaving in digests.

        :param fields: Further fields of the digest.
        """
        return Digest(
            **vars(self.local_member),
            started_ms=self._state.started_ms,
            is_leaving=self._state.is_draining,
            configuration_end=self._watch.configuration.content.end,
            server_end=self._watch.servers.content.end,
            is_store_reachable=self._store.is_reachable,
            server_age_s=self._watch.servers.freshness.known_age_s(monotonic_s()),
            fence=self.fence,
            sent_at=since_boot_s(),
            **fields,
        )

    def send(self, digest: Digest, members: Iterable[Member]) -> None:
        """Encode a digest and send it to the given hosts."""
        self.forward(encode_digest(digest), members)

    def forward(self, data: bytes, members: Iterable[Member]) -> None:
        """Send an encoded digest unchanged to the given hosts, except this one."""
        for address in self._other_addresses(members):
            self._send_to(address, data)

    def spread(self, kind: Hashable, data: bytes, members: Iterable[Member]) -> None:
        """Send an encoded digest to many hosts without filling this host's link.

        :param kind: A newer digest of the same kind replaces one that still waits.
        """
        self._fan_out.add(kind, data, self._other_addresses(members))
        self.flush()
        self._has_paced.set()

    def flush(self) -> None:
        """Send the paced datagrams that are due."""
        for address, data in self._fan_out.take_due(monotonic_s()):
            self._send_to(address, data)

    def _other_addresses(self, members: Iterable[Member]) -> set[str]:
        return {member.address for member in members} - {self.local_member.address}

    def _send_to(self, address: str, data: bytes) -> None:
        host, _, port = address.rpartition(":")
        self.transport.sendto(data, (host, int(port)))

"""Sends digests: messages with this host's address, status and topic offsets."""

import asyncio
from collections.abc import Iterable

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.protocol.digests import Digest, Member, encode_digest
from sequoiapoint.transport.store_client import StoreClient


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
        self.local_member = Member(settings.host, settings.zone, settings.peer_address)
        self.transport: asyncio.DatagramTransport | None = None
        self.fence = 0

    def build_digest(self, **fields: object) -> Digest:
        """Build a digest with this host's common fields.

        A draining host is called leaving in digests.

        :param fields: Further fields of the digest.
        """
        return Digest(
            *vars(self.local_member).values(),
            started_ms=self._state.started_ms,
            is_leaving=self._state.is_draining,
            configuration_end=self._watch.configuration.content.end,
            server_end=self._watch.servers.content.end,
            is_store_reachable=self._store.is_reachable,
            fence=self.fence,
            **fields,
        )

    def send(self, digest: Digest, members: Iterable[Member]) -> None:
        """Encode a digest and send it to the given hosts."""
        self.forward(encode_digest(digest), members)

    def forward(self, data: bytes, members: Iterable[Member]) -> None:
        """Send an encoded digest unchanged to the given hosts, except this one."""
        for address in {member.address for member in members} - {
            self.local_member.address
        }:
            host, _, port = address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))

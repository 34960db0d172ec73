"""Sends this host's digests: who it is, and how far it knows the store's topics."""

import asyncio
from collections.abc import Iterable

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.protocol.digests import Digest, Member, encode_digest
from sequoiapoint.transport.store_client import StoreClient


class DigestSender:
    """Sends datagrams to other hosts.

    :ivar transport: Where they go out, once the host listens.
    :ivar fence: The number under which this host gives orders, 0 where it does not.
    """

    def __init__(
        self, state: GatewayState, store: StoreClient, watch: StoreWatch
    ) -> None:
        self._state = state
        self._store = store
        self._watch = watch
        settings = state.settings
        self.self_member = Member(settings.host, settings.zone, settings.peer_address)
        self.transport: asyncio.DatagramTransport | None = None
        self.fence = 0

    def build_digest(self, **fields: object) -> Digest:
        """Return a digest of this host with further fields."""
        return Digest(
            *vars(self.self_member).values(),
            started_ms=self._state.started_ms,
            is_leaving=self._state.is_draining,
            configuration_end=self._watch.configuration.content.end,
            server_end=self._watch.servers.content.end,
            is_store_reachable=self._store.is_reachable,
            fence=self.fence,
            **fields,
        )

    def send(self, digest: Digest, members: Iterable[Member]) -> None:
        """Send a digest to hosts."""
        self.forward(encode_digest(digest), members)

    def forward(self, data: bytes, members: Iterable[Member]) -> None:
        """Send a datagram to hosts as it is."""
        for address in {member.address for member in members} - {
            self.self_member.address
        }:
            host, _, port = address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))

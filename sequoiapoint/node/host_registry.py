"""The hosts that have registered in the store, for those that start later."""

import asyncio
import json
from collections.abc import Callable

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.state.peers import LIVENESS_TIMEOUT_S, Peers
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.store_client import StoreClient

HOST_TOPIC = "keyed.hosts"
"""Where hosts write their addresses, for those that start later."""
REGISTER_RETRY_S = 1.0
"""Pause between tries to register and to read the other hosts."""
HOSTS_INTERVAL_S = 30.0
"""Time between a relay's looks at the registered hosts, half of the time after which a
silent host is forgotten: zones find each other after any cut."""


class HostRegistry:
    """Registers this host, and learns of the others.

    :param on_known: Called when the others have been read for the first time.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        peers: Peers,
        own: Member,
        on_first_read: Callable[[], None],
    ) -> None:
        self._state = state
        self._store = store
        self._peers = peers
        self._own = own
        self._on_known = on_first_read

    async def run(self) -> None:
        """Write this host's address, and read the others' from time to time."""
        value = json.dumps({"address": self._own.address, "zone": self._own.zone})
        while await self._store.put(HOST_TOPIC, self._own.host, value.encode()):
            await asyncio.sleep(REGISTER_RETRY_S)
        has_read = False
        while True:
            now = monotonic_s()
            if has_read and not self._peers.is_aggregator(now):
                await asyncio.sleep(HOSTS_INTERVAL_S)
                continue
            answer = await self._store.newest(HOST_TOPIC)
            if isinstance(answer, Failure):
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            # A host that was read of again is not presumed to live.
            heard_at = now - LIVENESS_TIMEOUT_S if has_read else now
            for record in answer[0]:
                self._learn(record.key, record.value, heard_at)
            if not has_read:
                self._on_known()
            has_read = True
            await asyncio.sleep(HOSTS_INTERVAL_S)

    def _learn(self, host: str, value: bytes | None, heard_at: float) -> None:
        if host == self._own.host or value is None:
            return
        try:
            known = json.loads(value)
            self._peers.add(Member(host, known["zone"], known["address"]), heard_at)
        except (ValueError, KeyError, TypeError) as error:
            self._state.log.event("record_unreadable", key=host, reason=str(error))

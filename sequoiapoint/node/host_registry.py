"""Registers this host in the store and discovers the other hosts there."""

import asyncio
import json
from collections.abc import Callable
from typing import Annotated

import pydantic

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.digests import MAX_UINT32, Member, checked_address
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.state.peers import LIVENESS_TIMEOUT_S, Peers
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.store_client import StoreClient

HOST_TOPIC = "keyed.hosts"
"""Topic in which each host writes its address, keyed by host name, so that hosts that
start later can find it."""
RETRY_DELAY_S = 1.0
"""Delay before a failed write or read of the registry is retried."""
REGISTRATION_SPREAD_S = 1.0
"""Time over which the hosts spread their writes after the store has come back older."""
REGISTRY_READ_INTERVAL_S = 30.0
"""Interval at which a zone's aggregator reads the registry again.  It is half of the
time after which a silent host is forgotten, so zones find each other again after a
network partition of any length."""


class _RegisteredHost(pydantic.BaseModel):
    """A host's record in the registry."""

    zone: pydantic.StrictStr
    address: Annotated[pydantic.StrictStr, pydantic.AfterValidator(checked_address)]
    capacity: Annotated[int, pydantic.Field(ge=0, le=MAX_UINT32)] = 0


class HostRegistry:
    """Registers this host and adds the other registered hosts to the peers.

    :param on_first_read: Called when the registry has been read for the first time.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        peers: Peers,
        local_member: Member,
        on_first_read: Callable[[], None],
    ) -> None:
        self._state = state
        self._store = store
        self._peers = peers
        self._local_member = local_member
        self._on_first_read = on_first_read
        self._has_been_read = False
        self._is_registered = asyncio.Event()
        self._era_changed = asyncio.Event()
        store.on_era_change.append(self._era_changed.set)

    @property
    def has_been_read(self) -> bool:
        """Tell whether the other registered hosts are known."""
        return self._has_been_read

    async def run(self) -> None:
        """Register this host and read the registry, until the process stops."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._keep_registered())
            tasks.create_task(self._read_registry())

    async def _keep_registered(self) -> None:
        """Register this host, and again whenever the store has come back older."""
        value = json.dumps(
            {
                "address": self._local_member.address,
                "zone": self._local_member.zone,
                "capacity": self._local_member.capacity,
            }
        )
        while True:
            self._era_changed.clear()
            failure = await self._store.put(
                HOST_TOPIC, self._local_member.host, value.encode()
            )
            if failure is not None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._is_registered.set()
            registered_era = self._store.era
            while self._store.era == registered_era:
                await self._era_changed.wait()
                self._era_changed.clear()
            await asyncio.sleep(REGISTRATION_SPREAD_S * self._state.rng.random())

    async def _read_registry(self) -> None:
        """Read the registry, after this host has been registered.

        Of two hosts that start together, one at least then finds the other.  After the
        first successful read, only the zone's aggregator reads it again, every
        ``REGISTRY_READ_INTERVAL_S``.  At that interval, the other hosts check whether
        they have become the aggregator.
        """
        await self._is_registered.wait()
        while True:
            now = monotonic_s()
            if self._has_been_read and not self._peers.is_aggregator(now):
                await asyncio.sleep(REGISTRY_READ_INTERVAL_S)
                continue
            response = await self._store.newest(HOST_TOPIC)
            if isinstance(response, Failure):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            # Hosts found by the first read are presumed live; a later read only makes
            # their addresses known.
            last_heard_at = now - LIVENESS_TIMEOUT_S if self._has_been_read else now
            for record in response[0]:
                self._add_peer(record.key, record.value, last_heard_at)
            if not self._has_been_read:
                self._on_first_read()
            self._has_been_read = True
            await asyncio.sleep(REGISTRY_READ_INTERVAL_S)

    def _add_peer(self, host: str, value: bytes | None, last_heard_at: float) -> None:
        if host == self._local_member.host or value is None:
            return
        try:
            known = _RegisteredHost.model_validate_json(value)
        except pydantic.ValidationError as error:
            reason = str(error.errors()[0]["msg"])
            self._state.metrics.event("record_unreadable")
            self._state.log.event("record_unreadable", key=host, reason=reason)
            return
        member = Member(host, known.zone, known.address, known.capacity)
        self._peers.add(member, last_heard_at)

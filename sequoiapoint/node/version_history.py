"""Keeps in the store which services have one software version, for when hosts are lost.

A host that has just started asks it for the versions that served before its start, if
a stream is resumed whose origin nobody knows.
"""

import asyncio
import math
from collections.abc import Mapping

from sequoiapoint.coordination import sole_versions
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import ServerEntry, Unreadable
from sequoiapoint.protocol.origins import (
    VersionHistory,
    decode_version_history,
    encode_version_history,
)
from sequoiapoint.state.peers import Peers
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.store_client import StoreClient

HISTORY_TOPIC = "keyed.versions"
HISTORY_KEY = "sole"
READ_TIMEOUT_S = 0.5
"""Timeout of a read, while a request waits."""
READ_RETRY_S = 1.0
"""Time after a failed read in which it is not tried again."""


class VersionHistoryStore:
    """Records which services have one version, and reads it after the start."""

    def __init__(
        self, state: GatewayState, store: StoreClient, watch: StoreWatch, peers: Peers
    ) -> None:
        self._state = state
        self._store = store
        self._watch = watch
        self._peers = peers
        self._written_at = -math.inf
        self._write: asyncio.Task[Failure | None] | None = None
        self._known: Mapping[str, str] | None = None
        self._read: asyncio.Task[None] | None = None
        self._failed_at = -math.inf

    def write_if_due(self) -> None:
        """Write the record if it is this host's turn; called periodically."""
        now = monotonic_s()
        if now - self._written_at < sole_versions.WRITE_INTERVAL_S:
            return
        if not sole_versions.is_writer(
            self._state.settings.zone,
            self._peers.is_aggregator(now),
            self._peers.live_zones(now),
        ):
            return
        history = sole_versions.current(
            self._state.fleet, self._watch.servers.content.end
        )
        if history is None:
            return
        self._written_at = now
        record = encode_version_history(history)
        self._write = asyncio.get_running_loop().create_task(
            self._store.put(HISTORY_TOPIC, HISTORY_KEY, record)
        )

    async def before_start(self, service: str) -> str | None:
        """Return the version that a service had alone before this host's start.

        It holds from earlier than any stream that can be resumed until the list of
        servers was known here.

        :return: None if it is not known.
        """
        if self._known is None:
            is_list_known = self._watch.servers.content.is_known
            if not is_list_known or monotonic_s() - self._failed_at < READ_RETRY_S:
                return None
            if self._read is None or self._read.done():
                self._read = asyncio.get_running_loop().create_task(self._prove())
            # A request that is given up does not stop the read, which others wait for.
            await asyncio.wait([self._read])
        return None if self._known is None else self._known.get(service)

    async def _prove(self) -> None:
        started_at = monotonic_s()
        known = await self._read_history()
        reason = known.reason if isinstance(known, Failure) else "taken"
        if isinstance(known, Failure):
            self._failed_at = monotonic_s()
        else:
            self._known = known
        self._state.log.event(
            "version_history",
            reason,
            services=0 if self._known is None else len(self._known),
            elapsed_ms=round(1000 * (monotonic_s() - started_at)),
        )

    async def _read_history(self) -> Mapping[str, str] | Failure:
        """Return the versions that are proved; none if the record does not suffice."""
        response = await self._store.newest(HISTORY_TOPIC, READ_TIMEOUT_S)
        if isinstance(response, Failure):
            return response
        records = [r for r in response[0] if r.key == HISTORY_KEY and r.value]
        end = self._watch.servers.content.end
        try:
            history = decode_version_history(records[-1].value) if records else None
        except ValueError as error:
            self._state.metrics.event("record_unreadable")
            self._state.log.event(
                "record_unreadable", key=HISTORY_KEY, reason=str(error)
            )
            return {}
        if history is None or not history.versions:
            return {}
        if not sole_versions.is_in_reach(history, end):
            return {}
        entries = await self._read_entries(history, end)
        if isinstance(entries, Failure):
            # Entries that the store has deleted do not come back.
            return {} if entries.reason == "expired" else entries
        return sole_versions.proved(history, entries)

    async def _read_entries(
        self, history: VersionHistory, end: int
    ) -> list[ServerEntry | Unreadable] | Failure:
        """Read all entries of servers from a record up to a position."""
        entries: list[ServerEntry | Unreadable] = []
        position, codec = history.position, self._store.codec
        while position < end:
            records = await self._store.read(
                codec.server_topic(), position, 0.0, READ_TIMEOUT_S
            )
            if isinstance(records, Failure):
                return records
            if not records:
                reason, step = "incomplete", "read"
                return Failure(FailureKind.REFUSED, reason, step, codec.server_topic())
            entries += [codec.decode_server(r) for r in records if r.value is not None]
            position = records[-1].offset + 1
        return entries

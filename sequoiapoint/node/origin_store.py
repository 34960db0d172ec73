"""Keeps the origins of streams in the platform's store, for when all hosts are lost.

Other hosts remember an origin as long as one of them goes on.  If all hosts are killed
while two versions of a service serve, only the store can tell which version began a
stream.  The first event of a stream does not wait for it.
"""

import asyncio
import math
from dataclasses import replace

from sequoiapoint.coordination import origin_batches
from sequoiapoint.coordination.origin_batches import (
    PendingOrigins,
    SlotSequence,
    UnfinishedStreams,
)
from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.gateway import StoreRecord
from sequoiapoint.protocol.origins import (
    OriginBatch,
    decode_origin_record,
    encode_origin_message,
    encode_origin_record,
    stream_key,
)
from sequoiapoint.state.peers import Peers
from sequoiapoint.state.stored_origins import StoredOrigin, StoredOrigins
from sequoiapoint.state.stream_origins import (
    REGISTRATION_S,
    VERSION_HISTORY_S,
    StreamOrigin,
)
from sequoiapoint.transport.clock import monotonic_s, wall_ms
from sequoiapoint.transport.store_client import ERA_CHANGED, StoreClient

ORIGIN_TOPIC = "keyed.origins"
"""Topic with the origins of streams; the keys are those of ``_record_key``."""
READ_TIMEOUT_S = 1.5
"""Timeout of a call that reads origins: 320 kB take 0.5 s on the slowest links."""
MAX_WAIT_S = 0.6
"""Time for which a request waits for a read, which goes on for later ones."""
READ_INTERVAL_S = 1.0
"""Minimum time between two reads of a host; within it, the last one counts."""
MAX_READS_PER_S = 50.0
"""Reads a second of all hosts together."""
READ_RETRY_S = 1.0
"""Time after a failed read in which streams that nobody knows are rejected at once."""
WRITE_RETRY_S = 0.5
"""Pause after a failed write."""


def _record_key(zone: str, number: int) -> str:
    return f"{zone}/{number}"


class OriginStore:
    """Writes origins to the store with the other hosts of the zone, and reads them."""

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        peers: Peers,
        sender: DigestSender,
    ) -> None:
        self._state = state
        self._store = store
        self._peers = peers
        self._sender = sender
        self._unfinished = UnfinishedStreams()
        self._hand_over_timer: asyncio.TimerHandle | None = None
        self._pending = PendingOrigins()
        self._slots = SlotSequence()
        self._write: asyncio.Task[None] | None = None
        self._written_at = -math.inf
        self._stored = StoredOrigins()
        self._end: int | None = None
        self._read: asyncio.Task[Failure | None] | None = None
        self._read_at = -math.inf
        self._failed_at = -math.inf

    # Streams of this host

    def record(self, stream: str, service: str, origin: StreamOrigin) -> None:
        """Note the origin of a stream whose first event is about to be passed on.

        :param stream: The id of an attempt that its caller may name.
        """
        key = stream_key(service, stream)
        self._unfinished.add(key, service, origin, monotonic_s())
        if self._hand_over_timer is None and self._has_versions(service):
            self._hand_over_timer = asyncio.get_running_loop().call_later(
                origin_batches.COLLECT_S, self.hand_over
            )

    def complete(self, stream: str, service: str) -> None:
        """Note that the caller has received all of a stream."""
        self._unfinished.complete(stream_key(service, stream))

    def _has_versions(self, service: str) -> bool:
        """Tell whether several versions of a service serve, or did until recently."""
        since = monotonic_s() - VERSION_HISTORY_S
        return len(self._state.fleet.versions(service, since)) > 1

    def _is_certain(self, origin: StreamOrigin) -> bool:
        _, started_ms = origin.server
        needed_at = origin.connected_at + REGISTRATION_S
        return not started_ms or (
            self._state.fleet.current_until(origin.server) >= needed_at
        )

    def hand_over(self) -> None:
        """Send the zone's writer the origins that it lacks.

        Called after a new stream, and periodically: a second version may have appeared,
        the writer may have changed, and processes become certain.
        """
        if self._hand_over_timer is not None:
            self._hand_over_timer.cancel()
            self._hand_over_timer = None
        if not self._unfinished:
            return
        now = monotonic_s()
        writer = self._writer(now)
        if not writer:
            return
        groups = self._unfinished.take(
            writer, self._has_versions, self._is_certain, now
        )
        if writer == self._sender.local_member.host:
            self.add(OriginBatch(tuple(groups)))
            return
        members = [m for m in self._peers.own_relays(now) if m.host == writer]
        for batch in origin_batches.split(groups):
            self._sender.forward(encode_origin_message(batch), members)

    def _writer(self, now: float) -> str:
        return origin_batches.writer(
            self._sender.local_member.host,
            self._peers.is_aggregator(now),
            [member.host for member in self._peers.own_relays(now)],
            self._reaches_store,
        )

    def _reaches_store(self, host: str) -> bool:
        if host == self._sender.local_member.host:
            return self._store.is_reachable
        peer = self._peers.peer(host)
        return peer is not None and (
            peer.digest is None or peer.digest.is_store_reachable
        )

    # Writing

    def add(self, batch: OriginBatch) -> None:
        """Add origins that this host is to write for its zone."""
        self._pending.add_batch(batch, monotonic_s())
        if len(self._pending) and (self._write is None or self._write.done()):
            self._write = asyncio.get_running_loop().create_task(self._write_pending())

    async def _write_pending(self) -> None:
        """Write the origins that wait, until none is left."""
        while len(self._pending):
            interval_s = origin_batches.write_interval_s(
                len(self._peers.zones(monotonic_s()))
            )
            due_at = self._written_at + interval_s
            pause_s = max(origin_batches.COLLECT_S, due_at - monotonic_s())
            await asyncio.sleep(pause_s)
            now = self._written_at = monotonic_s()
            batch = self._pending.take(now, wall_ms())
            number = self._slots.next(now, batch.written_ms)
            record = encode_origin_record(batch)
            key = _record_key(self._sender.local_member.zone, number)
            failure = await self._store.put(ORIGIN_TOPIC, key, record)
            self._state.log.event(
                "origins_written",
                "stored" if failure is None else "failed",
                key=key,
                streams=sum(len(group.streams) for group in batch.groups),
                bytes=len(record),
                reason=None if failure is None else failure.reason,
                elapsed_ms=round(1000 * (monotonic_s() - now)),
            )
            if failure is not None:
                self._restore(batch, monotonic_s() - now)
                await asyncio.sleep(WRITE_RETRY_S)

    def _restore(self, batch: OriginBatch, elapsed_s: float) -> None:
        """Add the origins of a failed write again, before those that came later.

        :param elapsed_s: The time since the ages of the batch were measured.
        """
        newer, self._pending = self._pending, PendingOrigins()
        now = monotonic_s()
        groups = tuple(
            replace(group, connected_age_s=group.connected_age_s + elapsed_s)
            for group in batch.groups
        )
        self._pending.add_batch(OriginBatch(groups), now)
        self._pending.add_batch(newer.take(now, 0), now)

    # Reading

    async def find(self, stream: str, service: str) -> StoredOrigin | None:
        """Return the origin of a stream that no host knows.

        :return: None if the store does not have it, or cannot be read.
        """
        key = stream_key(service, stream)
        now = monotonic_s()
        found = self._stored.get(key, now)
        if found is not None or now - self._failed_at < READ_RETRY_S:
            return found
        interval_s = max(READ_INTERVAL_S, self._state.host_count / MAX_READS_PER_S)
        is_reading = self._read is not None and not self._read.done()
        if not is_reading and now - self._read_at >= interval_s:
            self._read_at = now
            self._read = asyncio.get_running_loop().create_task(self._read_records())
            is_reading = True
        if is_reading:
            # A request that is given up does not stop the read, which others wait for.
            await asyncio.wait([self._read], timeout=MAX_WAIT_S)
        return self._stored.get(key, monotonic_s())

    async def _read_records(self) -> Failure | None:
        """Read the records since the last read, or all of them."""
        started_at = monotonic_s()
        records: list[StoreRecord] | Failure | None = None
        if self._end is not None:
            records = await self._store.read(
                ORIGIN_TOPIC, self._end, 0.0, READ_TIMEOUT_S
            )
            if isinstance(records, Failure) and records.reason in (
                "expired",
                ERA_CHANGED,
            ):
                records = None
            elif not isinstance(records, Failure) and records:
                self._end = records[-1].offset + 1
        if records is None:
            response = await self._store.newest(ORIGIN_TOPIC, READ_TIMEOUT_S)
            if isinstance(response, Failure):
                records = response
            else:
                records, self._end = response
        failure = records if isinstance(records, Failure) else None
        if failure is not None:
            self._failed_at = monotonic_s()
        else:
            for record in records:
                self._merge(record)
        self._state.log.event(
            "origins_read",
            "taken" if failure is None else failure.reason,
            records=len(records) if failure is None else 0,
            known=len(self._stored),
            elapsed_ms=round(1000 * (monotonic_s() - started_at)),
        )
        return failure

    def _merge(self, record: StoreRecord) -> None:
        if record.value is None:
            return
        try:
            batch = decode_origin_record(record.value)
        except ValueError as error:
            self._state.metrics.event("record_unreadable")
            self._state.log.event(
                "record_unreadable", key=record.key, reason=str(error)
            )
            return
        self._stored.put(batch, monotonic_s(), wall_ms())

"""Watches the topics with the configuration and the server entries in the store.

Each topic is read by long polling, from the offset after the last known record.  A host
that cannot reach the store, or for which a relay reads it, fetches changes from its
peers instead.
"""

import asyncio
import math
from collections.abc import Callable, Mapping

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.digests import TopicState
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.gateway import (
    GatewayConfiguration,
    Incarnation,
    ServerEntry,
    ServerState,
    StoreRecord,
    Unreadable,
)
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.protocol.positions import era_of
from sequoiapoint.state.keyed_topic import KeyedTopic, TopicChange
from sequoiapoint.state.store_outage import StoreOutage
from sequoiapoint.state.topic_freshness import ChangeLag, TopicFreshness
from sequoiapoint.transport.clock import (
    monotonic_s,
    pause_to_tick_s,
    since_boot_s,
)
from sequoiapoint.transport.store_client import (
    CALL_TIMEOUT_S,
    ERA_CHANGED,
    StoreClient,
)

MAX_CONFIGURATION_WAIT_S = 2.5
"""Maximum wait of a long poll for a configuration; below the time after which a silent
connection counts as a disruption."""
CONFIGURATION_WAIT_SHARE = 0.42
"""The same, as a share of the time within which a configuration must be in force.  The
store may not wake a poll that begins while it takes a change; the rest of the time is
for the way from the reader to all hosts."""
KEY_CONFIGURATION_WAIT_SHARE = 0.15
"""The same, as a share of the time after which a withdrawn key must not be accepted at
any host.  The evidence that a poll brings is as old as the poll is long."""
SERVER_WAIT_SHARE = 0.05
"""Maximum wait of a long poll for server entries, as a share of the time within which a
leaving server must stop receiving new requests.  The entries change all the time, and a
response without changes shows that none was missed.  Two waits and the pause between
them stay below the age from which on a replica is refreshed out of turn."""
SERVER_PAUSE_SHARE = 0.3
"""Pause between reads of server entries, as a share of the time within which a leaving
server must stop receiving new requests.  Each call has a cost, and with many servers
there is always a change to read."""
FIRST_BACKOFF_S = 0.1
"""Back-off after the first failed call; it doubles with each further failure."""
MAX_BACKOFF_S = 0.8
"""Maximum back-off after failed calls, and thus the maximum delay before a recovered
store is noticed."""
MISSING_RETENTION_SHARE = 0.6
"""Time for which an entry that disappeared around a store outage is still used, as a
share of the time within which a leaving server must stop receiving new requests.
Entries that expired during the outage come back; the rest of the time may have passed
before the removal was read."""
MISSING_CHECK_INTERVAL_S = 0.1
"""Interval at which missing entries that have not come back are removed."""
STORE_RECOVERY_S = 3.0
"""Time after a store outage from which on a removal takes effect at once."""
MIN_OUTAGE_SHARE = 0.75
"""Time without service to any known host that counts as an outage of the store, as a
share of the time within which a leaving server must stop receiving new requests.  It is
longer than the interval between a zone's reads, and than the time after which a host
turns to the store itself."""
MAX_REPLICA_WAIT_S = 1.0
"""Maximum time for which a starting host waits for a replica of a topic from its zone's
aggregator: two digest intervals."""
REPLICA_CHECK_INTERVAL_S = 0.02
"""Interval at which a starting host checks whether it has a replica."""
RELAY_CHECK_INTERVAL_S = 0.1
"""Interval at which a host checks whether a relay still reads the store for it."""


MAX_REMOVED = 256
"""Number of removed entries that are remembered; as many as a topic has tombstones."""


class TopicWatch:
    """Watches one topic of the store.

    :param wait_s: Maximum wait of a long poll, in seconds.
    :param pause_s: Pause between two reads, in seconds.
    :param on_change: Called with each change, whether from the store or a peer.
    :param reads_via_relay: Tells whether a relay reads the store for this host.
    :param expects_replica: Tells whether a starting host should wait for a relay.
    :param keeps: Tells whether a known record is newer than the one, or none, that the
        store holds after it has come back older.
    :ivar content: This host's replica of the topic.
    :ivar freshness: Until when the replica is known to be complete.
    :ivar on_read: Called when the result of a read of the store has been applied, with
        the time at which the call began, on the clock that includes the suspension of
        the system, in seconds.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        topic: str,
        wait_s: float,
        pause_s: float,
        on_change: Callable[[TopicChange], None],
        reads_via_relay: Callable[[], bool],
        expects_replica: Callable[[], bool],
        keeps: Callable[[StoreRecord, StoreRecord | None], bool],
    ) -> None:
        self._state = state
        self._store = store
        self._topic = topic
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._on_change = on_change
        self._reads_via_relay = reads_via_relay
        self._expects_replica = expects_replica
        self._keeps = keeps
        self._is_store_lost = False
        self.content = KeyedTopic()
        self.freshness = TopicFreshness()
        self.on_read: Callable[[float], None] = lambda started_at: None

    @property
    def topic(self) -> str:
        """Return the topic's name."""
        return self._topic

    async def run(self) -> None:
        """Read the topic until the process stops."""
        await self._await_replica()
        needs_snapshot = not self.content.is_known
        backoff_s = FIRST_BACKOFF_S
        while True:
            if era_of(self.content.end) < self._store.era:
                needs_snapshot = True
            if not needs_snapshot and self._reads_via_relay():
                await asyncio.sleep(pause_to_tick_s(RELAY_CHECK_INTERVAL_S))
                continue
            failure = await (
                self._load_snapshot()
                if needs_snapshot
                else self._read_changes(self._wait_s, CALL_TIMEOUT_S)
            )
            if failure is None:
                needs_snapshot = False
                backoff_s = FIRST_BACKOFF_S
                self._log_regained()
                await asyncio.sleep(self._pause_s)
                continue
            if failure.reason in ("expired", ERA_CHANGED):
                needs_snapshot = True
                continue
            self._log_lost(failure)
            await asyncio.sleep(backoff_s * self._state.rng.uniform(0.7, 1.3))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def merge_peer_state(self, state: TopicState) -> None:
        """Apply a peer's state of the topic if it is newer."""
        if state.end <= self.content.end:
            return
        self._store.note_era(era_of(state.end))
        if state.is_complete:
            change = self.content.replace(state.records, state.end, self._keeps)
        elif era_of(state.end) == era_of(self.content.end):
            change = self.content.apply(state.records)
        else:
            return
        self.freshness.note_end(self.content.end)
        self._on_change(change)

    def change_lag(self) -> ChangeLag:
        """Return the lag of the changes that have just been applied."""
        return self.freshness.change_lag(monotonic_s())

    def note_announcement(self, end: int, age_s: float, now: float) -> None:
        """Note the end that another host has reached.

        :param age_s: The time since the read of the store that brought it there.
        """
        self.freshness.note_announcement(end, now - age_s, self.content.end)

    async def refresh(self, timeout_s: float) -> Failure | None:
        """Read what the replica lacks at once, whoever reads the topic for this host.

        :param timeout_s: The timeout of the call, in seconds.
        """
        started_at = monotonic_s()
        failure = await self._read_changes(0.0, timeout_s)
        if failure is not None and failure.reason in ("expired", ERA_CHANGED):
            failure = await self._load_snapshot()
        self._state.log.event(
            "topic_refresh",
            "taken" if failure is None else failure.reason,
            topic=self._topic,
            end=self.content.end,
            elapsed_ms=round(1000 * (monotonic_s() - started_at)),
        )
        return failure

    async def _await_replica(self) -> None:
        """Wait a short time for a replica from the zone's aggregator.

        The store is asked for all records only if there is no such replica.
        """
        try:
            async with asyncio.timeout(MAX_REPLICA_WAIT_S):
                while not self.content.is_known and self._expects_replica():
                    await asyncio.sleep(REPLICA_CHECK_INTERVAL_S)
        except TimeoutError:
            pass

    async def _load_snapshot(self) -> Failure | None:
        started_at, begun_at = monotonic_s(), since_boot_s()
        response = await self._store.newest(self._topic)
        if isinstance(response, Failure):
            return response
        change = self.content.replace(*response, self._keeps)
        self._note_read(started_at)
        self._on_change(change)
        self.on_read(begun_at)
        return None

    async def _read_changes(self, wait_s: float, timeout_s: float) -> Failure | None:
        started_at, begun_at = monotonic_s(), since_boot_s()
        response = await self._store.read(
            self._topic, self.content.end, wait_s, timeout_s
        )
        if isinstance(response, Failure):
            return response
        change = self.content.apply(response)
        self._note_read(started_at)
        self._on_change(change)
        self.on_read(begun_at)
        return None

    def _note_read(self, started_at: float) -> None:
        self.freshness.note_read(started_at)
        self.freshness.note_end(self.content.end)

    def _log_lost(self, failure: Failure) -> None:
        if not self._is_store_lost:
            self._is_store_lost = True
            self._state.log.event(
                "dependency_lost",
                "store",
                topic=self._topic,
                step=failure.step,
                peer=failure.peer,
                reason=failure.reason,
            )

    def _log_regained(self) -> None:
        if self._is_store_lost:
            self._is_store_lost = False
            self._state.log.event(
                "dependency_regained", "store", topic=self._topic, end=self.content.end
            )


def _configuration_wait_s(bounds: Bounds) -> float:
    """Return the maximum wait of a long poll for a configuration, in seconds."""
    wait_s = min(
        MAX_CONFIGURATION_WAIT_S,
        CONFIGURATION_WAIT_SHARE * bounds.configuration_apply_s,
    )
    if bounds.key_revocation_s is None:
        return wait_s
    return min(wait_s, KEY_CONFIGURATION_WAIT_SHARE * bounds.key_revocation_s)


class StoreWatch:
    """Watches the topics of a gateway host and applies their changes.

    :ivar reads_via_relay: Tells whether a relay reads the store for this host.
    :ivar expects_replica: Tells whether a starting host should wait for a relay.
    :ivar on_advance: Called when a topic has advanced to a new offset.
    :ivar on_unchanged: Called when the store has been read and no server has changed.
    """

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        self._codec = store.codec
        self._removed: dict[Incarnation, tuple[int, int]] = {}
        # By server: the earliest time at which its entry may have disappeared.
        self._vanished_after: dict[str, float] = {}
        self._has_missing = asyncio.Event()
        self._logged_unreadable: set[tuple[str, str]] = set()
        self._outage = StoreOutage(
            MIN_OUTAGE_SHARE * state.settings.bounds.server_drain_s
        )
        self.reads_via_relay: Callable[[], bool] = lambda: False
        self.expects_replica: Callable[[], bool] = lambda: False
        self.on_advance: Callable[[], None] = lambda: None
        self.on_unchanged: Callable[[], None] = lambda: None
        self.configuration = TopicWatch(
            state,
            store,
            self._codec.configuration_topic(),
            _configuration_wait_s(state.settings.bounds),
            0.0,
            self._on_configuration,
            lambda: self.reads_via_relay(),
            lambda: self.expects_replica(),
            self._keeps_configuration,
        )
        self.servers = TopicWatch(
            state,
            store,
            self._codec.server_topic(),
            SERVER_WAIT_SHARE * state.settings.bounds.server_drain_s,
            SERVER_PAUSE_SHARE * state.settings.bounds.server_drain_s,
            self._on_servers,
            lambda: self.reads_via_relay(),
            lambda: self.expects_replica(),
            self._keeps_server,
        )

    async def run(self) -> None:
        """Watch all topics until the process stops."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.configuration.run())
            tasks.create_task(self.servers.run())
            tasks.create_task(self._remove_missing())

    def topic(self, name: str) -> TopicWatch | None:
        """Return the watch of a topic, None if the topic is not watched."""
        for watch in (self.configuration, self.servers):
            if watch.topic == name:
                return watch
        return None

    def handle_announcement(self, end: int, age_s: float, now: float) -> None:
        """Note the end of the servers' topic that another host has reached.

        :param age_s: The time since the read of the store that brought it there.
        """
        self._outage.note_served(now - age_s)
        self.servers.note_announcement(end, age_s, now)
        self._state.fleet.confirm(self.servers.freshness.complete_until)

    def _keeps_configuration(
        self, known: StoreRecord, restored: StoreRecord | None
    ) -> bool:
        """Tell whether a known configuration is newer than the store's old copy."""
        newest = self._codec.decode_configuration(known)
        if not isinstance(newest, GatewayConfiguration):
            return False
        old = None if restored is None else self._codec.decode_configuration(restored)
        return not isinstance(old, GatewayConfiguration) or old.version < newest.version

    def _keeps_server(self, known: StoreRecord, restored: StoreRecord | None) -> bool:
        """Tell whether a known entry is newer than the one in the store's old copy.

        An entry that is missing is not kept: it is written again soon, or its server
        has left.
        """
        if restored is None:
            return False
        newest = self._codec.decode_server(known)
        old = self._codec.decode_server(restored)
        if isinstance(newest, Unreadable):
            return False
        return isinstance(old, Unreadable) or (old.started_ms, old.report_count) < (
            newest.started_ms,
            newest.report_count,
        )

    def _on_configuration(self, change: TopicChange) -> None:
        if change.updated or change.deleted:
            self.on_advance()
        for record in change.updated:
            configuration = self._codec.decode_configuration(record)
            if configuration is None:
                continue
            if isinstance(configuration, Unreadable):
                self._note_unreadable(configuration)
            elif self._state.set_configuration(configuration):
                self._state.wait_queue.notify()
                self._state.log.event(
                    "configuration_in_force",
                    version=configuration.version,
                    offset=record.offset,
                    routes=len(configuration.routes),
                )

    def _on_servers(self, change: TopicChange) -> None:
        fleet = self._state.fleet
        read_at = self.servers.freshness.complete_until
        if math.isfinite(read_at):
            self._outage.note_served(read_at)
        for record in change.updated:
            entry = self._codec.decode_server(record)
            if isinstance(entry, Unreadable):
                self._note_unreadable(entry)
                self._remove(record.key)
                continue
            known = fleet.entries.get(entry.server)
            self._vanished_after.pop(entry.server, None)
            if self._was_removed(entry, record):
                self._state.metrics.event("server_entry_restored")
                self._state.log.event("server_entry", "restored", server=entry.server)
                continue
            if known is not None and not self._is_named(known.service):
                # It is from another writer, and its start would outdate this entry.
                fleet.remove(entry.server)
            if not fleet.put(entry, monotonic_s()):
                self._state.metrics.event("server_entry_outdated")
            elif known is None or (known.state, known.incarnation) != (
                entry.state,
                entry.incarnation,
            ):
                self._state.log.event(
                    "server_entry",
                    entry.state.value,
                    server=entry.server,
                    service=entry.service,
                    address=entry.address,
                    zone=entry.zone,
                    started_ms=entry.started_ms,
                    version=entry.version,
                    offset=record.offset,
                    **self._lag_fields(),
                )
                if entry.state is ServerState.DRAINING:
                    self._record_leaving_lag(self.servers.change_lag().total_s)
        for server in change.deleted:
            self._remove(server)
        fleet.confirm(read_at)
        if change.updated or change.deleted:
            self.on_advance()
            self._discard_stopped_processes()
            self._state.replan_requested.set()
        else:
            self.on_unchanged()

    def _is_named(self, service: str) -> bool:
        """Tell whether the configuration in force names a service, as far as known."""
        configuration = self._state.configuration
        return configuration is None or service in configuration.services

    def _remove(self, server: str) -> None:
        """Remove a server; after a store outage, mark it as missing instead.

        A missing entry stays in use for a while after the outage, since it may come
        back.
        """
        if server not in self._state.fleet.entries:
            return
        now = monotonic_s()
        returned_at = max(self._outage.ended_at, self._store.era_changed_at)
        if now - returned_at < STORE_RECOVERY_S:
            removed_after = now - self.servers.change_lag().total_s
            self._state.fleet.mark_missing(server, max(removed_after, returned_at))
            self._vanished_after.setdefault(server, removed_after)
            self._has_missing.set()
            outcome = "vanished"
        else:
            self._note_removed(server)
            if self._state.fleet.entries[server].state is ServerState.READY:
                self._record_leaving_lag(self.servers.change_lag().total_s)
            self._state.fleet.remove(server)
            outcome = "removed"
        self._state.log.event(
            "server_entry", outcome, server=server, **self._lag_fields()
        )

    def _lag_fields(self) -> Mapping[str, int]:
        """Return the parts of the lag of the last change, for the log."""
        lag = self.servers.change_lag()
        if not math.isfinite(lag.total_s):
            return {}
        return {
            "unread_ms": round(1000 * lag.unread_s),
            "relayed_ms": round(1000 * lag.relayed_s),
        }

    def _record_leaving_lag(self, seconds: float) -> None:
        if math.isfinite(seconds):
            self._state.metrics.leaving_lag(seconds)

    def _note_removed(self, server: str) -> None:
        """Remember a removed entry, in case the store comes back with it."""
        entry = self._state.fleet.entries[server]
        end = self.servers.content.end
        self._removed[entry.incarnation] = (entry.report_count, end)
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def _was_removed(self, entry: ServerEntry, record: StoreRecord) -> bool:
        """Tell whether an entry was removed before the store came back with it."""
        removed = self._removed.get(entry.incarnation)
        if removed is None:
            return False
        report_count, end = removed
        is_restored = era_of(record.offset) > era_of(end)
        return is_restored and entry.report_count <= report_count

    async def _remove_missing(self) -> None:
        while True:
            await self._has_missing.wait()
            self._has_missing.clear()
            while self._state.fleet.has_missing:
                await asyncio.sleep(pause_to_tick_s(MISSING_CHECK_INTERVAL_S))
                self._drop_missing()

    def _drop_missing(self) -> None:
        """Remove the missing servers whose entries have not come back in time."""
        retention_s = (
            MISSING_RETENTION_SHARE * self._state.settings.bounds.server_drain_s
        )
        now = monotonic_s()
        for server in self._state.fleet.remove_missing(now - retention_s):
            lag_s = now - self._vanished_after.pop(server, now)
            self._record_leaving_lag(lag_s)
            self._state.log.event(
                "server_entry",
                "removed",
                server=server,
                lag_ms=round(1000 * lag_s) if math.isfinite(lag_s) else None,
            )
            self._discard_stopped_processes()

    def _discard_stopped_processes(self) -> None:
        live = {entry.incarnation for entry in self._state.fleet.entries.values()}
        self._state.loads.retain(live)
        self._state.pools.retain(live)

    def _note_unreadable(self, record: Unreadable) -> None:
        self._state.metrics.event("record_unreadable")
        if (record.key, record.reason) not in self._logged_unreadable:
            self._logged_unreadable.add((record.key, record.reason))
            self._state.log.event(
                "record_unreadable", key=record.key, reason=record.reason
            )

"""Follows the configuration and the servers' entries in the platform's store.

Each topic is read by long polls from the offset after the last record; a host that the
store does not answer, or for which a relay reads it, takes changes from its peers.
"""

import asyncio
import math
from collections.abc import Callable

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.digests import TopicState
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.gateway import Unreadable
from sequoiapoint.state.keyed_topic import KeyedTopic, TopicChange
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.store_client import StoreClient

CONFIGURATION_WAIT_S = 2.5
"""Longest wait of a read for a configuration: below the time after which a connection
that fell silent counts as a disruption."""
SERVER_WAIT_S = 2.0
"""The same for the servers' entries, which change all the time."""
SERVER_PAUSE_SHARE = 0.3
"""Pause between reads of the servers' entries, as part of the time within which a
leaving server must get no new work: each call has its price, and with many servers
there is always something to read."""
FIRST_BACKOFF_S = 0.1
"""Pause after the first failed call; doubles with each further one."""
MAX_BACKOFF_S = 0.8
"""Longest pause after failed calls; a store that is back is seen within it."""
HOLD_SHARE = 0.6
"""Part of the time within which a leaving server must get no new work for which an
entry that went around an outage of the store is still used: entries that lapsed
meanwhile come back, and the rest of that time may have passed before the removal was
read."""
HOLD_CHECK_S = 0.1
"""Time between looks at entries that did not come back."""
STEADY_S = 3.0
"""How long the store must have answered for a removal to be taken at its word."""
REST_CHECK_S = 0.1
"""Time between looks at whether a relay still reads the store for this host."""


class TopicWatch:
    """One topic of the store.

    :param on_change: Called with each change, whether from the store or a peer.
    :param may_rest: Tells whether a relay reads the store for this host.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        topic: str,
        wait_s: float,
        pause_s: float,
        on_change: Callable[[TopicChange], None],
        is_delegated: Callable[[], bool],
    ) -> None:
        self._state = state
        self._store = store
        self._topic = topic
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._on_change = on_change
        self._may_rest = is_delegated
        self._is_lost = False
        self.content = KeyedTopic()

    @property
    def topic(self) -> str:
        """Return the topic's name."""
        return self._topic

    async def run(self) -> None:
        """Follow the topic for as long as the process runs."""
        needs_state = True
        backoff_s = FIRST_BACKOFF_S
        while True:
            if not needs_state and self._may_rest():
                await asyncio.sleep(REST_CHECK_S)
                continue
            failure = await (self._load() if needs_state else self._read())
            if failure is None:
                needs_state = False
                backoff_s = FIRST_BACKOFF_S
                self._note_regained()
                await asyncio.sleep(self._pause_s)
                continue
            if failure.reason == "expired":
                needs_state = True
                continue
            self._note_lost(failure)
            await asyncio.sleep(backoff_s * self._state.rng.uniform(0.7, 1.3))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def merge_peer_state(self, state: TopicState) -> None:
        """Take in what is newer at a peer."""
        if state.end <= self.content.end:
            return
        if state.is_complete:
            self._on_change(self.content.replace(state.records, state.end))
        else:
            self._on_change(self.content.apply(state.records))

    async def _load(self) -> Failure | None:
        answer = await self._store.newest(self._topic)
        if isinstance(answer, Failure):
            return answer
        self._on_change(self.content.replace(*answer))
        return None

    async def _read(self) -> Failure | None:
        answer = await self._store.read(self._topic, self.content.end, self._wait_s)
        if isinstance(answer, Failure):
            return answer
        self._on_change(self.content.apply(answer))
        return None

    def _note_lost(self, failure: Failure) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._state.log.event(
                "dependency_lost",
                "store",
                topic=self._topic,
                step=failure.step,
                peer=failure.peer,
                reason=failure.reason,
            )

    def _note_regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            self._state.log.event(
                "dependency_regained", "store", topic=self._topic, end=self.content.end
            )


class StoreWatch:
    """The topics that a gateway host follows.

    :ivar may_rest: Tells whether a relay reads the store for this host.
    :ivar on_end: Called when more is known of a topic.
    """

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        self._codec = store.codec
        self._reported: set[tuple[str, str]] = set()
        self._store_lost_at = -math.inf
        self.is_delegated: Callable[[], bool] = lambda: False
        self.on_advance: Callable[[], None] = lambda: None
        self.configuration = TopicWatch(
            state,
            store,
            self._codec.configuration_topic(),
            CONFIGURATION_WAIT_S,
            0.0,
            self._on_configuration,
            lambda: self.is_delegated(),
        )
        self.servers = TopicWatch(
            state,
            store,
            self._codec.server_topic(),
            SERVER_WAIT_S,
            SERVER_PAUSE_SHARE * state.settings.bounds.server_drain_s,
            self._on_servers,
            lambda: self.is_delegated(),
        )

    async def run(self) -> None:
        """Follow all topics for as long as the process runs."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.configuration.run())
            tasks.create_task(self.servers.run())
            tasks.create_task(self._remove_vanished())

    def topic(self, name: str) -> TopicWatch | None:
        """Return the watch of a topic."""
        for watch in (self.configuration, self.servers):
            if watch.topic == name:
                return watch
        return None

    def note_store_lost(self, now: float) -> None:
        """Note that a relay has lost the store: removals may be its doing."""
        self._store_lost_at = now

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
        for record in change.updated:
            entry = self._codec.decode_server(record)
            if isinstance(entry, Unreadable):
                self._note_unreadable(entry)
                self._remove(record.key)
                continue
            known = fleet.entries.get(entry.server)
            if not fleet.put(entry):
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
                    offset=record.offset,
                )
        for server in change.deleted:
            self._remove(server)
        if change.updated or change.deleted:
            self.on_advance()
            self._forget_processes()
            self._state.wait_queue.notify()
            self._state.replan_requested.set()

    def _remove(self, server: str) -> None:
        """Drop a server, or wait for its return if the store was away."""
        if server not in self._state.fleet.entries:
            return
        now = monotonic_s()
        if now - max(self._store.last_failure_at, self._store_lost_at) < STEADY_S:
            self._state.fleet.mark_missing(server, now)
            outcome = "vanished"
        else:
            self._state.fleet.remove(server)
            outcome = "removed"
        self._state.log.event("server_entry", outcome, server=server)

    async def _remove_vanished(self) -> None:
        while True:
            await asyncio.sleep(HOLD_CHECK_S)
            hold_s = HOLD_SHARE * self._state.settings.bounds.server_drain_s
            for server in self._state.fleet.remove_missing(monotonic_s() - hold_s):
                self._state.log.event("server_entry", "removed", server=server)
                self._forget_processes()

    def _forget_processes(self) -> None:
        live = {entry.incarnation for entry in self._state.fleet.entries.values()}
        self._state.loads.retain(live)
        self._state.pools.retain(live)

    def _note_unreadable(self, record: Unreadable) -> None:
        self._state.metrics.event("record_unreadable")
        if (record.key, record.reason) not in self._reported:
            self._reported.add((record.key, record.reason))
            self._state.log.event(
                "record_unreadable", key=record.key, reason=record.reason
            )

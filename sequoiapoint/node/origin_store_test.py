"""When origins reach the store and are read back, in virtual time."""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination.origin_batches import COLLECT_S, WRITE_INTERVAL_S
from sequoiapoint.node import origin_store
from sequoiapoint.node.origin_store import READ_RETRY_S, OriginStore
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import ServerEntry, ServerState, StoreRecord
from sequoiapoint.protocol.origins import PREFIX, decode_origin_message
from sequoiapoint.protocol.positions import position
from sequoiapoint.state.fleet import Fleet
from sequoiapoint.state.stream_origins import StreamOrigin
from standins.virtual.event_loop import VirtualTimeLoop

CALL_S = 0.01
MAX_WINDOW_S = 0.5
"""Time after its first event in which a stream may be lost with all hosts."""
MAX_REQUEST_WAIT_S = 1.0
"""Half of the time after which callers abandon a stream."""
ORIGIN = StreamOrigin("v1", ("s-1", 1), 90.0)
DOWN = Failure(FailureKind.UNKNOWN, "timed_out", "put", "store")


class FakeStore:
    """A topic of the store; it fails while it is down."""

    def __init__(self):
        self.records, self.calls, self.era = [], Counter(), 1
        self.is_reachable, self.is_down, self.failure = True, False, DOWN
        self.read_s = CALL_S

    async def put(self, topic, key, value):
        self.calls["put"] += 1
        await asyncio.sleep(CALL_S)
        if self.is_down:
            return self.failure
        self.records.append((key, value))
        return None

    def _positioned(self, start):
        return [
            StoreRecord(position(self.era, offset), key, value)
            for offset, (key, value) in enumerate(self.records)
            if offset >= start
        ]

    async def newest(self, topic, timeout_s):
        self.calls["newest"] += 1
        await asyncio.sleep(self.read_s)
        end = position(self.era, len(self.records))
        return self.failure if self.is_down else (self._positioned(0), end)

    async def read(self, topic, start, wait_s, timeout_s):
        self.calls["read"] += 1
        await asyncio.sleep(CALL_S)
        if self.is_down:
            return self.failure
        if start < position(self.era, 0):
            return Failure(FailureKind.REFUSED, "era_changed", "read", "store")
        return self._positioned(start - position(self.era, 0))


class Zone:
    """Hosts that share a store; the first one writes for the zone."""

    def __init__(self, monkeypatch):
        self.loop = VirtualTimeLoop()
        self.loop.now = 100.0
        self.store, self.messages, self.events = FakeStore(), [], []
        monkeypatch.setattr(origin_store, "monotonic_s", lambda: self.loop.now)
        monkeypatch.setattr(
            origin_store, "wall_ms", lambda: 1_000_000 + round(1000 * self.loop.now)
        )
        self.fleet = Fleet()
        for number, version in enumerate(("v1", "v1.1")):
            self.put(f"s-{number + 1}", version)
        self.fleet.confirm(100.0)
        self.writer = self.host("writer", is_aggregator=True)

    def put(self, server, version):
        entry = (server, "lm", "10.0.1.1:1", "z", ServerState.READY, 1, 8)
        self.fleet.put(ServerEntry(*entry, version=version))

    def host(self, name, is_aggregator=False):
        writer = Member("writer", "z", "10.0.0.1:1")
        peers = SimpleNamespace(
            is_aggregator=lambda now: is_aggregator,
            own_relays=lambda now: [writer],
            peer=lambda name: SimpleNamespace(digest=None),
            zones=lambda now: ["z"],
        )
        state = SimpleNamespace(
            fleet=self.fleet,
            host_count=1,
            rng=random.Random(1),
            metrics=SimpleNamespace(event=self.events.append),
            log=SimpleNamespace(event=lambda name, *a, **fields: None),
        )
        sender = SimpleNamespace(
            local_member=Member(name, "z", f"10.0.0.{len(name)}:1"),
            forward=lambda data, members: self.messages.append(data),
        )
        return OriginStore(state, self.store, peers, sender)

    def deliver(self):
        for data in self.messages:
            assert data.startswith(PREFIX)
            self.writer.add(decode_origin_message(data))
        self.messages.clear()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)


@pytest.fixture
def zone(monkeypatch):
    result = Zone(monkeypatch)
    yield result
    result.loop.close()


def test_an_origin_is_in_the_store_soon_after_the_first_event(zone):
    """All hosts may be killed at any moment; the first event does not wait."""

    async def run():
        host = zone.host("other")
        host.record("stream", "lm", ORIGIN)
        assert not zone.store.calls
        await asyncio.sleep(COLLECT_S + 0.001)
        zone.deliver()
        await asyncio.sleep(MAX_WINDOW_S - COLLECT_S - 0.001)
        return await zone.host("restarted").find("stream", "lm")

    found = zone.run(run())
    assert (found.version, found.server) == ("v1", None)
    assert zone.store.calls == {"put": 1, "newest": 1}


def test_the_calls_do_not_grow_with_the_streams(zone):
    async def run():
        for number in range(500):
            zone.writer.record(f"stream-{number}", "lm", ORIGIN)
            await asyncio.sleep(0.004)
        await asyncio.sleep(MAX_WINDOW_S)
        restarted = zone.host("restarted")
        return [await restarted.find(f"stream-{n}", "lm") for n in range(500)]

    assert all(zone.run(run()))
    assert zone.store.calls["put"] <= 2.0 / WRITE_INTERVAL_S + 2
    assert zone.store.calls["newest"] + zone.store.calls["read"] <= 2


def test_nothing_is_written_while_one_version_serves(zone):
    async def run():
        zone.fleet.remove("s-2")
        zone.fleet.confirm(100.1)
        zone.loop.now = 140.0
        zone.writer.record("stream", "lm", ORIGIN)
        zone.writer.hand_over()
        await asyncio.sleep(1.0)
        assert not zone.store.calls
        zone.put("s-2", "v1.1")
        zone.writer.hand_over()
        await asyncio.sleep(MAX_WINDOW_S)
        return await zone.host("restarted").find("stream", "lm")

    assert zone.run(run()).version == "v1"


def test_a_process_that_is_not_certain_must_be_confirmed(zone):
    """The time of the connection is never taken for earlier than it was."""
    origin = StreamOrigin("v1", ("s-1", 1), 99.9)

    async def run():
        zone.writer.record("stream", "lm", origin)
        await asyncio.sleep(MAX_WINDOW_S)
        early = await zone.host("restarted").find("stream", "lm")
        zone.fleet.confirm(100.45)
        zone.writer.hand_over()
        await asyncio.sleep(MAX_WINDOW_S)
        return early, await zone.host("restarted").find("stream", "lm")

    early, late = zone.run(run())
    assert early.server == ("s-1", 1)
    assert early.connected_at >= origin.connected_at
    assert (late.version, late.server) == ("v1", None)


def test_origins_are_written_when_the_store_is_back(zone):
    async def run():
        zone.store.is_down = True
        zone.writer.record("early", "lm", ORIGIN)
        await asyncio.sleep(3.0)
        zone.writer.record("late", "lm", ORIGIN)
        await asyncio.sleep(0.1)
        zone.store.is_down = False
        await asyncio.sleep(1.0)
        restarted = zone.host("restarted")
        return [await restarted.find(name, "lm") for name in ("early", "late")]

    assert all(zone.run(run()))
    assert zone.store.calls["put"] <= 9


def test_without_the_store_streams_are_unknown_at_once(zone):
    """Requests that are rejected anyway must not wait, nor load the store."""

    async def run():
        zone.store.is_down = True
        host = zone.host("restarted")
        found = await asyncio.gather(*(host.find(f"s-{n}", "lm") for n in range(50)))
        found += [await host.find("s-0", "lm") for _ in range(50)]
        started_at = zone.loop.now
        await asyncio.sleep(READ_RETRY_S)
        found.append(await host.find("s-0", "lm"))
        return found, started_at

    found, started_at = zone.run(run())
    assert not any(found)
    assert zone.store.calls == {"newest": 2}
    assert started_at - 100.0 <= 2 * CALL_S


def test_requests_share_a_read_and_later_ones_read_only_what_is_new(zone):
    async def run():
        host = zone.host("restarted")
        zone.writer.record("first", "lm", ORIGIN)
        await asyncio.sleep(MAX_WINDOW_S)
        found = await asyncio.gather(*(host.find("first", "lm") for _ in range(50)))
        zone.writer.record("second", "lm", ORIGIN)
        await asyncio.sleep(1.0)
        return [*found, await host.find("second", "lm")]

    assert all(zone.run(run()))
    assert zone.store.calls == {"put": 2, "newest": 1, "read": 1}


def test_a_request_that_is_given_up_does_not_stop_the_read_of_others(zone):
    async def run():
        zone.writer.record("stream", "lm", ORIGIN)
        await asyncio.sleep(MAX_WINDOW_S)
        host = zone.host("restarted")
        given_up = asyncio.ensure_future(host.find("stream", "lm"))
        other = asyncio.ensure_future(host.find("stream", "lm"))
        await asyncio.sleep(CALL_S / 2)
        given_up.cancel()
        return await other

    assert zone.run(run()) is not None
    assert zone.store.calls["newest"] == 1


def test_a_slow_read_serves_the_requests_that_come_again(zone):
    """A host with a slow link must not begin to read anew for each of them."""

    async def run():
        zone.writer.record("stream", "lm", ORIGIN)
        await asyncio.sleep(MAX_WINDOW_S)
        zone.store.read_s = 1.2
        host, started_at = zone.host("restarted"), zone.loop.now
        first = await host.find("stream", "lm")
        waited_s = zone.loop.now - started_at
        await asyncio.sleep(1.05 - waited_s)
        return first, waited_s, await host.find("stream", "lm")

    first, waited_s, second = zone.run(run())
    assert first is None
    assert waited_s <= MAX_REQUEST_WAIT_S
    assert second is not None
    assert zone.store.calls["newest"] == 1


def test_a_store_that_comes_back_older_is_read_from_its_start(zone):
    async def run():
        host = zone.host("restarted")
        zone.writer.record("first", "lm", ORIGIN)
        await asyncio.sleep(MAX_WINDOW_S)
        assert await host.find("first", "lm")
        zone.store.era, zone.store.records = 2, []
        zone.writer.record("second", "lm", ORIGIN)
        await asyncio.sleep(1.0)
        return await host.find("second", "lm"), await host.find("third", "lm")

    found, unknown = zone.run(run())
    assert found.version == "v1"
    assert unknown is None


def test_records_that_cannot_be_read_are_counted_and_the_others_used(zone):
    async def run():
        zone.store.records += [("z/1", b""), ("z/2", None), ("z/3", b"\x01\xff\xff")]
        zone.writer.record("stream", "lm", ORIGIN)
        await asyncio.sleep(MAX_WINDOW_S)
        return await zone.host("restarted").find("stream", "lm")

    assert zone.run(run()).version == "v1"
    assert zone.events == ["record_unreadable"] * 2


def test_a_completed_stream_is_not_written(zone):
    async def run():
        zone.writer.record("stream", "lm", ORIGIN)
        zone.writer.complete("stream", "lm")
        await asyncio.sleep(1.0)

    zone.run(run())
    assert not zone.store.calls

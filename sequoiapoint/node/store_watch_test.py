"""Servers' entries and the configuration after the store has come back older."""

import asyncio
import itertools
import json
import random
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination import replica_refresh
from sequoiapoint.node import store_watch
from sequoiapoint.node.peer_exchange import DIGEST_INTERVAL_S
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.node.topic_exchange import (
    FETCH_TIMEOUT_S,
    LAG_CHECK_INTERVAL_S,
    MAX_CONFIGURATION_LAG_S,
)
from sequoiapoint.platform.store import PlatformStoreCodec
from sequoiapoint.protocol.digests import TopicState
from sequoiapoint.protocol.gateway import ServerState, StoreRecord
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.protocol.positions import era_of, position
from sequoiapoint.state.fleet import Fleet
from standins.virtual.event_loop import VirtualTimeLoop


def entry(count, state="ready", born=5, service="lm"):
    value = {
        "service": service,
        "addr": "10.0.0.1:80",
        "zone": "z",
        "state": state,
        "slots": 8,
        "version": "v1",
        "seq": count,
        "born": born,
    }
    return json.dumps(value).encode()


@pytest.fixture
def watch():
    lines, lags = [], []
    state = SimpleNamespace(
        settings=SimpleNamespace(bounds=Bounds()),
        fleet=Fleet(),
        configuration=SimpleNamespace(services={"lm": None}),
        rng=random.Random(1),
        loads=SimpleNamespace(retain=lambda live: None),
        pools=SimpleNamespace(retain=lambda live: None),
        wait_queue=SimpleNamespace(notify=lambda: None),
        replan_requested=SimpleNamespace(set=lambda: None),
        log=SimpleNamespace(event=lambda *a, **fields: lines.append((a, fields))),
        metrics=SimpleNamespace(event=lambda name: None, leaving_lag=lags.append),
    )
    store = SimpleNamespace(codec=PlatformStoreCodec(), era=1, era_changed_at=-100.0)
    store.note_era = lambda era: setattr(store, "era", max(era, store.era))
    watch = StoreWatch(state, store)
    watch.fleet, watch.lines, watch.lags = state.fleet, lines, lags
    return watch


def replicate(watch, *values, end):
    """Take over the whole topic of servers from another host."""
    era = era_of(end)
    records = tuple(
        StoreRecord(position(era, offset), "s-1", value)
        for offset, value in enumerate(values)
    )
    watch.servers.merge_peer_state(TopicState(records, end, True))


def states(watch):
    return [entry.state for entry in watch.fleet.entries.values()]


@pytest.mark.parametrize(
    ("restored", "expected"),
    [
        (entry(6), ServerState.DRAINING),
        (entry(8), ServerState.READY),
        (entry(1, born=9), ServerState.READY),
        (b"{", ServerState.DRAINING),
    ],
)
def test_a_server_that_leaves_is_not_ready_again_in_an_older_copy(
    watch, restored, expected
):
    replicate(watch, entry(7, "draining"), end=position(1, 1))
    replicate(watch, restored, end=position(2, 1))
    assert states(watch) == [expected]


@pytest.mark.parametrize(
    ("restored", "is_back"),
    [(entry(7), False), (entry(8), True), (entry(1, born=9), True)],
)
def test_a_removed_server_does_not_come_back_with_an_older_copy(
    watch, restored, is_back
):
    replicate(watch, entry(7), end=position(1, 1))
    replicate(watch, end=position(1, 2))
    assert states(watch) == []
    replicate(watch, restored, end=position(2, 1))
    assert bool(states(watch)) is is_back


def test_an_entry_of_another_writer_does_not_hide_the_servers_own(watch):
    foreign = entry(10**9, "draining")
    replicate(watch, foreign, end=position(1, 1))
    replicate(watch, foreign, entry(8), end=position(1, 2))
    assert states(watch) == [ServerState.READY]


def test_a_server_that_is_missing_from_an_older_copy_is_used_for_a_while(watch):
    replicate(watch, entry(7), end=position(1, 1))
    watch._store.era_changed_at = 1e12
    replicate(watch, end=position(2, 0))
    assert states(watch) == [ServerState.READY]


@pytest.mark.parametrize("values", [(entry(7), entry(8, "draining")), ()])
def test_how_late_a_leaving_server_is_known_is_logged_with_its_parts(
    watch, monkeypatch, values
):
    """From the read before the last, which did not have the change, until now."""
    clock = SimpleNamespace(now=10.0)
    monkeypatch.setattr(store_watch, "monotonic_s", lambda: clock.now)
    replicate(watch, entry(7), end=position(1, 1))
    watch.servers.note_announcement(position(1, 1), 0.0, 10.0)
    watch.servers.note_announcement(position(1, 2), 0.1, 10.8)
    clock.now = 11.0
    replicate(watch, *values, end=position(1, 2))
    (_, fields) = watch.lines[-1]
    assert (fields["unread_ms"], fields["relayed_ms"]) == (700, 300)
    assert watch.lags == [pytest.approx(1.0)]


@pytest.mark.parametrize(
    ("returned_at", "kept_until"),
    [(None, 11.4), (11.3, 12.5), (10.2, 11.7), (5.0, 11.4)],
)
def test_a_removed_server_is_kept_only_around_an_outage_of_the_store_itself(
    watch, monkeypatch, returned_at, kept_until
):
    """A host of a reader that had lost the store used a removed server for 2.05 s.

    The removal was acknowledged after 10.5 s at the earliest; this host reads it at
    11.4 s.
    """
    clock = SimpleNamespace(now=11.4)
    monkeypatch.setattr(store_watch, "monotonic_s", lambda: clock.now)
    replicate(watch, entry(7), end=position(1, 1))
    if returned_at is not None:
        for at in (returned_at - 4.0, *(returned_at + n for n in range(6))):
            watch._outage.note_served(at)
    for at in (10.5, 11.3):
        watch.handle_announcement(position(1, 1 + (at > 11)), 0.0, at)
    replicate(watch, end=position(1, 2))

    def is_kept_at(now):
        clock.now = now
        watch._drop_missing()
        return states(watch) == [ServerState.READY]

    assert [is_kept_at(kept_until - 0.01), is_kept_at(kept_until + 0.01)] == [
        kept_until > 11.41,
        False,
    ]


@pytest.mark.parametrize(
    ("odd", "expected"),
    [
        (entry(1, born=9, service="unnamed"), ("lm", 5)),
        (entry(1, born=2**53, service="unnamed"), ("lm", 5)),
        (entry(1, born=2**53), ("lm", 5)),
        (entry(1, born=9, state="odd"), ("lm", 5)),
        (entry(1, born=9).replace(b":80", b":65536"), ("lm", 5)),
        (entry(1, born=10**30), ("lm", 5)),
        (b"[" * 200_000 + b"]" * 200_000, ("lm", 5)),
        # A process that has started again, whose predecessor's write was late.
        (entry(1, born=9), ("lm", 9)),
    ],
    ids=[
        "service",
        "service_far_future",
        "far_future",
        "state",
        "port",
        "number",
        "nested",
        "start",
    ],
)
def test_an_odd_entry_under_a_servers_id_yields_to_the_servers_next_one(
    watch, odd, expected
):
    """A server was out of use for good after another writer had named a later start."""
    for offset, value in enumerate((entry(7), odd, entry(8))):
        record = StoreRecord(position(1, offset), "s-1", value)
        state = TopicState((record,), position(1, offset + 1), True)
        watch.servers.merge_peer_state(state)
    (known,) = watch.fleet.entries.values()
    assert (known.service, known.started_ms) == expected


class SleepyStore:
    """A store whose polls return at the end of their wait, whatever it takes meanwhile.

    :param call_s: The time that a call takes besides its wait, in seconds.
    :ivar poll_times: When each poll for a configuration was sent.
    """

    def __init__(self, loop, call_s=0.004):
        self.loop, self.poll_times, self.is_reachable = loop, [], True
        self._call_s = call_s
        self.codec, self.era, self.era_changed_at = PlatformStoreCodec(), 0, -100.0

    async def newest(self, topic):
        return [], 0

    async def read(self, topic, offset, wait_s, timeout_s):
        if topic == self.codec.configuration_topic():
            self.poll_times.append(self.loop.now)
        await asyncio.sleep(wait_s + self._call_s)
        return []


@pytest.mark.parametrize("apply_s", [2.0, 3.0, 4.0, 16.0])
def test_a_poll_that_the_store_does_not_wake_leaves_time_to_apply_a_configuration(
    watch, monkeypatch, apply_s
):
    """A configuration was in force 2.37 s after its acknowledgement (bound 2 s).

    On its way to a host follows a silent source; or, if the zone's reader has lost the
    store, the next digest, the tolerated lag behind a peer and a check.
    """
    loop = VirtualTimeLoop()
    monkeypatch.setattr(store_watch, "monotonic_s", lambda: loop.now)
    watch._state.settings.bounds = Bounds(configuration_apply_s=apply_s)
    store = SleepyStore(loop)

    async def run():
        reading = StoreWatch(watch._state, store)
        task = asyncio.ensure_future(reading.configuration.run())
        await asyncio.sleep(20.0)
        task.cancel()

    loop.run_until_complete(run())
    loop.close()
    times = store.poll_times
    longest_s = max(b - a for a, b in itertools.pairwise(times))
    way_s = max(
        FETCH_TIMEOUT_S,
        DIGEST_INTERVAL_S + MAX_CONFIGURATION_LAG_S + LAG_CHECK_INTERVAL_S,
    )
    assert longest_s + way_s < apply_s
    assert longest_s < 3.0


@pytest.mark.parametrize("call_s", [0.004, 0.05])
@pytest.mark.parametrize("drain_s", [2.0, 3.0, 8.0])
def test_a_replica_that_the_store_confirms_regularly_is_not_refreshed(
    watch, monkeypatch, drain_s, call_s
):
    """Relays read the store out of turn, and other hosts asked them, in calm operation.

    A read counts from its begin, so that the replica is oldest at the end of the next.
    """
    loop = VirtualTimeLoop()
    monkeypatch.setattr(store_watch, "monotonic_s", lambda: loop.now)
    watch._state.settings.bounds = Bounds(server_drain_s=drain_s)
    fresh_for_s = []

    async def run():
        reading = StoreWatch(watch._state, SleepyStore(loop, call_s)).servers
        task = asyncio.ensure_future(reading.run())
        await asyncio.sleep(10.0)
        for _ in range(2_000):
            age_s = reading.freshness.age_s(loop.now)
            fresh_for_s.append(replica_refresh.fresh_for_s(age_s, drain_s))
            await asyncio.sleep(0.002)
        task.cancel()

    loop.run_until_complete(run())
    loop.close()
    assert min(fresh_for_s) > 0.0

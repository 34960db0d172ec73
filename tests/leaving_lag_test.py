"""How late a host knows that a server leaves, in virtual time.

The host is the standby of its zone.  The zone's reader, another zone's reader, or the
connections to them fail at a moment shortly before the store acknowledges that a server
leaves.  The host itself reaches the store and its other peers all the time, so it must
know of the leaving within the time after which a leaving server gets no new requests,
whichever moment the change is acknowledged at.
"""

import asyncio
import contextlib
import functools
import json
import random
import struct
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination.replica_refresh import MAX_PAUSE_S
from sequoiapoint.node import replica_refresher, store_watch, topic_exchange
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.node.topic_exchange import TopicExchange
from sequoiapoint.platform.store import PlatformStoreCodec
from sequoiapoint.protocol.digests import (
    Digest,
    Member,
    Scope,
    TopicState,
    encode_topic_state,
)
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import ServerState, StoreRecord
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.state.fleet import Fleet
from sequoiapoint.state.peers import Peers
from sequoiapoint.transport import store_client
from sequoiapoint.transport.async_http_client import Response
from sequoiapoint.transport.store_client import StoreClient
from standins.virtual.event_loop import VirtualTimeLoop

STORE = "10.0.0.1:1"
OWN = Member("own", "a", "10.0.0.2:1", 1000)
READER = Member("reader", "a", "10.0.0.3:1", 2000)
OTHERS = (Member("near", "b", "10.0.0.4:1"), Member("far", "c", "10.0.0.5:1"))
FAULT_S = 6.0
"""When the fault begins."""
READ_PERIOD_S = 0.75
"""Interval between the reads of the other hosts: a pause and a long poll."""
DIGEST_INTERVAL_S = 0.5
REPORTED_AFTER_S = {"reader_loses_store": 3.5, "reader_reports_lost_store": 0.5}
"""Time after which a reader that has lost the store reports it: half a second of failed
calls, where a long poll hangs after its timeout."""
NETWORK_S = 0.003
GIVE_UP_S = 10.0


def entry(count, state):
    value = {"service": "lm", "addr": "10.0.1.1:80", "zone": "a", "state": state}
    value |= {"slots": 8, "version": "v1", "seq": count, "born": 5}
    return json.dumps(value).encode()


class World:
    """The store, the other hosts and the network.

    :param fault: The fault, from ``FAULT_S`` on.
    :param leaving: The last record of the server that leaves.
    :param acked_at: When the store acknowledges it.
    """

    def __init__(self, loop, fault, leaving, acked_at):
        self.loop, self.fault, self.calls = loop, fault, []
        servers = [(0.0, "s-1", entry(1, "ready"))]
        servers += [(0.3 * n, "s-2", entry(n, "ready")) for n in range(60)]
        servers.append((acked_at, "s-1", leaving))
        servers.sort(key=lambda item: item[0])
        self.topics = {
            "keyed.servers": servers,
            "keyed.op": [(0.4 * n, "other", b"{}") for n in range(40)],
        }

    @property
    def has_failed(self):
        return self.loop.now >= FAULT_S

    def end(self, topic, at):
        return sum(written <= at for written, _, _ in self.topics[topic])

    def records(self, topic, start, end):
        log = self.topics[topic][:end]
        return [StoreRecord(n, log[n][1], log[n][2]) for n in range(start, end)]

    def read_at(self, member, now):
        """Return the time of a host's last read of the store."""
        if member == READER and self.fault in REPORTED_AFTER_S:
            now = min(now, FAULT_S)
        if self.fault == "store_down":
            now = min(now, FAULT_S)
        phase = 0.1 * len(member.host)
        return (now - phase) // READ_PERIOD_S * READ_PERIOD_S + phase

    def digest(self, member, now):
        read_at = self.read_at(member, now)
        is_reader = member == READER
        return Digest(
            **vars(member),
            started_ms=1,
            configuration_end=self.end("keyed.op", read_at),
            server_end=self.end("keyed.servers", read_at),
            server_age_s=now - read_at,
            is_store_reachable=not is_reader
            or now < FAULT_S + REPORTED_AFTER_S.get(self.fault, 1000.0),
            scope=Scope.FLEET if is_reader else Scope.ZONE,
            members=(OWN, READER) if is_reader else (),
        )

    def is_silent(self, member):
        if not self.has_failed:
            return False
        if self.fault in ("reader_stops", "reader_does_not_answer"):
            return member == READER
        return member == OTHERS[0]

    async def send_digests(self, member, receive):
        """Send a host's digests: periodic ones, and one after each read."""
        sent_read = sent_at = -1.0
        while True:
            now = self.loop.now
            has_stopped = self.fault == "reader_stops" and self.has_failed
            read_at = self.read_at(member, now)
            if read_at > sent_read or now - sent_at >= DIGEST_INTERVAL_S:
                sent_read, sent_at = read_at, now
                if not (has_stopped and member == READER):
                    receive(self.digest(member, now))
            await asyncio.sleep(0.02)

    async def call(self, pool, address, request, timeout_s):
        """Answer a call to the store or to another host."""
        path, _, query = request.target.partition("?")
        self.calls.append((self.loop.now, address, query))
        fields = dict(pair.split("=") for pair in query.split("&"))
        if address == STORE:
            return await self.call_store(path, fields)
        member = next(m for m in (READER, *OTHERS) if m.address == address)
        if self.is_silent(member):
            await asyncio.sleep(timeout_s)
            return Failure(FailureKind.UNKNOWN, "timed_out", path, address)
        await asyncio.sleep(NETWORK_S)
        topic = path.rpartition("/")[2]
        end = self.end(topic, self.read_at(member, self.loop.now))
        start = int(fields["from"])
        newest = {record.key: record for record in self.records(topic, 0, end)}
        records = tuple(r for r in newest.values() if r.offset >= start)
        state = TopicState(records, end, is_complete=start < 0)
        return Response(200, [], encode_topic_state(state))

    async def call_store(self, path, fields):
        if self.fault == "store_down" and self.has_failed:
            await asyncio.sleep(NETWORK_S)
            return Failure(FailureKind.UNKNOWN, "reset", path, STORE)
        topic, start = fields["topic"], int(fields.get("from", 0))
        until = self.loop.now + int(fields.get("wait-ms", 0)) / 1000
        while self.end(topic, self.loop.now) <= start and self.loop.now < until:
            await asyncio.sleep(0.01)
        await asyncio.sleep(NETWORK_S)
        end = self.end(topic, self.loop.now)
        if path.endswith("newest"):
            body = {"items": [], "has-more": False, "end": 0}
            return Response(200, [], json.dumps(body).encode())
        body = struct.pack(">QQ", end, 0)
        for record in self.records(topic, start, end):
            key = record.key.encode()
            content = bytes([len(key)]) + key + (record.value or b"")
            body += struct.pack(">I", len(content)) + content
        return Response(200, [], body)


async def _known_after_s(world, acked_at):
    """Return how long after the acknowledgement the host uses the server no more."""
    log = SimpleNamespace(event=lambda *a, **fields: None)
    metrics = SimpleNamespace(event=lambda *a: None, leaving_lag=lambda seconds: None)
    state = SimpleNamespace(
        settings=SimpleNamespace(
            host=OWN.host, zone=OWN.zone, peer_address=OWN.address, bounds=Bounds()
        ),
        fleet=Fleet(),
        configuration=None,
        rng=random.Random(1),
        loads=SimpleNamespace(retain=lambda live: None),
        pools=SimpleNamespace(retain=lambda live: None),
        wait_queue=SimpleNamespace(notify=lambda: None),
        replan_requested=SimpleNamespace(set=lambda: None),
        log=log,
        metrics=metrics,
        set_configuration=lambda configuration: False,
    )
    store = StoreClient(STORE, PlatformStoreCodec(), metrics, log)
    watch = StoreWatch(state, store)
    peers = Peers(OWN)
    exchange = TopicExchange(state, store, watch, peers)

    def receive(digest):
        peers.merge(digest, world.loop.now)
        exchange.handle_digest(digest)

    runs = [watch.run(), exchange.run()]
    runs += [world.send_digests(m, receive) for m in (READER, *OTHERS)]
    tasks = [asyncio.ensure_future(run) for run in runs]
    try:
        await asyncio.sleep(acked_at - world.loop.now)
        assert any(
            e.server == "s-1" and e.state is ServerState.READY
            for e in state.fleet.entries.values()
        )
        async with asyncio.timeout(GIVE_UP_S):
            while any(e.server == "s-1" for e in state.fleet.ready_servers("lm")):
                await asyncio.sleep(0.01)
        return world.loop.now - acked_at
    finally:
        assert not [task.exception() for task in tasks if task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def known_after_s(monkeypatch, fault, leaving, acked_at):
    loop = VirtualTimeLoop()
    return _play(monkeypatch, World(loop, fault, leaving, acked_at), acked_at)


def _play(monkeypatch, world, acked_at):
    loop = world.loop
    for module in (replica_refresher, store_watch, topic_exchange, store_client):
        monkeypatch.setattr(module, "monotonic_s", loop.time)
    for module in (topic_exchange, store_client):
        monkeypatch.setattr(module, "call", world.call)
    try:
        return loop.run_until_complete(_known_after_s(world, acked_at))
    finally:
        loop.close()


@pytest.mark.parametrize("leaving", ["announced", "removed"])
@pytest.mark.parametrize(
    "fault",
    [
        "none",
        "reader_loses_store",
        "reader_reports_lost_store",
        "reader_stops",
        "reader_does_not_answer",
    ],
)
def test_a_leaving_server_gets_no_requests_while_the_zones_reader_fails(
    monkeypatch, fault, leaving
):
    """A request reached an engine 2,059 ms after its leaving was acknowledged."""
    value = entry(9, "draining") if leaving == "announced" else None
    lag = functools.partial(known_after_s, monkeypatch, fault, value)
    lags = {round(0.15 * n, 2): lag(FAULT_S - 0.3 + 0.15 * n) for n in range(16)}
    assert max(lags.values()) < Bounds().server_drain_s


def test_a_host_makes_few_calls_while_the_store_is_down(monkeypatch):
    """All hosts of a zone have a replica that is too old, and no host a newer one."""
    world = World(VirtualTimeLoop(), "store_down", entry(9, "draining"), FAULT_S + 10.0)
    with contextlib.suppress(TimeoutError):
        _play(monkeypatch, world, FAULT_S + 10.0)
    refreshes = [
        at
        for at, address, query in world.calls
        if address != STORE and "hold=0" in query and at > FAULT_S
    ]
    assert 0 < len(refreshes) <= 2 * (10.0 / MAX_PAUSE_S + 6)

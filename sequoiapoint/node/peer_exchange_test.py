"""Digests among many hosts, on a network and a clock of the test's own."""

import random
from collections import Counter
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination.quarantine import Quarantine
from sequoiapoint.node import peer_exchange, topic_exchange
from sequoiapoint.node.peer_exchange import DIGEST_INTERVAL_S, PeerExchange
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.gateway import ServerEntry, ServerState
from sequoiapoint.state.demand import LocalDemand
from sequoiapoint.state.fleet import Fleet
from sequoiapoint.state.keyed_topic import KeyedTopic
from sequoiapoint.state.peers import LIVENESS_TIMEOUT_S, RELAY_FAILOVER_S
from sequoiapoint.state.server_load import ServerLoads

SERVER = ("s-1", 1)
STEP_S = 0.05
"""Time between looks at which hosts' digests are due."""


class _Host:
    """One host's exchange, with what it needs of the process."""

    def __init__(self, net, name, zone):
        self.address = f"10.0.{len(net.hosts)}.1:7"
        settings = SimpleNamespace(host=name, zone=zone, peer_address=self.address)
        self.state = SimpleNamespace(
            settings=settings,
            started_ms=1,
            is_draining=False,
            loads=ServerLoads(),
            fleet=Fleet(),
            demand=LocalDemand(),
            quarantine=Quarantine(3),
            wait_queue=SimpleNamespace(notify=lambda: None),
            replan_requested=SimpleNamespace(set=lambda: None),
            host_count=1,
            log=SimpleNamespace(event=lambda *a, **f: None),
            metrics=SimpleNamespace(event=lambda *a: None),
        )
        topics = [SimpleNamespace(topic=n, content=KeyedTopic()) for n in ("c", "s")]
        watch = SimpleNamespace(
            configuration=topics[0],
            servers=topics[1],
            is_delegated=None,
            on_advance=None,
            note_store_lost=lambda now: None,
        )
        store = SimpleNamespace(is_reachable=True)
        self.zone = zone
        self.exchange = PeerExchange(self.state, store, watch)
        self.exchange._sender.transport = SimpleNamespace(
            sendto=lambda data, to: net.sent.append((self, to, data))
        )
        self.due_at = net.rng.uniform(0.0, DIGEST_INTERVAL_S)

    def entry(self):
        return ServerEntry(
            SERVER[0], "lm", "10.1.0.1:9", "z0", ServerState.READY, SERVER[1], 8
        )

    def run(self, requests):
        load = self.state.loads.get_or_create(SERVER)
        for number in range(requests):
            load.note_sent(number, 0.0)

    def tick(self, now):
        exchange = self.exchange
        self.state.host_count = exchange.peers.record_host_count(now)
        exchange._send_counts(now)
        exchange.placement.broadcast_holdings(now)
        exchange.placement.send_demand(now)


class _Network:
    """Hosts in zones that have read of each other in the store."""

    def __init__(self, monkeypatch, zones, hosts_in_zone):
        self.rng = random.Random(7)
        self.now = 100.0
        self.hosts, self.sent, self.down = [], [], set()
        self.received = Counter()
        self.crossed_bytes = 0
        self.cut_zones = set()
        for module in (peer_exchange, topic_exchange):
            monkeypatch.setattr(module, "monotonic_s", lambda: self.now)
        for number in range(zones * hosts_in_zone):
            self.hosts.append(_Host(self, f"h-{number}", f"z{number % zones}"))
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    member = Member(
                        other.state.settings.host, other.zone, other.address
                    )
                    host.exchange.peers.add(member, self.now)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for host in self.hosts:
                if host.due_at <= self.now - 100.0 and host not in self.down:
                    host.due_at += DIGEST_INTERVAL_S
                    host.tick(self.now)
            self.flush()

    def flush(self):
        by_address = {h.address: h for h in self.hosts}
        while self.sent:
            batch, self.sent = self.sent, []
            for sender, to, data in batch:
                self._deliver(sender, by_address["{}:{}".format(*to)], data)

    def _deliver(self, sender, receiver, data):
        if receiver in self.down or sender in self.down:
            return
        if sender.zone != receiver.zone:
            if {sender.zone, receiver.zone} & self.cut_zones:
                return
            self.crossed_bytes += len(data)
        self.received[receiver] += 1
        host, _, port = sender.address.rpartition(":")
        receiver.exchange.handle_datagram(data, (host, int(port)))

    def summing(self):
        return [
            host
            for host in self.hosts
            if host not in self.down and host.exchange.peers.is_aggregator(self.now)
        ]

    def live(self):
        return [host for host in self.hosts if host not in self.down]


@pytest.mark.parametrize(("zones", "hosts_in_zone"), [(1, 1), (3, 1), (4, 2), (4, 21)])
def test_every_host_knows_how_many_there_are_and_what_all_send(
    monkeypatch, zones, hosts_in_zone
):
    net = _Network(monkeypatch, zones, hosts_in_zone)
    for host in net.hosts:
        host.run(2)
    net.run(4.0)
    assert sorted(h.zone for h in net.summing()) == [f"z{n}" for n in range(zones)]
    total = len(net.hosts)
    for host in net.hosts:
        assert host.state.host_count == total
        assert host.state.loads.get_or_create(SERVER).running(net.now) == 2 * total


def test_what_a_host_takes_in_does_not_grow_with_the_other_zones(monkeypatch):
    """Replays the target's growth by zones, with hosts that sum up and others."""
    busiest, usual = [], []
    for zones in (2, 8):
        net = _Network(monkeypatch, zones, 6)
        net.run(4.0)
        net.received.clear()
        net.run(4.0)
        rates = sorted(n / 4.0 for n in net.received.values())
        usual.append(rates[len(rates) // 2])
        busiest.append(rates[-1])
    assert usual[1] <= usual[0] + 1
    assert busiest[1] <= busiest[0] + 1 + (8 - 2) / DIGEST_INTERVAL_S


def test_another_host_sums_up_soon_when_the_one_that_did_is_gone(monkeypatch):
    net = _Network(monkeypatch, 3, 5)
    for host in net.hosts:
        host.run(1)
    net.run(4.0)
    before = next(h for h in net.summing() if h.zone == "z0")
    net.down.add(before)
    net.run(RELAY_FAILOVER_S + 2 * DIGEST_INTERVAL_S)
    assert sorted(h.zone for h in net.summing()) == ["z0", "z1", "z2"]
    net.run(2 * LIVENESS_TIMEOUT_S)
    assert {h.state.host_count for h in net.live()} == {14}
    running = {h.state.loads.get_or_create(SERVER).running(net.now) for h in net.live()}
    assert running == {14}
    net.down.remove(before)
    net.run(2 * LIVENESS_TIMEOUT_S)
    assert {h.state.host_count for h in net.live()} == {15}
    assert len(net.summing()) == 3


def test_all_relays_of_a_zone_may_go_at_once(monkeypatch):
    net = _Network(monkeypatch, 2, 6)
    net.run(4.0)
    zone = [h for h in net.hosts if h.zone == "z0"]
    relays = {m.host for m in zone[0].exchange.peers.own_relays(net.now)}
    net.down |= {h for h in zone if h.state.settings.host in relays}
    net.run(4 * LIVENESS_TIMEOUT_S)
    assert sorted(h.zone for h in net.summing()) == ["z0", "z1"]
    assert {h.state.host_count for h in net.live()} == {10}


def test_zones_that_were_cut_off_find_each_other_again(monkeypatch):
    net = _Network(monkeypatch, 3, 4)
    net.run(4.0)
    net.cut_zones = {"z1"}
    net.run(30.0)
    assert {h.state.host_count for h in net.hosts if h.zone == "z1"} == {4}
    assert {h.exchange.peers.recent_max_host_count() for h in net.hosts} == {12}
    net.cut_zones = set()
    net.run(2 * LIVENESS_TIMEOUT_S)
    assert {h.state.host_count for h in net.hosts} == {12}


def test_what_engines_hold_reaches_every_host_and_demand_the_holder(monkeypatch):
    net = _Network(monkeypatch, 4, 6)
    net.run(4.0)
    holder = net.hosts[9]
    for host in net.hosts:
        host.state.fleet.put(host.entry())
        host.state.demand.adjust(("lm", "oak", ""), running=1)
    holder.exchange.placement.fence = 5
    holder.state.fleet.set_held(SERVER, {"oak": {"a1"}})
    net.run(2.0)
    for host in net.hosts:
        assert host.state.fleet.holds(host.entry(), "oak", "a1", net.now)
        if host is not holder:
            assert host.exchange.placement.has_other_leader(net.now, 1.0)
    (demand,) = holder.exchange.placement.cluster_demand.total(net.now)
    assert demand.running == 24
    holder.exchange.placement.fence = 0
    net.run(1.0)
    heard = [h.exchange.peers.leader(net.now) for h in net.hosts]
    assert heard == [None] * 24


def test_a_suspicion_reaches_every_host(monkeypatch):
    net = _Network(monkeypatch, 4, 6)
    net.run(4.0)
    for death in ("a", "b", "c"):
        net.hosts[3].state.quarantine.record_crash("f", death, net.now)
    net.run(2.0)
    for host in net.hosts:
        assert host.state.quarantine.is_quarantined("f", net.now)


def test_hosts_are_told_at_once_of_the_adapters_that_they_wait_for(monkeypatch):
    """Replays adapters that change many times a second among many hosts."""
    net = _Network(monkeypatch, 4, 6)
    net.run(4.0)
    holder, waiter = net.hosts[9], net.hosts[5]
    for host in net.hosts:
        host.state.fleet.put(host.entry())
    holder.exchange.placement.fence = 5
    holder.state.fleet.set_held(SERVER, {"oak": {"a1"}})
    net.run(3.0)
    net.received.clear()
    waiter.state.demand.adjust(("lm", "oak", "a1"), waiting=1)
    waiter.state.fleet.set_held(SERVER, {"oak": set()})
    waiter.exchange.placement.send_demand(net.now)
    net.flush()
    assert waiter.state.fleet.holds(waiter.entry(), "oak", "a1", net.now)
    assert net.received == {holder: 1, waiter: 1}

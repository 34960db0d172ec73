"""Exchange of digests between many hosts on a simulated network and clock."""

import random
from collections import Counter
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination.fan_out import BYTES_PER_MBIT
from sequoiapoint.coordination.prompt_quarantine import PromptQuarantine
from sequoiapoint.coordination.quarantine import Quarantine
from sequoiapoint.node import digest_sender, peer_exchange, topic_exchange
from sequoiapoint.node.peer_exchange import DIGEST_INTERVAL_S, PeerExchange
from sequoiapoint.protocol.gateway import ServerEntry, ServerState
from sequoiapoint.state.demand import LocalDemand
from sequoiapoint.state.fleet import Fleet
from sequoiapoint.state.keyed_topic import KeyedTopic
from sequoiapoint.state.peers import LIVENESS_TIMEOUT_S, RELAY_FAILOVER_S
from sequoiapoint.state.server_load import ServerLoads
from sequoiapoint.state.topic_freshness import TopicFreshness

SERVER = ("s-1", 1)
LINK_QUEUE_S = 0.1
"""Time for which a host's link can hold datagrams before it drops more."""
STEP_S = 0.05
"""Time step of the simulation, in which the hosts with due digests send them."""


class _Host:
    """One host's exchange, with test doubles for the rest of the process."""

    def __init__(self, network, name, zone):
        self.address = f"10.0.{len(network.hosts)}.1:7"
        settings = SimpleNamespace(
            host=name,
            zone=zone,
            peer_address=self.address,
            link_mbps=network.link_mbps,
            cpu_share=0.5,
            cpu_speed=1.0 + (len(network.hosts) % 7 == 0),
        )
        self.state = SimpleNamespace(
            settings=settings,
            started_ms=1,
            rng=random.Random(3),
            is_draining=False,
            loads=ServerLoads(),
            fleet=Fleet(),
            demand=LocalDemand(),
            quarantine=Quarantine(3),
            prompt_quarantine=PromptQuarantine(),
            apply_rejected_parts=lambda source: None,
            wait_queue=SimpleNamespace(notify=lambda: None),
            replan_requested=SimpleNamespace(set=lambda: None),
            host_count=1,
            recent_max_host_count=1,
            log=SimpleNamespace(event=self._log),
            metrics=SimpleNamespace(event=lambda *a: None),
            note_server_leaving=lambda entry, source, now: (
                self.state.fleet.note_leaving(entry.incarnation, now)
            ),
        )
        topics = [
            SimpleNamespace(
                topic=name,
                content=KeyedTopic(),
                freshness=TopicFreshness(),
            )
            for name in ("c", "s")
        ]
        watch = SimpleNamespace(
            configuration=topics[0],
            servers=topics[1],
            reads_via_relay=None,
            on_advance=None,
            handle_announcement=lambda *a: None,
        )
        store = SimpleNamespace(is_reachable=True, era=0, on_era_change=[])
        self.zone = zone
        self.exchange = PeerExchange(self.state, store, watch)
        self.exchange._sender.transport = SimpleNamespace(
            sendto=lambda data, to: network.send(self, to, data)
        )
        self.link_free_at = 0.0
        self.followed_aggregators = []
        self.next_digest_at = network.rng.uniform(0.0, DIGEST_INTERVAL_S)

    def _log(self, event, *outcome, **fields):
        if event == "aggregator":
            self.followed_aggregators.append(fields["followed"])

    def entry(self):
        return ServerEntry(
            SERVER[0], "lm", "10.1.0.1:9", "z0", ServerState.READY, SERVER[1], 8
        )

    def run(self, requests):
        load = self.state.loads.get_or_create(SERVER)
        for number in range(requests):
            load.note_sent(number, 0.0)

    def send_digests(self, now):
        exchange = self.exchange
        self.state.host_count = exchange.peers.record_host_count(now)
        exchange._send_counts(now)
        exchange.placement.broadcast_holdings(now)
        exchange.placement.send_demand(now)


class _Network:
    """Hosts in zones, each of which knows the others' addresses from the store."""

    def __init__(self, monkeypatch, zones, hosts_in_zone, link_mbps=20.0):
        self.link_mbps = link_mbps
        self.rng = random.Random(7)
        self.now = 100.0
        self.hosts, self.sent, self.stopped_hosts = [], [], set()
        self.received = Counter()
        self.lost = 0
        self.cross_zone_bytes = 0
        self.isolated_zones = set()
        for module in (peer_exchange, topic_exchange, digest_sender):
            monkeypatch.setattr(module, "monotonic_s", lambda: self.now)
        for number in range(zones * hosts_in_zone):
            self.hosts.append(_Host(self, f"h-{number}", f"z{number % zones}"))
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    member = other.exchange._sender.local_member
                    host.exchange.peers.add(member, self.now)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for host in self.hosts:
                if (
                    host.next_digest_at <= self.now - 100.0
                    and host not in self.stopped_hosts
                ):
                    host.next_digest_at += DIGEST_INTERVAL_S
                    host.send_digests(self.now)
                host.exchange._sender.flush()
            self.deliver_pending()

    def send(self, sender, to, data):
        """Put a datagram on the sender's link, unless the link's queue is full."""
        start = max(self.now, sender.link_free_at)
        if start - self.now > LINK_QUEUE_S:
            self.lost += 1
            return
        link_bytes_per_s = self.link_mbps * BYTES_PER_MBIT
        sender.link_free_at = start + len(data) / link_bytes_per_s
        self.sent.append((sender, to, data))

    def deliver_pending(self):
        by_address = {h.address: h for h in self.hosts}
        while self.sent:
            batch, self.sent = self.sent, []
            for sender, to, data in batch:
                self._deliver(sender, by_address["{}:{}".format(*to)], data)

    def _deliver(self, sender, receiver, data):
        if receiver in self.stopped_hosts or sender in self.stopped_hosts:
            return
        if sender.zone != receiver.zone:
            if {sender.zone, receiver.zone} & self.isolated_zones:
                return
            self.cross_zone_bytes += len(data)
        self.received[receiver] += 1
        host, _, port = sender.address.rpartition(":")
        receiver.exchange.handle_datagram(data, (host, int(port)))

    def aggregators(self):
        return [
            host
            for host in self.hosts
            if host not in self.stopped_hosts
            and host.exchange.peers.is_aggregator(self.now)
        ]

    def live(self):
        return [host for host in self.hosts if host not in self.stopped_hosts]


@pytest.mark.parametrize(("zones", "hosts_in_zone"), [(1, 1), (3, 1), (4, 2), (4, 21)])
def test_every_host_learns_the_host_count_and_the_total_of_running_requests(
    monkeypatch, zones, hosts_in_zone
):
    network = _Network(monkeypatch, zones, hosts_in_zone)
    for host in network.hosts:
        host.run(2)
    network.run(4.0)
    assert sorted(h.zone for h in network.aggregators()) == [
        f"z{n}" for n in range(zones)
    ]
    total = len(network.hosts)
    for host in network.hosts:
        assert host.state.host_count == total
        assert host.state.loads.get_or_create(SERVER).running(network.now) == 2 * total


def test_the_digests_a_host_receives_do_not_grow_with_the_number_of_zones(monkeypatch):
    """Guards against traffic that grows as zones are added.

    Only an aggregator may receive more: one digest per interval for each added zone.
    """
    max_rates, median_rates = [], []
    for zones in (2, 8):
        network = _Network(monkeypatch, zones, 6)
        network.run(4.0)
        network.received.clear()
        network.run(4.0)
        rates = sorted(n / 4.0 for n in network.received.values())
        median_rates.append(rates[len(rates) // 2])
        max_rates.append(rates[-1])
    assert median_rates[1] <= median_rates[0] + 1
    assert max_rates[1] <= max_rates[0] + 1 + (8 - 2) / DIGEST_INTERVAL_S


def test_another_host_becomes_the_aggregator_soon_after_one_fails(monkeypatch):
    network = _Network(monkeypatch, 3, 5)
    for host in network.hosts:
        host.run(1)
    network.run(4.0)
    failed = next(h for h in network.aggregators() if h.zone == "z0")
    network.stopped_hosts.add(failed)
    network.run(RELAY_FAILOVER_S + 2 * DIGEST_INTERVAL_S)
    assert sorted(h.zone for h in network.aggregators()) == ["z0", "z1", "z2"]
    network.run(2 * LIVENESS_TIMEOUT_S)
    assert {h.state.host_count for h in network.live()} == {14}
    running = {
        h.state.loads.get_or_create(SERVER).running(network.now) for h in network.live()
    }
    assert running == {14}
    network.stopped_hosts.remove(failed)
    network.run(2 * LIVENESS_TIMEOUT_S)
    assert {h.state.host_count for h in network.live()} == {15}
    assert len(network.aggregators()) == 3


@pytest.mark.parametrize(
    ("zones", "hosts_in_zone", "link_mbps"), [(4, 21, 5.0), (6, 32, 20.0)]
)
def test_hosts_on_slow_links_keep_following_one_aggregator(
    monkeypatch, zones, hosts_in_zone, link_mbps
):
    """Replays the link load of the grown and the large deployment.

    The first relay of a zone is silent for 1.2 s once.  Hosts may follow its standby
    meanwhile, and nothing else.
    """
    network = _Network(monkeypatch, zones, hosts_in_zone, link_mbps)
    servers = [(f"i-{n:08x}", 1764800000000 + n) for n in range(99)]
    for host in network.hosts:
        for server in servers:
            host.state.loads.get_or_create(server).note_sent(0, 0.0)
    network.run(5.0)
    assert len(network.aggregators()) == zones
    for host in network.hosts:
        host.followed_aggregators.clear()
    silent = next(h for h in network.aggregators() if h.zone == "z0")
    network.stopped_hosts.add(silent)
    network.run(RELAY_FAILOVER_S)
    network.stopped_hosts.remove(silent)
    network.run(10.0)
    assert network.lost == 0
    for host in network.hosts:
        assert len(host.followed_aggregators) <= (2 if host.zone == "z0" else 0)
    assert {h.state.host_count for h in network.hosts} == {len(network.hosts)}


def test_a_zone_recovers_when_all_its_relays_fail_at_once(monkeypatch):
    network = _Network(monkeypatch, 2, 6)
    network.run(4.0)
    zone = [h for h in network.hosts if h.zone == "z0"]
    relays = {m.host for m in zone[0].exchange.peers.own_relays(network.now)}
    network.stopped_hosts |= {h for h in zone if h.state.settings.host in relays}
    network.run(4 * LIVENESS_TIMEOUT_S)
    assert sorted(h.zone for h in network.aggregators()) == ["z0", "z1"]
    assert {h.state.host_count for h in network.live()} == {10}


def test_zones_find_each_other_again_after_a_network_partition(monkeypatch):
    network = _Network(monkeypatch, 3, 4)
    network.run(4.0)
    network.isolated_zones = {"z1"}
    network.run(30.0)
    assert {h.state.host_count for h in network.hosts if h.zone == "z1"} == {4}
    assert {h.exchange.peers.recent_max_host_count() for h in network.hosts} == {12}
    network.isolated_zones = set()
    network.run(2 * LIVENESS_TIMEOUT_S)
    assert {h.state.host_count for h in network.hosts} == {12}


def test_holdings_reach_every_host_and_demand_reaches_the_leader(monkeypatch):
    network = _Network(monkeypatch, 4, 6)
    network.run(4.0)
    leader = network.hosts[9]
    for host in network.hosts:
        host.state.fleet.put(host.entry())
        host.state.demand.adjust(("lm", "oak", ""), 0.0, running=1)
    leader.exchange.placement.fence = 5
    leader.state.fleet.set_held(SERVER, {"oak": {"a1"}})
    network.run(2.0)
    for host in network.hosts:
        assert host.state.fleet.holds(host.entry(), "oak", "a1", network.now)
        if host is not leader:
            assert host.exchange.placement.has_other_leader(network.now, 1.0)
    (demand,) = leader.exchange.placement.cluster_demand.total(network.now)
    assert demand.running == 24
    leader.exchange.placement.fence = 0
    network.run(1.0)
    known_leaders = [h.exchange.peers.leader(network.now) for h in network.hosts]
    assert known_leaders == [None] * 24


def test_a_suspected_request_becomes_known_to_every_host(monkeypatch):
    network = _Network(monkeypatch, 4, 6)
    network.run(4.0)
    for crash in ("a", "b", "c"):
        network.hosts[3].state.quarantine.record_crash("f", crash, network.now)
    network.run(2.0)
    for host in network.hosts:
        assert host.state.quarantine.is_quarantined("f", network.now)


@pytest.mark.parametrize("size", [(4, 2), (4, 21)])
def test_a_part_of_prompts_that_crashes_engines_is_rejected_by_every_host(
    monkeypatch, size
):
    """Each host sees one crash; no host has seen the others."""
    network = _Network(monkeypatch, *size)
    network.run(4.0)
    for process in range(3):
        state = network.hosts[process].state
        state.prompt_quarantine.record_crash(["deadly"], process, network.now)
        state.prompt_quarantine_changed()
    network.run(1.5)
    assert {h.state.prompt_quarantine.rejected for h in network.hosts} == {
        frozenset({"deadly"})
    }
    network.hosts[-1].state.prompt_quarantine.clear(["deadly"], network.now)
    network.run(2.0)
    assert not any(h.state.prompt_quarantine.rejected for h in network.hosts)


def test_holdings_are_sent_at_once_to_a_host_whose_requests_wait(monkeypatch):
    """Guards against broadcasts of adapter changes, which occur many times a second.

    Only the leader and the host with the waiting request exchange a digest.
    """
    network = _Network(monkeypatch, 4, 6)
    network.run(4.0)
    leader, waiting_host = network.hosts[9], network.hosts[5]
    for host in network.hosts:
        host.state.fleet.put(host.entry())
    leader.exchange.placement.fence = 5
    leader.state.fleet.set_held(SERVER, {"oak": {"a1"}})
    network.run(3.0)
    network.received.clear()
    waiting_host.state.demand.adjust(("lm", "oak", "a1"), network.now, waiting=1)
    waiting_host.state.fleet.set_held(SERVER, {"oak": set()})
    waiting_host.exchange.placement.send_demand(network.now)
    network.deliver_pending()
    assert waiting_host.state.fleet.holds(
        waiting_host.entry(), "oak", "a1", network.now
    )
    assert network.received == {leader: 1, waiting_host: 1}


def test_a_server_that_leaves_becomes_known_to_every_host(monkeypatch):
    """The first host that hears it in a response tells the others."""
    network = _Network(monkeypatch, 3, 4)
    for host in network.hosts:
        host.state.fleet.put(host.entry())
    network.run(1.5)
    network.hosts[5].state.fleet.note_leaving(SERVER, network.now)
    network.run(2.0)
    assert not any(h.state.fleet.is_staying(h.entry()) for h in network.hosts)

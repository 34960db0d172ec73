"""Digests between many hosts on a simulated network and clock."""

import pytest

from sequoiapoint.node.peer_exchange import DIGEST_INTERVAL_S
from sequoiapoint.protocol import (
    allowances,
    configuration_age,
    origins,
    permits,
    slots,
)
from sequoiapoint.state.peers import LIVENESS_TIMEOUT_S, RELAY_FAILOVER_S
from standins.virtual.host_network import SERVER, HostNetwork


@pytest.mark.parametrize(("zones", "hosts_in_zone"), [(1, 1), (3, 1), (4, 2), (4, 21)])
def test_every_host_learns_the_host_count_and_the_total_of_running_requests(
    monkeypatch, zones, hosts_in_zone
):
    network = HostNetwork(monkeypatch, zones, hosts_in_zone)
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
        network = HostNetwork(monkeypatch, zones, 6)
        network.run(4.0)
        network.received.clear()
        network.run(4.0)
        rates = sorted(n / 4.0 for n in network.received.values())
        median_rates.append(rates[len(rates) // 2])
        max_rates.append(rates[-1])
    assert median_rates[1] <= median_rates[0] + 1
    assert max_rates[1] <= max_rates[0] + 1 + (8 - 2) / DIGEST_INTERVAL_S


def test_another_host_becomes_the_aggregator_soon_after_one_fails(monkeypatch):
    network = HostNetwork(monkeypatch, 3, 5)
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
    network = HostNetwork(monkeypatch, zones, hosts_in_zone, link_mbps)
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
    network = HostNetwork(monkeypatch, 2, 6)
    network.run(4.0)
    zone = [h for h in network.hosts if h.zone == "z0"]
    relays = {m.host for m in zone[0].exchange.peers.own_relays(network.now)}
    network.stopped_hosts |= {h for h in zone if h.state.settings.host in relays}
    network.run(4 * LIVENESS_TIMEOUT_S)
    assert sorted(h.zone for h in network.aggregators()) == ["z0", "z1"]
    assert {h.state.host_count for h in network.live()} == {10}


def test_zones_find_each_other_again_after_a_network_partition(monkeypatch):
    network = HostNetwork(monkeypatch, 3, 4)
    network.run(4.0)
    network.isolated_zones = {"z1"}
    network.run(30.0)
    assert {h.state.host_count for h in network.hosts if h.zone == "z1"} == {4}
    assert {h.exchange.peers.recent_max_host_count() for h in network.hosts} == {12}
    network.isolated_zones = set()
    network.run(2 * LIVENESS_TIMEOUT_S)
    assert {h.state.host_count for h in network.hosts} == {12}


def test_holdings_reach_every_host_and_demand_reaches_the_leader(monkeypatch):
    network = HostNetwork(monkeypatch, 4, 6)
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
    network = HostNetwork(monkeypatch, 4, 6)
    network.run(4.0)
    for crash in ("a", "b", "c"):
        network.hosts[3].state.quarantine.record_crash("f", crash, network.now)
    network.run(2.0)
    for host in network.hosts:
        assert host.state.quarantine.is_quarantined("f", network.now)


def test_hosts_wake_their_waiting_requests_once_when_one_is_quarantined(monkeypatch):
    """Copies of a harmful request waited until their deadlines at the other hosts."""
    network = HostNetwork(monkeypatch, 2, 3)
    network.run(4.0)
    woken = []
    for host in network.hosts[1:]:
        host.state.wait_queue.notify = lambda host=host: woken.append(host)
    for crash in ("a", "b", "c"):
        network.hosts[0].state.quarantine.record_crash("f", crash, network.now)
    network.run(3.0)
    assert len(woken) == len(set(woken)) == len(network.hosts) - 1


@pytest.mark.parametrize("answering_host", [0, 23])
def test_a_suspected_request_that_is_answered_is_cleared_at_every_host(
    monkeypatch, answering_host
):
    """A page that was in flight on a rack as it crashed was answered 403 everywhere."""
    network = HostNetwork(monkeypatch, 4, 6)
    network.run(4.0)
    for crash in ("a", "b", "c"):
        network.hosts[3].state.quarantine.record_crash("f", crash, network.now, 0.0)
    network.run(2.0)
    for host in network.hosts:
        assert host.state.quarantine.needs_probe("f", network.now)
    network.hosts[answering_host].state.quarantine.clear("f", network.now)
    network.run(2.0)
    for host in network.hosts:
        assert not host.state.quarantine.is_suspect("f", network.now)


@pytest.mark.parametrize("size", [(4, 2), (4, 21)])
def test_a_part_of_prompts_that_crashes_engines_is_rejected_by_every_host(
    monkeypatch, size
):
    """Each host sees one crash; no host has seen the others."""
    network = HostNetwork(monkeypatch, *size)
    network.run(4.0)
    for process in range(3):
        state = network.hosts[process].state
        state.prompt_quarantine.record_crash(["deadly"], process, network.now)
        state.shared_state_changed()
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
    network = HostNetwork(monkeypatch, 4, 6)
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
    network = HostNetwork(monkeypatch, 3, 4)
    for host in network.hosts:
        host.state.fleet.put(host.entry())
    network.run(1.5)
    network.hosts[5].state.fleet.note_leaving(SERVER, network.now)
    network.run(2.0)
    assert not any(h.state.fleet.is_staying(h.entry()) for h in network.hosts)


def test_a_standby_learns_of_each_read_of_the_store_at_once(monkeypatch):
    """Standbys read the store as well, as they learned of reads a digest later."""
    network = HostNetwork(monkeypatch, 2, 5)
    network.run(4.0)
    aggregator = next(h for h in network.aggregators() if h.zone == "z0")
    standby = aggregator.exchange.peers.own_relays(network.now)[1].host
    aggregator.watch.servers.freshness.note_read(network.now)
    told = []
    for host in network.hosts:
        host.watch.handle_announcement = lambda end, age_s, now, host=host: told.append(
            (host.state.settings.host, age_s)
        )
    members = aggregator.exchange.peers.zone_host_names(network.now)
    for host in network.hosts:
        host.watch.on_unchanged()
    network.deliver_pending()
    assert told == [(standby, 0.0)]
    for host in network.hosts:
        if host.zone == "z0":
            assert host.exchange.peers.zone_host_names(network.now) == members
            assert host.exchange.peers.aggregator_host in (
                aggregator.state.settings.host,
                "",
            )
            assert host.exchange.peers.host_count(network.now) == 10


@pytest.mark.parametrize("held_s", [0.6, 4.0, 6.0])
def test_what_late_digests_announce_is_as_old_as_they_are(monkeypatch, held_s):
    """Guards against a stream that goes on at another version than it began at.

    Digests that had waited in the socket of a suspended host made its old list of
    servers look complete, as if no server of another version had joined.
    """
    network = HostNetwork(monkeypatch, 2, 4)
    network.run(4.0)
    host, held, told = network.hosts[-1], [], []
    deliver = network._deliver

    def hold(sender, receiver, data):
        if receiver is host:
            held.append((network.now, sender, data))
        else:
            deliver(sender, receiver, data)

    monkeypatch.setattr(network, "_deliver", hold)
    host.watch.handle_announcement = lambda end, age_s, now: told.append(now - age_s)
    for other in network.hosts:
        other.watch.servers.freshness.note_read(network.now)
    read_at = network.now
    network.run(held_s)
    for sent_at, sender, data in held:
        told.clear()
        deliver(sender, host, data)
        assert all(at <= min(sent_at, read_at) + 0.001 for at in told)


def test_each_kind_of_message_has_a_first_byte_of_its_own():
    """Two kinds that were added at the same time had the same one."""
    kinds = (allowances, configuration_age, origins, permits, slots)
    assert len({kind.PREFIX for kind in kinds}) == len(kinds)

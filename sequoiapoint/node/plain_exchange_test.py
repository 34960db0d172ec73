"""Slots of plain servers, and their speeds, among many hosts on a simulated network."""

import asyncio
from collections import Counter

import pytest

from sequoiapoint.coordination.slot_allocator import plain_slots
from sequoiapoint.node import slot_exchange
from sequoiapoint.protocol.gateway import (
    CallerLimits,
    GatewayConfiguration,
    ServerEntry,
    ServerState,
    ServiceSpec,
)
from sequoiapoint.protocol.slots import SlotOutcome, SlotQuality, SlotRequest
from standins.virtual.host_network import HostNetwork

SLOTS, ZONES = 6, 3
SERVERS = [
    ServerEntry(*(f"s-{n}", "web", "10.1.0.1:9", f"z{n}"), ServerState.READY, 1, SLOTS)
    for n in range(ZONES)
]


class Hosts:
    """Hosts before three plain servers, one in each zone."""

    def __init__(self, monkeypatch, hosts_in_zone):
        monkeypatch.setattr(slot_exchange, "REPLY_TIMEOUT_S", 0.01)
        self.network = HostNetwork(monkeypatch, ZONES, hosts_in_zone, link_mbps=100.0)
        services = {"web": ServiceSpec("web", 100)}
        for host in self.network.hosts:
            host.state.configuration = GatewayConfiguration(
                1, (), services, CallerLimits()
            )
            host.state.wait_queue.wake = lambda number: None
            for entry in SERVERS:
                host.state.fleet.put(entry)

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.network.step()
            for host in self.network.live():
                host.exchange.slots.refresh(self.network.now)
            self.network.deliver_pending()

    def ask(self, host):
        """Let a host ask for a slot; return the outcome and the ticket."""
        return asyncio.run(self._ask(host))

    async def _ask(self, host):
        slots = host.exchange.slots
        ticket = slots.ticket()
        ticket.__enter__()
        ticket.is_used = True
        servers = tuple(entry.server for entry in SERVERS)
        request = SlotRequest(
            *(host.state.settings.host, ticket.number, servers, 0, 1.0, 0.2)
        )
        zone = slots.plain_zone("web", self.network.now)
        asking = asyncio.ensure_future(slots.ask(ticket, zone, request))
        for _ in range(3):
            await asyncio.sleep(0)
            self.network.deliver_pending()
        return await asking, ticket

    def granted(self, hosts):
        """Let hosts ask in turn until none is granted a slot; count by server."""
        counts = Counter()
        for host in [*hosts, *hosts]:
            _, ticket = self.ask(host)
            if ticket.grant is not None:
                counts[ticket.grant.engine[0]] += 1
        return counts


@pytest.mark.parametrize(("hosts_in_zone", "is_active"), [(5, False), (25, True)])
def test_one_allocator_grants_the_slots_of_all_servers_from_17_hosts_on(
    monkeypatch, hosts_in_zone, is_active
):
    """74 hosts sent three servers more than they take: 4,290 of 14,287 rejected."""
    hosts = Hosts(monkeypatch, hosts_in_zone)
    hosts.run(4.0)
    everyone = hosts.network.hosts
    zones = {h.exchange.slots.plain_zone("web", hosts.network.now) for h in everyone}
    assert len(zones) == 1
    assert {h.exchange.slots.is_active for h in everyone} == {is_active}
    expected = {entry.server: plain_slots(SLOTS) for entry in SERVERS}
    assert hosts.granted(everyone) == (expected if is_active else {})


def test_a_zone_that_is_cut_off_allocates_a_share_by_itself(monkeypatch):
    """Both parts may reach all servers; together they grant 1.4 times the slots."""
    hosts = Hosts(monkeypatch, 25)
    hosts.run(4.0)
    zone = hosts.network.hosts[0].exchange.slots.plain_zone("web", hosts.network.now)
    hosts.network.isolated_zones = {zone}
    hosts.run(5.0)
    inside = [h for h in hosts.network.hosts if h.zone == zone]
    outside = [h for h in hosts.network.hosts if h.zone != zone]
    granted_inside, granted_outside = hosts.granted(inside), hosts.granted(outside)
    for entry in SERVERS:
        assert 1 <= granted_inside[entry.server] <= 1.4 / 3 * plain_slots(SLOTS)
        assert granted_outside[entry.server] > granted_inside[entry.server]


def test_another_host_allocates_when_the_allocator_has_crashed(monkeypatch):
    hosts = Hosts(monkeypatch, 25)
    hosts.run(4.0)
    network = hosts.network
    zone = network.hosts[0].exchange.slots.plain_zone("web", network.now)
    allocator = next(h for h in network.aggregators() if h.zone == zone)
    network.stopped_hosts.add(allocator)
    other = next(h for h in network.hosts if h is not allocator and h.zone != zone)
    assert hosts.ask(other)[0] is SlotOutcome.UNAVAILABLE
    hosts.run(4.0)
    assert hosts.ask(other)[0] is SlotOutcome.GRANTED


def test_a_host_that_asks_the_wrong_zone_is_told_to_choose_by_itself(monkeypatch):
    """Guards against requests that wait in the queue of an allocator of nothing."""
    hosts = Hosts(monkeypatch, 25)
    hosts.run(4.0)
    host = hosts.network.hosts[0]
    slots = host.exchange.slots
    right = slots.plain_zone("web", hosts.network.now)
    wrong = next(f"z{n}" for n in range(ZONES) if f"z{n}" != right)
    monkeypatch.setattr(slots, "plain_zone", lambda service, now: wrong)
    assert hosts.ask(host)[0] is SlotOutcome.UNAVAILABLE


def test_the_allocator_learns_of_a_slow_server_from_one_release(monkeypatch):
    hosts = Hosts(monkeypatch, 25)
    hosts.run(4.0)
    everyone = hosts.network.hosts
    for entry in SERVERS:
        everyone[0].state.speeds.note_slowness(
            entry.incarnation, 1.0, hosts.network.now
        )
    hosts.run(2.0)
    _, ticket = hosts.ask(everyone[1])
    slow = ticket.grant.engine
    hosts.run(0.2)
    everyone[1].exchange.slots.release(ticket, SlotQuality.ON_TIME, 8.0, 3.0)
    hosts.network.deliver_pending()
    next_servers = [hosts.ask(host)[1].grant.engine for host in everyone[2:8]]
    assert slow not in next_servers


def test_all_hosts_learn_of_a_slow_server_within_two_digests(monkeypatch):
    hosts = Hosts(monkeypatch, 25)
    hosts.run(4.0)
    now = hosts.network.now
    servers = [entry.incarnation for entry in SERVERS]
    for server in servers:
        slowness = 3.0 if server == servers[0] else 1.0
        hosts.network.hosts[5].state.speeds.note_slowness(server, slowness, now)
    hosts.run(1.6)
    for host in hosts.network.hosts:
        times = host.state.speeds.relative_times(servers, hosts.network.now)
        assert times[servers[0]] > times[servers[1]]

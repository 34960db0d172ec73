"""Requests of many hosts to a server with a limit, on a simulated network."""

import asyncio
import bisect

import pytest

from sequoiapoint.node import permit_exchange
from sequoiapoint.node.permit_exchange import Denial, Permit
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.permits import PermitOutcome, PermitReply
from standins.virtual.host_network import SERVER, STEP_S, HostNetwork

TOLD_AFTER_S = 3.0
"""Time after the server has first named its limit from which the limit must hold."""
WINDOW_S = 4.0
REQUESTS_PER_STEP = 5
"""Number of hosts that send a request in each step, if there are as many."""
START_S, END_S = 5.0, 16.0
"""The time of the digests before the first request, and the end of the run."""


def largest_count(times):
    times = sorted(times)
    return max(
        (bisect.bisect_left(times, t + WINDOW_S) - n for n, t in enumerate(times)),
        default=0,
    )


class LimitedServer:
    """The server, all of whose requests are sent by hosts drawn at random.

    :ivar arrivals: The time of each request, and the host that sent it.
    """

    def __init__(self, network, limit):
        self.network, self.limit, self.arrivals = network, limit, []
        self.cut_off = set()
        """Hosts that do not reach the server."""
        self.entry = network.hosts[0].entry()
        self._loop = asyncio.new_event_loop()

    def close(self):
        self._loop.close()

    def step(self):
        network = self.network
        live = network.live()
        for host in network.rng.sample(live, min(REQUESTS_PER_STEP, len(live))):
            self.send(host)
        network.deliver_pending()

    def send(self, host):
        if host.state.limits.per_s(SERVER) is not None:
            permit = self.acquire(host)
            if isinstance(permit, Denial):
                return permit
        if host in self.cut_off:
            return None
        now = self.network.now
        self.arrivals.append((now, host))
        limit = self.limit(now)
        host.state.note_server_limit(SERVER, limit, "test", now)
        return None

    def acquire(self, host, caller=None, max_wait_s=0.0, asks_anew=False):
        if caller is None:
            caller = self.network.rng.getrandbits(64)

        async def run():
            permits = host.exchange.permits
            task = asyncio.ensure_future(
                permits.acquire(self.entry, caller, max_wait_s, asks_anew)
            )
            await asyncio.sleep(0)
            self.network.deliver_pending()
            return await task

        return self._loop.run_until_complete(run())


class Scenario:
    """Events during a run; the times are since the server first names its limit."""

    def __init__(self, network, server):
        self.network, self.server = network, server
        self.allocator = next(h for h in network.aggregators() if h.zone == "z0")
        self.zone = {h for h in network.hosts if h.zone == "z0"}
        relays = self.allocator.exchange.peers.own_relays(network.now)
        names = {member.host for member in relays}
        self.relays = frozenset(h for h in self.zone if h.state.settings.host in names)

    def calm(self, elapsed_s):
        pass

    def allocator_killed(self, elapsed_s):
        if elapsed_s > 4.0:
            self.network.stopped_hosts.add(self.allocator)

    def allocator_drained(self, elapsed_s):
        self.allocator.state.is_draining = elapsed_s > 3.5
        if elapsed_s > 9.0:
            self.network.stopped_hosts.add(self.allocator)

    def allocator_frozen(self, elapsed_s):
        stopped = self.network.stopped_hosts
        (stopped.add if 4.0 < elapsed_s < 6.5 else stopped.discard)(self.allocator)

    def allocator_frozen_twice(self, elapsed_s):
        stopped = self.network.stopped_hosts
        is_frozen = 3.5 < elapsed_s < 5.0 or 6.0 < elapsed_s < 7.6
        (stopped.add if is_frozen else stopped.discard)(self.allocator)

    def zone_of_the_server_killed(self, elapsed_s):
        if elapsed_s > 4.0:
            self.network.stopped_hosts |= self.zone

    def zone_of_the_server_cut_off(self, elapsed_s):
        is_cut = 4.0 < elapsed_s < 8.0
        self.network.isolated_zones = {"z0"} if is_cut else set()
        others = set(self.network.hosts) - self.zone
        self.server.cut_off = others if is_cut else set()

    def zone_cut_off_from_hosts_alone(self, elapsed_s):
        is_cut = 4.0 < elapsed_s < 9.0
        self.network.isolated_zones = {"z1"} if is_cut else set()

    def host_cut_off_from_hosts_alone(self, elapsed_s):
        is_cut = 4.0 < elapsed_s < 9.0
        self.network.isolated_hosts = {self.network.hosts[-1]} if is_cut else set()

    def relays_of_the_server_cut_off_from_each_other(self, elapsed_s):
        """Both take themselves for the aggregator; all other hosts hear both."""
        is_cut = elapsed_s > 1.0
        self.network.blocked_pairs = {self.relays} if is_cut else set()


EVENTS = [name for name in vars(Scenario) if not name.startswith("_")]
RUNS = [
    *((3, 2, limit, name) for limit in (0.5, 3.3) for name in EVENTS),
    (4, 15, 3.3, "allocator_killed"),
    (4, 15, 3.3, "allocator_frozen_twice"),
    (4, 15, 3.3, "zone_of_the_server_cut_off"),
    (2, 2, 3.3, "relays_of_the_server_cut_off_from_each_other"),
    (1, 4, 3.3, "relays_of_the_server_cut_off_from_each_other"),
    (3, 4, 3.3, "relays_of_the_server_cut_off_from_each_other"),
    (4, 15, 3.3, "relays_of_the_server_cut_off_from_each_other"),
    (5, 39, 0.5, "calm"),
    (5, 39, 3.3, "allocator_killed"),
]


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    monkeypatch.setattr(permit_exchange, "REPLY_TIMEOUT_S", 0.005)


def run(monkeypatch, zones, hosts_in_zone, limit, event):
    network = HostNetwork(monkeypatch, zones, hosts_in_zone)
    network.run(START_S)
    named_at = network.now
    server = LimitedServer(network, lambda now: limit(now - named_at))
    scenario = Scenario(network, server)
    while network.now - named_at < END_S - START_S:
        getattr(scenario, event)(network.now - named_at)
        network.step()
        server.step()
    server.close()
    counted = [at for at, _ in server.arrivals if at >= named_at + TOLD_AFTER_S]
    return network, server, counted


@pytest.mark.parametrize(("zones", "hosts_in_zone", "limit", "event"), RUNS)
def test_all_hosts_together_keep_to_a_servers_limit(
    monkeypatch, zones, hosts_in_zone, limit, event
):
    """A server with a limit got as many requests as before from each host."""
    _, _, counted = run(monkeypatch, zones, hosts_in_zone, lambda s: limit, event)
    assert largest_count(counted) <= 1.5 * limit * WINDOW_S + 5
    observed_s = END_S - START_S - TOLD_AFTER_S
    if event == "calm":
        assert len(counted) >= 0.8 * limit * observed_s - 1
    else:
        assert len(counted) >= 0.4 * limit * observed_s - 1


@pytest.mark.parametrize(("zones", "hosts_in_zone"), [(3, 2), (5, 39)])
def test_hosts_follow_a_limit_that_changes_and_ends(monkeypatch, zones, hosts_in_zone):
    def limit(elapsed_s):
        return 12.0 if elapsed_s < 5.0 else (2.0 if elapsed_s < 9.0 else None)

    network, server, counted = run(monkeypatch, zones, hosts_in_zone, limit, "calm")
    start = network.now - (END_S - START_S)
    in_low = [at for at in counted if start + 5.5 <= at < start + 9.0]
    assert len(in_low) <= 1.5 * 2.0 * WINDOW_S + 5
    assert {h.state.limits.per_s(SERVER) for h in network.hosts} == {None}
    after = [at for at in counted if at >= start + 10.0]
    sent_per_s = REQUESTS_PER_STEP / STEP_S
    assert len(after) >= 0.9 * sent_per_s * (network.now - start - 10.0)


def test_a_host_that_does_not_reach_the_allocator_sends_nothing(monkeypatch):
    network = HostNetwork(monkeypatch, 2, 2)
    network.run(START_S)
    server = LimitedServer(network, lambda now: 3.0)
    for host in network.hosts:
        host.state.note_server_limit(SERVER, 3.0, "test", network.now)
    allocator = next(h for h in network.aggregators() if h.zone == "z0")
    other = next(h for h in network.hosts if h.zone == "z1")
    server.acquire(allocator)
    network.run(1.0)
    assert isinstance(server.acquire(other), Permit)
    network.stopped_hosts.add(allocator)
    for _ in range(3):
        assert isinstance(server.acquire(other), Denial)
    server.close()


@pytest.mark.parametrize(("zones", "hosts_in_zone"), [(1, 4), (2, 2), (3, 4), (5, 39)])
def test_two_relays_that_do_not_hear_each_other_do_not_both_grant(
    monkeypatch, zones, hosts_in_zone
):
    """Both took themselves for the aggregator, and each granted the whole limit."""
    network = HostNetwork(monkeypatch, zones, hosts_in_zone)
    network.run(START_S)
    server = LimitedServer(network, lambda now: 3.0)
    for host in network.hosts:
        host.state.note_server_limit(SERVER, 3.0, "test", network.now)
    scenario = Scenario(network, server)
    first, (second,) = scenario.allocator, scenario.relays - {scenario.allocator}
    network.blocked_pairs = {frozenset((first, second))}
    network.run(4.0)
    assert first in network.aggregators()
    assert second in network.aggregators()
    server.acquire(first)
    for _ in range(8):
        network.run(0.45)
        assert isinstance(server.acquire(second), Denial)
    assert isinstance(server.acquire(first), Permit)
    network.stopped_hosts.add(first)
    network.run(4.0)
    server.acquire(second)
    network.run(1.0)
    assert isinstance(server.acquire(second), Permit)
    server.close()


def test_a_reserved_permit_is_found_although_others_were_denied_one(monkeypatch):
    """A caller that came back in time was refused for another request's denial."""
    network = HostNetwork(monkeypatch, 2, 2)
    network.run(START_S)
    server = LimitedServer(network, lambda now: 0.5)
    for host in network.hosts:
        host.state.note_server_limit(SERVER, 0.5, "test", network.now)
    first, second = (h for h in network.hosts if h.zone == "z1")
    denial = server.acquire(first, caller=7, max_wait_s=5.0, asks_anew=True)
    assert denial.is_reserved
    network.run(denial.wait_s - 0.1)
    assert server.acquire(second).wait_s > 1.0
    network.run(0.2)
    assert isinstance(server.acquire(second), Denial)
    assert isinstance(server.acquire(second, caller=7, asks_anew=True), Permit)
    server.close()


@pytest.mark.parametrize(
    ("is_former", "is_other_host", "is_other_sender"),
    [(True, False, False), (False, True, False), (False, False, True)],
)
def test_a_reply_to_something_else_is_no_permit(
    monkeypatch, is_former, is_other_host, is_other_sender
):
    """Guards against a request beyond the limit of a server with a permit for another.

    A host that is started again gets late replies to its former process.
    """
    network = HostNetwork(monkeypatch, 2, 2)
    network.run(START_S)
    host = next(h for h in network.hosts if h.zone == "z1")
    host.state.note_server_limit(SERVER, 3.0, "test", network.now)
    permits = host.exchange.permits
    allocator = permits.reachable_allocator("z0", network.now)

    async def run():
        task = asyncio.ensure_future(permits.acquire(host.entry(), caller=7))
        await asyncio.sleep(0)
        (asked,) = permits._replies
        name = "another" if is_other_host else host.state.settings.host
        reply = PermitReply(name, 1 if is_former else asked, PermitOutcome.GRANTED)
        address = "10.0.9.9:1" if is_other_sender else allocator.address
        permits._handle(reply, Member("", "", address))
        return await task

    assert isinstance(asyncio.run(run()), Denial)

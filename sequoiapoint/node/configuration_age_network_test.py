"""The age of the configuration on a simulated network, while parts of it fail."""

import asyncio

import pytest

from sequoiapoint.node import configuration_age_exchange
from sequoiapoint.protocol.configuration_age import AgeNotice, encode_age_message
from standins.virtual.age_network import BOUND_S, SIZES, AgeNetwork

CALM_SHARE = 0.6
"""Share of the bound below which the age stays in calm operation."""
SETTLED_S = 3.0
FAULT_S = 7.0


def reader(network):
    """Return the aggregator of zone z0."""
    return next(host for host in network.aggregators() if host.zone == "z0")


def zone_of(network, name):
    return [host for host in network.hosts if host.zone == name]


async def calm(network):
    return await network.measure(FAULT_S)


async def kill_reader(network):
    network.stopped_hosts.add(reader(network))
    return await network.measure(FAULT_S)


async def pause_reader(network):
    host = reader(network)
    network.stopped_hosts.add(host)
    oldest_s = await network.measure(2.0)
    network.stopped_hosts.clear()
    await network.measure(0.2)
    return max(oldest_s, await network.measure(FAULT_S - 2.0))


async def cut_reader_off_store(network):
    network.cut_off_store([reader(network)], "silent")
    return await network.measure(FAULT_S)


async def turn_a_third_away(network):
    network.cut_off_store(
        network.rng.sample(network.hosts, len(network.hosts) // 3), "refused"
    )
    return await network.measure(FAULT_S)


async def leave_the_store_to_one_zones_relay(network):
    others = [host for host in network.hosts if host is not reader(network)]
    network.cut_off_store(others, "silent")
    return await network.measure(FAULT_S)


async def cut_off_zone_with_one_host_at_the_store(network):
    """Let one host that is no relay reach the store, last in the order of its zone."""
    zone = zone_of(network, "z0")
    last = reader(network).exchange.peers.zone_host_names(network.now)[-1]
    others = [host for host in zone if host.state.settings.host != last]
    network.isolated_zones = {"z0"}
    network.cut_off_store(others, "silent")
    return await network.measure(FAULT_S)


async def let_the_store_come_back_older(network):
    network.raise_era()
    return await network.measure(FAULT_S)


EVENTS = {
    calm: CALM_SHARE,
    kill_reader: 1.0,
    pause_reader: 1.0,
    cut_reader_off_store: 1.0,
    turn_a_third_away: 1.0,
    leave_the_store_to_one_zones_relay: 1.0,
    cut_off_zone_with_one_host_at_the_store: 1.0,
    let_the_store_come_back_older: 1.0,
}


def run(monkeypatch, hosts, event):
    network = AgeNetwork(monkeypatch, *SIZES[hosts])

    async def play():
        await network.measure(SETTLED_S)
        return await event(network)

    return network, asyncio.run(play())


@pytest.mark.parametrize("hosts", [6, 62])
@pytest.mark.parametrize("event", EVENTS)
def test_hosts_in_contact_keep_the_age_below_the_bound(monkeypatch, hosts, event):
    """Guards against requests rejected although evidence can be had."""
    _, oldest_s = run(monkeypatch, hosts, event)
    assert oldest_s < EVENTS[event] * BOUND_S


@pytest.mark.parametrize("event", [calm, cut_off_zone_with_one_host_at_the_store])
def test_the_same_at_many_hosts(monkeypatch, event):
    _, oldest_s = run(monkeypatch, 195, event)
    assert oldest_s < EVENTS[event] * BOUND_S


def test_a_restarted_host_knows_the_age_at_once(monkeypatch):
    """Guards against a host that rejects requests for an interval after each start."""

    async def restart(network):
        host = network.hosts[-1]
        network.restart(host)
        network.cut_off_store([host], "silent")
        await network.measure(0.2)
        return network.age_s(host)

    _, age_s = run(monkeypatch, 62, restart)
    assert age_s < CALM_SHARE * BOUND_S


def test_a_host_without_a_sound_path_to_the_store_notices_it(monkeypatch):
    """Guards against stale datagrams that make a configuration appear current."""

    async def cut_off(network):
        network.isolated_zones = {"z0"}
        network.cut_off_store(zone_of(network, "z0"), "silent")
        began_at = network.now
        await network.measure(FAULT_S)
        elapsed_s = network.now - began_at
        assert min(map(network.age_s, zone_of(network, "z0"))) >= elapsed_s
        others = [host for host in network.hosts if host.zone != "z0"]
        return max(map(network.age_s, others))

    _, oldest_s = run(monkeypatch, 62, cut_off)
    assert oldest_s < CALM_SHARE * BOUND_S


def test_a_reply_that_waited_at_a_suspended_host_is_as_old_as_its_question(monkeypatch):
    """Guards against a withdrawn key that works again after a suspension.

    The monotonic clock stops while the system is suspended.
    """

    async def suspend(network):
        host, asked = network.hosts[-1], reader(network)
        age = host.exchange.configuration_age
        age._ask([asked.exchange._sender.local_member], network.now)
        (_, _, question), network.sent = network.sent[-1], []
        network._deliver(host, asked, question)
        ((_, _, reply),), network.sent = network.sent, []
        monkeypatch.setattr(
            configuration_age_exchange, "since_boot_s", lambda: network.now + FAULT_S
        )
        network._deliver(asked, host, reply)
        return network.age_s(host)

    _, age_s = run(monkeypatch, 6, suspend)
    assert age_s >= FAULT_S


def test_a_notice_is_no_evidence(monkeypatch):
    """It may have waited at a suspended host; it only makes the host ask."""

    async def notify(network):
        host = network.hosts[-1]
        network.isolated_hosts = {host}
        network.cut_off_store([host], "silent")
        await network.measure(FAULT_S)
        notice = encode_age_message(AgeNotice("h-1", 0.0))
        host.exchange.handle_datagram(notice, ("10.0.0.1", 7))
        return network.age_s(host)

    _, age_s = run(monkeypatch, 6, notify)
    assert age_s >= FAULT_S

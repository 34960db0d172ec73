"""Gateways of one zone: only a few read the store, but all receive its changes."""

import time

import pytest

from standins.site.deployment import SiteDeployment, configuration, route

HOST_COUNT = 5
RELAY_COUNT = 2
"""Number of relays per zone; only relays read the store."""
CONFIGURATION_IN_FORCE_TIMEOUT_S = 2.0
"""Time within which a configuration must be in force."""
SERVER_DRAIN_S = 2.0
"""Time after which a draining server must get no new requests."""
RECOVERY_S = 3.0
"""Time after a disruption until the bounds must hold again."""
OBSERVATION_S = 4.0


@pytest.fixture
def site():
    with SiteDeployment(gateways=HOST_COUNT, zones=1) as deployment:
        # By then, store reads from before the hosts knew their relays have ended.
        time.sleep(RECOVERY_S)
        yield deployment
        assert deployment.failures() == []


def store_readers(site):
    """Return the hosts that have fetched no topic from a peer."""
    return [
        gateway
        for gateway in site.gateways
        if not any("outcome=taken" in e for e in gateway.events("topic_fetch"))
    ]


def change_configuration(site, version):
    changed = configuration(version)
    changed["routes"].append(route(f"new{version}", "idempotent", "web"))
    site.call(site.store.write, "keyed.op", "config", changed)
    return time.monotonic()


def is_in_force(site, version):
    running = [g for g in site.gateways if g.process.poll() is None]
    return all(
        g.send_request(f"/new{version}/x", f"r-{g.name}").status == 200 for g in running
    )


def test_few_hosts_read_the_store_and_all_hosts_receive_changes(site):
    calls_before = len(site.store.calls)
    time.sleep(OBSERVATION_S)
    reads = site.store.calls[calls_before:].count("read")
    # Twelve calls in four seconds.  A poll of the configuration takes up to 2.5 s, one
    # of the servers with its pause 0.7 s, and only the aggregator reads.
    assert reads <= RELAY_COUNT * 2 * (OBSERVATION_S / 2.0 + 1)
    changed_at = change_configuration(site, 2)
    site.wait(lambda: is_in_force(site, 2), CONFIGURATION_IN_FORCE_TIMEOUT_S)
    assert time.monotonic() - changed_at < CONFIGURATION_IN_FORCE_TIMEOUT_S


def test_a_standby_does_not_read_the_store_beside_its_aggregator(site):
    """A standby read the servers more often than once in two seconds.

    Their entries do not change here, so that no digest is sent out of turn.
    """
    before = sum(len(g.events("topic_refresh")) for g in site.gateways)
    time.sleep(2 * OBSERVATION_S)
    refreshes = sum(len(g.events("topic_refresh")) for g in site.gateways) - before
    assert refreshes <= 2


def test_a_draining_server_gets_no_new_requests_from_any_host(site):
    draining = site.plain[0]
    draining.state = "draining"
    site.call(draining.register)
    time.sleep(SERVER_DRAIN_S)
    runs = sum(draining.runs.values())
    for number, gateway in enumerate(site.gateways * 3):
        assert gateway.send_request("/read/x", f"r-{number}").status == 200
    assert sum(draining.runs.values()) == runs


@pytest.mark.parametrize("how", ["first", "both", "store"])
def test_a_zone_receives_changes_after_its_store_readers_or_the_store_fail(site, how):
    """Covers the loss of one or both store readers, and of the store itself."""
    if how == "store":
        site.store.outage = "reset"
        time.sleep(RECOVERY_S)
        site.store.outage = ""
    else:
        change_configuration(site, 2)
        site.wait(lambda: is_in_force(site, 2), CONFIGURATION_IN_FORCE_TIMEOUT_S)
        readers = store_readers(site)
        assert 1 <= len(readers) <= RELAY_COUNT
        for gateway in readers[: 1 if how == "first" else RELAY_COUNT]:
            gateway.kill()
    time.sleep(RECOVERY_S)
    change_configuration(site, 3)
    site.wait(lambda: is_in_force(site, 3), CONFIGURATION_IN_FORCE_TIMEOUT_S)

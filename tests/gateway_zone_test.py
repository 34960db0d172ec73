"""Several gateways in one zone: few of them read the store, all know what is new."""

import time

import pytest

from standins.site.deployment import SiteDeployment, configuration, route

HOSTS = 5
READERS = 2
"""Relays of a zone, which read the store."""
IN_FORCE_S = 2.0
"""Time within which a configuration must be in force."""
SERVER_DRAIN_S = 2.0
"""Time after which a leaving server must get nothing new."""
CONTACT_S = 3.0
"""Time after a disruption until bounds hold again."""
STEADY_S = 4.0


@pytest.fixture
def site():
    with SiteDeployment(gateways=HOSTS, zones=1) as deployment:
        # Reads that began before the hosts knew their relays end by then.
        time.sleep(CONTACT_S)
        yield deployment
        assert deployment.failures() == []


def readers_of(site):
    """Return the hosts that have taken nothing from another host."""
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


def test_few_hosts_read_the_store_and_all_follow_it(site):
    began = len(site.store.calls)
    time.sleep(STEADY_S)
    reads = site.store.calls[began:].count("read")
    # One read for each topic and reader is answered when its wait ends.
    assert reads <= READERS * 2 * (STEADY_S / 2.0 + 1)
    at = change_configuration(site, 2)
    site.wait(lambda: is_in_force(site, 2), IN_FORCE_S)
    assert time.monotonic() - at < IN_FORCE_S


def test_a_leaving_server_gets_nothing_new_from_any_host(site):
    leaving = site.plain[0]
    leaving.state = "draining"
    site.call(leaving.register)
    time.sleep(SERVER_DRAIN_S)
    runs = sum(leaving.runs.values())
    for number, gateway in enumerate(site.gateways * 3):
        assert gateway.send_request("/read/x", f"r-{number}").status == 200
    assert sum(leaving.runs.values()) == runs


@pytest.mark.parametrize("how", ["first", "both", "store"])
def test_the_zone_goes_on_without_its_readers(site, how):
    """Replays the loss of the hosts that read the store, and of the store itself."""
    if how == "store":
        site.store.outage = "reset"
        time.sleep(CONTACT_S)
        site.store.outage = ""
    else:
        change_configuration(site, 2)
        site.wait(lambda: is_in_force(site, 2), IN_FORCE_S)
        readers = readers_of(site)
        assert 1 <= len(readers) <= READERS
        for gateway in readers[: 1 if how == "first" else READERS]:
            gateway.kill()
    time.sleep(CONTACT_S)
    change_configuration(site, 3)
    site.wait(lambda: is_in_force(site, 3), IN_FORCE_S)

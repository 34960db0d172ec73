"""Requests of organisations at four hosts, on each path to a server."""

import concurrent.futures
import re
import time

import pytest

from sequoiapoint.protocol.api_keys import key_digest, key_label
from standins.site.deployment import (
    SiteDeployment,
    bearer,
    configuration,
    free_port,
    organisation,
    route,
)
from standins.site.linked_deployment import LinkedDeployment
from standins.soak.link import Cut

APPLY_S = 2.0
"""Time within which a configuration must be in force at hosts in contact."""
NOTICE_S = 4.0
"""Time in which a host must notice that it is cut off."""
START_S = 5.0
LOG_DELAY_S = 2.0
"""Time in which a host's log has a line; a thread of its own writes it."""
EVENTS = 20
ASPEN_KEY, BIRCH_KEY, NEW_KEY = "aspen-key-1", "birch-key-1", "aspen-key-2"
FORGED = {"Tenant": "birch"}


def keyed(version, *aspen_keys):
    """Return a configuration with two organisations and a public route."""
    usual = configuration()
    tenants = [
        organisation("aspen", *aspen_keys, priority=1),
        organisation("birch", BIRCH_KEY, priority=0),
    ]
    routes = [*usual["routes"], route("open", "idempotent", "web", public=True)]
    return usual | {"version": version, "tenants": tenants, "routes": routes}


@pytest.fixture
def site():
    with LinkedDeployment(
        4, engines=4, plain=4, zones=2, first_configuration=keyed(1, ASPEN_KEY)
    ) as deployment:
        for engine in deployment.engines:
            engine.held = {"oak": set(), "elm": set()}
            deployment.call(engine.register)
        time.sleep(1.0)
        yield deployment
        assert_no_key_leaves_the_hosts(deployment)
        assert deployment.failures() == []


def assert_no_key_leaves_the_hosts(site):
    """Check that no server and no log got a key."""
    for backend in site.backends:
        for received in backend.credentials.values():
            assert [r["authorization"] for r in received] == [[]] * len(received)
    for gateway in site.gateways:
        log = gateway.log.read_text()
        assert not [key for key in (ASPEN_KEY, BIRCH_KEY, NEW_KEY) if key in log]


def send(gateway, kind, request_id, headers):
    model = "oak" if kind == "talk" else ""
    return gateway.send_request(
        f"/{kind}/x", request_id, b"b", model, EVENTS, headers=headers
    )


def received(site, request_id):
    """Return what servers got with the attempts of a request."""
    return [c for b in site.backends for c in b.credentials.get(request_id, [])]


def names(site, request_id):
    return [c["tenant"] for c in received(site, request_id)]


def has_logged_rejections(gateway):
    """Tell whether a host has logged six requests without a key and an unknown key."""
    lines = gateway.events("request_refused")
    unknown = f"key={key_label(key_digest(b'no-key'))} "
    return sum("outcome=no_key " in line for line in lines) == 6 and any(
        "outcome=unknown_key " in line and unknown in line for line in lines
    )


@pytest.mark.parametrize("kind", ["read", "write", "talk"])
def test_a_request_without_a_valid_key_gets_401_and_reaches_no_server(site, kind):
    for number, gateway in enumerate(site.gateways):
        for position, headers in enumerate(
            (
                {},
                FORGED,
                {"Authorization": ASPEN_KEY},
                {"Authorization": f"Basic {ASPEN_KEY}"},
                {"Authorization": "Bearer "},
                {"Authorization": f"Bearer {ASPEN_KEY} {ASPEN_KEY}"},
                bearer("no-key", **FORGED),
            )
        ):
            request_id = f"bad-{kind}-{number}-{position}"
            assert send(gateway, kind, request_id, headers).status == 401
            assert received(site, request_id) == []
        site.wait(lambda g=gateway: has_logged_rejections(g), LOG_DELAY_S)
        assert 'reason="unknown_key"' in gateway.metrics()


def test_servers_get_the_holder_of_the_key_on_first_attempts_and_retries(site):
    for number, gateway in enumerate(site.gateways):
        for kind in ("read", "write", "talk"):
            for name, key in (("aspen", ASPEN_KEY), ("birch", BIRCH_KEY)):
                request_id = f"{kind}-{name}-{number}"
                reply = send(gateway, kind, request_id, bearer(key, **FORGED))
                assert reply.status == 200
                assert names(site, request_id) == [[name]]
        headers = bearer("no-key", **FORGED)
        assert send(gateway, "open", f"open-{number}", headers).status == 200
        assert names(site, f"open-{number}") == [[]]
    first = site.gateways[0]
    for server in site.plain:
        server.faults.reset_next = 1
    # Both attempts end with a reset, so that both servers have a record.
    assert send(first, "read", "retried", bearer(ASPEN_KEY, **FORGED)).status == 502
    assert names(site, "retried") == [["aspen"]] * 2
    for engine in site.engines:
        engine.faults.cut_stream_after = 3
    reply = send(first, "talk", "resumed", bearer(ASPEN_KEY, **FORGED))
    assert names(site, "resumed") == [["aspen"]] * 2
    expected = [str(number).encode() for number in range(1, EVENTS + 1)]
    assert re.findall(rb"id: (\d+)\n", reply.body) == expected


def test_engines_are_told_the_priority_of_the_organisation(site):
    """All routes have the same priority here."""
    for name, key in (("aspen", ASPEN_KEY), ("birch", BIRCH_KEY)):
        send(site.gateways[0], "talk", f"prio-{name}", bearer(key))
    aspen, birch = (
        int(received(site, f"prio-{name}")[0]["request-prio"][0])
        for name in ("aspen", "birch")
    )
    assert birch < aspen


def cut_off(site, gateway):
    """Cut a host off from all servers, and wait until it has noticed."""
    site.cut_off([gateway], Cut.RESET)
    deadline = time.monotonic() + NOTICE_S
    number = 0
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        while sum("=lost " in e for e in gateway.events("servers_reached")) < 2:
            assert time.monotonic() < deadline
            for kind in ("read", "talk"):
                number += 1
                pool.submit(send, gateway, kind, f"cut-{number}", bearer(ASPEN_KEY))
            time.sleep(0.05)


def test_the_name_and_no_key_takes_a_detour(site):
    first = site.gateways[0]
    cut_off(site, first)
    for kind in ("read", "write", "talk"):
        for name, key in (("aspen", ASPEN_KEY), ("birch", BIRCH_KEY)):
            request_id = f"detour-{kind}-{name}"
            assert send(first, kind, request_id, bearer(key, **FORGED)).status == 200
            assert names(site, request_id) == [[name]]
    assert send(first, "open", "detour-open", bearer("no-key", **FORGED)).status == 200
    assert names(site, "detour-open") == [[]]
    assert send(first, "read", "detour-bad", bearer("no-key")).status == 401
    taken = [line for g in site.gateways[1:] for line in g.events("detour")]
    assert [line for line in taken if "request=detour-write-aspen " in line]


def test_keys_are_added_and_removed_by_new_versions(site):
    def statuses(key):
        return {
            send(gateway, "read", f"read-{time.monotonic()}", bearer(key)).status
            for gateway in site.gateways
        }

    assert statuses(NEW_KEY) == {401}
    site.call(site.store.write, "keyed.op", "config", keyed(2, ASPEN_KEY, NEW_KEY))
    site.wait(lambda: statuses(NEW_KEY) == {200}, APPLY_S)
    site.call(site.store.write, "keyed.op", "config", keyed(3, NEW_KEY))
    site.wait(lambda: statuses(ASPEN_KEY) == {401}, APPLY_S)
    assert statuses(NEW_KEY) == {200}
    removed = key_label(key_digest(ASPEN_KEY.encode()))
    for gateway in site.gateways:
        (line,) = [e for e in gateway.events("keys_changed") if " version=3 " in e]
        assert f" removed={removed} " in line


def test_a_host_without_a_configuration_answers_503(site):
    """A caller that gets 401 or 404 does not come back."""
    lonely = site.add_gateway("gw-lonely", "z0", store=f"127.0.0.1:{free_port()}")
    site.gateways.append(lonely)
    site.wait(lambda: bool(lonely.events("host_start")), START_S)
    time.sleep(0.5)
    for headers in ({}, bearer(ASPEN_KEY), bearer("no-key")):
        reply = send(lonely, "read", "early", headers)
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) <= 2.0


def test_without_organisations_callers_headers_are_forwarded_unchanged():
    with LinkedDeployment(2, engines=0, plain=2, zones=1) as site:
        headers = bearer(ASPEN_KEY, **FORGED)
        assert send(site.gateways[0], "read", "plain", headers).status == 200
        (credentials,) = received(site, "plain")
    assert credentials["tenant"] == ["birch"]
    assert credentials["authorization"] == [f"Bearer {ASPEN_KEY}"]


def test_a_request_that_crashes_servers_is_rejected_for_its_organisation_only():
    """The page of one organisation was refused to all, or went on to crash servers."""
    statuses = []
    with SiteDeployment(
        4, engines=0, plain=5, first_configuration=keyed(1, ASPEN_KEY)
    ) as site:
        time.sleep(1.0)
        for backend in site.plain:
            backend.faults.poison, backend.faults.poison_sender = b"b", "birch"
        for number in range(8):
            gateway = site.gateways[number % 4]
            send(gateway, "write", f"deadly-{number}", bearer(BIRCH_KEY))
            for copy in range(4):
                request_id = f"sound-{number}-{copy}"
                reply = send(gateway, "write", request_id, bearer(ASPEN_KEY))
                statuses.append(reply.status)
            time.sleep(0.7)
        last = send(site.gateways[1], "write", "deadly-last", bearer(BIRCH_KEY))
        runs = sum(len(received(site, f"deadly-{number}")) for number in range(8))
    assert statuses.count(403) == 0
    assert statuses.count(200) >= len(statuses) / 2
    assert runs <= 3
    assert last.status == 403

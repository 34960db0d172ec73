"""Tests gateway processes, with real signals, against simulated servers and store."""

import concurrent.futures
import itertools
import re
import signal
import threading
import time

import pytest

from standins.site.deployment import MODELS, SiteDeployment, configuration, route

CONFIGURATION_IN_FORCE_TIMEOUT_S = 2.0
"""Time within which a configuration must be in force."""
SERVER_DRAIN_S = 2.0
"""Time after which a draining or removed server must get no new requests."""
TURN_AWAY_S = 1.5
"""Time for which a server turns requests away."""
MAX_EVICTION_TO_LOAD_S = 0.3
"""Longest time from the order to evict an unused model to the next load order; shorter
than the time after which an engine whose state is unknown is polled."""
MODEL_SWAP_TIMEOUT_S = 6.0
"""Time within which a rarely requested model is served while the memory is full: new
copies stay for 4 s; an eviction, a load and the caller's retry follow."""
LEADER_CHANGE_TIMEOUT_S = 10.0
"""Time within which another host leads: lease expiry, handover gap and a load."""


@pytest.fixture
def site():
    with SiteDeployment() as deployment:
        yield deployment
        assert deployment.failures() == []


def event_ids(response):
    return [int(n) for n in re.findall(rb"id: (\d+)\n", response.body)]


def test_every_kind_of_request_gets_a_complete_response_and_runs_once(site):
    for number, gateway in enumerate(site.gateways):
        read = gateway.send_request("/read/x", f"read-{number}", b"abc")
        assert (read.status, read.body.partition(b":")[2]) == (200, b"abc")
        assert read.headers["server-seal"]
        assert read.headers["request-id"] == f"read-{number}"
        write = gateway.send_request("/write/x", f"write-{number}", b"d")
        assert write.status == 200
        talk = gateway.send_request("/talk/x", f"talk-{number}", b"q", "oak", events=6)
        assert event_ids(talk) == [1, 2, 3, 4, 5, 6]
        assert talk.is_complete
    runs = sum(
        (backend.runs for backend in site.backends), start=type(site.plain[0].runs)()
    )
    assert set(runs.values()) == {1}


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/x", {}, 404),
        ("/read", {}, 404),
        ("/read/x", {"Host": "other.example"}, 404),
        ("/read/x", {"Request-Id": ""}, 400),
    ],
)
def test_a_request_without_a_matching_route_or_an_id_is_rejected(
    site, path, headers, status
):
    assert site.gateways[0].send_request(path, "r", headers=headers).status == status
    assert not any(backend.runs for backend in site.backends)


def test_headers_reserved_for_the_gateway_are_dropped(site):
    response = site.gateways[0].send_request(
        "/read/x", "r", headers={"Expect-Worker": "nobody", "Request-Prio": "0"}
    )
    assert response.status == 200


def test_a_model_or_adapter_that_is_not_resident_is_loaded(site):
    model = next(m for m in ("ash", "fir", "yew"))
    for adapter in ("a1", "a2", "a3", "a4", "a5"):
        response = site.gateways[1].send_request(
            "/talk/x", f"r-{adapter}", b"", f"{model}/{adapter}"
        )
        if response.status == 503:
            time.sleep(float(response.headers["retry-after"]))
            response = site.gateways[0].send_request(
                "/talk/x", f"s-{adapter}", b"", f"{model}/{adapter}"
            )
        assert response.status == 200, response
    orders = sorted((o for e in site.engines for o in e.orders), key=lambda o: o["at"])
    assert len({order["holder"] for order in orders}) == 1
    assert [o["fence"] for o in orders] == sorted(o["fence"] for o in orders)
    assert [v for e in site.engines for v in e.violations] == []


def test_an_unused_model_is_evicted_for_a_requested_one(site):
    """Requests rarely used models in turn: five models, and memory for four."""
    for turn in range(2):
        for model in MODELS:
            request_until_served(site, site.gateways[turn], model, MODEL_SWAP_TIMEOUT_S)
    eviction_to_load_times = []
    for engine in site.engines:
        for before, after in itertools.pairwise(engine.orders):
            if (before["op"], after["op"]) == ("evict", "load"):
                eviction_to_load_times.append(after["at"] - before["at"])
    assert eviction_to_load_times
    assert min(eviction_to_load_times) < MAX_EVICTION_TO_LOAD_S
    assert [v for e in site.engines for v in e.violations] == []


@pytest.mark.parametrize(
    ("path", "model", "may_repeat"),
    [("/read/x", "", True), ("/write/x", "", False), ("/talk/x", "oak", True)],
)
def test_a_request_whose_response_is_lost_is_retried_only_if_repeatable(
    site, path, model, may_repeat
):
    servers = site.engines if model else site.plain
    servers[0].faults.reset_next = 1
    responses = [
        site.gateways[0].send_request(path, f"r-{n}", b"", model) for n in range(6)
    ]
    runs = [sum(server.runs[f"r-{n}"] for server in servers) for n in range(6)]
    failed = [n for n in range(6) if responses[n].status != 200]
    if may_repeat:
        assert failed == []
        assert sorted(runs) == [1, 1, 1, 1, 1, 2]
    else:
        assert [responses[n].status for n in failed] == [502]
        assert runs == [1] * 6


def test_an_interrupted_stream_resumes_after_its_last_complete_event(site):
    for engine in site.engines:
        engine.faults.cut_stream_after = 3
    response = site.gateways[0].send_request("/talk/x", "r-1", b"", "oak", events=8)
    assert event_ids(response) == [1, 2, 3, 4, 5, 6, 7, 8]
    assert response.is_complete
    assert sum(e.runs["r-1"] for e in site.engines) == 2


def test_an_interrupted_stream_that_cannot_resume_ends_as_incomplete(site):
    for engine in site.engines:
        engine.faults.cut_stream_after = 3
    response = site.gateways[0].send_request("/once/x", "r-1", b"", "oak", events=8)
    assert event_ids(response) == [1, 2, 3]
    assert not response.is_complete
    assert sum(e.runs["r-1"] for e in site.engines) == 1


def test_a_client_disconnect_cancels_the_request(site):
    import http.client

    connection = http.client.HTTPConnection(
        "127.0.0.1", site.gateways[0].ports["front"]
    )
    headers = {"Host": "site.example", "Request-Id": "r", "Deadline-Ms": "4000"}
    connection.request(
        "POST", "/talk/x", b"", headers | {"Model": "oak", "Token-Count": "1,100"}
    )
    connection.getresponse().read(20)
    connection.sock.close()
    connection.close()
    site.wait(lambda: sum(e.cancelled for e in site.engines) == 1, 0.5)


def test_a_configuration_takes_effect_on_all_hosts_and_an_older_one_is_ignored(site):
    routes = [route("new", "idempotent", "web")]
    changed = configuration(7, routes=configuration()["routes"][1:] + routes)
    site.call(site.store.write, "keyed.op", "config", changed)
    time.sleep(CONFIGURATION_IN_FORCE_TIMEOUT_S)
    site.call(site.store.write, "keyed.op", "config", configuration(6))
    for number, gateway in enumerate(site.gateways):
        assert gateway.send_request("/new/x", f"a-{number}").status == 200
        assert gateway.send_request("/read/x", f"b-{number}").status == 404


def test_a_change_takes_effect_after_the_store_truncates_a_topic(site):
    site.call(site.store.write, "keyed.op", "config", configuration(3))
    site.call(site.store.truncate, "keyed.op")
    changed = configuration(9, routes=[route("new", "idempotent", "web")])
    site.call(site.store.write, "keyed.op", "config", changed)
    time.sleep(CONFIGURATION_IN_FORCE_TIMEOUT_S)
    for number, gateway in enumerate(site.gateways):
        assert gateway.send_request("/new/x", f"a-{number}").status == 200


def test_a_store_that_comes_back_older_takes_nothing_back(site):
    """A configuration, a registration and a lease are lost, a second time at once."""
    request_until_served(site, site.gateways[0], "oak/a4", LEADER_CHANGE_TIMEOUT_S)
    fence = orders_by_time(site)[-1]["fence"]
    time.sleep(1.0)
    changed = configuration(9)
    changed["routes"].append(route("new", "idempotent", "web"))
    site.call(site.store.write, "keyed.op", "config", changed)
    served = {"new": lambda g: g.send_request("/new/x", f"n-{time.monotonic()}")}
    site.wait(
        lambda: all(served["new"](g).status == 200 for g in site.gateways),
        CONFIGURATION_IN_FORCE_TIMEOUT_S,
    )
    site.call(site.store.go_back, 0.8)
    site.call(site.store.go_back, 0.8)
    until = time.monotonic() + 1.5
    while time.monotonic() < until:
        assert [served["new"](g).status for g in site.gateways] == [200, 200]
    site.wait(lambda: all(g.events("store_era_changed") for g in site.gateways), 4.0)
    for backend in site.backends:
        site.call(backend.register)
    later = configuration(12)
    later["routes"].append(route("later", "idempotent", "web"))
    site.call(site.store.write, "keyed.op", "config", later)
    site.wait(
        lambda: all(
            g.send_request("/later/x", f"l-{time.monotonic()}").status == 200
            for g in site.gateways
        ),
        CONFIGURATION_IN_FORCE_TIMEOUT_S,
    )
    request_until_served(site, site.gateways[1], "oak/a5", LEADER_CHANGE_TIMEOUT_S)
    assert orders_by_time(site)[-1]["fence"] > fence
    registered = [key for key, _ in site.store.topic("keyed.hosts").records]
    assert {g.name for g in site.gateways} <= set(registered)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        {"service": "web"},
        {
            "service": "web",
            "addr": "127.0.0.1:1",
            "zone": "z0",
            "version": "v1",
            "slots": "many",
            "state": "ready",
            "seq": 1,
        },
        {
            "service": "web",
            "addr": "127.0.0.1:1",
            "zone": "z0",
            "version": "v1",
            "slots": 1,
            "state": "resting",
            "seq": 1,
        },
    ],
)
def test_only_the_unreadable_server_entry_is_skipped(site, value):
    site.call(site.store.write, "keyed.servers", "odd", value)
    time.sleep(1.0)
    gateway = site.gateways[0]
    assert all(
        gateway.send_request("/read/x", f"r-{n}").status == 200 for n in range(8)
    )
    assert len(gateway.events("record_unreadable")) == 1
    assert 'name="record_unreadable"' in gateway.metrics()


@pytest.mark.parametrize("how", ["draining", "removed"])
def test_a_draining_or_removed_server_gets_no_requests_after_its_drain_time(site, how):
    backend = site.plain[0]
    if how == "draining":
        backend.state = "draining"
        site.call(backend.register)
    else:
        site.call(site.store.write, "keyed.servers", backend.server, b"")
    drain_started_at = time.monotonic()
    while time.monotonic() < drain_started_at + SERVER_DRAIN_S + 1.0:
        for gateway in site.gateways:
            assert (
                gateway.send_request("/read/x", f"r-{time.monotonic()}").status == 200
            )
    assert not [at for at in backend.arrivals if at > drain_started_at + SERVER_DRAIN_S]


def test_a_server_that_announces_to_leave_gets_no_requests_from_any_host(site):
    """The announcement is in its responses only; its entry in the store stays."""
    backend = site.plain[0]
    backend.is_leaving = True
    announced_at = time.monotonic()
    while time.monotonic() < announced_at + SERVER_DRAIN_S + 1.0:
        for gateway in site.gateways:
            response = gateway.send_request("/read/x", f"r-{time.monotonic()}")
            assert response.status == 200
            assert "server-leaving" not in response.headers
    assert not [at for at in backend.arrivals if at > announced_at + SERVER_DRAIN_S]
    site.run(backend.crash(0.1))
    arrivals = len(backend.arrivals)
    site.wait(
        lambda: (
            site.gateways[0].send_request("/read/x", f"s-{time.monotonic()}").status
            == 200
            and len(backend.arrivals) > arrivals
        ),
        4.0,
    )


def test_a_server_that_turns_requests_away_is_left_alone_for_the_time_it_names(site):
    backend = site.plain[0]
    backend.faults.turn_away_s = TURN_AWAY_S
    started_at = time.monotonic()
    while time.monotonic() < started_at + TURN_AWAY_S:
        for gateway in site.gateways:
            response = gateway.send_request("/read/x", f"r-{time.monotonic()}")
            assert response.status == 200
    assert 1 <= len(backend.turned_away) <= len(site.gateways)


@pytest.mark.parametrize("outage", ["busy", "silent", "reset"])
def test_requests_are_served_during_a_store_outage(site, outage):
    site.store.outage = outage
    site.wait(lambda: all(g.events("dependency_lost") for g in site.gateways), 5.0)
    for number, gateway in enumerate(site.gateways):
        assert gateway.send_request("/read/x", f"r-{number}").status == 200
        assert gateway.send_request("/talk/x", f"t-{number}", b"", "oak").status == 200
        assert gateway.is_ready()
    site.store.outage = ""
    changed = configuration(9, routes=[route("new", "idempotent", "web")])
    site.call(site.store.write, "keyed.op", "config", changed)
    site.wait(
        lambda: all(
            g.send_request("/new/x", f"n-{time.monotonic()}").status == 200
            for g in site.gateways
        ),
        4.0,
    )
    site.wait(lambda: all(g.events("dependency_regained") for g in site.gateways), 5.0)


def test_a_planned_stop_interrupts_no_request(site):
    """Streams in progress end completely; new requests go to other hosts."""
    stopping = site.gateways[0]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        streams = [
            pool.submit(stopping.send_request, "/talk/x", f"r-{n}", b"", "oak", 60)
            for n in range(4)
        ]
        time.sleep(0.3)
        stopping.signal(signal.SIGTERM)
        time.sleep(0.1)
        assert not stopping.is_ready()
        late = stopping.send_request("/read/x", "late")
        assert late.status == 200
        assert late.headers["connection"] == "close"
        responses = [stream.result() for stream in streams]
    assert all(event_ids(r) == list(range(1, 61)) and r.is_complete for r in responses)
    assert stopping.process.wait(10) == 0
    assert stopping.events("host_stop")


def test_a_reload_signal_interrupts_no_request(site):
    gateway = site.gateways[0]
    text = gateway.settings.read_text()
    gateway.settings.write_text(text.replace("a test's", "changed"))
    gateway.signal(signal.SIGHUP)
    assert gateway.send_request("/read/x", "r").status == 200
    gateway.settings.write_text("{ not settings")
    gateway.signal(signal.SIGHUP)
    assert gateway.send_request("/read/x", "s").status == 200
    site.wait(lambda: any("invalid" in e for e in gateway.events("host_reload")), 2.0)
    assert gateway.process.poll() is None


def orders_by_time(site):
    return sorted((o for e in site.engines for o in e.orders), key=lambda o: o["at"])


def request_until_served(site, gateway, model, timeout_s):
    """Repeat a request after each Retry-After time; return the seconds it took."""
    number, started_at = 0, time.monotonic()
    while time.monotonic() - started_at < timeout_s:
        number += 1
        response = gateway.send_request(
            "/talk/x", f"{gateway.name}-{model}-{number}", b"", model
        )
        if response.status == 200:
            return time.monotonic() - started_at
        assert response.status == 503, response
        time.sleep(float(response.headers["retry-after"]))
    raise AssertionError(f"{model} was not served in {timeout_s} s")


@pytest.mark.parametrize("how", ["kill", "freeze", "reassign"])
def test_another_host_becomes_leader_when_leadership_is_lost(site, how):
    request_until_served(site, site.gateways[0], "oak/a4", LEADER_CHANGE_TIMEOUT_S)
    leader = next(
        g for g in site.gateways if orders_by_time(site)[-1]["holder"] == g.name
    )
    other = next(g for g in site.gateways if g is not leader)
    fence = orders_by_time(site)[-1]["fence"]
    if how == "kill":
        leader.kill()
    elif how == "freeze":
        leader.signal(signal.SIGSTOP)
    else:
        site.call(site.store.reassign, "engine-orders", other.name)
    time.sleep(0.5)
    request_until_served(site, other, "oak/a5", LEADER_CHANGE_TIMEOUT_S)
    if how == "freeze":
        leader.signal(signal.SIGCONT)
        time.sleep(1.0)
        request_until_served(site, other, "oak/a6", LEADER_CHANGE_TIMEOUT_S)
    orders = orders_by_time(site)
    assert orders[-1]["holder"] == other.name
    assert orders[-1]["fence"] > fence
    fences = [order["fence"] for order in orders]
    assert fences == sorted(fences)
    assert [v for e in site.engines for v in e.violations] == []


def test_a_request_that_crashes_servers_is_quarantined(site):
    for backend in site.plain:
        backend.faults.poison = b"poison"
    run_count = 0
    for number in range(8):
        response = site.gateways[number % 2].send_request(
            "/read/x", f"p-{number}", b"poison"
        )
        run_count = sum(
            sum(v for k, v in b.runs.items() if k.startswith("p-")) for b in site.plain
        )
        if response.status == 403:
            break
        time.sleep(0.7)
    assert run_count <= 6
    assert site.gateways[0].send_request("/read/x", "p-last", b"poison").status == 403
    # The other host merges the recorded crashes from digests.
    site.wait(
        lambda: site.gateways[1].send_request("/read/x", "q", b"poison").status == 403,
        2.0,
    )
    # The crashed servers start again under the same ids.
    site.wait(
        lambda: site.gateways[0].send_request("/read/x", "good").status == 200, 3.0
    )


def test_an_engine_restarted_under_the_same_id_has_no_resident_models(site):
    request_until_served(site, site.gateways[0], "oak", LEADER_CHANGE_TIMEOUT_S)
    threading.Thread(
        target=lambda: [site.run(e.crash(0.3)) for e in site.engines]
    ).start()
    time.sleep(1.5)
    request_until_served(site, site.gateways[0], "oak", LEADER_CHANGE_TIMEOUT_S)
    assert [v for e in site.engines for v in e.violations] == []


def test_metrics_count_rejections_by_reason(site):
    site.gateways[0].send_request("/none/x", "r")
    assert 'refusals_total{reason="no_route"} 1.0' in re.sub(
        r"otel_scope[^,}]*,?", "", site.gateways[0].metrics()
    ).replace(",}", "}")


def test_log_events_of_a_request_contain_its_id(site):
    site.gateways[0].send_request("/read/x", "read-7")
    site.gateways[0].send_request("/none/x", "none-7")
    site.wait(lambda: len(site.gateways[0].events("request_refused")) == 1, 1.0)
    (ended,) = [e for e in site.gateways[0].events("request_ended") if "read-7" in e]
    for part in (
        "outcome=answered",
        "route=read",
        "sends=1",
        "status=200",
        "server=web-",
    ):
        assert part in ended
    (refused,) = site.gateways[0].events("request_refused")
    assert "none-7" in refused
    assert "outcome=no_route" in refused


def test_a_refusal_names_the_model_and_adapter_that_were_asked_for(site):
    site.gateways[0].send_request("/talk/x", "talk-7", b"", "unknown/a3")
    site.wait(lambda: len(site.gateways[0].events("request_refused")) == 1, 1.0)
    (refused,) = site.gateways[0].events("request_refused")
    assert "outcome=unknown_model" in refused
    assert "model=unknown adapter=a3" in refused

"""The gateway as real processes, with real signals, on small stand-ins."""

import concurrent.futures
import itertools
import re
import signal
import threading
import time

import pytest

from standins.site.deployment import MODELS, SiteDeployment, configuration, route

IN_FORCE_S = 2.0
"""Time within which a configuration must be in force."""
SERVER_DRAIN_S = 2.0
"""Time after which a leaving server must get nothing new."""
EVICTION_S = 0.3
"""Time from the order to evict a model that no request uses to the next load, below
the time after which an engine in doubt is asked."""
MODEL_TURN_S = 6.0
"""Time within which a rare model is served while all places are taken: new copies stay
4 s, then an eviction, a load and a caller's return."""
SUCCESSION_S = 10.0
"""Time within which another host gives orders: the lease, its wait, and the load."""


@pytest.fixture
def site():
    with SiteDeployment() as deployment:
        yield deployment
        assert deployment.failures() == []


def event_ids(reply):
    return [int(n) for n in re.findall(rb"id: (\d+)\n", reply.body)]


def test_every_kind_of_request_is_served_whole_and_runs_once(site):
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
def test_what_no_route_allows_is_refused(site, path, headers, status):
    assert site.gateways[0].send_request(path, "r", headers=headers).status == status
    assert not any(backend.runs for backend in site.backends)


def test_headers_that_only_the_gateway_sets_are_dropped(site):
    reply = site.gateways[0].send_request(
        "/read/x", "r", headers={"Expect-Worker": "nobody", "Request-Prio": "0"}
    )
    assert reply.status == 200


def test_a_model_or_adapter_that_nobody_holds_is_loaded(site):
    model = next(m for m in ("ash", "fir", "yew"))
    for adapter in ("a1", "a2", "a3", "a4", "a5"):
        reply = site.gateways[1].send_request(
            "/talk/x", f"r-{adapter}", b"", f"{model}/{adapter}"
        )
        if reply.status == 503:
            time.sleep(float(reply.headers["retry-after"]))
            reply = site.gateways[0].send_request(
                "/talk/x", f"s-{adapter}", b"", f"{model}/{adapter}"
            )
        assert reply.status == 200, reply
    orders = sorted((o for e in site.engines for o in e.orders), key=lambda o: o["at"])
    assert len({order["holder"] for order in orders}) == 1
    assert [o["fence"] for o in orders] == sorted(o["fence"] for o in orders)
    assert [v for e in site.engines for v in e.violations] == []


def test_a_model_that_nobody_uses_makes_room_for_one_that_is_asked_for(site):
    """Replays rare models in turn: five models, and memory for four."""
    for turn in range(2):
        for model in MODELS:
            ask_until_served(site, site.gateways[turn], model, MODEL_TURN_S)
    waits = []
    for engine in site.engines:
        for before, after in itertools.pairwise(engine.orders):
            if (before["op"], after["op"]) == ("evict", "load"):
                waits.append(after["at"] - before["at"])
    assert waits
    assert min(waits) < EVICTION_S
    assert [v for e in site.engines for v in e.violations] == []


@pytest.mark.parametrize(
    ("path", "model", "may_repeat"),
    [("/read/x", "", True), ("/write/x", "", False), ("/talk/x", "oak", True)],
)
def test_a_lost_answer_is_only_asked_for_again_where_that_is_allowed(
    site, path, model, may_repeat
):
    servers = site.engines if model else site.plain
    servers[0].faults.reset_next = 1
    replies = [
        site.gateways[0].send_request(path, f"r-{n}", b"", model) for n in range(6)
    ]
    runs = [sum(server.runs[f"r-{n}"] for server in servers) for n in range(6)]
    lost = [n for n in range(6) if replies[n].status != 200]
    if may_repeat:
        assert lost == []
        assert sorted(runs) == [1, 1, 1, 1, 1, 2]
    else:
        assert [replies[n].status for n in lost] == [502]
        assert runs == [1] * 6


def test_a_cut_stream_goes_on_at_its_last_whole_event(site):
    for engine in site.engines:
        engine.faults.cut_stream_after = 3
    first = site.gateways[0].send_request("/talk/x", "r-1", b"", "oak", events=8)
    assert event_ids(first) == [1, 2, 3, 4, 5, 6, 7, 8]
    assert first.is_complete
    assert sum(e.runs["r-1"] for e in site.engines) == 2


def test_a_cut_stream_that_may_not_go_on_does_not_look_complete(site):
    for engine in site.engines:
        engine.faults.cut_stream_after = 3
    reply = site.gateways[0].send_request("/once/x", "r-1", b"", "oak", events=8)
    assert event_ids(reply) == [1, 2, 3]
    assert not reply.is_complete
    assert sum(e.runs["r-1"] for e in site.engines) == 1


def test_a_caller_that_leaves_ends_the_work(site):
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


def test_a_configuration_is_in_force_everywhere_in_time_and_stays(site):
    routes = [route("new", "idempotent", "web")]
    changed = configuration(7, routes=configuration()["routes"][1:] + routes)
    site.call(site.store.write, "keyed.op", "config", changed)
    time.sleep(IN_FORCE_S)
    site.call(site.store.write, "keyed.op", "config", configuration(6))
    for number, gateway in enumerate(site.gateways):
        assert gateway.send_request("/new/x", f"a-{number}").status == 200
        assert gateway.send_request("/read/x", f"b-{number}").status == 404


def test_a_store_that_forgets_its_history_hides_no_change(site):
    site.call(site.store.write, "keyed.op", "config", configuration(3))
    site.call(site.store.truncate, "keyed.op")
    changed = configuration(9, routes=[route("new", "idempotent", "web")])
    site.call(site.store.write, "keyed.op", "config", changed)
    time.sleep(IN_FORCE_S)
    for number, gateway in enumerate(site.gateways):
        assert gateway.send_request("/new/x", f"a-{number}").status == 200


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
def test_an_entry_that_cannot_be_read_is_skipped_alone(site, value):
    site.call(site.store.write, "keyed.servers", "odd", value)
    time.sleep(1.0)
    gateway = site.gateways[0]
    assert all(
        gateway.send_request("/read/x", f"r-{n}").status == 200 for n in range(8)
    )
    assert len(gateway.events("record_unreadable")) == 1
    assert 'name="record_unreadable"' in gateway.metrics()


@pytest.mark.parametrize("how", ["draining", "removed"])
def test_a_leaving_server_gets_nothing_new_after_its_time(site, how):
    leaving = site.plain[0]
    if how == "draining":
        leaving.state = "draining"
        site.call(leaving.register)
    else:
        site.call(site.store.write, "keyed.servers", leaving.server, b"")
    told = time.monotonic()
    while time.monotonic() < told + SERVER_DRAIN_S + 1.0:
        for gateway in site.gateways:
            assert (
                gateway.send_request("/read/x", f"r-{time.monotonic()}").status == 200
            )
    assert not [at for at in leaving.arrivals if at > told + SERVER_DRAIN_S]


@pytest.mark.parametrize("outage", ["busy", "silent", "reset"])
def test_requests_go_on_while_the_store_is_away(site, outage):
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


def test_a_planned_stop_cuts_no_request(site):
    """Streams that are in work end whole; new requests go to other hosts."""
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
        replies = [stream.result() for stream in streams]
    assert all(event_ids(r) == list(range(1, 61)) and r.is_complete for r in replies)
    assert stopping.process.wait(10) == 0
    assert stopping.events("host_stop")


def test_a_signal_to_reload_interrupts_nothing(site):
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


def orders_of(site):
    return sorted((o for e in site.engines for o in e.orders), key=lambda o: o["at"])


def ask_until_served(site, gateway, model, timeout_s):
    """Ask as a caller that comes back when it is told to."""
    number, began = 0, time.monotonic()
    while time.monotonic() - began < timeout_s:
        number += 1
        reply = gateway.send_request(
            "/talk/x", f"{gateway.name}-{model}-{number}", b"", model
        )
        if reply.status == 200:
            return time.monotonic() - began
        assert reply.status == 503, reply
        time.sleep(float(reply.headers["retry-after"]))
    raise AssertionError(f"{model} was not served in {timeout_s} s")


@pytest.mark.parametrize("how", ["kill", "freeze", "reassign"])
def test_another_host_gives_the_orders_when_their_holder_is_gone(site, how):
    ask_until_served(site, site.gateways[0], "oak/a4", SUCCESSION_S)
    holder = next(g for g in site.gateways if orders_of(site)[-1]["holder"] == g.name)
    other = next(g for g in site.gateways if g is not holder)
    fence = orders_of(site)[-1]["fence"]
    if how == "kill":
        holder.kill()
    elif how == "freeze":
        holder.signal(signal.SIGSTOP)
    else:
        site.call(site.store.reassign, "engine-orders", other.name)
    time.sleep(0.5)
    ask_until_served(site, other, "oak/a5", SUCCESSION_S)
    if how == "freeze":
        holder.signal(signal.SIGCONT)
        time.sleep(1.0)
        ask_until_served(site, other, "oak/a6", SUCCESSION_S)
    orders = orders_of(site)
    assert orders[-1]["holder"] == other.name
    assert orders[-1]["fence"] > fence
    fences = [order["fence"] for order in orders]
    assert fences == sorted(fences)
    assert [v for e in site.engines for v in e.violations] == []


def test_a_request_that_kills_its_servers_is_kept_from_the_rest(site):
    for backend in site.plain:
        backend.faults.poison = b"poison"
    deaths = 0
    for number in range(8):
        reply = site.gateways[number % 2].send_request(
            "/read/x", f"p-{number}", b"poison"
        )
        deaths = sum(
            sum(v for k, v in b.runs.items() if k.startswith("p-")) for b in site.plain
        )
        if reply.status == 403:
            break
        time.sleep(0.7)
    assert deaths <= 6
    assert site.gateways[0].send_request("/read/x", "p-last", b"poison").status == 403
    site.wait(
        lambda: site.gateways[1].send_request("/read/x", "q", b"poison").status == 403,
        2.0,
    )
    site.wait(
        lambda: site.gateways[0].send_request("/read/x", "good").status == 200, 3.0
    )


def test_an_engine_that_restarts_under_its_id_holds_nothing(site):
    ask_until_served(site, site.gateways[0], "oak", SUCCESSION_S)
    threading.Thread(
        target=lambda: [site.run(e.crash(0.3)) for e in site.engines]
    ).start()
    time.sleep(1.5)
    ask_until_served(site, site.gateways[0], "oak", SUCCESSION_S)
    assert [v for e in site.engines for v in e.violations] == []


def test_metrics_count_refusals_by_their_reason(site):
    site.gateways[0].send_request("/none/x", "r")
    assert 'refusals_total{reason="no_route"} 1.0' in re.sub(
        r"otel_scope[^,}]*,?", "", site.gateways[0].metrics()
    ).replace(",}", "}")


def test_a_request_can_be_followed_by_its_id(site):
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

"""Explanations of where a host would route a request, without a network."""

import asyncio
import json
import pickle
import random
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination import planned_stop
from sequoiapoint.coordination.planned_stop import PlannedStop
from sequoiapoint.coordination.slot_allocator import released
from sequoiapoint.node.explanation import Explainer
from sequoiapoint.node.gateway_host import GatewayHost
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.server_selector import ServerSelector
from sequoiapoint.protocol.allowances import AllowanceReply
from sequoiapoint.protocol.api_keys import key_digest, key_label
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.explain_query import parse_explain_query
from sequoiapoint.protocol.gateway import (
    Allowance,
    CallerLimits,
    CallerRequest,
    EngineSpec,
    GatewayConfiguration,
    HeldModel,
    ModelSpec,
    Organisation,
    Repeatability,
    Route,
    ServerEntry,
    ServerState,
    ServiceSpec,
)
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.protocol.slots import SlotOutcome, SlotQuality, SlotRequest
from sequoiapoint.state.keyed_topic import KeyedTopic
from sequoiapoint.state.topic_freshness import TopicFreshness
from sequoiapoint.transport.clock import monotonic_s, since_boot_s

KEY = b"key-of-north-4711"
LABEL = key_label(key_digest(KEY))
ALLOWANCE = Allowance(10.0, 20.0)
NORTH = Organisation("north", 1, ALLOWANCE)
MANY_HOSTS = 20
QUERY = "host=h&path=/talk/x&model=oak&adapter=oak-1&organisation=north"
BACK_OFF_S = 5.0


def route(name, service, **changes):
    fields = {
        "repeatability": Repeatability.IDEMPOTENT,
        "is_stream": service == "lm",
        "is_resumable": False,
        "timeout_s": 4.0,
        "goal_s": 0.3,
        "max_event_gap_s": 0.1,
        "attempts": 2,
        "priority": 0,
    }
    targets = ((service, 1.0),)
    return Route(name, "h", f"/{name}/", targets, **(fields | changes))


class Site:
    """One host with engines and plain servers; messages are recorded, not sent."""

    def __init__(self, engines=3, zones=1, allocates=False):
        settings = SimpleNamespace(
            **{"host": "h-0", "zone": "z0", "peer_address": "10.0.0.1:7"},
            **{"link_mbps": 100.0, "cpu_share": 1.0, "cpu_speed": 1.0},
            bounds=Bounds(),
        )
        self.logged, self.sent = [], []
        self.state = GatewayState(
            settings,
            adapter=None,
            metrics=SimpleNamespace(event=lambda *a: None),
            log=SimpleNamespace(event=lambda *a, **f: self.logged.append((a, f))),
            started_ms=1,
            rng=random.Random(3),
        )
        watch = SimpleNamespace(
            reads_via_relay=None,
            **{
                name: SimpleNamespace(
                    topic=name, content=KeyedTopic(), freshness=TopicFreshness()
                )
                for name in ("configuration", "servers")
            },
        )
        store = SimpleNamespace(is_reachable=True, era=0, on_era_change=[])
        self.exchange = PeerExchange(self.state, store, watch)
        self.exchange._sender.transport = SimpleNamespace(
            sendto=lambda *datagram: self.sent.append(datagram)
        )
        model = ModelSpec("oak", 90.0, 1.0, 1.0, 1.0, ("oak-1",))
        engine = EngineSpec(8, 200.0, 3, 5.0, {"oak": model})
        self.configuration = GatewayConfiguration(
            1,
            (route("talk", "lm"), route("open", "lm", is_public=True)),
            {"lm": ServiceSpec("lm", 1000, engine)},
            CallerLimits(),
            {key_digest(KEY): NORTH},
        )
        self.state.set_configuration(self.configuration)
        self.logged.clear()
        self.entries = [self.put(f"s-{n}", f"z{n % zones}") for n in range(engines)]
        if allocates:
            self.state.recent_max_host_count = MANY_HOSTS
            for seconds in (-0.8, 0.0):
                self.exchange.slots.refresh(monotonic_s() + seconds)

    def put(self, server, zone, state=ServerState.READY):
        held = (HeldModel("oak", frozenset({"oak-1"})),)
        entry = ServerEntry(server, "lm", "10.1.0.1:9", zone, state, 1, 8, held)
        self.state.fleet.put(entry)
        return entry

    def set_held(self, held):
        self.state.fleet.set_held(self.entries[0].incarnation, held)

    def load(self, entry):
        return self.state.loads.get_or_create(entry.incarnation)

    def credit(self, **reply):
        client = self.exchange.allowances._client("north", ALLOWANCE)
        now = since_boot_s()
        client.credit.apply(AllowanceReply("h-1", 1, **reply), (), now, now)
        return client.credit

    def explain(self, query=QUERY):
        return Explainer(self.state, self.exchange).explain(parse_explain_query(query))

    def serve(self, query):
        replies = []
        responder = SimpleNamespace(send_response=lambda *reply: replies.append(reply))
        request = SimpleNamespace(target=f"/explain?{query}")
        host = SimpleNamespace(_state=self.state, _exchange=self.exchange)
        asyncio.run(GatewayHost._serve_metrics(host, request, responder))
        ((status, _, body),) = replies
        return status, json.loads(body)

    def selector(self):
        request = CallerRequest(
            *("id", "GET", "h", "/talk/x", (), b"", 4.0, "oak", "oak-1"),
            organisation="north",
        )
        now, exchange = monotonic_s(), self.exchange
        found = self.configuration.routes[0]
        return ServerSelector(self.state, exchange, request, found, now, now + 4.0, 1)


def no_configuration(site):
    site.state.configuration = site.state.routes = None


def denied(site):
    site.credit(deny_s=5.0, wait_s=5.0)


def full(site):
    for entry in site.entries:
        for number in range(10):
            site.load(entry).note_sent(number, monotonic_s())
        site.load(entry).note_received(monotonic_s())


def back_off(site):
    for entry in site.entries:
        site.load(entry).note_back_off(monotonic_s() + BACK_OFF_S)


def limited(site):
    for entry in site.entries:
        site.state.note_server_limit(entry.incarnation, 2.0, "test", monotonic_s())


def permits_asked(site):
    limited(site)
    for entry in site.entries:
        asyncio.run(site.exchange.permits.acquire(entry, 1, 2.0))


def no_permit(site):
    site.state.note_server_limit(
        site.entries[0].incarnation, 2.0, "test", monotonic_s()
    )
    site.exchange.permits._denied_until[site.entries[0].incarnation] = (
        monotonic_s() + 1.0
    )


def draining(site):
    site.state.stop = PlannedStop(monotonic_s() - planned_stop.QUEUE_S, 8.0)
    full(site)


@pytest.mark.parametrize(
    ("prepare", "query", "reason", "decision"),
    [
        (no_configuration, QUERY, "no_configuration", "refuse"),
        (None, "host=h&path=/none/x", "no_route", "refuse"),
        (None, "route=talk&model=oak", "no_key", "refuse"),
        (None, "route=talk&key_label=00000000", "unknown_key", "refuse"),
        (None, "route=talk&organisation=south", "unknown_organisation", "refuse"),
        (denied, QUERY, "over_allowance", "refuse"),
        (None, f"route=talk&model=oak&key_label={LABEL}", "", "send"),
        (None, "route=open&model=oak", "", "send"),
        (None, "route=open&model=elm", "", "refuse"),
        (back_off, QUERY, "", "refuse"),
        (limited, QUERY, "", "ask_permit"),
        (full, QUERY, "", "wait"),
        (draining, QUERY, "", "refuse"),
    ],
)  # fmt: skip
def test_an_explanation_names_the_admission_and_the_next_step(
    prepare, query, reason, decision
):
    site = Site()
    if prepare is not None:
        prepare(site)
    reply = site.explain(query)
    assert reply["admission"]["reason"] == reason
    assert reply["admission"]["is_admitted"] == (not reason)
    assert reply["decision"]["step"] == decision
    assert reply["host"]["is_draining"] == (prepare is draining)


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (lambda s: s.set_held({}), "model_not_held"),
        (lambda s: s.set_held({"oak": ()}), "adapter_not_held"),
        (lambda s: s.put("s-0", "z0", ServerState.DRAINING), "draining"),
        (
            lambda s: s.state.fleet.note_leaving(s.entries[0].incarnation, 0.0),
            "leaving",
        ),
        (lambda s: s.load(s.entries[0]).note_back_off(monotonic_s() + 5.0), "back_off"),
        (lambda s: s.load(s.entries[0]).note_connect_failure(monotonic_s()), "avoided"),
        (
            lambda s: s.state.loads.note_connect_failure(
                s.entries[0].incarnation, monotonic_s()
            ),
            "unreachable",
        ),
        (no_permit, "no_permit"),
        (full, "servers_full"),
    ],
)
def test_an_explanation_says_why_a_server_is_passed_over(prepare, reason):
    site = Site()
    prepare(site)
    reply = site.explain()
    reasons = {server["server"]: server["reason"] for server in reply["servers"]}
    assert reasons["s-0"] == reason
    assert ("chosen" in reasons.values()) == (prepare is not full)


@pytest.mark.parametrize("hosts", [1, MANY_HOSTS])
@pytest.mark.parametrize("seed", range(12))
def test_an_explanation_names_the_server_that_the_selector_takes(hosts, seed):
    """Guards against an explanation that follows other rules than the decision.

    With many hosts the allocators are not known, so that the host chooses by itself.
    """
    rng = random.Random(seed)
    site = Site(engines=9, zones=3)
    site.state.host_count = site.state.recent_max_host_count = hosts
    site.state.rng.seed(seed)
    for entry in site.entries:
        for number in range(rng.randrange(12)):
            site.load(entry).note_sent(number, monotonic_s())
        if rng.random() < 0.3:
            rng.choice([back_off, no_permit])(
                SimpleNamespace(
                    state=site.state,
                    exchange=site.exchange,
                    entries=[entry],
                    load=site.load,
                )
            )
    explained = site.explain()["decision"]
    taken = asyncio.run(asyncio.wait_for(site.selector().select(), 6.0))
    assert explained["step"] == "send"
    assert explained["server"] == taken.server


def snapshot(site):
    allowances, permits = site.exchange.allowances, site.exchange.permits
    slots, state = site.exchange.slots, site.state
    return pickle.dumps(
        [
            vars(allowances._clients["north"].credit),
            [vars(permits._allocator), permits._denied_until],
            [vars(slots.allocator), slots._tickets, slots._unreachable_until],
            [state.rng.getstate(), state.demand, state.wait_queue._waiting],
        ]
    )


@pytest.mark.parametrize("allocates", [False, True])
@pytest.mark.parametrize("prepare", [lambda s: None, full, permits_asked, denied])
def test_an_explanation_takes_no_slot_permit_or_credit(allocates, prepare):
    site = Site(allocates=allocates)
    site.credit(credit=5.0)
    prepare(site)
    for explained in (site.explain(), site.explain()):
        before = snapshot(site)
        decision = site.explain()["decision"]
        assert decision["step"] == explained["decision"]["step"]
        assert decision["server"] == explained["decision"]["server"]
        assert snapshot(site) == before
    assert site.sent == []


def test_an_allocator_tells_the_wait_that_it_would_predict():
    site = Site(allocates=True)
    decision = site.explain()["decision"]
    assert (decision["step"], decision["allocator"]) == ("ask_slot", "h-0")
    assert decision["predicted_wait_s"] == 0.0
    taken = asyncio.run(site.selector().select())
    assert taken.server in decision["servers"]


@pytest.mark.parametrize(
    ("is_silent", "wait_s", "awaited", "step", "predicted_s"),
    [(False, 0.0, "10.0.0.7:7", "ask_slot", None),
     (False, 0.7, "10.0.0.7:7", "ask_slot", 0.7),
     (False, 0.7, "10.0.0.8:7", "ask_slot", None),
     (True, 0.7, "10.0.0.7:7", "send", None)],
)  # fmt: skip
def test_a_host_knows_what_the_allocator_told_its_waiting_requests(
    monkeypatch, is_silent, wait_s, awaited, step, predicted_s
):
    """A ticket has the wait of the allocator asked last, not of all that it asked."""
    site = Site(allocates=True)
    slots, other = site.exchange.slots, Member("h-7", "z0", "10.0.0.7:7")
    monkeypatch.setattr(slots, "_allocator_of", lambda zone, now: other)
    with slots.ticket() as ticket:
        ticket.asked, ticket.wait_s = {other.address: other}, wait_s
        ticket.asked_at, ticket.awaited = monotonic_s(), awaited
        if is_silent:
            slots._unreachable_until[other.address] = monotonic_s() + 5.0
        decision = site.explain()["decision"]
    assert decision["step"] == step
    assert decision["allocator"] == ("" if is_silent else "h-7")
    assert decision["predicted_wait_s"] == pytest.approx(predicted_s, abs=0.05)


@pytest.mark.parametrize("queued", [0, 5])
def test_the_wait_of_a_full_service_is_the_one_that_a_request_is_told(queued):
    """Guards against a prediction that leaves out the request itself or those ahead."""
    site = Site(engines=1, allocates=True)
    slots, now = site.exchange.slots, monotonic_s()
    allocator = slots.allocator
    requests = [SlotRequest("h-1", n, ("s-0",), 0, 3.0, 0.3) for n in range(20)]
    granted = allocator.request(requests[0], now)
    allocator.release(released(granted, SlotQuality.ON_TIME), now + 0.8)
    for request in requests[1 : 9 + queued]:
        allocator.request(request, now + 0.8)
    decision = site.explain()["decision"]
    told = allocator.request(
        SlotRequest("h-0", 99, ("s-0",), site.explain()["priority"], 4.0, 0.3, "north"),
        monotonic_s(),
    )
    assert told.outcome is SlotOutcome.QUEUED
    assert decision["predicted_wait_s"] == pytest.approx(told.wait_s)
    assert told.wait_s == pytest.approx(0.1 * (queued + 1))


@pytest.mark.parametrize(
    ("query", "parameter"),
    [
        ("", "host"),
        ("host=h", "path"),
        ("host=h&path=x", "path"),
        ("route=r&host=h", "route"),
        ("route=r&prompt_tokens=-1", "prompt_tokens"),
        ("route=r&prompt_tokens=many", "prompt_tokens"),
        ("route=r&route=r", "route"),
        ("route=r&adapter=a", "model"),
        ("route=r&organisation=a&key_label=0a0b0c0d", "key_label"),
        ("route=r&modell=oak", "modell"),
        ("route=r&model=" + 300 * "a", "model"),
        (f"route=r&key_label={KEY.decode()}", "key_label"),
        (f"route=r&{KEY.decode()}", ""),
        ("route=%ff", ""),
    ],
)
def test_an_invalid_parameter_is_named_without_its_value(query, parameter):
    site = Site()
    status, reply = site.serve(query)
    assert status == 400
    assert reply["error"]["parameter"] == parameter
    assert [event for event, _ in site.logged] == [("explain", "invalid")]
    assert KEY.decode() not in repr((reply, site.logged))


@pytest.mark.parametrize("name", ["host", "model", "organisation", "key_label"])
def test_a_key_appears_in_no_reply_and_no_log(name):
    """An operator may send a key by mistake; the configuration has its digest only."""
    site = Site()
    values = {"host": "h", "path": "/talk/x", "model": "oak"} | {name: KEY.decode()}
    reply = site.serve("&".join(f"{k}={v}" for k, v in values.items()))
    assert KEY.decode() not in repr((reply, site.logged))
    assert key_digest(KEY).hex() not in repr((reply, site.logged))

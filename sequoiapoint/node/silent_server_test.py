"""Servers that fall silent while they run a request, and go on a little later."""

import asyncio
from dataclasses import replace

import pytest

from sequoiapoint.node.request_forwarder import STREAM_IDLE_TIMEOUT_S
from sequoiapoint.node.request_forwarder_test import (
    ABORTED,
    CRASH,
    END,
    ENTRY,
    SIGNED,
    Site,
)
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.state.server_limits import LimitNotice
from sequoiapoint.transport.async_http_client import Exchange, ExchangeOutcome
from sequoiapoint.transport.clock import monotonic_s

SILENCE_S = STREAM_IDLE_TIMEOUT_S + 0.3
BUDGET_S = 8.0
REFUSAL_S = 0.2
"""Time in which a server turns a request away."""
FIRST, SECOND = b"id: 1\ndata: x\n\n", b"id: 2\ndata: y\n\n"


def event_from(server):
    """Return the second event of a stream, as one server writes it."""
    return b"id: 2\ndata: " + server.encode() + b"\n\n"


def silent_site(monkeypatch, *others, **route):
    """Return a site whose first server is silent for a while after its response began.

    :param others: The other servers, all busier than the first one.
    """
    names = ["s-1", *others]
    entries = [replace(ENTRY, server=name, version="v1") for name in names]
    site = Site(monkeypatch, *entries)
    site.route = replace(
        site.route, is_stream=True, is_resumable=True, attempts=3, timeout_s=BUDGET_S
    )
    site.route = replace(site.route, **route)
    for name in others:
        site.state.loads.get_or_create((name, 1)).note_sent(-1, monotonic_s())
        site.state.loads.get_or_create((name, 1)).note_received(monotonic_s() + 60.0)
    body = FIRST if site.route.is_stream else b""
    site.responses = {"s-1": [(200, [SIGNED], body)]}
    site.responses |= {name: [(200, [SIGNED], event_from(name))] for name in others}
    return site


async def request(site, silence_s=SILENCE_S, has_begun=True):
    """Send a request whose first server goes on after a silence.

    :param has_begun: Whether the response has begun before the silence.
    """
    exchanges = []
    send = site._send

    def scripted_send(entry, accepts):
        if entry.server != "s-1":
            site.is_endless = False
            return send(entry, accepts)
        site.is_endless = True
        if has_begun:
            exchange = send(entry, accepts)
        else:
            site.sent.append(entry.server)
            exchange = Exchange(asyncio.get_running_loop(), accepts)
            site.exchange = exchange
        exchanges.append(exchange)
        asyncio.get_running_loop().call_later(silence_s, go_on, exchange, accepts)
        return exchange

    def go_on(exchange, accepts):
        if exchange.outcome.done():
            return
        if not has_begun:
            accepts(200, [SIGNED])
            exchange.head.set_result((200, [SIGNED]))
        exchange.receive(event_from("s-1") if site.route.is_stream else b"answer")
        exchange.finish(ExchangeOutcome.COMPLETE)

    site._send = scripted_send
    answer = await site.request(budget_s=BUDGET_S)
    return answer, exchanges[0].outcome.result()


def no_other(site):
    site.state.fleet.remove("s-2")


def others_full(site):
    load = site.state.loads.get_or_create(("s-2", 1))
    for number in range(100):
        load.note_sent(-2 - number, monotonic_s())


def others_unreachable(site):
    connect = site._connect

    async def fail(entry):
        if entry.server == "s-1":
            return await connect(entry)
        return Failure(FailureKind.NOT_SENT, "connect_timeout", "connect", "s-2")

    site._connect = fail


def others_silent(site):
    site.state.loads.get_or_create(("s-2", 1)).last_received_at = 0.0
    site.state.loads.get_or_create(("s-2", 1)).sent_at = {-1: monotonic_s() - 5.0}


def no_retry_left(site):
    window = site.state.retry_window("web")
    while window.try_acquire(monotonic_s(), 1):
        pass


def version_uncertain(site):
    site.origins.uncertain.add("s-1")


def others_of_another_version(site):
    site.state.fleet.put(replace(ENTRY, server="s-2", version="v2"))


def no_longer_admitted(site):
    keyed = replace(site.state.configuration, version=2, organisations={})

    def come_into_force(server):
        if server == "s-2":
            site.state.configuration = keyed

    site.on_connect = come_into_force


OBSTACLES = [
    no_other,
    others_full,
    others_unreachable,
    others_silent,
    no_retry_left,
    version_uncertain,
    others_of_another_version,
    no_longer_admitted,
]


@pytest.mark.parametrize("obstacle", OBSTACLES, ids=lambda f: f.__name__)
def test_a_stream_whose_server_falls_silent_goes_on_there_if_no_other_can_take_it(
    monkeypatch, obstacle
):
    """Its caller's connection was closed, although the server went on soon after."""
    site = silent_site(monkeypatch, "s-2")
    obstacle(site)
    (status, _), outcome = asyncio.run(request(site))
    assert status == 200
    assert site.sent == ["s-1"]
    assert site.streamed == [FIRST, event_from("s-1"), END]
    assert outcome is ExchangeOutcome.COMPLETE


def test_a_stream_whose_server_stays_silent_goes_on_at_another(monkeypatch):
    site = silent_site(monkeypatch, "s-2")
    (status, _), outcome = asyncio.run(request(site, silence_s=BUDGET_S))
    assert status == 200
    assert site.sent == ["s-1", "s-2"]
    assert site.streamed == [FIRST, event_from("s-2"), END]
    assert outcome is ExchangeOutcome.ABANDONED


def test_a_silent_server_is_left_before_another_one_runs_the_request(monkeypatch):
    """No two servers work on a request at the same time."""
    site = silent_site(monkeypatch, "s-2")
    outcomes = []
    send = site._send

    def check(entry, accepts):
        if site.exchange is not None:
            outcomes.append(site.exchange.outcome.done())
        return send(entry, accepts)

    site._send = check
    asyncio.run(request(site, silence_s=BUDGET_S))
    assert outcomes == [True]


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("obstacle", OBSTACLES[:5], ids=lambda f: f.__name__)
def test_a_request_whose_server_falls_silent_is_answered_by_it_if_no_other_can(
    monkeypatch, obstacle, is_stream
):
    """It was answered with 502 or 504 after a part of its time."""
    site = silent_site(monkeypatch, "s-2", is_stream=is_stream, timeout_s=2.0)
    obstacle(site)
    (status, _), outcome = asyncio.run(
        request(site, silence_s=SILENCE_S, has_begun=False)
    )
    assert (status, site.sent) == (200, ["s-1"])
    assert outcome is ExchangeOutcome.COMPLETE


def test_a_stream_without_another_server_ends_at_its_deadline(monkeypatch):
    site = silent_site(monkeypatch, timeout_s=2.0)
    started_at = monotonic_s()
    asyncio.run(request(site, silence_s=BUDGET_S))
    assert 1.9 < monotonic_s() - started_at < 2.5
    assert site.streamed[-1] == ABORTED


def test_a_request_stays_at_its_silent_server_if_another_is_found_too_late(monkeypatch):
    """It was taken from there and then not sent to the other one: 504, or cut off."""
    site = silent_site(monkeypatch, "s-2", timeout_s=2.0)
    connect = site._connect

    async def connect_late(entry):
        if entry.server == "s-2":
            await asyncio.sleep(0.65)
        return await connect(entry)

    site._connect = connect_late
    (status, _), outcome = asyncio.run(request(site, silence_s=1.95))
    assert status == 200
    assert site.sent == ["s-1"]
    assert site.streamed == [FIRST, event_from("s-1"), END]
    assert outcome is ExchangeOutcome.COMPLETE


def test_a_caller_that_leaves_as_another_server_is_ready_leaves_no_connection(
    monkeypatch,
):
    """Its connection stayed open, and its slot taken."""
    site = silent_site(monkeypatch, "s-2")
    site.is_endless = True
    connect, closed = site._connect, []

    async def leave_then_connect(entry):
        connection = await connect(entry)
        if entry.server == "s-2":
            connection.close = lambda: closed.append(entry.server)
            asyncio.get_running_loop().call_soon(leave)
        return connection

    site._connect = leave_then_connect

    async def run():
        nonlocal leave
        task = asyncio.ensure_future(site.request(BUDGET_S))
        leave = task.cancel
        with pytest.raises(asyncio.CancelledError):
            await task

    leave = None
    asyncio.run(run())
    assert site.sent == ["s-1"]
    assert closed == ["s-2"]


def test_streams_of_a_silent_server_do_not_all_go_to_the_same_other_one(monkeypatch):
    """Each search saw the same server free until the connections of all were open."""
    names = ["s-2", "s-3"]
    site = silent_site(monkeypatch, *names)
    site.responses = {name: 4 * site.responses[name] for name in ["s-1", *names]}
    chosen = []
    connect, send = site._connect, site._send

    def scripted_send(entry, accepts):
        site.is_endless = entry.server == "s-1"
        return send(entry, accepts)

    async def connect_late(entry):
        if entry.server != "s-1":
            chosen.append(entry.server)
            await asyncio.sleep(0.1)
        return await connect(entry)

    site._connect, site._send = connect_late, scripted_send
    site.state.rng.random = lambda: 0.0
    for name in names:
        site.state.fleet.remove(name)

    async def run():
        streams = [asyncio.ensure_future(site.request(BUDGET_S)) for _ in range(4)]
        await asyncio.sleep(0.1)
        for name in names:
            site.state.fleet.put(replace(ENTRY, server=name, version="v1"))
        await asyncio.gather(*streams)

    asyncio.run(run())
    assert sorted(chosen) == ["s-2", "s-2", "s-3", "s-3"]
    loads = [site.state.loads.get_or_create((name, 1)) for name in ["s-1", *names]]
    assert [load.local_running for load in loads] == [0, 1, 1]


def test_a_server_that_goes_on_with_its_streams_is_not_silent(monkeypatch):
    """It was avoided, and other streams' servers were not replaced by it."""
    site = silent_site(monkeypatch, "s-2")
    events = [b"id: %d\ndata: x\n\n" % number for number in range(2, 8)]
    load = site.state.loads.get_or_create(("s-1", 1))
    send, are_avoided = site._send, []

    def scripted_send(entry, accepts):
        site.is_endless = True
        exchange = send(entry, accepts)
        asyncio.ensure_future(write_events(exchange))
        return exchange

    async def write_events(exchange):
        for event in events:
            await asyncio.sleep(0.3)
            are_avoided.append(load.is_avoided(monotonic_s()))
            exchange.receive(event)
        exchange.finish(ExchangeOutcome.COMPLETE)

    site._send = scripted_send
    asyncio.run(site.request(BUDGET_S))
    assert site.streamed == [FIRST, *events, END]
    assert are_avoided == [False] * len(events)


@pytest.mark.parametrize("pause_s", [SILENCE_S, 2 * SILENCE_S])
def test_a_stream_that_its_caller_reads_slowly_stays_at_its_server(
    monkeypatch, pause_s
):
    """It was moved to another server, as no data was read from the first one."""
    site = silent_site(monkeypatch, "s-2")

    async def scenario():
        task = asyncio.ensure_future(request(site, silence_s=pause_s + 0.2))
        await asyncio.sleep(0.05)
        pause, resume = site.flow_control
        pause()
        asyncio.get_running_loop().call_later(pause_s, resume)
        return await task

    (status, _), outcome = asyncio.run(scenario())
    assert (status, site.sent) == (200, ["s-1"])
    assert site.streamed == [FIRST, event_from("s-1"), END]
    assert outcome is ExchangeOutcome.COMPLETE


@pytest.mark.parametrize("is_other_avoided", [False, True])
def test_no_permit_is_asked_for_servers_that_cannot_take_over(
    monkeypatch, is_other_avoided
):
    """A stream took permits of its own silent server, five times a second."""
    site = silent_site(monkeypatch, *(["s-2"] if is_other_avoided else []))
    asked, permits = [], site.permits

    def record(entry, max_wait_s):
        asked.append(entry.server)
        return permits(entry, max_wait_s)

    site.permits = record
    for name in ("s-1", "s-2"):
        site.state.limits.note(LimitNotice((name, 1), 5.0, monotonic_s()))
    # The response keeps the limit in force.
    site.state.note_server_limit = lambda *notice: None
    if is_other_avoided:
        site.state.loads.get_or_create(("s-2", 1)).avoid_until = monotonic_s() + 60.0
    (status, _), _ = asyncio.run(request(site, silence_s=2.0))
    assert (status, site.streamed[-1]) == (200, END)
    assert asked == ["s-1"]


def test_a_stream_that_was_taken_over_may_go_back_to_its_first_server(monkeypatch):
    site = silent_site(monkeypatch, "s-2")
    site.responses["s-1"].append((200, [SIGNED]))
    site.responses["s-2"] = [CRASH]
    asyncio.run(request(site, silence_s=2.5))
    assert site.sent == ["s-1", "s-2", "s-1"]
    assert site.streamed == [FIRST, event_from("s-1"), END]


@pytest.mark.parametrize("third", [None, "s-3"])
def test_a_stream_whose_successor_turns_it_away_goes_on(monkeypatch, third):
    """Its caller's connection was closed, as no attempt was left."""
    others = ["s-2", third] if third else ["s-2"]
    site = silent_site(monkeypatch, *others, attempts=2)
    site.responses["s-2"] = [(503, [(b"not-run", b"1"), (b"retry-after", b"0.3")])]
    site.responses["s-2"].append((200, [SIGNED], event_from("s-2")))
    if third:
        for number in range(3):
            site.state.loads.get_or_create((third, 1)).note_sent(
                -2 - number, monotonic_s()
            )

    def remove_first(server):
        if server == "s-2":
            site.state.fleet.remove("s-1")

    site.on_connect = remove_first
    (status, _), _ = asyncio.run(request(site, silence_s=BUDGET_S))
    assert status == 200
    assert site.sent[:2] == ["s-1", "s-2"]
    assert len(site.sent) == 3
    assert site.streamed == [FIRST, event_from(site.sent[2]), END]


@pytest.mark.parametrize("has_third", [False, True])
@pytest.mark.parametrize(
    ("left_s", "is_left"), [(0.35, False), (0.65, False), (0.9, True)]
)
def test_a_begun_stream_leaves_a_silent_server_only_if_one_more_could_be_tried(
    monkeypatch, left_s, is_left, has_third
):
    """It was cut before its deadline: the next server turned it away too late.

    :param left_s: The time that remains when the server counts as silent, in seconds.
    """
    others = ["s-2", "s-3"] if has_third else ["s-2"]
    timeout_s = STREAM_IDLE_TIMEOUT_S + left_s
    site = silent_site(monkeypatch, *others, timeout_s=timeout_s)
    if has_third:
        site.state.loads.get_or_create(("s-3", 1)).note_sent(-2, monotonic_s())
    site.responses["s-2"].insert(0, (503, [(b"not-run", b"1")]))
    send = site._send

    def remove_first(server):
        if server == "s-2":
            site.state.fleet.remove("s-1")

    site.on_connect = remove_first

    def send_late(entry, accepts):
        if entry.server != "s-2" or "s-2" in site.sent:
            return send(entry, accepts)
        site.sent.append(entry.server)
        exchange = Exchange(asyncio.get_running_loop(), accepts)
        asyncio.get_running_loop().call_later(REFUSAL_S, turn_away, exchange, accepts)
        return exchange

    def turn_away(exchange, accepts):
        head = site.responses["s-2"].pop(0)
        accepts(*head)
        exchange.head.set_result(head)
        exchange.finish(ExchangeOutcome.COMPLETE)

    site._send = send_late
    goes_on_s = STREAM_IDLE_TIMEOUT_S + 0.25 if not is_left else BUDGET_S
    (status, _), _ = asyncio.run(request(site, silence_s=goes_on_s))
    assert (status, site.streamed[0], site.streamed[-1]) == (200, FIRST, END)
    assert site.streamed[1:-1] == [event_from(site.sent[-1])]
    assert site.sent[:2] == (["s-1", "s-2"] if is_left else ["s-1"])


@pytest.mark.parametrize(("left_s", "sent"), [(0.5, 2), (0.15, 1)])
def test_a_request_without_a_response_leaves_a_silent_server_while_one_can_be_tried(
    monkeypatch, left_s, sent
):
    """Its caller is answered whatever the next server says, so nothing can be cut.

    :param left_s: The time that remains when the server counts as silent, in seconds.
    """
    timeout_s = STREAM_IDLE_TIMEOUT_S + left_s
    site = silent_site(monkeypatch, "s-2", timeout_s=timeout_s)
    asyncio.run(request(site, silence_s=BUDGET_S, has_begun=False))
    assert len(site.sent) == sent

"""One request's attempts, with test doubles for connections and the caller."""

import asyncio
import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import pytest

from sequoiapoint.node.detour_exchange import DetourOutcome, DetourResult
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.permit_exchange import Denial, Permit
from sequoiapoint.node.request_forwarder import (
    STREAM_IDLE_TIMEOUT_S,
    RequestForwarder,
)
from sequoiapoint.node.server_selector import ServerSelector
from sequoiapoint.platform.callers import PlatformCallerCodec
from sequoiapoint.platform.servers import PlatformServerCodec
from sequoiapoint.protocol.api_keys import key_digest, key_label
from sequoiapoint.protocol.detours import RefusalReply
from sequoiapoint.protocol.event_stream import MAX_EVENT_BYTES
from sequoiapoint.protocol.gateway import (
    CallerLimits,
    CallerRequest,
    EngineSpec,
    GatewayConfiguration,
    HeldModel,
    Organisation,
    Repeatability,
    Route,
    ServerEntry,
    ServerState,
    ServiceSpec,
)
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.protocol.slots import SlotOutcome, SlotQuality, SlotReply
from sequoiapoint.state.server_limits import LimitNotice, ServerLimits
from sequoiapoint.state.stream_origins import StreamOrigin
from sequoiapoint.transport import async_http_client
from sequoiapoint.transport.async_http_client import Exchange, ExchangeOutcome
from sequoiapoint.transport.clock import monotonic_s

ENTRY = ServerEntry("s-1", "web", "10.0.0.1:1", "z", ServerState.READY, 1, 8)
ROUTE = Route(
    "r", "h", "/r/", (("web", 1.0),), Repeatability.IDEMPOTENT, False, False, 4.0, 0.3,
    0.0, 2, 0,
)  # fmt: skip
SIGNED = (b"server-seal", b"s")
END, ABORTED = "end", "aborted"
"""How a stream to the caller ended."""
CRASH = "crash"
"""In place of a response: the server's process ends."""


class Site:
    """One host's state, with servers that respond with scripted heads.

    :ivar sent: The servers to which requests were sent, in this order.
    :ivar responses: Responses still to be given, by server: status and headers.
    :ivar flow_control: The functions that pause and resume the source of a stream.
    :ivar forwarder: That of the last request.
    :ivar on_connect: Called with the server before a connection to it is opened.
    :ivar unused: Connections that were returned, as none was sent on, by server.
    :ivar opened: The number of connections that were opened.
    """

    def __init__(self, monkeypatch, *servers):
        self.sent, self.logged, self.responses = [], [], {}
        self.crashed = set()
        self.is_cut_off = False
        self.streamed, self.is_endless, self.exchange = [], False, None
        self.flow_control = None
        self.route = ROUTE
        self.unused, self.opened = {}, 0
        self.origins = _Origins()
        self.detours = Detours()
        self.forwarder_options = {}
        self.permits = lambda entry, max_wait_s: Permit(
            entry.incarnation, monotonic_s() + 1.0
        )
        self.on_connect = lambda server: None
        self.answer = None
        self.allocate, self.released = None, []
        self.state = GatewayState(
            settings=SimpleNamespace(host="h", zone="z", bounds=Bounds()),
            adapter=SimpleNamespace(
                servers=PlatformServerCodec(),
                callers=SimpleNamespace(
                    refusal_headers=lambda request_id, retry_after_s: [
                        (b"retry-after", retry_after_s)
                    ]
                ),
            ),
            metrics=SimpleNamespace(
                refusal=lambda *a: None,
                retry=lambda *a: None,
                first_token=lambda *a: None,
                request=lambda *a: None,
                event=lambda *a: None,
            ),
            log=SimpleNamespace(event=self._log),
            started_ms=1,
            rng=random.Random(1),
        )
        self.state.configuration = GatewayConfiguration(
            1, (), {"web": ServiceSpec("web", 100)}, CallerLimits()
        )
        for entry in servers:
            self.state.fleet.put(entry)
        monkeypatch.setattr(
            self.state.pools,
            "get_or_create",
            lambda entry: SimpleNamespace(
                acquire=lambda t, request_id: self._connect(entry),
                refuses_connections=lambda t: self._refuses_connections(entry),
                accepts_connections=lambda t: _result(not self.is_cut_off),
                put_back=self.unused.setdefault(entry.server, []).append,
            ),
        )

    def _log(self, name, outcome="", **fields):
        self.logged.append((name, outcome, fields))

    async def _connect(self, entry):
        if self.unused.get(entry.server):
            return self.unused[entry.server].pop()
        self.opened += 1
        self.on_connect(entry.server)
        exchanges = []

        def send(head, body, accepts, request_id):
            exchanges.append(self._send(entry, accepts))
            return exchanges[-1]

        def close():
            for exchange in exchanges:
                exchange.finish(ExchangeOutcome.ABANDONED)

        connection = SimpleNamespace(
            send=send,
            close=close,
            opened_at=monotonic_s(),
            is_unused=True,
            forbid_reuse=lambda: None,
            tolerate_silence=lambda: None,
            abandon=lambda exchange: exchange.outcome.done() or connection.close(),
            pause=lambda exchange: setattr(exchange, "is_paused", True),
            resume=lambda exchange: setattr(exchange, "is_paused", False),
        )
        return connection

    def _send(self, entry, accepts):
        self.sent.append(entry.server)
        exchange = Exchange(asyncio.get_running_loop(), accepts)
        response = self.responses[entry.server].pop(0)
        if response is CRASH:
            exchange.finish(ExchangeOutcome.CLOSED)
            return exchange
        status, headers, *body = response
        accepts(status, headers)
        exchange.head.set_result((status, headers))
        for part in body:
            exchange.receive(part)
        if not self.is_endless:
            exchange.outcome.set_result(ExchangeOutcome.COMPLETE)
        self.exchange = exchange
        return exchange

    async def _refuses_connections(self, entry):
        return entry.server in self.crashed

    async def request(self, budget_s=1.0, body=b"", responder=None, **fields):
        """Send one request; return the status and headers of its response.

        :param responder: Gets the response in place of ``answer`` and ``streamed``.
        """
        recorder = SimpleNamespace(
            is_started=False,
            is_ended=False,
            send_response=lambda status, headers, body=b"": setattr(
                self, "answer", (status, dict(headers))
            ),
            set_flow_control=lambda *functions: setattr(
                self, "flow_control", functions
            ),
            send=self.streamed.append,
            end_stream=lambda: self.streamed.append(END),
            abort=lambda: self.streamed.append(ABORTED),
        )

        def start_stream(status, headers):
            recorder.is_started = True
            self.answer = (status, dict(headers))

        recorder.start_stream = start_stream
        fields.setdefault("headers", ())
        request = CallerRequest(
            "id", "GET", "h", "/r/x", body=body, budget_s=budget_s, **fields
        )
        slots = SimpleNamespace(is_active=False, release=lambda *a: None)
        slots.ticket = lambda: _Ticket()
        slots.allocating_zone = lambda zone, now: zone
        slots.ask = lambda *a: _result(SlotOutcome.UNAVAILABLE)
        slots.plain_zone = lambda service, now: "z"
        if self.allocate is not None:
            slots.is_active, slots.ask = True, self.allocate
        slots.release = lambda ticket, *speed: self.released.append(speed)

        async def acquire(entry, caller, max_wait_s=0.0, asks_anew=True):
            return self.permits(entry, max_wait_s)

        exchange = SimpleNamespace(
            slots=slots,
            permits=SimpleNamespace(acquire=acquire),
            origins=self.origins,
            detours=self.detours,
        )
        self.forwarder = RequestForwarder(
            self.state,
            exchange,
            request,
            self.route,
            monotonic_s(),
            responder or recorder,
            **self.forwarder_options,
        )
        try:
            await self.forwarder.run()
        except asyncio.CancelledError as error:
            self.forwarder.end_cancelled(error.args[0] if error.args else "")
            raise
        return self.answer


class Detours:
    """Gives scripted results to requests that are sent through another host.

    :ivar results: The results still to be given; without one, no host helps.
    :ivar requests: The requests that were sent.
    :ivar is_proven: Whether a helper has passed on a response lately.
    """

    def __init__(self):
        self.results, self.requests, self.is_proven = [], [], False

    def has_proven_helper(self):
        return self.is_proven

    async def run(self, build_request, receive_stream, deadline, may_leave):
        if not self.results:
            return DetourResult(DetourOutcome.NO_HELPER)
        self.requests.append(build_request())
        result, *parts = self.results.pop(0)
        connection = SimpleNamespace(
            pause=lambda: None, resume=lambda: None, abandon=lambda exchange: None
        )
        for part in parts:
            receive_stream(result.reply, connection, None, part)
        return result


class _Origins:
    """Knows the origins that it is given.

    :ivar recorded: The origins that were recorded, by stream.
    :ivar uncertain: The servers whose process is not certain.
    """

    def __init__(self):
        self.recorded, self.uncertain = {}, set()
        self.unfinished = {}
        self.stored = SimpleNamespace(
            record=lambda stream, service, origin: self.unfinished.setdefault(
                (stream, service), origin
            ),
            complete=lambda stream, service: self.unfinished.pop(
                (stream, service), None
            ),
        )

    def record(self, stream, origin):
        self.recorded[stream] = origin

    async def version_of(self, service, stream, arrived_s):
        origin = self.recorded.get(stream)
        return None if origin is None else origin.version

    async def is_certain(self, server, connected_at):
        return server[0] not in self.uncertain


class _Ticket:
    number = 0
    grant = granted_by = None
    wait_s = 0.0

    def __enter__(self):
        return self

    def __exit__(self, *error):
        return None


@pytest.mark.parametrize("how", ["draining", "removed"])
def test_a_server_that_left_while_the_connection_was_opened_gets_no_request(
    monkeypatch, how
):
    """Guards against a request that reaches a server after its drain time.

    The server was chosen before it left, and its connection took a second to open.
    """
    other = replace(ENTRY, server="s-2", zone="far")
    site = Site(monkeypatch, ENTRY, other)
    site.responses = {"s-1": [(200, [SIGNED])], "s-2": [(200, [SIGNED])]}

    def leave(server):
        if server == "s-1" and how == "draining":
            site.state.fleet.put(replace(ENTRY, state=ServerState.DRAINING))
        elif server == "s-1":
            site.state.fleet.remove("s-1")

    site.on_connect = leave
    status, _ = asyncio.run(site.request())
    assert status == 200
    assert site.sent == ["s-2"]


LEAVING = (b"server-leaving", b"1")


def test_a_server_that_announces_to_leave_gets_no_further_requests(monkeypatch):
    """Replays a rolling replacement: the announcement is in a response to a request."""
    other = replace(ENTRY, server="s-2", zone="far")
    site = Site(monkeypatch, ENTRY, other)
    site.responses = {"s-1": [(200, [SIGNED, LEAVING])], "s-2": [(200, [SIGNED])] * 9}

    async def run():
        for _ in range(4):
            status, headers = await site.request()
            assert status == 200
            assert b"server-leaving" not in headers

    asyncio.run(run())
    assert site.sent == ["s-1", "s-2", "s-2", "s-2"]
    leaving = [entry for entry in site.logged if entry[0] == "server_leaving"]
    assert [fields["server"] for _, _, fields in leaving] == ["s-1"]


def test_an_unreadable_announcement_is_logged_once_and_changes_nothing(monkeypatch):
    site = Site(monkeypatch, ENTRY)
    site.responses = {"s-1": [(200, [SIGNED, (b"server-leaving", b"soon")])] * 3}

    async def run():
        for _ in range(3):
            assert (await site.request())[0] == 200

    asyncio.run(run())
    assert site.sent == ["s-1"] * 3
    assert [name for name, _, _ in site.logged].count("header_unreadable") == 1


def test_unreadable_load_figures_are_counted_each_time_and_logged_once(monkeypatch):
    site, counted = Site(monkeypatch, ENTRY), []
    site.state.metrics.event = counted.append
    site.responses = {"s-1": [(200, [SIGNED, (b"worker-load", b"1,0,8,0")])] * 3}

    async def run():
        for _ in range(3):
            assert (await site.request())[0] == 200

    asyncio.run(run())
    assert counted.count("header_unreadable") == 3
    assert [name for name, _, _ in site.logged].count("header_unreadable") == 1
    assert site.state.speeds.slowness(ENTRY.incarnation, monotonic_s()) is None


def refusal(retry_after):
    headers = [(b"not-run", b"1"), (b"retry-after", retry_after)]
    return (503, headers if retry_after else headers[:1])


def test_a_server_that_names_a_time_gets_nothing_before_it(monkeypatch):
    """Replays a server that turns requests away while another one serves."""
    other = replace(ENTRY, server="s-2", zone="far")
    site = Site(monkeypatch, ENTRY, other)
    site.responses = {
        "s-1": [refusal(b"0.25"), (200, [SIGNED])],
        "s-2": [(200, [SIGNED])] * 9,
    }

    async def run():
        for _ in range(3):
            assert (await site.request())[0] == 200
        await asyncio.sleep(0.3)
        site.state.fleet.remove("s-2")
        assert (await site.request())[0] == 200

    asyncio.run(run())
    assert site.sent == ["s-1", "s-2", "s-2", "s-2", "s-1"]


def test_a_request_that_no_server_wants_is_refused_at_once_with_a_true_time(
    monkeypatch,
):
    """Guards against a wait for servers that have said when they accept requests."""
    other = replace(ENTRY, server="s-2", zone="far")
    site = Site(monkeypatch, ENTRY, other)
    site.responses = {"s-1": [refusal(b"2.5")], "s-2": [refusal(b"1.5")]}

    async def run():
        first, second = await site.request(), monotonic_s()
        refused = await site.request()
        return first, refused, monotonic_s() - second

    first, refused, elapsed_s = asyncio.run(run())
    assert (first[0], refused[0]) == (503, 503)
    assert elapsed_s < 0.1
    assert 1.0 < refused[1][b"retry-after"] <= 1.5
    assert site.sent == ["s-1", "s-2"]


@pytest.mark.parametrize("value", [b"-1", b"1e9", b"tomorrow", b""])
def test_an_unreadable_time_does_not_stop_requests_to_a_server(monkeypatch, value):
    site = Site(monkeypatch, ENTRY)
    site.responses = {"s-1": [refusal(value), (200, [SIGNED])]}
    assert asyncio.run(site.request())[0] == 200
    assert site.sent == ["s-1", "s-1"]


def _keepalive_timeout_s():
    """Return the time after which unanswered keep-alive probes end a connection.

    Linux compares the time with TCP_USER_TIMEOUT at each probe, whatever their count.
    """
    at_s = async_http_client.KEEPALIVE_IDLE_S
    by_count_s = at_s + (
        async_http_client.KEEPALIVE_INTERVAL_S * async_http_client.KEEPALIVE_PROBES
    )
    while 1000 * at_s < async_http_client.DEAD_PEER_TIMEOUT_MS:
        at_s += async_http_client.KEEPALIVE_INTERVAL_S
    return min(at_s, by_count_s)


def test_an_attempt_times_out_before_the_kernel_ends_its_connection():
    """Bytes of a request reached a server that had left, after a network partition.

    A connection that the process ends is reset, which discards such bytes.
    """
    kernel_s = _keepalive_timeout_s()
    assert kernel_s > async_http_client.MAX_IDLE_S + STREAM_IDLE_TIMEOUT_S
    assert 1000 * STREAM_IDLE_TIMEOUT_S < async_http_client.DEAD_PEER_TIMEOUT_MS


def engine_site(monkeypatch, count):
    """Return a site of engines that hold the same model and crash on request."""
    engines = [
        replace(ENTRY, server=f"s-{n}", models=(HeldModel("oak"),))
        for n in range(count)
    ]
    site = Site(monkeypatch, *engines)
    spec = EngineSpec(8, 100.0, 2, 1.0, {"oak": None})
    site.state.configuration.services["web"] = ServiceSpec("web", 100, spec)
    site.route = replace(ROUTE, repeatability=Repeatability.AT_MOST_ONCE)
    return site


@pytest.mark.parametrize(("has_crashed", "servers_hit"), [(True, 2), (False, 5)])
def test_requests_with_one_deadly_part_do_not_reach_one_engine_after_the_other(
    monkeypatch, has_crashed, servers_hit
):
    """One part of prompts crashed engines all day, in requests that all differ.

    A connection that breaks while its engine still listens shows no crash.
    """
    site = engine_site(monkeypatch, 6)
    site.responses = {f"s-{n}": [CRASH] for n in range(6)}

    async def request(*parts):
        before = len(site.sent)
        body = str(before).encode()
        response = await site.request(body=body, model="oak", shared_parts=parts)
        for server in site.sent[before:]:
            if response[0] != 200:
                site.state.fleet.remove(server)
                site.crashed |= {server} if has_crashed else set()
        return response

    site.state.prompt_quarantine.clear(["shared"], monotonic_s())
    site._refuses_connections = lambda entry: _result(has_crashed)
    responses = [asyncio.run(request("shared", "deadly")) for _ in range(5)]
    rejected = 5 - servers_hit
    statuses = [status for status, _ in responses]
    assert statuses == [502] * servers_hit + [503] * rejected
    assert len(site.sent) == servers_hit
    if has_crashed:
        assert 0 < responses[4][1][b"retry-after"] <= 600.0
    for server in site.responses:
        site.responses[server] = [(200, [SIGNED])]
    status, _ = asyncio.run(request("shared", "sound"))
    assert status == 200


def test_hosts_do_not_crash_several_engines_at_once_with_one_suspect_part(monkeypatch):
    """Two parts took six engines down; hosts sent the same one to several at once."""
    servers = set()
    for seed in range(8):
        site = engine_site(monkeypatch, 6)
        site.state.rng.seed(seed)
        site.responses = {f"s-{n}": [CRASH] for n in range(6)}
        site._refuses_connections = lambda entry: _result(True)
        site.state.prompt_quarantine.record_crash(["deadly"], 1, monotonic_s())
        asyncio.run(site.request(model="oak", shared_parts=("shared", "deadly")))
        servers |= set(site.sent)
    assert len(servers) == 1


def test_a_suspect_part_is_tried_at_another_engine_than_the_crashed_one(monkeypatch):
    site = engine_site(monkeypatch, 3)
    site.route = ROUTE
    site._refuses_connections = lambda entry: _result(True)
    site.responses = {f"s-{n}": [CRASH] for n in range(3)}
    asyncio.run(site.request(model="oak", shared_parts=("deadly",)))
    assert len(set(site.sent)) == len(site.sent) == 2
    asyncio.run(site.request(model="oak", shared_parts=("deadly",)))
    assert len(site.sent) == 2


def test_requests_without_the_suspect_part_use_all_engines(monkeypatch):
    site = engine_site(monkeypatch, 3)
    site.state.prompt_quarantine.record_crash(["deadly"], 1, monotonic_s())
    site.responses = {f"s-{n}": 20 * [(200, [SIGNED])] for n in range(3)}
    for _ in range(20):
        asyncio.run(site.request(model="oak", shared_parts=("shared",)))
    assert set(site.sent) == {"s-0", "s-1", "s-2"}


async def _result(value):
    return value


EVENT = b"id: 1\ndata: x\n\n"


def stream_site(monkeypatch, body):
    """Return a site whose server answers a stream that ends with its connection."""
    site = Site(monkeypatch, ENTRY)
    site.route = replace(
        ROUTE, is_stream=True, repeatability=Repeatability.AT_MOST_ONCE, attempts=1
    )
    site.responses = {"s-1": [(200, [SIGNED], body)]}
    return site


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (EVENT, [EVENT, END]),
        (2 * EVENT, [2 * EVENT, END]),
        (EVENT + b"id: 2\nda", [EVENT, ABORTED]),
        (EVENT + b"id: 2\ndata: x\n", [EVENT, ABORTED]),
    ],
)
def test_a_stream_that_ends_with_its_connection_is_complete_after_an_event(
    monkeypatch, body, expected
):
    """A response has neither a length nor chunks; inside an event it was broken off."""
    site = stream_site(monkeypatch, body)
    asyncio.run(site.request())
    assert site.streamed == expected


def test_a_stream_that_ends_inside_its_first_event_is_a_failure(monkeypatch):
    site = stream_site(monkeypatch, EVENT[:-1])
    status, _ = asyncio.run(site.request())
    assert (status, site.streamed) == (502, [])


def test_an_event_without_end_closes_the_connection(monkeypatch):
    """Bytes without end filled a host's memory until the request's deadline."""
    site = stream_site(monkeypatch, EVENT + b"data: " + b"x" * MAX_EVENT_BYTES)
    site.is_endless = True
    started_at = monotonic_s()
    asyncio.run(site.request(budget_s=5.0))
    assert monotonic_s() - started_at < 1.0
    assert site.streamed == [EVENT, ABORTED]


def test_changes_of_a_servers_limit_are_logged(monkeypatch):
    site = Site(monkeypatch, ENTRY)
    limits = [b"3.5", b"3.5", b"soon", None]
    site.responses = {
        "s-1": [
            (200, [SIGNED, (b"server-limit", limit)] if limit else [SIGNED])
            for limit in limits
        ]
    }

    async def run():
        for _ in limits:
            assert (await site.request())[0] == 200

    asyncio.run(run())
    logged = [
        (outcome, f["per_s"]) for n, outcome, f in site.logged if n == "server_limit"
    ]
    assert logged == [("in_force", 3.5), ("ended", None)]


def limit(per_s):
    return (b"server-limit", per_s)


def limited_site(monkeypatch, *limited, others=()):
    """Return a site that knows the limits of some of its servers."""
    entries = [replace(ENTRY, server=name) for name in (*limited, *others)]
    site = Site(monkeypatch, *entries)
    for name in limited:
        site.state.note_server_limit((name, 1), 3.0, "test", monotonic_s())
    answer = (200, [SIGNED])
    site.responses = {
        name: [(200, [SIGNED, limit(b"3.0")])] * 9 if name in limited else [answer] * 9
        for name in (*limited, *others)
    }
    return site


def test_servers_without_a_limit_come_first(monkeypatch):
    site = limited_site(monkeypatch, "s-1", others=("s-2",))

    async def run():
        for _ in range(5):
            assert (await site.request())[0] == 200

    asyncio.run(run())
    assert site.sent == ["s-2"] * 5


def test_a_server_with_a_limit_is_used_while_the_others_are_full(monkeypatch):
    site = limited_site(monkeypatch, "s-1", others=("s-2",))
    for number in range(100):
        site.state.loads.get_or_create(("s-2", 1)).note_sent(-number, monotonic_s())
    assert asyncio.run(site.request())[0] == 200
    assert site.sent == ["s-1"]


def test_a_request_that_only_servers_at_their_limits_can_run_is_refused_at_once(
    monkeypatch,
):
    """Its caller is told the earliest time, and the permit is reserved there."""
    site = limited_site(monkeypatch, "s-1", "s-2")
    waits_s = {"s-1": 1.6, "s-2": 0.9}
    reserving = []

    def deny(entry, max_wait_s):
        if max_wait_s:
            reserving.append((entry.server, max_wait_s))
        return Denial(waits_s[entry.server], max_wait_s > 0)

    site.permits = deny
    started_at = monotonic_s()
    status, headers = asyncio.run(site.request())
    assert monotonic_s() - started_at < 0.1
    assert status == 503
    assert 0.9 <= headers[b"retry-after"] < 0.95
    assert [server for server, _ in reserving] == ["s-2"]
    assert 0.9 < reserving[0][1] <= 1.0
    assert site.sent == []


def test_a_server_that_named_its_limit_after_the_choice_gets_no_request(monkeypatch):
    """The permit is checked at the moment of sending."""
    site = limited_site(monkeypatch, others=("s-1", "s-2"))
    site.permits = lambda entry, max_wait_s: Denial(1.0)

    def name_limit(server):
        site.state.note_server_limit(("s-1", 1), 3.0, "test", monotonic_s())

    site.on_connect = name_limit
    site.state.loads.get_or_create(("s-2", 1)).note_sent(-1, monotonic_s())
    assert asyncio.run(site.request())[0] == 200
    assert site.sent == ["s-2"]


def test_an_expired_permit_is_not_used(monkeypatch):
    site = limited_site(monkeypatch, "s-1")
    permits = [Permit(("s-1", 1), monotonic_s() - 0.1), Denial(1.0, True)]
    site.permits = lambda entry, max_wait_s: permits.pop(0)
    status, headers = asyncio.run(site.request())
    assert (status, site.sent) == (503, [])


def test_the_end_of_a_limit_is_noticed_while_others_serve(monkeypatch):
    """A server that gets no requests cannot tell that its limit has ended."""
    site = limited_site(monkeypatch, "s-1", others=("s-2",))
    site.state.limits.note(LimitNotice(("s-1", 1), 3.0, monotonic_s() - 0.1))
    site.responses["s-1"] = [(200, [SIGNED])] * 9
    assert asyncio.run(site.request())[0] == 200
    assert site.sent == ["s-2"]
    site.state.limits = ServerLimits()
    site.state.note_server_limit(("s-1", 1), 3.0, "test", monotonic_s() - 5.0)
    assert asyncio.run(site.request())[0] == 200
    assert site.sent[-1] == "s-1"
    assert site.state.limits.per_s(("s-1", 1)) is None


def versions_site(monkeypatch, **versions):
    """Return a site of servers of several versions, for streams that can resume."""
    names = [name.replace("_", "-") for name in versions]
    entries = [
        replace(ENTRY, server=name, version=version)
        for name, version in zip(names, versions.values(), strict=True)
    ]
    site = Site(monkeypatch, *entries)
    site.route = replace(ROUTE, is_stream=True, is_resumable=True, attempts=3)
    site.responses = {name: [] for name in names}
    return site


def test_a_stream_goes_on_in_one_answer_at_the_version_that_began_it(monkeypatch):
    """A stream held events of both versions after its server had broken it off."""
    site = versions_site(monkeypatch, s_1="v1", s_2="v2", s_3="v1")
    for name in ("s-2", "s-3"):
        site.state.loads.get_or_create((name, 1)).note_sent(-1, monotonic_s())
    site.state.loads.get_or_create(("s-3", 1)).note_sent(-2, monotonic_s())
    site.responses["s-1"] = [(200, [SIGNED], EVENT + b"id: 2\nda")]
    site.responses["s-3"] = [(200, [SIGNED], b"id: 2\ndata: x\n\n")]
    asyncio.run(site.request())
    assert site.sent == ["s-1", "s-3"]
    assert site.streamed[-1] == END
    assert {o.version for o in site.origins.recorded.values()} == {"v1"}


def test_a_stream_is_broken_off_if_its_version_is_no_longer_served(monkeypatch):
    site = versions_site(monkeypatch, s_1="v1", s_2="v2")
    site.state.loads.get_or_create(("s-2", 1)).note_sent(-1, monotonic_s())
    site.responses["s-1"] = [(200, [SIGNED], EVENT + b"id: 2\nda")]
    site.on_connect = lambda server: (
        site.state.fleet.put(
            replace(ENTRY, server="s-1", version="v1", state=ServerState.DRAINING)
        )
        if site.sent
        else None
    )
    asyncio.run(site.request(budget_s=5.0))
    assert "s-2" not in site.sent
    assert site.streamed[-1] == ABORTED


@pytest.mark.parametrize(
    ("resumes", "version", "sent", "status"),
    [("known", "v2", ["s-2"], 200), ("unknown", "v2", [], 503), ("", "", [], 503)],
)
def test_a_stream_that_began_elsewhere_goes_on_only_at_its_version(
    monkeypatch, resumes, version, sent, status
):
    site = versions_site(monkeypatch, s_1="v1", s_2="v2")
    site.state.loads.get_or_create(("s-2", 1)).note_sent(-1, monotonic_s())
    site.responses["s-2"] = [(200, [SIGNED], b"id: 8\ndata: x\n\n")]
    site.origins.recorded["known"] = StreamOrigin(version, ("s-9", 1), 0.0)
    answer = asyncio.run(site.request(last_event_id="7", resumes=resumes))
    assert (answer[0], site.sent) == (status, sent)


@pytest.mark.parametrize(
    ("data", "unfinished"),
    [(b"id: 8\ndata: x\n\n", set()), (b"id: 8\ndata: x\n\nid: 9\nda", {"id", "known"})],
)
def test_the_origin_of_a_stream_is_kept_until_its_caller_has_all_of_it(
    monkeypatch, data, unfinished
):
    """The caller may name this attempt or the first one, also at a later resumption."""
    site = versions_site(monkeypatch, s_1="v1")
    site.route = replace(site.route, attempts=1)
    site.responses["s-1"] = [(200, [SIGNED], data)]
    site.origins.recorded["known"] = StreamOrigin("v1", ("s-9", 1), 0.0)
    asyncio.run(site.request(budget_s=2.0, last_event_id="7", resumes="known"))
    assert {stream for stream, _ in site.origins.unfinished} == unfinished
    assert {o.version for o in site.origins.unfinished.values()} <= {"v1"}


def test_a_resumed_stream_that_no_server_can_go_on_with_is_refused_at_once(monkeypatch):
    site = versions_site(monkeypatch, s_1="v1")
    site.origins.recorded["known"] = StreamOrigin("v2", ("s-9", 1), 0.0)
    started_at = monotonic_s()
    status, headers = asyncio.run(
        site.request(budget_s=5.0, last_event_id="7", resumes="known")
    )
    assert (status, site.sent) == (503, [])
    assert monotonic_s() - started_at < 0.1


def test_a_stream_does_not_go_on_at_a_process_that_is_not_certain(monkeypatch):
    site = versions_site(monkeypatch, s_1="v1")
    site.origins.recorded["known"] = StreamOrigin("v1", ("s-9", 1), 0.0)
    site.origins.uncertain.add("s-1")
    status, _ = asyncio.run(site.request(last_event_id="7", resumes="known"))
    assert (status, site.sent) == (503, [])


CERTAIN_AFTER_S = 0.05


def test_a_stream_goes_on_at_a_limited_server_though_its_first_permit_expires(
    monkeypatch,
):
    """Guards against rounds with a new connection each, none of which becomes certain.

    A connection is certain some time after it was opened, which is longer than a permit
    is valid.
    """
    site = versions_site(monkeypatch, s_1="v1")
    site.responses["s-1"] = [(200, [SIGNED], b"id: 8\ndata: x\n\n")]
    site.origins.recorded["known"] = StreamOrigin("v1", ("s-9", 1), 0.0)
    site.state.limits.note(LimitNotice(("s-1", 1), 9.0, monotonic_s()))
    site.permits = lambda entry, max_wait_s: Permit(
        entry.incarnation, monotonic_s() + 0.8 * CERTAIN_AFTER_S
    )

    async def is_certain(server, connected_at):
        await asyncio.sleep(connected_at + CERTAIN_AFTER_S - monotonic_s())
        return True

    site.origins.is_certain = is_certain
    status, _ = asyncio.run(site.request(last_event_id="7", resumes="known"))
    assert (status, site.sent, site.opened) == (200, ["s-1"], 1)


@pytest.mark.parametrize(
    ("response", "has_ended", "is_doubted"),
    [(CRASH, True, True), (CRASH, False, False), ((200, [SIGNED]), False, False)],
)
def test_a_server_that_has_ended_may_have_restarted(
    monkeypatch, response, has_ended, is_doubted
):
    """Streams went on at a server that had restarted at another version."""
    site = Site(monkeypatch, ENTRY)
    site.route = replace(ROUTE, attempts=1)
    site.responses = {ENTRY.server: [response]}
    site.crashed = {ENTRY.server} if has_ended else set()
    asyncio.run(site.request())
    fleet = site.state.fleet
    assert fleet.may_have_restarted(ENTRY.incarnation, monotonic_s()) is is_doubted


@pytest.mark.parametrize(("is_cut_off", "status"), [(True, 200), (False, 403)])
def test_what_ran_as_its_host_was_cut_off_from_all_servers_is_not_rejected(
    monkeypatch, is_cut_off, status
):
    """Its connections were reset and new ones refused, as if servers had crashed."""
    servers = [replace(ENTRY, server=f"s-{n}") for n in range(4)]
    site = Site(monkeypatch, *servers)
    site.route = replace(ROUTE, attempts=1)
    site.responses = {s.server: [CRASH, (200, [SIGNED])] for s in servers}
    site.crashed = {s.server for s in servers}
    site.is_cut_off = is_cut_off

    async def run():
        for _ in range(3):
            assert (await site.request(body=b"same"))[0] == 502
            site.state.loads.get_or_create((site.sent[-1], 1)).note_sent(
                -len(site.sent), monotonic_s()
            )
        site.responses = {name: [(200, [SIGNED])] for name in site.responses}
        return (await site.request(body=b"same"))[0]

    assert asyncio.run(run()) == status
    assert len(set(site.sent[:3])) == 3


@pytest.mark.parametrize(("has_crashed", "status"), [(False, 200), (True, 403)])
def test_a_request_whose_servers_live_on_after_a_broken_connection_is_not_rejected(
    monkeypatch, has_crashed, status
):
    """Callers got 403 for ten minutes after three servers had reset a connection each.

    A request that crashes servers is rejected after the third one.
    """
    servers = [replace(ENTRY, server=f"s-{n}") for n in range(4)]
    site = Site(monkeypatch, *servers)
    site.route = replace(ROUTE, attempts=1)
    site.responses = {s.server: [CRASH, (200, [SIGNED])] for s in servers}
    site.crashed = {s.server for s in servers} if has_crashed else set()

    async def run():
        for number in range(3):
            site.state.fleet.put(servers[number])
            assert (await site.request(body=b"same"))[0] == 502
            site.state.fleet.remove(site.sent[-1])
        site.responses["s-3"].pop(0)
        site.responses = {name: [(200, [SIGNED])] for name in site.responses}
        return (await site.request(body=b"same"))[0]

    assert asyncio.run(run()) == status


def test_a_resumed_stream_waits_for_its_adapter_at_an_engine_of_its_version(
    monkeypatch,
):
    """It was refused although the adapter is loaded within milliseconds."""
    site = versions_site(monkeypatch, s_1="v1", s_2="v2")
    spec = EngineSpec(8, 100.0, 2, 1.0, {"oak": None})
    site.state.configuration.services["web"] = ServiceSpec("web", 100, spec)
    fleet = site.state.fleet
    fleet.set_held(("s-1", 1), {"oak": set()})
    fleet.set_held(("s-2", 1), {"oak": {"a1"}})
    site.responses["s-1"] = [(200, [SIGNED], b"id: 8\ndata: x\n\n")]
    site.origins.recorded["known"] = StreamOrigin("v1", ("s-9", 1), 0.0)

    async def run():
        loop = asyncio.get_running_loop()
        loop.call_later(0.02, fleet.set_held, ("s-1", 1), {"oak": {"a1"}})
        return await site.request(
            last_event_id="7", resumes="known", model="oak", adapter="a1"
        )

    status, _ = asyncio.run(run())
    assert (status, site.sent) == (200, ["s-1"])


def test_a_refused_caller_counts_as_waiting_for_a_second_at_most(monkeypatch):
    """Callers who are told to come back in a minute counted as waiting all the time."""
    site = limited_site(monkeypatch, "s-1")
    spec = EngineSpec(8, 100.0, 2, 1.0, {"oak": None})
    site.state.configuration.services["web"] = ServiceSpec("web", 100, spec)
    site.state.fleet.set_held(("s-1", 1), {"oak": set()})
    site.permits = lambda entry, max_wait_s: Denial(60.0)

    async def run():
        await site.request(model="oak")
        before = dict(site.state.demand.waiting())
        await asyncio.sleep(1.1)
        return before, dict(site.state.demand.waiting())

    assert asyncio.run(run()) == ({("web", "oak", ""): 1}, {})


@pytest.mark.parametrize("step", ["is_certain", "version_of"])
def test_a_stream_is_given_up_at_its_deadline_while_a_process_is_uncertain(
    monkeypatch, step
):
    """It was kept for 1.2 s beyond it, once for each server that was tried."""
    other = replace(ENTRY, server="s-2", zone="far", version="v1")
    site = Site(monkeypatch, replace(ENTRY, version="v1"), other)
    site.route = replace(ROUTE, is_stream=True, is_resumable=True, attempts=3)
    site.responses = {"s-1": [CRASH] * 3, "s-2": [CRASH] * 3}

    async def wait(*arguments):
        await asyncio.sleep(2.0)

    setattr(site.origins, step, wait)
    site.origins.recorded["before"] = StreamOrigin("v1", ("s-1", 1), 0.0)
    started_at = monotonic_s()
    status, _ = asyncio.run(
        site.request(budget_s=0.4, last_event_id="1", resumes="before")
    )
    assert status in (502, 503, 504)
    assert monotonic_s() - started_at < 0.4 + 0.2


def load(text):
    return (200, [SIGNED, (b"worker-load", text)])


@pytest.mark.parametrize(
    ("wait_s", "least_s", "most_s", "reason"),
    [(2.0, 1.9, 2.5, "queue_too_long"), (0.6, 0.05, 0.25, "servers_full")],
)
def test_a_request_without_a_slot_is_told_the_predicted_wait(
    monkeypatch, wait_s, least_s, most_s, reason
):
    """A request that cannot be served in time neither waits nor reaches a server.

    One that has waited for 0.4 s of its second is told the rest of the prediction.
    """
    site = Site(monkeypatch, ENTRY)
    site.route = replace(ROUTE, goal_s=0.05)

    async def queue(ticket, zone, request, are_brittle=False):
        ticket.wait_s = wait_s
        return SlotOutcome.QUEUED

    site.allocate = queue
    started_at = monotonic_s()
    status, headers = asyncio.run(site.request(budget_s=1.0))
    assert (status, site.sent) == (503, [])
    assert least_s <= headers[b"retry-after"] <= most_s
    assert [o for name, o, _ in site.logged if name == "request_refused"] == [reason]
    assert (monotonic_s() - started_at < 0.05) == (wait_s > 1.0)


@pytest.mark.parametrize(("budget_s", "left_s"), [(1.0, 0.5), (0.7, 0.2), (0.4, 0.0)])
def test_the_latency_goal_counts_from_the_first_attempt_of_a_caller(
    monkeypatch, budget_s, left_s
):
    """Guards against callers that come back and precede requests that are not late."""
    site = Site(monkeypatch, ENTRY)
    site.route = replace(ROUTE, goal_s=0.5)
    site.responses = {"s-1": [load(b"0,0,8")] * 11}
    goals = []

    async def grant(ticket, zone, request, are_brittle=False):
        goals.append(request.goal_s)
        ticket.grant = SlotReply("h", 0, SlotOutcome.GRANTED, ENTRY.incarnation)
        return SlotOutcome.GRANTED

    site.allocate = grant
    for budget in [1.0] * 10 + [budget_s]:
        assert asyncio.run(site.request(budget_s=budget))[0] == 200
    assert goals[-1] == pytest.approx(left_s, abs=0.05)


def holding_site(monkeypatch, *servers):
    """Return a site whose engines hold "oak"."""
    site = Site(monkeypatch, *servers)
    spec = EngineSpec(8, 100.0, 2, 1.0, {"oak": None})
    site.state.configuration.services["web"] = ServiceSpec("web", 100, spec)
    for entry in servers:
        site.state.fleet.set_held(entry.incarnation, {"oak": set()})
    return site


def _back_off(state, server):
    state.loads.get_or_create((server, 1)).note_back_off(monotonic_s() + 0.15)


@pytest.mark.parametrize(
    ("prepare", "change", "asked_at"),
    [
        (lambda state: None, lambda state: None, [0.0, 0.5]),
        (
            lambda state: None,
            lambda state: state.fleet.set_held(("s-2", 1), {"oak": set()}),
            [0.0, 0.25, 0.75],
        ),
        (
            lambda state: None,
            lambda state: state.fleet.set_held(("s-2", 1), {"elm": set()}),
            [0.0, 0.5],
        ),
        (
            lambda state: _back_off(state, "s-3"),
            lambda state: None,
            [0.0, 0.15, 0.65],
        ),
        (
            lambda state: state.fleet.note_not_held(
                replace(ENTRY, server="s-3"), "oak", "", monotonic_s()
            ),
            lambda state: None,
            [0.0, 0.3, 0.8],
        ),
    ],
    ids=["nothing", "holder", "other_model", "back_off", "not_held"],
)
def test_a_queued_request_asks_again_only_if_servers_have_changed(
    monkeypatch, prepare, change, asked_at
):
    """Each waiting request looked at all engines every 0.1 s and at each response."""
    servers = [replace(ENTRY, server=f"s-{n}") for n in (1, 2, 3)]
    site = holding_site(monkeypatch, *servers)
    site.state.fleet.set_held(("s-2", 1), {})
    site.route = replace(ROUTE, goal_s=0.9)
    selections, times = [], []
    serving = ServerSelector.serving

    def select(selector, now):
        selections.append(now)
        return serving(selector, now)

    monkeypatch.setattr(ServerSelector, "serving", select)

    async def queue(ticket, zone, request, are_brittle=False):
        times.append(monotonic_s())
        return SlotOutcome.QUEUED

    async def run():
        loop = asyncio.get_running_loop()
        prepare(site.state)
        loop.call_later(0.25, change, site.state)
        for n in range(50):
            loop.call_later(0.02 * n, site.state.wait_queue.notify_capacity, "web")
        await site.request(budget_s=1.0, model="oak")

    site.allocate = queue
    started_at = monotonic_s()
    asyncio.run(run())
    assert [at - started_at for at in times] == pytest.approx(asked_at, abs=0.1)
    assert len(selections) <= len(asked_at) + 2


def test_a_request_learns_of_a_model_that_was_loaded_while_it_asked(monkeypatch):
    """Guards against a change that is missed as the request does not wait yet."""
    servers = [replace(ENTRY, server=f"s-{n}") for n in (1, 2)]
    site = holding_site(monkeypatch, *servers)
    site.state.fleet.set_held(("s-2", 1), {})
    site.responses = {"s-2": [(200, [SIGNED])]}

    async def allocate(ticket, zone, request, are_brittle=False):
        if "s-2" in request.candidates:
            ticket.grant = SlotReply("h", 0, SlotOutcome.GRANTED, ("s-2", 1))
            return SlotOutcome.GRANTED
        site.state.fleet.set_held(("s-2", 1), {"oak": set()})
        return SlotOutcome.QUEUED

    site.allocate = allocate
    started_at = monotonic_s()
    assert asyncio.run(site.request(model="oak"))[0] == 200
    assert monotonic_s() - started_at < 0.2


@pytest.mark.parametrize(
    ("waits_s", "goal_s", "expected_s"),
    [
        ({"z": 3.0, "far": 2.5}, 0.1, 2.5),
        ({"z": 3.0, "far": 0.15}, 0.1, None),
        ({"z": 3.0, "far": 0.0}, 0.1, None),
        ({"z": 3.0, "far": None}, 0.1, 3.0),
        ({"z": None, "far": 3.0}, 0.1, None),
        ({"z": 3.0, "far": 2.5}, 2.0, None),
    ],
    ids=["all", "one_short", "one_unknown", "far_silent", "near_silent", "may_load"],
)
def test_a_request_is_rejected_at_once_if_all_queues_for_engines_are_too_long(
    monkeypatch, waits_s, goal_s, expected_s
):
    """Urgent requests waited for 1.2 s in vain and came back after a random time.

    The caller is told the prediction, although it exceeds its remaining time.  The
    rejected request counts as waiting, so that the model gets another copy.
    """
    near, far = ENTRY, replace(ENTRY, server="s-2", zone="far")
    site = holding_site(monkeypatch, near, far)
    site.route = replace(ROUTE, goal_s=goal_s, is_stream=True)
    for entry in (near, far):
        site.state.loads.get_or_create(entry.incarnation).local_running = 99

    async def queue(ticket, zone, request, are_brittle=False):
        if waits_s[zone] is None:
            return SlotOutcome.UNAVAILABLE
        ticket.wait_s = waits_s[zone]
        return SlotOutcome.QUEUED

    async def run():
        answer = await site.request(budget_s=0.5, model="oak")
        return answer, dict(site.state.demand.waiting())

    site.allocate = queue
    started_at = monotonic_s()
    (status, headers), demand = asyncio.run(run())
    reasons = [o for name, o, _ in site.logged if name == "request_refused"]
    assert (status, site.sent) == (503, [])
    assert (reasons == ["queue_too_long"]) is (expected_s is not None)
    assert (monotonic_s() - started_at < 0.1) is (expected_s is not None)
    if expected_s is not None:
        assert expected_s - 0.1 <= headers[b"retry-after"] <= 1.25 * expected_s
        assert demand == {("web", "oak", ""): 1}


@pytest.mark.parametrize("local_running", [0, 99])
def test_plain_servers_are_drawn_at_random_while_the_allocator_is_silent(
    monkeypatch, local_running
):
    """Plain servers rejected 1,707 of 8,881 attempts, as all hosts chose by counts."""
    other = replace(ENTRY, server="s-2")
    site = Site(monkeypatch, ENTRY, other)
    site.state.configuration.services["web"] = ServiceSpec("web", 9000)
    load = site.state.loads.get_or_create(ENTRY.incarnation)
    load.local_running = local_running
    site.responses = {name: [(200, [SIGNED])] * 40 for name in ("s-1", "s-2")}

    async def allocate(ticket, zone, request, are_brittle=False):
        return SlotOutcome.UNAVAILABLE

    site.allocate = allocate
    for _ in range(40):
        assert asyncio.run(site.request(budget_s=0.5))[0] == 200
    assert min(Counter(site.sent).values()) >= 8


def test_a_granted_slot_is_released_with_what_the_server_stated(monkeypatch):
    site = Site(monkeypatch, ENTRY)
    site.responses = {"s-1": [load(b"1,0,8,250"), load(b"1,3,8,250"), load(b"1,0,8")]}

    async def grant(ticket, zone, request, are_brittle=False):
        ticket.grant = SlotReply("h", 0, SlotOutcome.GRANTED, ENTRY.incarnation)
        return SlotOutcome.GRANTED

    site.allocate = grant
    for _ in range(3):
        assert asyncio.run(site.request())[0] == 200
    assert [speed[:2] for speed in site.released] == [
        (SlotQuality.ON_TIME, 2.5),
        (SlotQuality.ON_TIME, 2.5),
        (SlotQuality.ON_TIME, None),
    ]
    # A response of a server where others wait does not show how fast it works.
    assert [speed[2] is None for speed in site.released] == [False, True, False]
    ended = [fields for name, _, fields in site.logged if name == "request_ended"]
    assert [fields.get("slowness") for fields in ended] == [2.5, 2.5, None]


def test_a_slow_server_gets_fewer_requests_if_it_states_its_slowness(monkeypatch):
    """Without the fourth figure servers are chosen by their load, as before."""
    other = replace(ENTRY, server="s-2")
    site = Site(monkeypatch, ENTRY, other)
    site.responses = {
        "s-1": [load(b"0,0,8,270")] * 99,
        "s-2": [load(b"0,0,8,100")] * 99,
    }

    async def run():
        for _ in range(60):
            await site.request()

    asyncio.run(run())
    assert 1 <= site.sent.count("s-1") < 20


BRITTLE = (b"server-brittle", b"3")


def test_a_brittle_server_gets_nothing_without_a_slot(monkeypatch):
    site = Site(monkeypatch, ENTRY)
    site.responses = {"s-1": [(200, [SIGNED, BRITTLE]), (200, [SIGNED])]}

    async def run():
        first = await site.request()
        site.on_connect = pytest.fail
        return first[0], (await site.request(budget_s=0.2))[0]

    assert asyncio.run(run()) == (200, 503)
    assert site.sent == ["s-1"]


def test_a_brittle_server_with_a_limit_gets_what_has_a_permit(monkeypatch):
    site = Site(monkeypatch, ENTRY)
    limit = (b"server-limit", b"3")
    site.responses = {"s-1": [(200, [SIGNED, BRITTLE, limit])] * 2}

    async def run():
        return [(await site.request())[0] for _ in range(2)]

    assert asyncio.run(run()) == [200, 200]


def test_a_server_that_becomes_brittle_after_the_choice_gets_nothing(monkeypatch):
    site = Site(monkeypatch, ENTRY)
    site.responses = {"s-1": [(200, [SIGNED])]}
    site.on_connect = lambda server: site.state.note_server_brittle(
        ENTRY.incarnation, 3.0, "test", monotonic_s()
    )
    assert asyncio.run(site.request(budget_s=0.2))[0] == 503
    assert site.sent == []


@pytest.mark.parametrize(
    ("turned_away", "status"), [(False, 403), (True, 200)], ids=["crash", "fall"]
)
@pytest.mark.parametrize("is_known_later", [False, True])
def test_what_ran_on_servers_that_fell_for_want_of_room_is_not_rejected(
    monkeypatch, turned_away, status, is_known_later
):
    """Callers of one page got 403 after three servers had fallen over.

    A request that crashes brittle servers which turned nothing away is still found.
    """
    servers = [replace(ENTRY, server=f"s-{n}") for n in range(4)]
    site = Site(monkeypatch, *servers)
    site.route = replace(ROUTE, attempts=1)
    site.responses = {s.server: [CRASH] for s in servers[:3]}
    site.responses["s-3"] = [(200, [SIGNED])]
    site.crashed = {s.server for s in servers[:3]}

    async def run():
        for server in servers[:3]:
            # As in another host's digest: the request itself needs no slot here.
            now = monotonic_s()
            site.state.note_server_brittle(server.incarnation, 3.0, "h-2", now)
            if turned_away and not is_known_later:
                site.state.note_turned_away(server.incarnation, now, now)
        monkeypatch.setattr(
            "sequoiapoint.node.server_selector.ServerSelector.is_brittle",
            lambda self, entry, now: False,
        )
        for server in servers[:3]:
            site.state.fleet.put(server)
            for other in servers:
                if other is not server:
                    site.state.fleet.remove(other.server)
            assert (await site.request(body=b"page"))[0] == 502
            if turned_away and is_known_later:
                now = monotonic_s()
                site.state.note_turned_away(server.incarnation, now - 0.1, now)
        site.state.fleet.put(servers[3])
        site.state.fleet.remove("s-2")
        return (await site.request(body=b"page"))[0]

    assert asyncio.run(run()) == status


KEY = key_digest(b"k1")
BOUND_S = 5.0
ASPEN = GatewayConfiguration(
    1,
    (ROUTE,),
    {"web": ServiceSpec("web", 100)},
    CallerLimits(),
    {KEY: Organisation("aspen", 2)},
)
REVOKED = replace(ASPEN, version=2, organisations={})
NOT_RUN = (503, [(b"not-run", b"1")])
REFUSED = RefusalReply(503, "full", None)


def revoke(site):
    site.state.configuration = REVOKED


def grow_old(site):
    site.state.configuration_age_s = lambda: BOUND_S


def keyed_site(monkeypatch, *responses):
    """Return a site with organisations, at whose servers requests get responses."""
    servers = [replace(ENTRY, server=f"s-{n}") for n in range(len(responses))]
    site = Site(monkeypatch, *servers)
    site.responses = {server.server: list(responses) for server in servers}
    site.state.configuration = ASPEN
    site.state.settings.bounds = Bounds(key_revocation_s=BOUND_S)
    return site


@pytest.mark.parametrize(
    ("change", "status", "reason"),
    [(revoke, 401, "unknown_key"), (grow_old, 503, "configuration_too_old")],
)
@pytest.mark.parametrize("connects", [1, 2], ids=["first", "retry"])
def test_a_request_is_not_sent_once_its_key_may_be_revoked(
    monkeypatch, change, status, reason, connects
):
    """A request that waits or is retried outlasts the time in which its key is valid.

    The first server states that it has not run the request.
    """
    site = keyed_site(monkeypatch, NOT_RUN, NOT_RUN)
    seen = []

    def on_connect(server):
        seen.append(server)
        if len(seen) == connects:
            change(site)

    site.on_connect = on_connect
    answer = asyncio.run(site.request(organisation="aspen", key_digest=KEY))
    assert answer[0] == status
    assert (answer[1][b"retry-after"] is not None) == (status == 503)
    assert len(site.sent) == connects - 1
    refused = [entry for entry in site.logged if entry[0] == "request_refused"]
    assert [outcome for _, outcome, _ in refused] == [reason]
    assert refused[0][2]["key"] == key_label(KEY)


@pytest.mark.parametrize("change", [revoke, grow_old])
def test_a_request_that_may_have_run_is_not_refused_as_unauthorised(
    monkeypatch, change
):
    """Its caller would take it for certainly not run."""
    site = keyed_site(monkeypatch, CRASH, CRASH)
    site.on_connect = lambda server: change(site) if site.sent else None
    answer = asyncio.run(site.request(organisation="aspen", key_digest=KEY))
    assert answer[0] == 502
    assert len(site.sent) == 1


@pytest.mark.parametrize("change", [revoke, grow_old])
def test_a_request_takes_no_detour_once_its_key_may_be_revoked(monkeypatch, change):
    site = keyed_site(monkeypatch, NOT_RUN)
    site.state.reachability.service("web").is_cut_off = True
    site.detours.results = [
        (DetourResult(DetourOutcome.NO_HELPER, "h-2"),),
    ]
    change(site)
    answer = asyncio.run(site.request(organisation="aspen", key_digest=KEY))
    assert answer[0] in (401, 503)
    assert site.detours.requests == []


@pytest.mark.parametrize("organisation", [None, "", "aspen"])
def test_a_detour_carries_credentials_only_without_organisations(
    monkeypatch, organisation
):
    """A helper of an older build forwards all headers that it is sent."""
    site = keyed_site(monkeypatch, NOT_RUN)
    site.state.adapter.callers = PlatformCallerCodec()
    if organisation is None:
        site.state.configuration = replace(ASPEN, organisations=None)
    site.route = replace(ROUTE, is_public=organisation == "")
    site.state.reachability.service("web").is_cut_off = True
    site.detours.results = [(DetourResult(DetourOutcome.REFUSED, "h-2", REFUSED),)]
    headers = ((b"authorization", b"Bearer k1"), (b"tenant", b"x"), (b"a", b"b"))
    asyncio.run(
        site.request(organisation=organisation, key_digest=KEY, headers=headers)
    )
    (detour,) = site.detours.requests
    assert (detour.request.organisation, detour.request.key_digest) == (
        organisation,
        KEY,
    )
    expected = headers if organisation is None else headers[2:]
    assert detour.request.headers == expected


@pytest.mark.parametrize(
    ("responses", "detour", "was_not_run"),
    [
        ([NOT_RUN, NOT_RUN], None, True),
        ([(200, [SIGNED])], None, False),
        ([CRASH], None, False),
        ([NOT_RUN], RefusalReply(503, "full", None), True),
        ([NOT_RUN], RefusalReply(502, "reset", None), False),
        ([NOT_RUN], RefusalReply(504, "timeout", None), False),
    ],
)
def test_only_a_request_that_has_certainly_not_run_is_refunded(
    monkeypatch, responses, detour, was_not_run
):
    """An organisation whose servers crash got requests beyond its allowance run."""
    site = keyed_site(monkeypatch, *responses)
    site.route = replace(ROUTE, repeatability=Repeatability.AT_MOST_ONCE)
    if detour is not None:
        site.state.adapter.callers = PlatformCallerCodec()
        site.state.reachability.service("web").is_cut_off = True
        site.detours.results = [(DetourResult(DetourOutcome.REFUSED, "h-2", detour),)]
    asyncio.run(site.request(organisation="aspen", key_digest=KEY))
    assert site.forwarder.was_certainly_not_run == was_not_run

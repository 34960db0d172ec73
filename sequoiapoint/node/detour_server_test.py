"""Requests that this host runs for another one, with a scripted request forwarder."""

import asyncio
import contextlib
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from sequoiapoint.node import detour_server
from sequoiapoint.node.detour_exchange import UNABLE_REASONS
from sequoiapoint.node.detour_server import DetourServer
from sequoiapoint.node.request_forwarder_test import ROUTE
from sequoiapoint.node.request_record import reject
from sequoiapoint.platform.callers import PlatformCallerCodec
from sequoiapoint.protocol.api_keys import key_digest
from sequoiapoint.protocol.detours import (
    REQUEST_HEADER,
    DetourRequest,
    RefusalReply,
    ServerReply,
    UnknownReply,
    decode_detour_reply,
    encode_detour_request,
)
from sequoiapoint.protocol.gateway import (
    CallerLimits,
    CallerRequest,
    GatewayConfiguration,
    Organisation,
)
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.state.reachability import Reachability
from sequoiapoint.transport.async_http_server import HOST_STOPPED, InboundRequest
from sequoiapoint.transport.clock import monotonic_s

REQUEST = CallerRequest("id", "POST", "h", "/r/x", ((b"a", b"b"),), b"body")
MESSAGE = DetourRequest("o", 7, 1.5, 2, True, REQUEST)
ROUTE = replace(ROUTE, attempts=3)


class Forwarder:
    """Stands for the forwarder of the last request, and keeps what it was given."""

    last = None
    behave = None

    def __init__(
        self, state, exchange, request, route, arrived_s, responder, **options
    ):
        self.state, self.request, self.route = state, request, route
        self.responder, self.options = responder, options
        self.logged = []
        Forwarder.last = self

    async def run(self):
        await Forwarder.behave(self)

    def count_attempts(self):
        return 1

    def end_cancelled(self, cause):
        self.logged.append(cause)


class Site:
    """One host that helps others."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(detour_server, "RequestForwarder", Forwarder)
        self.state = SimpleNamespace(
            is_draining=False,
            configuration=GatewayConfiguration(7, (), {}, CallerLimits()),
            configuration_age_s=lambda: 0.0,
            settings=SimpleNamespace(bounds=Bounds()),
            rng=random.Random(1),
            adapter=SimpleNamespace(callers=PlatformCallerCodec()),
            routes=SimpleNamespace(find=lambda host, path: ROUTE),
            reachability=Reachability(),
            log=SimpleNamespace(event=lambda *a, **fields: None),
            metrics=SimpleNamespace(refusal=lambda reason: None),
        )
        self.server = DetourServer(self.state, None)
        self.sent = []
        self.responder = SimpleNamespace(
            is_started=False,
            send_response=lambda *a: self.sent.append(a),
            start_stream=lambda *a: self.sent.append(a),
        )

    async def handle(self, message=MESSAGE):
        inbound = InboundRequest(
            "POST", "/detours", [], encode_detour_request(message), monotonic_s()
        )
        await self.server.handle(inbound, self.responder)

    def reply(self):
        status, headers, *_ = self.sent[-1]
        assert status == 200
        return decode_detour_reply(headers[0][1])


async def answer(forwarder):
    forwarder.responder.send_response(500, [(b"server-seal", b"s")], b"failed")


async def start_stream(forwarder):
    forwarder.responder.start_stream(200, [(b"x", b"y")])


def refuse(reason, status, retry_after_s):
    async def behave(forwarder):
        reject(
            forwarder.state,
            forwarder.responder,
            "id",
            reason,
            status,
            retry_after_s,
        )

    return behave


@pytest.mark.parametrize(
    ("behave", "reply"),
    [
        (answer, ServerReply(500, ((b"server-seal", b"s"),), False, 1)),
        (start_stream, ServerReply(200, ((b"x", b"y"),), True, 1)),
        (refuse("full", 503, 0.5), RefusalReply(503, "full", 0.5, 1)),
        (refuse("quarantined", 403, None), RefusalReply(403, "quarantined", None, 1)),
        (refuse("reset", 502, None), UnknownReply("reset", 1)),
        (refuse("timed_out", 504, None), UnknownReply("timed_out", 1)),
    ],
)
def test_the_reply_tells_what_became_of_the_request(monkeypatch, behave, reply):
    site = Site(monkeypatch)
    Forwarder.behave = staticmethod(behave)
    asyncio.run(site.handle())
    assert site.reply() == reply
    if behave is answer:
        assert site.sent[-1][2] == b"failed"


def test_the_request_gets_the_time_and_the_attempts_that_are_left(monkeypatch):
    site = Site(monkeypatch)
    Forwarder.behave = staticmethod(answer)
    asyncio.run(site.handle())
    assert Forwarder.last.request == replace(REQUEST, budget_s=1.5)
    assert Forwarder.last.route.attempts == 2
    assert Forwarder.last.options == {"is_on_detour": True, "is_retry": True}


@pytest.mark.parametrize("cause", [None, HOST_STOPPED])
def test_a_helper_tells_the_attempts_of_a_request_that_has_ended(monkeypatch, cause):
    """The head of a stream's reply cannot tell of those that followed it."""
    site = Site(monkeypatch)

    async def behave(forwarder):
        forwarder.responder.start_stream(200, [])
        forwarder.count_attempts = lambda: 2
        if cause is not None:
            raise asyncio.CancelledError(cause)

    async def ask(request_id):
        headers = [(REQUEST_HEADER, request_id)]
        inbound = InboundRequest("GET", "/detours", headers, b"", monotonic_s())
        await site.server.handle(inbound, site.responder)
        return site.sent[-1]

    Forwarder.behave = staticmethod(behave)
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(site.handle())
    asyncio.run(ask(b"id"))
    assert site.reply() == UnknownReply("ended", 2)
    assert asyncio.run(ask(b"other")) == (200, [])


def test_a_helper_forgets_a_request_that_runs_again(monkeypatch):
    """The attempts of its earlier detour were told while the later one ran."""
    site = Site(monkeypatch)
    remembered = []

    async def behave(forwarder):
        remembered.append(dict(site.server._attempts))
        await answer(forwarder)

    Forwarder.behave = staticmethod(behave)
    for _ in range(2):
        asyncio.run(site.handle())
    assert remembered == [{}, {}]
    assert site.server._attempts == {"id": 1}


def test_a_helper_remembers_a_limited_number_of_requests(monkeypatch):
    site = Site(monkeypatch)
    monkeypatch.setattr(detour_server, "MAX_ENDED_REQUESTS", 2)
    Forwarder.behave = staticmethod(answer)
    for number in range(4):
        request = replace(REQUEST, request_id=f"id-{number}")
        asyncio.run(site.handle(replace(MESSAGE, request=request)))
    assert list(site.server._attempts) == ["id-2", "id-3"]


def draining(site):
    site.state.is_draining = True


def no_configuration(site):
    site.state.configuration = site.state.routes = None


def older_configuration(site):
    site.state.configuration = GatewayConfiguration(6, (), {}, CallerLimits())


def no_route(site):
    site.state.routes.find = lambda host, path: None


def cut_off(site):
    site.state.reachability.service("web").is_cut_off = True


@pytest.mark.parametrize(
    "obstacle",
    [draining, no_configuration, older_configuration, no_route, cut_off],
    ids=lambda f: f.__name__,
)
def test_a_host_that_cannot_help_says_at_once_that_it_has_not_run_the_request(
    monkeypatch, obstacle
):
    site = Site(monkeypatch)
    Forwarder.last = None
    obstacle(site)
    asyncio.run(site.handle())
    assert Forwarder.last is None
    assert site.reply() == RefusalReply(503, obstacle.__name__, None)
    assert obstacle.__name__ in UNABLE_REASONS


KEY = key_digest(b"k1")
HOLDERS = {KEY: Organisation("aspen", 2)}
CREDENTIALS = ((b"authorization", b"Bearer k1"), (b"tenant", b"forged"))
BOUND_S = 5.0


def keyed_site(monkeypatch, holders=HOLDERS, age_s=0.0):
    site = Site(monkeypatch)
    site.state.configuration = GatewayConfiguration(7, (), {}, CallerLimits(), holders)
    site.state.configuration_age_s = lambda: age_s
    site.state.settings.bounds = Bounds(key_revocation_s=BOUND_S)
    Forwarder.behave, Forwarder.last = staticmethod(answer), None
    return site


@pytest.mark.parametrize(
    "fields",
    [
        {"organisation": "aspen", "key_digest": KEY},
        # From a host whose configuration has no organisations or whose build does not
        # know them: the headers are the caller's.
        {"headers": CREDENTIALS},
        {"headers": (CREDENTIALS[0],), "key_digest": key_digest(b"other")},
    ],
)
def test_a_request_runs_for_the_holder_of_its_key(monkeypatch, fields):
    """A helper gave servers the name that the caller had sent."""
    site = keyed_site(monkeypatch)
    asyncio.run(site.handle(replace(MESSAGE, request=replace(REQUEST, **fields))))
    assert Forwarder.last.request.organisation == "aspen"


@pytest.mark.parametrize(
    ("fields", "age_s", "status", "reason"),
    [
        ({"headers": CREDENTIALS[1:]}, 0.0, 401, "no_key"),
        ({"organisation": "aspen"}, 0.0, 401, "no_key"),
        ({"organisation": "", "key_digest": b"x"}, 0.0, 401, "unknown_key"),
        ({"organisation": "aspen", "key_digest": b"x"}, 0.0, 401, "unknown_key"),
        (
            {"organisation": "aspen", "key_digest": KEY},
            BOUND_S,
            503,
            "configuration_too_old",
        ),
    ],
)
def test_a_helper_looks_the_key_up_again(monkeypatch, fields, age_s, status, reason):
    """A key that was removed is not accepted because another host has accepted it."""
    site = keyed_site(monkeypatch, age_s=age_s)
    asyncio.run(site.handle(replace(MESSAGE, request=replace(REQUEST, **fields))))
    assert Forwarder.last is None
    assert (site.reply().status, site.reply().reason) == (status, reason)
    assert (reason in UNABLE_REASONS) == (status == 503)


def test_a_drain_waits_for_requests_of_other_hosts(monkeypatch):
    site = Site(monkeypatch)
    counts = []

    async def behave(forwarder):
        counts.append(site.server.busy_count)
        raise asyncio.CancelledError("closed")

    Forwarder.behave = staticmethod(behave)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(site.handle())
    assert counts == [1]
    assert site.server.busy_count == 0
    assert Forwarder.last.logged == ["closed"]


def test_requests_of_other_hosts_are_told_that_the_helper_stops(monkeypatch):
    site = Site(monkeypatch)

    async def behave(forwarder):
        await asyncio.sleep(30.0)

    async def run():
        call = asyncio.ensure_future(site.handle())
        await asyncio.sleep(0)
        site.server.end_requests()
        await call

    Forwarder.behave = staticmethod(behave)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(run())
    assert Forwarder.last.logged == [HOST_STOPPED]
    assert site.server.busy_count == 0


def test_bytes_that_are_no_request_are_rejected(monkeypatch):
    site = Site(monkeypatch)
    inbound = InboundRequest("POST", "/detours", [], b"abc", monotonic_s())
    asyncio.run(site.server.handle(inbound, site.responder))
    assert site.sent[-1][0] == 400

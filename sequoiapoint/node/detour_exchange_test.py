"""Requests on a detour, with helpers that are scripted HTTP servers on loopback."""

import asyncio
import random
import socket
from dataclasses import replace
from types import SimpleNamespace

import pytest

from sequoiapoint.node import detour_exchange
from sequoiapoint.node.detour_exchange import DetourExchange, DetourOutcome
from sequoiapoint.protocol.detours import (
    DETOUR_PATH,
    REPLY_HEADER,
    REQUEST_HEADER,
    DetourRequest,
    RefusalReply,
    ServerReply,
    UnknownReply,
    decode_detour_request,
    encode_detour_reply,
)
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.gateway import CallerRequest
from sequoiapoint.transport.async_http_server import HOST_STOPPED, AsyncHttpServer
from sequoiapoint.transport.clock import monotonic_s

REQUEST = CallerRequest("id", "POST", "h", "/r/x", ((b"a", b"b"),), b"body")
BUDGET_S = 1.0
EVENT = b"id: 1\ndata: x\n\n"


def reply(message, body=b""):
    """Return a helper's behaviour: a reply, with a body."""

    async def handle(helper, request, responder):
        responder.send_response(
            200, [(REPLY_HEADER, encode_detour_reply(message))], body
        )

    return handle


async def close(helper, request, responder):
    responder.abort()


async def be_frozen(helper, request, responder):
    helper.is_frozen = True
    await asyncio.sleep(60)


async def be_slow(helper, request, responder):
    await asyncio.sleep(BUDGET_S - 0.1)
    await ANSWERED(helper, request, responder)


async def break_stream(helper, request, responder):
    message = ServerReply(200, (), True, 1)
    responder.start_stream(200, [(REPLY_HEADER, encode_detour_reply(message))])
    responder.send(EVENT)
    await asyncio.sleep(0.05)
    responder.abort()


async def stream(helper, request, responder):
    message = ServerReply(200, ((b"x", b"y"),), True, 1)
    responder.start_stream(200, [(REPLY_HEADER, encode_detour_reply(message))])
    for _ in range(3):
        responder.send(EVENT)
        await asyncio.sleep(0.02)
    responder.end_stream()


async def not_found(helper, request, responder):
    """Answer as a host of a version without detours does."""
    responder.send_response(404, [])


async def be_older(helper, request, responder):
    """Answer as a host of a build that cannot carry an organisation does."""
    if request.target.startswith(DETOUR_PATH):
        await ANSWERED(helper, request, responder)
    else:
        responder.send_response(404, [])


ANSWERED = reply(ServerReply(200, ((b"server-seal", b"s"),), False, 1), b"answer")
UNABLE = [
    reply(RefusalReply(503, reason, None)) for reason in detour_exchange.UNABLE_REASONS
]
STOPPED = reply(RefusalReply(503, HOST_STOPPED, None))
"""How a helper gives back a request that it has not sent when its stop ends."""


class Helper:
    """One helping host.

    :ivar requests: The requests that have reached it, with their times.
    :ivar cancelled: The number of handlers that were cancelled.
    :ivar ended_reply: What it replies when asked for a request that has ended.
    :ivar asked_for: The ids of these requests.
    """

    def __init__(self, name, zone, behaviour):
        self.behaviour = behaviour
        self.requests, self.cancelled, self.is_frozen = [], 0, False
        self.ended_reply, self.asked_for = None, []
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        self.member = Member(name, zone, f"127.0.0.1:{port}")
        self.server = AsyncHttpServer(self._handle, lambda status: None)

    async def start(self):
        if self.behaviour is not None:
            await self.server.start(self.member.address)

    async def _handle(self, request, responder):
        try:
            if request.method == "GET":
                if self.is_frozen:
                    await asyncio.sleep(60)
                ids = [v for name, v in request.headers if name == REQUEST_HEADER]
                self.asked_for += ids
                headers = []
                if ids and self.ended_reply is not None:
                    headers = [(REPLY_HEADER, encode_detour_reply(self.ended_reply))]
                responder.send_response(200, headers)
                return
            self.requests.append((monotonic_s(), decode_detour_request(request.body)))
            await self.behaviour(self, request, responder)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


async def run(
    *behaviours,
    may_leave=False,
    budget_s=BUDGET_S,
    cancel_after_s=None,
    request=REQUEST,
    ended_reply=None,
):
    """Send a request; the first helper is asked first, as it is in the own zone.

    :return: The result, the helpers, and what was received of a stream.
    """
    helpers = [
        Helper(f"h-{number}", "z" if number == 0 else "y", behaviour)
        for number, behaviour in enumerate(behaviours)
    ]
    members = [helper.member for helper in helpers]
    for helper in helpers:
        helper.ended_reply = ended_reply
    state = SimpleNamespace(
        settings=SimpleNamespace(zone="z"),
        rng=random.Random(1),
        log=SimpleNamespace(event=lambda *a, **fields: None),
        metrics=SimpleNamespace(event=lambda name: None),
    )
    peers = SimpleNamespace(helpers=lambda now: (members[:1], members[1:]))
    for helper in helpers:
        await helper.start()
    received = []
    deadline = monotonic_s() + budget_s
    exchange = DetourExchange(state, peers)
    task = asyncio.ensure_future(
        exchange.run(
            lambda: DetourRequest("o", 1, deadline - monotonic_s(), 2, False, request),
            lambda message, connection, exchange, data: received.append(data),
            deadline,
            may_leave,
        )
    )
    result = None
    if cancel_after_s is None:
        result = await task
    else:
        await asyncio.sleep(cancel_after_s)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.1)
    for helper in helpers:
        await helper.server.stop()
    return result, helpers, received


@pytest.mark.parametrize("unable", [None, not_found, STOPPED, *UNABLE])
def test_another_host_is_asked_if_the_first_one_has_not_run_the_request(unable):
    result, helpers, _ = asyncio.run(run(unable, ANSWERED))
    assert result.outcome is DetourOutcome.ANSWERED
    assert (result.helper, result.body) == ("h-1", b"answer")
    assert result.reply.headers == ((b"server-seal", b"s"),)
    assert helpers[1].requests[0][1].request == REQUEST


@pytest.mark.parametrize(
    ("behaviour", "outcome"),
    [
        (close, DetourOutcome.UNKNOWN),
        (be_frozen, DetourOutcome.UNKNOWN),
        (break_stream, DetourOutcome.UNKNOWN),
        (reply(UnknownReply("reset", 1)), DetourOutcome.UNKNOWN),
        (reply(RefusalReply(503, "servers_full", 0.5)), DetourOutcome.REFUSED),
    ],
)
@pytest.mark.parametrize("may_leave", [False, True])
def test_no_other_host_gets_a_request_that_may_have_run(behaviour, outcome, may_leave):
    result, helpers, _ = asyncio.run(run(behaviour, ANSWERED, may_leave=may_leave))
    assert result.outcome is outcome
    assert helpers[1].requests == []


def test_a_refusal_carries_its_status_and_the_time_to_return():
    message = RefusalReply(403, "quarantined", 0.5, 0)
    result, _, _ = asyncio.run(run(reply(message)))
    assert result.reply == message


def test_no_helper_is_left():
    result, _, _ = asyncio.run(run(None, None))
    assert result.outcome is DetourOutcome.NO_HELPER


@pytest.mark.parametrize(("may_leave", "leaves"), [(False, False), (True, True)])
def test_a_helper_that_no_longer_runs_is_left_if_the_request_may_be_repeated(
    may_leave, leaves
):
    async def measure():
        started_at = monotonic_s()
        await run(be_frozen, may_leave=may_leave, budget_s=4.0)
        return monotonic_s() - started_at

    assert (asyncio.run(measure()) < 2.0) is leaves


def test_a_helper_that_runs_is_not_left_although_its_server_is_silent():
    result, _, _ = asyncio.run(run(be_slow, may_leave=True))
    assert result.outcome is DetourOutcome.ANSWERED


def test_the_time_that_is_left_is_passed_on():
    async def late(helper, request, responder):
        await asyncio.sleep(0.2)
        await UNABLE[0](helper, request, responder)

    _, helpers, _ = asyncio.run(run(late, ANSWERED))
    (first_at, first), (second_at, second) = (h.requests[0] for h in helpers)
    used_s = second_at - first_at
    assert used_s > 0.2
    assert first.remaining_s - second.remaining_s == pytest.approx(used_s, abs=0.05)


def test_a_helper_stops_when_the_caller_leaves():
    _, helpers, _ = asyncio.run(run(be_frozen, cancel_after_s=0.2))
    assert helpers[0].cancelled == 1


def test_a_stream_is_passed_on():
    result, _, received = asyncio.run(run(stream))
    assert result.outcome is DetourOutcome.ANSWERED
    assert result.reply.is_stream
    assert b"".join(received) == 3 * EVENT


def test_a_broken_stream_is_not_complete():
    result, _, received = asyncio.run(run(break_stream))
    assert result.outcome is DetourOutcome.UNKNOWN
    assert b"".join(received) == EVENT


async def die_after_event(helper, request, responder):
    helper.server.stop_accepting()
    helper.is_frozen = True
    await break_stream(helper, request, responder)


async def freeze_after_event(helper, request, responder):
    message = ServerReply(200, (), True, 1)
    responder.start_stream(200, [(REPLY_HEADER, encode_detour_reply(message))])
    responder.send(EVENT)
    await be_frozen(helper, request, responder)


@pytest.mark.parametrize(
    ("behaviour", "ended_reply", "may_leave", "attempts"),
    [
        (break_stream, UnknownReply("ended", 2), True, 2),
        # It was cut off itself, or had no server left, before its second attempt.
        (break_stream, UnknownReply("ended", 1), True, 1),
        (break_stream, UnknownReply("ended", 0), True, 1),
        # A helper of an older build, and one that has restarted.
        (break_stream, None, True, 1),
        (die_after_event, UnknownReply("ended", 2), True, 1),
        (freeze_after_event, UnknownReply("ended", 2), True, 1),
        # It is not sent again in any case.
        (break_stream, UnknownReply("ended", 2), False, 1),
    ],
)
def test_a_helper_is_asked_for_the_attempts_behind_the_head_of_a_stream(
    behaviour, ended_reply, may_leave, attempts
):
    """The head told of the first one only, and a third server got the request."""
    result, helpers, _ = asyncio.run(
        run(behaviour, may_leave=may_leave, ended_reply=ended_reply, budget_s=4.0)
    )
    assert result.outcome is DetourOutcome.UNKNOWN
    assert result.reply.attempts == attempts
    is_asked = behaviour is break_stream and may_leave
    assert helpers[0].asked_for == ([b"id"] if is_asked else [])


@pytest.mark.parametrize(("organisation", "helper"), [("aspen", "h-1"), ("", "h-0")])
def test_a_helper_of_an_older_build_gets_no_request_of_an_organisation(
    organisation, helper
):
    """It ran the request, and no server got the name of the organisation."""
    request = replace(REQUEST, organisation=organisation, key_digest=b"digest")
    result, helpers, _ = asyncio.run(run(be_older, ANSWERED, request=request))
    assert result.outcome is DetourOutcome.ANSWERED
    assert result.helper == helper
    sent = helpers[int(helper[-1])].requests[0][1].request
    assert (sent.organisation, sent.key_digest) == (organisation, b"digest")

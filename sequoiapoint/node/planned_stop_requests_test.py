"""Requests at a host that has been told to stop, with scripted servers.

Guards against a request that is sent to a server only to be cut as the host ends.
"""

import asyncio
import contextlib
from dataclasses import replace

import pytest

from sequoiapoint.coordination.planned_stop import PlannedStop
from sequoiapoint.node.request_detour_test import (
    AT_MOST_ONCE,
    RESUMABLE,
    answered,
    cut_off_site,
)
from sequoiapoint.node.request_forwarder_test import (
    ABORTED,
    END,
    ENTRY,
    SIGNED,
    Site,
    refusal,
)
from sequoiapoint.node.silent_server_test import event_from, silent_site
from sequoiapoint.node.silent_server_test import request as silent_request
from sequoiapoint.protocol.gateway import Repeatability
from sequoiapoint.transport.async_http_client import Exchange
from sequoiapoint.transport.async_http_server import CALLER_CLOSED, HOST_STOPPED
from sequoiapoint.transport.clock import monotonic_s

EVENT = b"id: 1\ndata: x\n\n"
LATE_S = 4.0
"""Time since the stop signal at which 3.4 s are left."""


def stopping_site(monkeypatch, since_s=LATE_S, **route):
    site = Site(monkeypatch, ENTRY, replace(ENTRY, server="s-2"))
    site.route = replace(site.route, **route)
    site.state.stop = PlannedStop(monotonic_s() - since_s, 8.0)
    return site


@pytest.mark.parametrize("route", [{}, AT_MOST_ONCE, RESUMABLE])
@pytest.mark.parametrize(
    ("since_s", "budget_s", "is_sent"),
    [(1.0, 30.0, True), (4.0, 30.0, False), (4.0, 1.0, True), (7.0, 1.0, False)],
)
def test_a_late_request_is_sent_only_if_it_ends_before_the_host(
    monkeypatch, route, since_s, budget_s, is_sent
):
    site = stopping_site(monkeypatch, since_s, timeout_s=30.0, **route)
    head = [SIGNED, (b"content-type", b"text/event-stream")]
    site.responses = {s: [(200, head, EVENT)] for s in ("s-1", "s-2")}
    status, headers = asyncio.run(site.request(budget_s=budget_s))
    assert (status, len(site.sent)) == ((200, 1) if is_sent else (503, 0))
    if not is_sent:
        assert headers[b"retry-after"] < 0.1
        assert site.forwarder.was_certainly_not_run


def test_a_late_request_takes_no_detour(monkeypatch):
    site = cut_off_site(monkeypatch, answered(), timeout_s=30.0)
    site.state.stop = PlannedStop(monotonic_s() - LATE_S, 8.0)
    assert asyncio.run(site.request(budget_s=30.0))[0] == 503
    assert site.detours.requests == []


def test_a_request_is_not_sent_if_the_host_begins_to_end_as_it_connects(monkeypatch):
    site = stopping_site(monkeypatch, 0.0, timeout_s=30.0)
    site.on_connect = lambda server: setattr(
        site.state, "stop", PlannedStop(monotonic_s() - LATE_S, 8.0)
    )
    assert asyncio.run(site.request(budget_s=30.0))[0] == 503
    assert site.sent == []


@pytest.mark.parametrize("repeatability", list(Repeatability))
def test_a_request_that_was_turned_away_is_not_sent_again_late(
    monkeypatch, repeatability
):
    site = stopping_site(
        monkeypatch, 0.0, timeout_s=30.0, repeatability=repeatability, attempts=3
    )
    site.responses = {s: [refusal(b"")] * 2 for s in ("s-1", "s-2")}
    stops = [PlannedStop(monotonic_s(), 8.0), PlannedStop(monotonic_s() - LATE_S, 8.0)]
    site.on_connect = lambda server: setattr(site.state, "stop", stops.pop(0))
    status, _ = asyncio.run(site.request(budget_s=30.0))
    assert (status, len(site.sent)) == (503, 1)


def test_a_stream_that_has_begun_goes_on_at_another_server_late(monkeypatch):
    site = stopping_site(monkeypatch, 0.0, timeout_s=30.0, **RESUMABLE)
    head = [SIGNED, (b"content-type", b"text/event-stream")]
    rest = b"id: 2\ndata: y\n\n"
    responses = [(200, head, EVENT, b"id: 2\nda"), (200, head, rest)]
    send_scripted = site._send

    def send(entry, accepts):
        site.responses[entry.server] = [responses.pop(0)]
        site.state.stop = PlannedStop(monotonic_s() - LATE_S, 8.0)
        return send_scripted(entry, accepts)

    site._send = send
    asyncio.run(site.request(budget_s=30.0))
    assert site.streamed == [EVENT, rest, END]


@pytest.mark.parametrize("cause", [HOST_STOPPED, CALLER_CLOSED])
@pytest.mark.parametrize(
    ("at", "status"),
    [("connection", 503), ("head", 502), ("body", 502), ("stream", ABORTED)],
)
def test_a_request_in_progress_as_the_host_ends_is_answered(
    monkeypatch, at, status, cause
):
    """Its connection was closed without an answer, which says nothing of a repeat."""
    is_stream = at == "stream"
    site = stopping_site(monkeypatch, 0.0, timeout_s=30.0, is_stream=is_stream)
    site.is_endless = True
    head = [SIGNED, (b"content-type", b"text/event-stream")]
    site.responses = {s: [(200, head, EVENT)] for s in ("s-1", "s-2")}
    if at == "connection":
        site._connect = lambda entry: asyncio.sleep(30.0)
    elif at == "head":
        site._send = lambda entry, accepts: Exchange(
            asyncio.get_running_loop(), accepts
        )

    async def run():
        request = asyncio.ensure_future(site.request(budget_s=30.0))
        await asyncio.sleep(0.1)
        request.cancel(cause)
        with contextlib.suppress(asyncio.CancelledError):
            await request
        return site.answer

    answer = asyncio.run(run())
    is_told = cause == HOST_STOPPED
    if is_stream:
        assert site.streamed == [EVENT] + [ABORTED] * is_told
        ended = "broken_off" if is_told else "caller_gone"
        assert [o for name, o, _ in site.logged if name == "request_ended"] == [ended]
    else:
        assert (answer and answer[0]) == (status if is_told else None)
        reasons = [o for name, o, _ in site.logged if name == "request_refused"]
        assert reasons == [HOST_STOPPED] * is_told


@pytest.mark.parametrize("is_stream", [False, True])
def test_a_request_at_a_silent_server_is_taken_over_late_in_a_stop(
    monkeypatch, is_stream
):
    """It stayed at the silent server until the host ended: it had been sent before."""
    site = silent_site(monkeypatch, "s-2", is_stream=is_stream, timeout_s=3.0)
    site.state.stop = PlannedStop(monotonic_s() - 2.6, 5.0)
    if not is_stream:
        site.responses["s-2"] = [(200, [SIGNED], b"answer")]
    (status, _), _ = asyncio.run(silent_request(site, silence_s=8.0, has_begun=False))
    assert (status, site.sent) == (200, ["s-1", "s-2"])
    if is_stream:
        assert site.streamed == [event_from("s-2"), END]

"""Requests at a host that is cut off from servers, with a scripted helper."""

import asyncio
from dataclasses import replace

import pytest

from sequoiapoint.node.detour_exchange import DetourOutcome, DetourResult
from sequoiapoint.node.request_forwarder_test import ABORTED, END, ENTRY, SIGNED, Site
from sequoiapoint.node.silent_server_test import request as silent_request
from sequoiapoint.node.silent_server_test import silent_site
from sequoiapoint.protocol.detours import RefusalReply, ServerReply, UnknownReply
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import Repeatability
from sequoiapoint.state.stream_origins import StreamOrigin
from sequoiapoint.transport.clock import monotonic_s

FIRST, SECOND = b"id: 1\ndata: x\n\n", b"id: 2\ndata: y\n\n"
SERVERS = [replace(ENTRY, server=f"s-{number}") for number in range(4)]
STREAM_HEAD = ServerReply(200, (SIGNED,), True, 1)


def answered(body=b"answer", status=200, attempts=1):
    reply = ServerReply(status, (SIGNED,), False, attempts)
    return (DetourResult(DetourOutcome.ANSWERED, "h-2", reply, body),)


def unknown(reason="helper_closed", attempts=None):
    reply = None if attempts is None else UnknownReply(reason, attempts)
    return (DetourResult(DetourOutcome.UNKNOWN, "h-2", reply, reason=reason),)


def refused(reason="servers_full", status=503, retry_after_s=0.25):
    reply = RefusalReply(status, reason, retry_after_s, 0)
    return (DetourResult(DetourOutcome.REFUSED, "h-2", reply, reason=reason),)


def stream_part(*events, is_complete):
    outcome = DetourOutcome.ANSWERED if is_complete else DetourOutcome.UNKNOWN
    return (DetourResult(outcome, "h-2", STREAM_HEAD), *events)


def cut_off_site(monkeypatch, *results, **route):
    """Return a site that is cut off from all servers and has a helper."""
    site = Site(monkeypatch, *SERVERS)
    site.route = replace(site.route, **route)
    site.state.reachability.service("web").is_cut_off = True
    site.detours.results = list(results)
    return site


AT_MOST_ONCE = {"repeatability": Repeatability.AT_MOST_ONCE}
RESUMABLE = {"is_stream": True, "is_resumable": True}


def test_a_cut_off_host_sends_a_request_through_another_one(monkeypatch):
    site = cut_off_site(monkeypatch, answered())
    status, headers = asyncio.run(site.request())
    assert (status, headers) == (200, dict([SIGNED]))
    assert site.sent == []
    (detour,) = site.detours.requests
    assert detour.request.request_id == "id"
    assert 0.9 < detour.remaining_s <= 1.0
    assert (detour.attempts_left, detour.is_retry) == (2, False)
    assert detour.configuration_version == 1


@pytest.mark.parametrize(
    ("results", "route", "status", "detours"),
    [
        # A helper that dies after it has got the request may have run it.
        ([unknown(), answered()], AT_MOST_ONCE, 502, 1),
        ([unknown(attempts=1), answered()], AT_MOST_ONCE, 502, 1),
        ([unknown(), answered()], {}, 200, 2),
        # The attempts that a helper reports count.
        ([unknown(attempts=2), answered()], {}, 502, 1),
        ([unknown(), unknown(), answered()], {}, 502, 2),
        # A refusal is final.
        ([refused(), answered()], {}, 503, 1),
        ([refused("quarantined", 403, None)], {}, 403, 1),
        # An earlier attempt may have run.
        ([unknown(), refused()], {}, 502, 2),
        # A server's own failure is passed on.
        ([answered(status=500)], {}, 500, 1),
    ],
)
def test_the_callers_response_tells_whether_the_request_may_have_run(
    monkeypatch, results, route, status, detours
):
    site = cut_off_site(monkeypatch, *results, **route)
    answer, _ = asyncio.run(site.request())
    assert answer == status
    assert len(site.detours.requests) == detours
    assert site.sent == []


def test_a_refusal_carries_the_helpers_time(monkeypatch):
    site = cut_off_site(monkeypatch, refused(retry_after_s=0.25))
    assert asyncio.run(site.request()) == (503, {b"retry-after": 0.25})


def test_a_detour_after_an_attempt_counts_as_a_retry(monkeypatch):
    site = cut_off_site(monkeypatch, unknown(), answered(), attempts=3)
    asyncio.run(site.request())
    first, second = site.detours.requests
    assert (first.attempts_left, first.is_retry) == (3, False)
    assert (second.attempts_left, second.is_retry) == (2, True)


def test_a_stream_goes_on_through_another_helper_after_its_last_event(monkeypatch):
    site = cut_off_site(
        monkeypatch,
        stream_part(FIRST, SECOND[:8], is_complete=False),
        stream_part(SECOND, is_complete=True),
        **RESUMABLE,
    )
    status, _ = asyncio.run(site.request(resumes="before"))
    assert status == 200
    assert site.streamed == [FIRST, SECOND, END]
    first, second = (detour.request for detour in site.detours.requests)
    assert (first.last_event_id, first.resumes) == ("", "before")
    assert (second.last_event_id, second.resumes) == ("1", "id")


def test_a_stream_that_cannot_go_on_is_recognisably_incomplete(monkeypatch):
    site = cut_off_site(
        monkeypatch, stream_part(FIRST, is_complete=False), is_stream=True
    )
    asyncio.run(site.request())
    assert site.streamed == [FIRST, ABORTED]


@pytest.mark.parametrize(("version", "sent"), [("v1", ["s-0"]), ("v2", [])])
def test_a_stream_begun_through_a_helper_goes_on_here_only_at_its_version(
    monkeypatch, version, sent
):
    site = cut_off_site(monkeypatch, stream_part(FIRST, is_complete=False), **RESUMABLE)
    for server in SERVERS:
        site.state.fleet.put(replace(server, version="v1"))
    site.origins.recorded["id"] = StreamOrigin(version, ENTRY.incarnation, 0.0)
    site.state.reachability.service("web").data_at = monotonic_s()
    site.responses = {s.server: [(200, [SIGNED], SECOND)] for s in SERVERS}
    asyncio.run(site.request())
    assert len(site.sent) == len(sent)
    assert site.streamed == ([FIRST, SECOND, END] if sent else [FIRST, ABORTED])


def fail_to_connect(site):
    """Let all connections to servers fail."""
    tried = []

    async def fail(entry):
        tried.append(entry.server)
        return Failure(FailureKind.NOT_SENT, "connect_timeout", "connect", "x")

    site._connect = fail
    return tried


def test_a_request_that_failed_to_connect_twice_goes_to_another_host(monkeypatch):
    """Each request tried four servers, a third of a second each."""
    site = cut_off_site(monkeypatch, answered())
    site.state.reachability.service("web").is_cut_off = False
    tried = fail_to_connect(site)
    status, _ = asyncio.run(site.request())
    assert status == 200
    assert len(tried) == 2
    assert len(site.detours.requests) == 1


def test_without_a_helper_a_request_is_refused_at_once(monkeypatch):
    site = cut_off_site(monkeypatch)
    started_at = monotonic_s()
    status, headers = asyncio.run(site.request())
    assert status == 503
    assert headers[b"retry-after"] > 0
    assert site.sent == []
    assert monotonic_s() - started_at < 0.2


def test_without_a_helper_servers_are_tried_if_any_has_sent_data_lately(monkeypatch):
    """Many servers may have crashed while a few still serve."""
    site = cut_off_site(monkeypatch)
    site.state.reachability.service("web").data_at = monotonic_s()
    site.responses = {s.server: [(200, [SIGNED])] for s in SERVERS}
    assert asyncio.run(site.request())[0] == 200
    assert len(site.sent) == 1


def test_a_waiting_request_leaves_when_the_host_is_cut_off(monkeypatch):
    site = cut_off_site(monkeypatch, answered(), goal_s=3.0)
    service = site.state.reachability.service("web")
    service.is_cut_off = False
    for server in SERVERS:
        load = site.state.loads.get_or_create(server.incarnation)
        for number in range(40):
            load.note_sent(-1 - number, monotonic_s())

    async def run():
        request = asyncio.ensure_future(site.request())
        await asyncio.sleep(0.1)
        service.is_cut_off = True
        site.state.wait_queue.notify()
        return await request

    assert asyncio.run(run())[0] == 200
    assert len(site.detours.requests) == 1


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_a_request_on_a_detour_goes_no_further(monkeypatch, is_cut_off):
    site = cut_off_site(monkeypatch, answered())
    site.state.reachability.service("web").is_cut_off = is_cut_off
    site.forwarder_options = {"is_on_detour": True}
    tried = fail_to_connect(site)
    status, _ = asyncio.run(site.request())
    assert status == 503
    assert len(tried) == (0 if is_cut_off else 2)
    assert site.detours.requests == []
    refusals = [
        outcome for name, outcome, _ in site.logged if name == "request_refused"
    ]
    assert refusals == ["cut_off"]


@pytest.mark.parametrize(("is_retry", "counted"), [(False, 1), (True, 0)])
def test_the_first_attempt_counts_once_for_the_retry_budget(
    monkeypatch, is_retry, counted
):
    site = Site(monkeypatch, ENTRY)
    site.responses = {"s-1": [(200, [SIGNED])]}
    site.forwarder_options = {"is_on_detour": True, "is_retry": is_retry}
    asyncio.run(site.request())
    assert len(site.state.retry_window("web")._requests) == counted


@pytest.mark.parametrize("is_proven", [False, True])
@pytest.mark.parametrize("is_stream", [False, True])
def test_a_request_leaves_a_silent_server_only_for_a_proven_helper(
    monkeypatch, is_stream, is_proven
):
    """All servers and helpers may be silent for a second; each then goes on."""
    site = silent_site(monkeypatch, is_stream=is_stream, timeout_s=4.0)
    site.detours.is_proven = is_proven
    site.detours.results = [
        stream_part(SECOND, is_complete=True) if is_stream else answered()
    ]

    async def run():
        loop = asyncio.get_running_loop()
        service = site.state.reachability.service("web")
        loop.call_later(0.2, setattr, service, "is_cut_off", True)
        return await silent_request(site, has_begun=is_stream, silence_s=2.5)

    (status, _), _ = asyncio.run(run())
    assert status == 200
    assert len(site.detours.requests) == (1 if is_proven else 0)
    if is_stream and is_proven:
        (detour,) = site.detours.requests
        assert (detour.request.last_event_id, detour.is_retry) == ("1", True)
        assert site.streamed == [FIRST, SECOND, END]

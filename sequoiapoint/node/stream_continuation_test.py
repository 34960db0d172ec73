"""Streams that break off, and whose next server answers with something else.

Guards against an error, a second head or other events inside a stream, and against a
stream that ends as if it were complete.
"""

import asyncio
from dataclasses import replace

import pytest

from sequoiapoint.node import silent_server_test
from sequoiapoint.node.detour_exchange import DetourOutcome, DetourResult
from sequoiapoint.node.request_detour_test import cut_off_site, stream_part
from sequoiapoint.node.request_forwarder_test import (
    ABORTED,
    END,
    ENTRY,
    SIGNED,
    Site,
)
from sequoiapoint.node.silent_server_test import silent_site
from sequoiapoint.protocol.detours import ServerReply
from sequoiapoint.protocol.event_stream import MAX_EVENT_BYTES

STREAM = (b"content-type", b"text/event-stream; charset=utf-8")
HTML, JSON = (b"content-type", b"text/html"), (b"content-type", b"application/json")


def event(number, server="s"):
    return f"id: {number}\ndata: {server}\n\n".encode()


BEGUN = event(1) + event(2)
SECOND_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nfail"
NO_CONTINUATIONS = {
    "error": (500, [SIGNED], b"failed\n\n"),
    "not-found": (404, [SIGNED], b"nothing here\n\n"),
    "html": (200, [SIGNED, HTML], b"<p>\n\n</p>\n\n"),
    "json": (200, [SIGNED, JSON], b'{\n\n"a": 1}\n\n'),
    "second-head": (200, [SIGNED, STREAM], SECOND_HEAD + b"\n\n"),
    "second-head-untyped": (200, [SIGNED], SECOND_HEAD + b"\n\n"),
    "no-content": (204, [SIGNED], b""),
    "partial-content": (206, [SIGNED, STREAM], event(3)),
    "nothing": (200, [SIGNED, STREAM], b""),
    "comment": (200, [SIGNED, STREAM], b": ping\n\n"),
    "from-its-start": (200, [SIGNED, STREAM], event(1) + event(2) + event(3)),
    "last-event-again": (200, [SIGNED, STREAM], event(2) + event(3)),
    "without-ids": (200, [SIGNED, STREAM], b"data: s\n\n" + event(3)),
    "long-id": (200, [SIGNED, STREAM], b"id: " + b"9" * 5000 + b"x\n\n"),
}
"""Second responses to a stream that broke off after its second event."""


def broken_site(monkeypatch, second, attempts=2, first=BEGUN + b"id: 3\nda", **route):
    """Return a site whose first server breaks a stream off, after two events."""
    others = [replace(ENTRY, server=f"s-{n}") for n in range(1, 4)]
    site = Site(monkeypatch, *others)
    site.route = replace(
        site.route, is_stream=True, is_resumable=True, attempts=attempts, **route
    )
    site.state.retry_window("web")._allowance = 100
    responses = [(200, [SIGNED, STREAM], first), *second]
    send = site._send

    def send_next(entry, accepts):
        site.responses[entry.server] = [responses.pop(0)]
        return send(entry, accepts)

    site._send = send_next
    return site


@pytest.mark.parametrize("name", NO_CONTINUATIONS)
def test_what_is_no_continuation_is_not_joined_to_a_stream(monkeypatch, name):
    """Its caller got the error's text, a second run's events, or a false end."""
    site = broken_site(monkeypatch, [NO_CONTINUATIONS[name]])
    asyncio.run(site.request())
    assert b"".join(site.streamed[:-1]) in (BEGUN, BEGUN + b": ping\n\n")
    assert site.streamed[-1] == ABORTED
    assert site.answer[0] == 200


@pytest.mark.parametrize("name", NO_CONTINUATIONS)
def test_a_third_server_goes_on_after_what_is_no_continuation(monkeypatch, name):
    third = (200, [SIGNED, STREAM], event(3))
    site = broken_site(monkeypatch, [NO_CONTINUATIONS[name], third], attempts=3)
    asyncio.run(site.request())
    assert [s for s in site.streamed if s != b": ping\n\n"] == [BEGUN, event(3), END]


@pytest.mark.parametrize(
    "body", [event(3), b": ping\n\n" + event(3), b"weight-versions: 2\n" + event(7)]
)
def test_a_continuation_is_passed_on(monkeypatch, body):
    site = broken_site(monkeypatch, [(200, [SIGNED, STREAM], body)])
    asyncio.run(site.request())
    assert site.streamed == [BEGUN, body, END]


def test_an_end_that_two_servers_state_is_believed(monkeypatch):
    """The first server may have broken off behind its last event."""
    empty = NO_CONTINUATIONS["nothing"]
    site = broken_site(monkeypatch, [empty, empty], attempts=3)
    asyncio.run(site.request())
    assert site.streamed == [BEGUN, END]


def test_a_stream_without_ids_is_not_sent_again(monkeypatch):
    """The next server would begin it again."""
    site = broken_site(monkeypatch, [(200, [SIGNED, STREAM], b"data: y\n\n")])
    first = (200, [SIGNED, STREAM], b"data: x\n\nda")
    send = site._send

    def send_first(entry, accepts):
        site._send = send
        site.responses[entry.server] = [first]
        return Site._send(site, entry, accepts)

    site._send = send_first
    asyncio.run(site.request())
    assert site.streamed == [b"data: x\n\n", ABORTED]


@pytest.mark.parametrize("name", NO_CONTINUATIONS)
def test_a_stream_that_its_caller_resumes_gets_no_success_that_is_none(
    monkeypatch, name
):
    """The caller has the first two events and would join them to this response."""
    site = broken_site(monkeypatch, [], attempts=1)
    know_version(site)
    response = NO_CONTINUATIONS[name]
    site._send = lambda entry, accepts: scripted(site, entry, accepts, response)
    asyncio.run(site.request(last_event_id="2", resumes="first"))
    if name == "nothing":
        # It may have broken off behind its last event, and no other server is asked.
        assert site.streamed[-1] == END
    elif name == "comment":
        assert site.streamed[-1] == ABORTED
    elif name in ("error", "not-found"):
        assert site.answer[0] == response[0]
    else:
        assert site.answer[0] == 502
        assert site.streamed == []


@pytest.mark.parametrize("has_retry", [True, False])
def test_an_end_that_one_server_states_to_a_resuming_caller_is_not_believed(
    monkeypatch, has_retry
):
    """It was, if no retry was left in the budget: the stream seemed to be whole."""
    site = broken_site(monkeypatch, [])
    if not has_retry:
        site.state.retry_window("web")._allowance = 0
    know_version(site)
    responses = [NO_CONTINUATIONS["nothing"], (200, [SIGNED, STREAM], event(3))]
    site._send = lambda entry, accepts: scripted(site, entry, accepts, responses.pop(0))
    asyncio.run(site.request(last_event_id="2", resumes="first"))
    if has_retry:
        assert site.streamed == [event(3), END]
    else:
        assert (site.answer[0], site.streamed) == (502, [])


def know_version(site):
    """Let the host know which version began any stream."""

    async def version_of(service, stream, arrived_s):
        return ENTRY.version

    site.origins.version_of = version_of


def scripted(site, entry, accepts, response):
    site.responses[entry.server] = [response]
    return Site._send(site, entry, accepts)


@pytest.mark.parametrize("name", ["html", "json", "no-content"])
def test_a_response_that_is_no_stream_is_passed_on_whole_to_a_new_request(
    monkeypatch, name
):
    response = NO_CONTINUATIONS[name]
    site = broken_site(monkeypatch, [])
    site._send = lambda entry, accepts: scripted(site, entry, accepts, response)
    asyncio.run(site.request())
    assert site.answer[0] == response[0]
    assert site.streamed == []


@pytest.mark.parametrize("status", [200, 204, 404, 500])
@pytest.mark.parametrize("results", [1, 2])
def test_a_helpers_complete_response_is_not_joined_to_a_stream(
    monkeypatch, status, results
):
    """A second head and the error's text were written into the stream."""
    reply = ServerReply(status, (SIGNED, HTML), False, 1)
    other = (DetourResult(DetourOutcome.ANSWERED, "h-2", reply, b"text\n\n"),)
    rest = stream_part(event(3), is_complete=True)
    site = cut_off_site(
        monkeypatch,
        stream_part(BEGUN, is_complete=False),
        *[other, rest][:results],
        is_stream=True,
        is_resumable=True,
        attempts=1 + results,
    )
    asyncio.run(site.request())
    ends = [ABORTED] if results == 1 else [event(3), END]
    assert site.streamed == [BEGUN, *ends]


@pytest.mark.parametrize("second", [b"", event(1), SECOND_HEAD + b"\n\n"])
def test_a_helpers_stream_that_does_not_follow_is_not_joined(monkeypatch, second):
    site = cut_off_site(
        monkeypatch,
        stream_part(BEGUN, is_complete=False),
        stream_part(*[second] * bool(second), is_complete=True),
        is_stream=True,
        is_resumable=True,
    )
    asyncio.run(site.request())
    assert site.streamed == [BEGUN, ABORTED]


@pytest.mark.parametrize("first", [b"", b": ping\n\n", b": ping\n\n: ping\n\n"])
def test_a_stream_that_broke_off_before_its_first_event_begins_at_another_server(
    monkeypatch, first
):
    """Comments counted as events without ids, and the stream was given up."""
    site = broken_site(
        monkeypatch, [(200, [SIGNED, STREAM], BEGUN)], first=first + b"id: 1\nda"
    )
    asyncio.run(site.request())
    assert site.streamed == [first] * bool(first) + [BEGUN, END]


@pytest.mark.parametrize("head_lead_s", [0.0, 0.05])
def test_a_stream_without_ids_stays_at_a_server_that_is_silent_for_a_while(
    monkeypatch, head_lead_s
):
    """It was taken away, could not go on elsewhere, and was broken off."""
    parts = [b"data: x\n\n", b"data: y\n\n"]
    site = silent_site(monkeypatch, "s-2")
    site.responses["s-1"] = [(200, [SIGNED])]
    monkeypatch.setattr(silent_server_test, "event_from", lambda server: parts[1])
    send = site._send

    def send_head_first(entry, accepts):
        exchange = send(entry, accepts)
        if entry.server == "s-1" and head_lead_s:
            loop = asyncio.get_running_loop()
            loop.call_later(head_lead_s, exchange.receive, parts[0])
        elif entry.server == "s-1":
            exchange.receive(parts[0])
        return exchange

    site._send = send_head_first
    asyncio.run(silent_server_test.request(site, silence_s=3.0))
    assert site.streamed == [*parts, END]
    assert site.sent == ["s-1"]


@pytest.mark.parametrize("is_endless", [False, True])
@pytest.mark.parametrize(
    "response",
    [
        NO_CONTINUATIONS["from-its-start"],
        (200, [STREAM], event(3)),
        (200, [SIGNED, STREAM], b"x" * (MAX_EVENT_BYTES + 1)),
    ],
    ids=["out-of-order", "unsigned", "too-large"],
)
def test_a_connection_is_closed_only_if_its_response_has_not_ended(
    monkeypatch, response, is_endless
):
    """Another request may have taken the connection, and ended without an answer."""
    site = broken_site(monkeypatch, [response])
    connect, send, closed = site._connect, site._send, []

    async def connect_noting(entry):
        connection = await connect(entry)
        close = connection.close

        def note_close():
            closed.append(site.exchange.outcome.done())
            close()

        connection.close = note_close
        return connection

    def send_endless(entry, accepts):
        site.is_endless = is_endless and bool(site.sent)
        return send(entry, accepts)

    site._connect, site._send = connect_noting, send_endless
    asyncio.run(site.request())
    assert site.streamed == [BEGUN, ABORTED]
    assert closed[:1] == [False] * is_endless

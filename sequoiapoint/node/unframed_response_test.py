"""Responses without a length that end with their connection, as servers crash.

Guards against half a stream that ends as complete, and against requests that go on to
crash engines because each crash counts as an answer.
"""

import asyncio
from dataclasses import replace

import pytest

from sequoiapoint.node.request_forwarder_test import (
    ABORTED,
    END,
    SIGNED,
    engine_site,
)
from sequoiapoint.node.stream_continuation_test import STREAM, event, know_version
from sequoiapoint.protocol.gateway import Repeatability, ServerState
from sequoiapoint.transport.clock import monotonic_s

BEGUN = event(1) + event(2)
REST = event(3) + event(4)


def unframed_site(monkeypatch, *responses, crashes=1, **route):
    """Return a site of engines whose first responses end with a crash.

    :param responses: The bodies of the responses, whichever engines are chosen.
    :param crashes: The number of responses whose engine crashes then.
    """
    site = engine_site(monkeypatch, 6)
    site.route = replace(site.route, is_stream=True, **route)
    site.state.retry_window("web")._allowance = 100
    bodies, send = list(responses), site._send
    know_version(site)

    def send_unframed(entry, accepts):
        site.responses[entry.server] = [(200, [SIGNED, STREAM], bodies.pop(0))]
        exchange = send(entry, accepts)
        exchange.ended_with_connection = True
        if len(site.sent) <= crashes:
            site.crashed.add(entry.server)
        return exchange

    site._send = send_unframed
    return site


RESUMABLE = {"is_resumable": True, "repeatability": Repeatability.IDEMPOTENT}


def test_half_a_stream_goes_on_at_another_engine(monkeypatch):
    """20 of 40 such streams ended as complete, with half of their events."""
    site = unframed_site(monkeypatch, BEGUN, REST, **RESUMABLE)
    asyncio.run(site.request(model="oak"))
    assert site.streamed == [BEGUN, REST, END]
    assert len(set(site.sent)) == 2


def test_half_a_stream_that_cannot_go_on_is_broken_off(monkeypatch):
    site = unframed_site(monkeypatch, BEGUN)
    asyncio.run(site.request(model="oak"))
    assert site.streamed == [BEGUN, ABORTED]


@pytest.mark.parametrize("is_page", [False, True])
def test_half_a_response_before_its_first_event_is_no_success(monkeypatch, is_page):
    site = unframed_site(monkeypatch, b"")
    site.route = replace(site.route, is_stream=not is_page)
    asyncio.run(site.request(model="oak"))
    assert (site.answer[0], site.streamed) == (502, [])


def test_a_whole_stream_of_a_server_that_goes_on_is_complete(monkeypatch):
    site = unframed_site(monkeypatch, BEGUN, crashes=0)
    asyncio.run(site.request(model="oak"))
    assert site.streamed == [BEGUN, END]


@pytest.mark.parametrize("is_page", [False, True])
@pytest.mark.parametrize(
    "leave",
    [
        lambda fleet, entry: fleet.put(replace(entry, state=ServerState.DRAINING)),
        lambda fleet, entry: fleet.note_leaving(entry.incarnation, monotonic_s()),
        lambda fleet, entry: fleet.remove(entry.server),
    ],
    ids=["draining", "announced", "removed"],
)
def test_the_last_response_of_a_server_that_leaves_is_whole(
    monkeypatch, leave, is_page
):
    """It ceases to listen before its last responses end; these were answered 502."""
    site = unframed_site(monkeypatch, BEGUN)
    site.route = replace(site.route, is_stream=not is_page)
    send = site._send

    def send_and_leave(entry, accepts):
        leave(site.state.fleet, entry)
        return send(entry, accepts)

    site._send = send_and_leave
    asyncio.run(site.request(model="oak"))
    if is_page:
        assert site.answer[0] == 200
    else:
        assert site.streamed == [BEGUN, END]


def test_a_host_that_is_cut_off_believes_the_end_of_a_stream(monkeypatch):
    """New connections are refused there, while those that are open live on."""
    site = unframed_site(monkeypatch, BEGUN)
    site.is_cut_off = True
    asyncio.run(site.request(model="oak"))
    assert site.streamed == [BEGUN, END]


@pytest.mark.parametrize("event_count", [1, 2, 3, 6])
def test_a_part_that_crashes_engines_is_rejected(monkeypatch, event_count):
    """Requests with the part crashed engines to the end of the run (BUDGET)."""
    begun = b"".join(event(number) for number in range(1, event_count + 1))
    site = unframed_site(monkeypatch, *[begun] * 6, crashes=6)
    site.state.prompt_quarantine.clear(["shared"], 0.0)

    async def run():
        for number in range(6):
            before = len(site.sent)
            await site.request(
                model="oak", body=b"%d" % number, shared_parts=("shared", "deadly")
            )
            for server in site.sent[before:]:
                site.state.fleet.remove(server)

    asyncio.run(run())
    assert len(site.sent) == 2
    assert site.state.prompt_quarantine.rejected == {"deadly"}


@pytest.mark.parametrize(("rest", "suspects"), [(3, ("deadly",)), (8, ())])
def test_the_last_events_of_a_stream_clear_no_part(monkeypatch, rest, suspects):
    """An engine crashes after six events; the next one has fewer to write."""
    bodies = [
        b"".join(map(event, range(1, 7))),
        b"".join(map(event, range(7, 7 + rest))),
    ]
    site = unframed_site(monkeypatch, *bodies, **RESUMABLE)
    asyncio.run(site.request(model="oak", shared_parts=("deadly",)))
    assert site.streamed == [*bodies, END]
    assert site.state.prompt_quarantine.suspects(("deadly",)) == suspects


def test_a_request_that_crashes_servers_is_rejected(monkeypatch):
    """Each crash counted as an answer, which clears the request."""
    site = unframed_site(monkeypatch, *[event(1)] * 6, crashes=6)

    async def run():
        for _ in range(6):
            before = len(site.sent)
            await site.request(model="oak", body=b"deadly")
            for server in site.sent[before:]:
                site.state.fleet.remove(server)

    asyncio.run(run())
    assert len(site.sent) == 3
    assert site.answer[0] == 403

"""Streams that are slow but sound, and streams that are stalled.

Guards against a sound stream that is cut off, and a stalled one that never ends.
"""

import asyncio
from dataclasses import replace

import pytest

from sequoiapoint.node.request_forwarder import SERVER_RESPONSE_GRACE_S
from sequoiapoint.node.request_forwarder_test import ABORTED, END, ENTRY, SIGNED, Site
from sequoiapoint.transport.async_http_client import ExchangeOutcome
from sequoiapoint.transport.clock import monotonic_s

SLOW_INTERVAL_S = 1.5
SLOW_EVENTS = 4
BYTE_INTERVAL_S = 0.3
DEADLINE_S = 1.6
LATE_S = 0.3
"""Time after the deadline and the grace time in which a request must have ended."""


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def stream_site(monkeypatch, servers, **route):
    entries = [replace(ENTRY, server=f"s-{n}", version="v1") for n in range(servers)]
    site = Site(monkeypatch, *entries)
    site.is_endless = True
    site.route = replace(site.route, is_stream=True, timeout_s=60.0, **route)
    site.responses = {entry.server: [(200, [SIGNED])] * 9 for entry in entries}
    return site


async def feed(site, parts, interval_s):
    """Send parts at an interval on the exchange of the last attempt, and end it."""
    while site.exchange is None:
        await asyncio.sleep(0.01)
    sent = {}
    for part in parts:
        exchange = site.exchange
        await asyncio.sleep(interval_s)
        if exchange.outcome.done():
            return sent
        exchange.receive(part)
        sent[exchange] = sent.get(exchange, 0) + 1
    site.exchange.finish(ExchangeOutcome.COMPLETE)
    return sent


def running(site):
    """Return the number of requests that count as running at all servers."""
    return sum(site.state.loads.report().values())


@pytest.mark.parametrize("servers", [1, 2])
@pytest.mark.parametrize("is_resumable", [True, False])
def test_a_stream_with_an_event_every_one_and_a_half_seconds_goes_on(
    monkeypatch, servers, is_resumable
):
    site = stream_site(monkeypatch, servers, is_resumable=is_resumable)
    events = [event(number) for number in range(1, SLOW_EVENTS + 1)]

    async def scenario():
        request = asyncio.ensure_future(site.request(budget_s=30.0))
        feeder = asyncio.ensure_future(feed_slowly(site, events))
        await request
        feeder.cancel()

    asyncio.run(scenario())
    assert site.streamed == [*events, END]
    assert running(site) == 0


async def feed_slowly(site, events):
    """Send an event at an interval; a new attempt goes on after the last event sent."""
    while site.exchange is None:
        await asyncio.sleep(0.01)
    for number, part in enumerate(events):
        due_at = monotonic_s() + SLOW_INTERVAL_S
        while monotonic_s() < due_at:
            exchange = site.exchange
            await asyncio.sleep(0.01)
            if site.exchange is not exchange:
                # The engine that goes on needs as long for the event.
                due_at = monotonic_s() + SLOW_INTERVAL_S
        site.exchange.receive(part)
        assert len(site.streamed) == number + 1
    site.exchange.finish(ExchangeOutcome.COMPLETE)


@pytest.mark.parametrize("servers", [1, 2])
@pytest.mark.parametrize("is_resumable", [True, False])
@pytest.mark.parametrize("first", [b"", event(1)])
def test_a_stream_of_bytes_without_a_whole_event_ends_by_its_deadline(
    monkeypatch, servers, is_resumable, first
):
    site = stream_site(monkeypatch, servers, is_resumable=is_resumable)

    async def scenario():
        started_at = monotonic_s()
        request = asyncio.ensure_future(site.request(budget_s=DEADLINE_S))
        parts = [first, *[b":"] * 60] if first else [b":"] * 60
        feeder = asyncio.ensure_future(feed(site, parts, BYTE_INTERVAL_S))
        await request
        feeder.cancel()
        return monotonic_s() - started_at

    elapsed_s = asyncio.run(scenario())
    assert elapsed_s < DEADLINE_S + SERVER_RESPONSE_GRACE_S + LATE_S
    assert running(site) == 0
    assert END not in site.streamed
    assert site.streamed == ([first, ABORTED] if first else [])
    assert site.exchange.outcome.done()

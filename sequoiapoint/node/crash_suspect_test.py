"""Requests in flight on servers that crash.

Guards against callers of a sound page that get 403, and a request that goes on to crash
servers.
"""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest

from sequoiapoint.node.request_forwarder_test import CRASH, ENTRY, SIGNED, Site
from sequoiapoint.transport.async_http_client import ExchangeOutcome
from sequoiapoint.transport.clock import monotonic_s

SERVERS = [f"s-{n}" for n in range(8)]
OK = (200, [SIGNED])


def site_of_servers(monkeypatch, attempts=1):
    site = Site(monkeypatch, *(replace(ENTRY, server=name) for name in SERVERS))
    site.route = replace(site.route, attempts=attempts, timeout_s=9.0)
    site.responses = {name: [OK] * 50 for name in SERVERS}
    return site


async def crash_together(site, in_flight, crashed):
    """Let servers crash together with requests for one page in flight."""
    exchanges, send = [], site._send

    def keep(entry, accepts):
        site.is_endless = True
        exchanges.append((entry.server, send(entry, accepts)))
        site.is_endless = False
        return exchanges[-1][1]

    site._send = keep
    requests = [
        asyncio.ensure_future(site.request(body=b"page", budget_s=5.0))
        for _ in range(in_flight)
    ]
    while len(exchanges) < in_flight:
        await asyncio.sleep(0.01)
    site._send = send
    site.crashed = {server for server, _ in exchanges[:crashed]}
    for server, exchange in exchanges:
        is_crashed = server in site.crashed
        exchange.finish(
            ExchangeOutcome.RESET if is_crashed else ExchangeOutcome.COMPLETE
        )
    await asyncio.gather(*requests)
    for server in site.crashed:
        site.state.fleet.remove(server)


@pytest.mark.parametrize(("in_flight", "crashed"), [(4, 3), (3, 3), (5, 5)])
def test_a_page_in_flight_on_servers_that_crash_together_is_served(
    monkeypatch, in_flight, crashed
):
    site = site_of_servers(monkeypatch)

    async def run():
        await crash_together(site, in_flight, crashed)
        return [(await site.request(body=b"page"))[0] for _ in range(5)]

    assert asyncio.run(run()) == [200] * 5


def test_requests_beside_one_that_probes_are_asked_to_come_back(monkeypatch):
    site = site_of_servers(monkeypatch)

    async def run():
        await crash_together(site, 3, 3)
        site.is_endless = True
        tried = asyncio.ensure_future(site.request(body=b"page", budget_s=5.0))
        async with asyncio.timeout(2.0):
            while len(site.sent) < 4:
                await asyncio.sleep(0.01)
        beside = await site.request(body=b"page")
        site.exchange.finish(ExchangeOutcome.COMPLETE)
        await tried
        site.is_endless = False
        return beside, (await site.request(body=b"page"))[0]

    (status, headers), last_status = asyncio.run(run())
    assert (status, last_status) == (503, 200)
    assert headers[b"retry-after"] > 0.0


def test_a_request_that_waits_is_rejected_as_soon_as_it_is_quarantined(monkeypatch):
    """Copies of a harmful request that waited for a server were sent after all."""
    site = site_of_servers(monkeypatch)
    for name in SERVERS:
        site.state.fleet.remove(name)

    async def run():
        requests = [
            asyncio.ensure_future(site.request(body=b"deadly", budget_s=8.0))
            for _ in range(4)
        ]
        await asyncio.sleep(0.1)
        assert not any(request.done() for request in requests)
        started_at = monotonic_s()
        key = site.forwarder._quarantine_key
        deaths = frozenset({"a@1", "b@1", "c@1"})
        site.state.quarantine.merge(key, deaths, started_at)
        site.state.wait_queue.notify()
        await asyncio.gather(*requests)
        return monotonic_s() - started_at

    assert asyncio.run(run()) < 0.5
    assert (site.answer[0], site.sent) == (403, [])


@pytest.mark.parametrize("attempts", [1, 3])
def test_a_request_that_crashes_servers_reaches_three_of_them(monkeypatch, attempts):
    site = site_of_servers(monkeypatch, attempts)
    site.responses = {name: [CRASH] for name in SERVERS}
    site.crashed = set(SERVERS)

    async def run():
        return [(await site.request(body=b"deadly"))[0] for _ in range(6)][-1]

    assert asyncio.run(run()) == 403
    assert len(site.sent) == 3


@pytest.mark.parametrize(
    ("deadly", "other", "expected"),
    [
        ({"organisation": "a"}, {"organisation": "b"}, 200),
        ({"key_digest": b"a"}, {"key_digest": b"b"}, 200),
        ({"key_digest": b"a"}, {}, 200),
        ({"organisation": "a", "key_digest": b"k"}, {"organisation": "a"}, 403),
    ],
)
def test_a_request_that_crashes_servers_is_rejected_for_its_caller_only(
    monkeypatch, deadly, other, expected
):
    """One organisation's request made the same page be refused to all others."""
    site = site_of_servers(monkeypatch)
    site.crashed = set(SERVERS)
    monkeypatch.setattr(
        "sequoiapoint.node.admission.decide_entry",
        lambda state, request, route: SimpleNamespace(name=request.organisation),
    )

    async def run():
        for name in SERVERS:
            site.responses[name] = [CRASH]
        for _ in range(4):
            await site.request(body=b"page", **deadly)
        for name in SERVERS:
            site.responses[name] = [OK] * 50
        return (await site.request(body=b"page", **other))[0]

    assert asyncio.run(run()) == expected

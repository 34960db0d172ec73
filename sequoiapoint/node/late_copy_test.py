"""A server that sends a second copy of a response late, on real connections.

Guards against a request that is taken for not run, or runs again, as a late copy of an
earlier response is taken for its own.
"""

import asyncio
import contextlib
from dataclasses import replace
from types import SimpleNamespace

import pytest
import uvloop

from sequoiapoint.node.placement_controller import PlacementController
from sequoiapoint.node.request_forwarder_test import ENTRY, Site
from sequoiapoint.protocol.gateway import (
    Order,
    OrderAction,
    OrderResult,
    Repeatability,
)
from sequoiapoint.state.engine_ledger import EngineRecord
from sequoiapoint.transport.async_http_client import ConnectionPool

WHOLE = b"id: 1\ndata: whole\n\n"
OTHER = WHOLE.replace(b"whole", b"other")
RESPONSE = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b"


def respond(status, headers, body=b""):
    return RESPONSE % (status, headers, len(body), body)


REFUSED = b"Not-Run: 1\r\n"
OWN_ID = b"Request-Id: id\r\n"
LEAVING = b"Server-Leaving: 1\r\n"


class CopyingServer:
    """A server that precedes each response on a kept connection with a late copy.

    :param first: The responses to the first requests, which are not run.
    :param late: The late copies before the second, third, ... one on a connection.
    :param run_headers: The headers of the response to a request that is run.
    :param run_status: Its status.
    """

    def __init__(self, first, late, run_headers, run_status=200):
        self._first, self._late = list(first), late
        self._run_headers, self._run_status = run_headers, run_status
        self.runs = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pool = ConnectionPool(self.address)
        return self

    async def __aexit__(self, *error):
        self.pool.close()
        self._server.close()

    async def _serve(self, reader, writer):
        copy = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(copy)
                copy = self._late
                if self._first:
                    writer.write(self._first.pop(0))
                    continue
                self.runs += 1
                writer.write(respond(self._run_status, self._run_headers, WHOLE))


SIGNED = b"Server-Seal: s\r\n"


@pytest.mark.parametrize(
    ("first", "late", "run_headers"),
    [
        (
            [respond(503, OWN_ID + REFUSED)],
            respond(503, OWN_ID + REFUSED),
            OWN_ID + SIGNED,
        ),
        (
            [respond(503, OWN_ID + REFUSED)] * 2,
            respond(503, OWN_ID + REFUSED),
            OWN_ID + SIGNED,
        ),
        ([respond(503, OWN_ID + REFUSED)], respond(503, REFUSED), OWN_ID + SIGNED),
        ([respond(503, REFUSED)], respond(503, REFUSED), SIGNED),
        (
            [respond(503, OWN_ID + REFUSED)],
            respond(200, OWN_ID + SIGNED, OTHER),
            OWN_ID + SIGNED,
        ),
    ],
    ids=["refusal", "two_refusals", "copy_without_id", "no_ids", "success"],
)
@pytest.mark.parametrize("is_stream", [False, True])
def test_a_late_copy_is_not_the_response_to_a_retry(
    monkeypatch, first, late, run_headers, is_stream
):
    """A request that had run was answered 503, or ran twice."""

    async def scenario():
        async with CopyingServer(first, late, run_headers) as server:
            site = Site(monkeypatch, replace(ENTRY, address=server.address))
            site.route = replace(
                site.route,
                repeatability=Repeatability.AT_MOST_ONCE,
                attempts=3,
                is_stream=is_stream,
            )
            get_pool = lambda entry: server.pool  # noqa: E731
            monkeypatch.setattr(site.state.pools, "get_or_create", get_pool)
            status, _ = await site.request(budget_s=2.0)
            return status, server.runs

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(scenario()) == (200, 1)


@pytest.mark.parametrize("has_id", [True, False])
def test_a_discarded_copy_says_nothing_of_the_server(monkeypatch, has_id):
    """A late copy, of a response to an earlier request, named its server as leaving."""
    other_id = b"Request-Id: other\r\n" if has_id else b""
    late = respond(503, other_id + REFUSED + LEAVING)

    async def scenario():
        async with CopyingServer([], late, OWN_ID + SIGNED) as server:
            site = Site(monkeypatch, replace(ENTRY, address=server.address))
            get_pool = lambda entry: server.pool  # noqa: E731
            monkeypatch.setattr(site.state.pools, "get_or_create", get_pool)
            earlier = await server.pool.acquire(1.0)
            head = b"GET / HTTP/1.1\r\nRequest-Id: other\r\n\r\n"
            exchange = earlier.send(head, b"", lambda *a: True, "other")
            await exchange.outcome
            status, _ = await site.request(budget_s=2.0)
            return status, site.state.fleet.leaving()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        status, leaving = runner.run(scenario())
    assert (status, list(leaving)) == (200, [])


@pytest.mark.parametrize("late_status", [200, 409, 412, 421])
@pytest.mark.parametrize("has_carried", ["request", "order"])
def test_a_late_copy_is_not_the_response_to_an_order(
    monkeypatch, late_status, has_carried
):
    """An engine was ordered to load an adapter more than it has slots, and crashed."""
    late = respond(late_status, OWN_ID + LEAVING)

    async def scenario():
        async with CopyingServer([], late, b"", 202) as server:
            entry = replace(ENTRY, address=server.address)
            site = Site(monkeypatch, entry)
            site.state.metrics.order = lambda *a: None
            get_pool = lambda entry: server.pool  # noqa: E731
            monkeypatch.setattr(site.state.pools, "get_or_create", get_pool)
            controller = PlacementController(site.state, None, SimpleNamespace())
            record = EngineRecord(entry, order_count=4)
            order = Order(OrderAction.EVICT, "oak", "a1", 4, "h", 7)
            if has_carried == "request":
                earlier = await server.pool.acquire(1.0)
                head = b"GET / HTTP/1.1\r\nRequest-Id: id\r\n\r\n"
                await earlier.send(head, b"", lambda *a: True, "id").outcome
            else:
                await controller._call_engine(record, order)
            result = await controller._call_engine(record, order)
            return result, list(site.state.fleet.leaving())

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(scenario()) == (OrderResult.STARTED, [])

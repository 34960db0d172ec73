"""Callers that together send more, or open more connections, than there is room for.

Guards against a server whose limits hold for each connection only.
"""

import asyncio
import contextlib

import pytest

from sequoiapoint.protocol.gateway import CallerLimits
from sequoiapoint.transport import async_http_server, excess_connections
from sequoiapoint.transport.async_http_server import AsyncHttpServer
from sequoiapoint.transport.async_http_server_test import (
    VALID_REQUEST,
    RecordingServer,
    run,
)
from sequoiapoint.transport.caller_budget import REQUEST_BYTES, CallerBudget

BUDGET_BYTES = 400_000
BODY_BYTES = 100_000
MAX_CONNECTIONS = 40
HEAD = b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
LARGE_REQUEST = HEAD % BODY_BYTES + b"b" * BODY_BYTES
TINY_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n"
    b"Connection: close\r\n\r\n"
)


class LimitedServer(RecordingServer):
    """A server with a budget; requests that ask for ``/wait`` are answered late."""

    def __init__(self):
        super().__init__(self._wait)
        self.goes_on = asyncio.Event()
        self.budget = CallerBudget(BUDGET_BYTES)
        self.server = AsyncHttpServer(
            self._handle, self.rejected.append, self.budget, MAX_CONNECTIONS
        )
        self.server.limits = CallerLimits(max_body_bytes=BODY_BYTES)

    async def _wait(self, request, responder):
        if request.target == "/wait":
            await self.goes_on.wait()
        responder.send_response(200, [], b"ok")

    async def send(self, data):
        reader, writer = await self.connect()
        writer.write(data)
        await asyncio.sleep(0.02)
        return reader, writer


async def read_all(reader):
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(3):
            return await reader.read()
    return b""


async def is_served(server):
    reader, writer = await server.send(VALID_REQUEST)
    async with asyncio.timeout(3):
        data = await reader.readline()
    writer.close()
    return data == b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("first", [b"", VALID_REQUEST.replace(b"/p", b"/wait")])
def test_incomplete_requests_beyond_the_budget_are_refused(first):
    """Those behind a request in progress end with its response."""

    async def scenario():
        async with LimitedServer() as server:
            connections = [
                await server.send(first + LARGE_REQUEST[:-1]) for _ in range(8)
            ]
            assert server.budget.held_bytes <= BUDGET_BYTES
            assert server.rejected.count(503) >= 4
            assert await is_served(server)
            server.goes_on.set()
            read = [asyncio.create_task(read_all(c[0])) for c in connections[:4]]
            return await asyncio.gather(*read)

    for data in run(scenario()):
        assert data.startswith(b"HTTP/1.1 200 OK\r\n" if first else REFUSAL)
        assert data.count(b"HTTP/1.1 ") == 1


def test_whole_requests_beyond_the_budget_are_refused_and_do_not_run():
    async def scenario():
        async with LimitedServer() as server:
            waiting = LARGE_REQUEST.replace(b"/p", b"/wait")
            connections = [await server.send(waiting) for _ in range(4)]
            assert await is_served(server)
            server.goes_on.set()
            await asyncio.sleep(0.05)
            assert server.budget.held_bytes == 0
            bodies = [body for _, _, body in server.received]
            return [await read_all(c[0]) for c in connections[1:]], bodies

    responses, bodies = run(scenario())
    assert responses == [REFUSAL] * 3
    assert sum(len(body) == BODY_BYTES for body in bodies) == 1


def test_requests_behind_the_one_in_progress_stay_unparsed():
    async def scenario():
        async with LimitedServer() as server:
            sent = VALID_REQUEST.replace(b"/p", b"/wait") + TINY_REQUEST * 5_000
            reader, writer = await server.send(sent)
            parsed = async_http_server.PARSE_BYTES // len(TINY_REQUEST) + 1
            (connection,) = server.server.connections
            assert len(connection._queue) <= parsed
            server.goes_on.set()
            async with asyncio.timeout(10):
                for _ in range(5_001):
                    await reader.readuntil(b"\r\n\r\nok")
            writer.close()
            await asyncio.sleep(0.05)
            return server.budget.held_bytes, len(server.received)

    assert run(scenario()) == (0, 5_001)


@pytest.mark.parametrize("sent", [b"", b"POST /p HT", LARGE_REQUEST[:-1]])
def test_connections_without_requests_make_room_for_new_ones(sent):
    async def scenario():
        async with LimitedServer() as server:
            waiting = await server.send(VALID_REQUEST.replace(b"/p", b"/wait"))
            connections = []
            for _ in range(3 * MAX_CONNECTIONS):
                connections.append(await server.connect())
                connections[-1][1].write(sent)
            await asyncio.sleep(0.05)
            assert len(server.server.connections) <= MAX_CONNECTIONS
            assert await is_served(server)
            server.goes_on.set()
            return await waiting[0].readline()

    assert run(scenario()) == b"HTTP/1.1 200 OK\r\n"


def test_a_new_connection_is_closed_if_all_others_have_requests(monkeypatch):
    monkeypatch.setattr(excess_connections, "EXTRA_PART", 10 * MAX_CONNECTIONS)

    async def scenario():
        async with LimitedServer() as server:
            request = VALID_REQUEST.replace(b"/p", b"/wait")
            connections = [await server.send(request) for _ in range(MAX_CONNECTIONS)]
            reader, _ = await server.connect()
            assert await read_all(reader) == b""
            server.goes_on.set()
            return [await c[0].readline() for c in connections]

    assert set(run(scenario())) == {b"HTTP/1.1 200 OK\r\n"}


def test_small_requests_in_progress_are_within_the_budget():
    assert MAX_CONNECTIONS * 1.1 * REQUEST_BYTES < BUDGET_BYTES

import asyncio
import contextlib
import socket
import struct

import pytest

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.ports import HttpCall
from sequoiapoint.transport import async_http_client
from sequoiapoint.transport.async_http_client import (
    ConnectionPool,
    ExchangeOutcome,
    Response,
)
from sequoiapoint.transport.clock import monotonic_s

WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nhi"


class Peer:
    """A peer that answers each request on a connection with given bytes."""

    def __init__(self, *answers, ends="keep"):
        self._answers = list(answers)
        self._ends = ends
        self.requests = 0
        self.connections = 0

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
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                answer = self._answers.pop(0) if self._answers else b""
                for part in answer if isinstance(answer, list) else [answer]:
                    writer.write(part)
                    await asyncio.sleep(0.02)
                if self._ends == "fin":
                    writer.close()
                elif self._ends == "reset":
                    reset = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
                    writer.transport.abort()

    async def send(self, accepts=lambda status, headers: True):
        connection = await self.pool.acquire(1.0)
        exchange = connection.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"", accepts)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await asyncio.shield(exchange.outcome)
        end = exchange.outcome.result() if exchange.outcome.done() else None
        return end, exchange.take_body()


def ours(status, headers):
    return (b"request-id", b"r") in headers


@pytest.mark.parametrize(
    ("answer", "ends", "expected"),
    [
        (WHOLE, "keep", (ExchangeOutcome.COMPLETE, b"hi")),
        (WHOLE[:-1], "fin", (ExchangeOutcome.CLOSED, b"h")),
        (WHOLE[:-1], "reset", (ExchangeOutcome.RESET, b"h")),
        (b"", "fin", (ExchangeOutcome.CLOSED, b"")),
        (
            b"no answer in the protocol\r\n\r\n",
            "keep",
            (ExchangeOutcome.MALFORMED, b""),
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nhi", "fin", (ExchangeOutcome.COMPLETE, b"hi")),
        (b"HTTP/1.1 200 OK\r\n\r\nhi", "reset", (ExchangeOutcome.RESET, b"hi")),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nhi\r\n0\r\n\r\n",
            "keep",
            (ExchangeOutcome.COMPLETE, b"hi"),
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
            "fin",
            (ExchangeOutcome.CLOSED, b"hi"),
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n",
            "keep",
            (ExchangeOutcome.MALFORMED, b""),
        ),
        (
            [b"HTTP/1.1 100 Continue\r\n\r\n", WHOLE],
            "keep",
            (ExchangeOutcome.COMPLETE, b"hi"),
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", "keep", (ExchangeOutcome.COMPLETE, b"")),
    ],
)
def test_only_a_whole_answer_counts_as_complete(answer, ends, expected):
    async def play():
        async with Peer(answer, ends=ends) as peer:
            return await peer.send()

    assert asyncio.run(play()) == expected


def test_an_answer_to_another_request_is_dropped():
    late = WHOLE.replace(b"Request-Id: r", b"Request-Id: q").replace(b"hi", b"no")

    async def play():
        async with Peer(late + WHOLE) as peer:
            first = await peer.send(ours)
            return first, peer.pool.size

    (end, body), size = asyncio.run(play())
    assert (end, body) == (ExchangeOutcome.COMPLETE, b"hi")
    assert size == 0


@pytest.mark.parametrize("surplus", [b"x", WHOLE, b"HTTP/1.1 200 OK\r\n"])
@pytest.mark.parametrize("is_late", [False, True])
def test_bytes_after_an_answer_belong_to_no_request(surplus, is_late):
    answer = [WHOLE, surplus] if is_late else WHOLE + surplus

    async def play():
        async with Peer(answer, WHOLE) as peer:
            first = await peer.send(ours)
            await asyncio.sleep(0.1)
            second = await peer.send(ours)
            return first, second, peer.connections

    first, second, connections = asyncio.run(play())
    assert first == second == (ExchangeOutcome.COMPLETE, b"hi")
    assert connections == 2


@pytest.mark.parametrize(
    ("extra", "pause_s", "connections"),
    [
        (b"", 0.0, 1),
        (b"Connection: close\r\n", 0.0, 2),
        (b"Keep-Alive: timeout=5\r\n", 0.6, 1),
        (b"", 0.6, 2),
    ],
)
def test_a_connection_is_used_again_while_its_peer_keeps_it(
    extra, pause_s, connections
):
    answer = WHOLE.replace(b"Content", extra + b"Content")

    async def play():
        async with Peer(answer, answer) as peer:
            for _ in range(2):
                assert (await peer.send())[0] is ExchangeOutcome.COMPLETE
                await asyncio.sleep(pause_s)
            return peer.connections

    assert asyncio.run(play()) == connections


def test_idle_connections_are_closed_before_their_peer_gives_them_up():
    async def play():
        async with Peer(WHOLE) as peer:
            await peer.send()
            peer.pool.close_idle(
                monotonic_s() + async_http_client.DEFAULT_IDLE_TIMEOUT_S
            )
            await asyncio.sleep(0.05)
            return peer.pool.size

    assert asyncio.run(play()) == 0


def test_a_peer_that_is_down_is_told_from_one_that_may_have_acted():
    async def play():
        async with Peer() as peer:
            address = peer.address
            silent = await async_http_client.call(
                peer.pool, address, HttpCall("GET", "/x"), 0.2
            )
        refused = await async_http_client.call(
            ConnectionPool(address), address, HttpCall("GET", "/x"), 0.2
        )
        return silent, refused

    silent, refused = asyncio.run(play())
    assert isinstance(silent, Failure)
    assert silent.kind is FailureKind.UNKNOWN
    assert refused.kind is FailureKind.NOT_SENT


def test_a_call_brings_a_whole_answer():
    async def play():
        async with Peer(WHOLE) as peer:
            return await async_http_client.call(
                peer.pool, peer.address, HttpCall("POST", "/x", [], b"body"), 1.0
            )

    answer = asyncio.run(play())
    assert isinstance(answer, Response)
    assert (answer.status, answer.body) == (200, b"hi")

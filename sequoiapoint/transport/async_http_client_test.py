import asyncio
import contextlib
import functools
import socket
import struct
from types import SimpleNamespace

import pytest

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.ports import HttpCall
from sequoiapoint.transport import async_http_client
from sequoiapoint.transport.async_http_client import (
    ClientConnection,
    ConnectionPool,
    ExchangeOutcome,
    Response,
)
from sequoiapoint.transport.clock import monotonic_s

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nhi"


class Peer:
    """A peer that answers each request on a connection with the given bytes.

    :param responses: The bytes for each request; a list is sent in separate parts.
    :param after_response: ``keep``, ``fin`` or ``reset``; how the connection continues.
    """

    def __init__(self, *responses, after_response="keep"):
        self._responses = list(responses)
        self._after_response = after_response
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
                response = self._responses.pop(0) if self._responses else b""
                for part in response if isinstance(response, list) else [response]:
                    writer.write(part)
                    await asyncio.sleep(0.02)
                if self._after_response == "fin":
                    writer.close()
                elif self._after_response == "reset":
                    no_linger = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
                    writer.transport.abort()

    async def send(self, accepts=lambda status, headers: True):
        connection = await self.pool.acquire(1.0)
        exchange = connection.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"", accepts)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await asyncio.shield(exchange.outcome)
        outcome = exchange.outcome.result() if exchange.outcome.done() else None
        return outcome, exchange.take_body()


def has_own_request_id(status, headers):
    return (b"request-id", b"r") in headers


@pytest.mark.parametrize(
    ("response", "after_response", "expected"),
    [
        (COMPLETE_RESPONSE, "keep", (ExchangeOutcome.COMPLETE, b"hi")),
        (COMPLETE_RESPONSE[:-1], "fin", (ExchangeOutcome.CLOSED, b"h")),
        (COMPLETE_RESPONSE[:-1], "reset", (ExchangeOutcome.RESET, b"h")),
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
            [b"HTTP/1.1 100 Continue\r\n\r\n", COMPLETE_RESPONSE],
            "keep",
            (ExchangeOutcome.COMPLETE, b"hi"),
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", "keep", (ExchangeOutcome.COMPLETE, b"")),
    ],
)
def test_only_a_complete_response_has_the_outcome_complete(
    response, after_response, expected
):
    async def scenario():
        async with Peer(response, after_response=after_response) as peer:
            return await peer.send()

    assert asyncio.run(scenario()) == expected


def test_a_response_to_another_request_is_discarded():
    other_response = COMPLETE_RESPONSE.replace(
        b"Request-Id: r", b"Request-Id: q"
    ).replace(b"hi", b"no")

    async def scenario():
        async with Peer(other_response + COMPLETE_RESPONSE) as peer:
            first = await peer.send(has_own_request_id)
            return first, peer.pool.size

    (outcome, body), size = asyncio.run(scenario())
    assert (outcome, body) == (ExchangeOutcome.COMPLETE, b"hi")
    assert size == 0


@pytest.mark.parametrize("surplus", [b"x", COMPLETE_RESPONSE, b"HTTP/1.1 200 OK\r\n"])
@pytest.mark.parametrize("is_late", [False, True])
def test_bytes_after_a_response_are_not_assigned_to_the_next_request(surplus, is_late):
    response = [COMPLETE_RESPONSE, surplus] if is_late else COMPLETE_RESPONSE + surplus

    async def scenario():
        async with Peer(response, COMPLETE_RESPONSE) as peer:
            first = await peer.send(has_own_request_id)
            await asyncio.sleep(0.1)
            second = await peer.send(has_own_request_id)
            return first, second, peer.connections

    first, second, connections = asyncio.run(scenario())
    assert first == second == (ExchangeOutcome.COMPLETE, b"hi")
    assert connections == 2


@pytest.mark.parametrize(
    ("extra_headers", "pause_s", "connections"),
    [
        (b"", 0.0, 1),
        (b"Connection: close\r\n", 0.0, 2),
        (b"Keep-Alive: timeout=5\r\n", 0.6, 1),
        (b"", 0.6, 2),
    ],
)
def test_a_connection_is_reused_only_while_the_peer_keeps_it_open(
    extra_headers, pause_s, connections
):
    response = COMPLETE_RESPONSE.replace(b"Content", extra_headers + b"Content")

    async def scenario():
        async with Peer(response, response) as peer:
            for _ in range(2):
                assert (await peer.send())[0] is ExchangeOutcome.COMPLETE
                await asyncio.sleep(pause_s)
            return peer.connections

    assert asyncio.run(scenario()) == connections


@pytest.mark.parametrize("is_late", [False, True])
def test_a_connection_paused_for_a_slow_caller_is_read_for_the_next_request(is_late):
    """The next request on it got no answer until its deadline."""

    async def scenario():
        async with Peer(COMPLETE_RESPONSE, COMPLETE_RESPONSE) as peer:
            connection = await peer.pool.acquire(1.0)
            exchange = connection.send(REQUEST, b"", lambda *a: True)
            pause = functools.partial(connection.pause, exchange)
            if not is_late:
                exchange.on_body = lambda data: pause()
            assert await exchange.outcome is ExchangeOutcome.COMPLETE
            if is_late:
                pause()
            return await peer.send(), peer.connections

    (outcome, body), connections = asyncio.run(scenario())
    assert (outcome, body, connections) == (ExchangeOutcome.COMPLETE, b"hi", 1)


def test_a_failure_of_the_receiver_of_a_response_is_reported():
    """It looked like a malformed response of the peer, without a trace."""
    failures = []

    def fail(data):
        raise KeyError("receiver")

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda loop, context: failures.append(repr(context["exception"]))
        )
        async with Peer(COMPLETE_RESPONSE) as peer:
            connection = await peer.pool.acquire(1.0)
            exchange = connection.send(REQUEST, b"", lambda *a: True)
            exchange.on_body = fail
            return await exchange.outcome

    assert asyncio.run(scenario()) is ExchangeOutcome.MALFORMED
    assert "KeyError('receiver')" in failures


def test_idle_connections_are_closed_before_the_peer_closes_them():
    async def scenario():
        async with Peer(COMPLETE_RESPONSE) as peer:
            await peer.send()
            peer.pool.close_idle(
                monotonic_s() + async_http_client.DEFAULT_IDLE_TIMEOUT_S
            )
            await asyncio.sleep(0.05)
            return peer.pool.size

    assert asyncio.run(scenario()) == 0


KEPT_RESPONSE = COMPLETE_RESPONSE.replace(b"\r\n", b"\r\nKeep-Alive: timeout=10\r\n", 1)


@pytest.mark.parametrize(
    ("idle_s", "unheard_s", "is_reusable"),
    [
        (1.0, 9.0, True),
        (5.0, 1.1, True),
        (5.0, 1.6, False),
        (8.9, 0.5, True),
        (9.1, 0.5, False),
    ],
)
def test_a_connection_is_kept_while_the_peer_acknowledges_probes(
    monkeypatch, idle_s, unheard_s, is_reusable
):
    """Guards against a request on a connection that a network partition has cut."""
    monkeypatch.setattr(ClientConnection, "_unheard_s", lambda self: unheard_s)

    async def scenario():
        async with Peer(KEPT_RESPONSE) as peer:
            await peer.send()
            now = monotonic_s()
            return peer.pool.has_idle(now + idle_s)

    assert asyncio.run(scenario()) is is_reusable


def test_the_kernel_tells_when_the_peer_was_last_heard():
    """Guards against a wrong offset in the kernel's structure."""

    async def scenario():
        async with Peer(KEPT_RESPONSE) as peer:
            await peer.send()
            connection = await peer.pool.acquire(1.0)
            at_once_s = connection._unheard_s()
            await asyncio.sleep(0.6)
            return at_once_s, connection._unheard_s()

    at_once_s, later_s = asyncio.run(scenario())
    assert at_once_s < 0.3
    assert 0.5 < later_s < 1.5


@pytest.mark.parametrize("sent_ms", [0, 1500])
def test_a_system_without_the_kernels_times_keeps_no_idle_connection(
    monkeypatch, sent_ms
):
    """Guards against bytes that reach a server long after it has left.

    All times were zero, so a connection that a network partition had cut seemed alive.
    """
    info = struct.pack("=11I4I", *[0] * 11, sent_ms, 0, 0, 0)
    sock = SimpleNamespace(getsockopt=lambda *arguments: info)

    async def scenario():
        async with Peer(KEPT_RESPONSE) as peer:
            await peer.send()
            connection = await peer.pool.acquire(1.0)
            connection._idle_since = monotonic_s() - 2.0
            transport = connection._transport
            with monkeypatch.context() as patch:
                patch.setattr(transport, "get_extra_info", lambda name: sock)
                return connection.is_reusable(monotonic_s())

    assert asyncio.run(scenario()) is False


@pytest.mark.parametrize(("idle_s", "kept"), [(1.0, 3), (2.0, 1)])
def test_connections_beyond_the_share_of_a_host_are_not_kept(monkeypatch, idle_s, kept):
    """Guards against idle connections of many hosts that fill a server's limit."""
    monkeypatch.setattr(ClientConnection, "_unheard_s", lambda self: 0.5)

    async def scenario():
        async with Peer(*[KEPT_RESPONSE] * 3) as peer:
            connections = [await peer.pool.acquire(1.0) for _ in range(3)]
            for connection in connections:
                await connection.send(REQUEST, b"", lambda *a: True).outcome
            peer.pool.close_idle(monotonic_s() + idle_s, max_kept=1)
            await asyncio.sleep(0.05)
            return peer.pool.size

    assert asyncio.run(scenario()) == kept


def test_a_refused_connection_means_not_sent_and_a_timeout_means_unknown():
    async def scenario():
        async with Peer() as peer:
            address = peer.address
            timed_out = await async_http_client.call(
                peer.pool, address, HttpCall("GET", "/x"), 0.2
            )
        refused = await async_http_client.call(
            ConnectionPool(address), address, HttpCall("GET", "/x"), 0.2
        )
        return timed_out, refused

    timed_out, refused = asyncio.run(scenario())
    assert isinstance(timed_out, Failure)
    assert timed_out.kind is FailureKind.UNKNOWN
    assert refused.kind is FailureKind.NOT_SENT


def test_a_call_returns_a_complete_response():
    async def scenario():
        async with Peer(COMPLETE_RESPONSE) as peer:
            return await async_http_client.call(
                peer.pool, peer.address, HttpCall("POST", "/x", [], b"body"), 1.0
            )

    response = asyncio.run(scenario())
    assert isinstance(response, Response)
    assert (response.status, response.body) == (200, b"hi")


@pytest.mark.parametrize(
    ("has_request", "expected"), [(True, ConnectionResetError), (False, b"")]
)
def test_bytes_of_an_abandoned_request_are_not_delivered_later(has_request, expected):
    """A request that its host had given up on arrived after a network partition."""

    async def run():
        received = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            if has_request:
                await reader.readuntil(b"\r\n\r\n")
            try:
                received.set_result(await reader.read())
            except ConnectionError as error:
                received.set_result(type(error))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(f"127.0.0.1:{port}")
        connection = await pool.acquire(1.0)
        if has_request:
            head = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            exchange = connection.send(head, b"", lambda *a: True)
            await asyncio.sleep(0.05)
        connection.close()
        if has_request:
            assert exchange.outcome.result() is ExchangeOutcome.ABANDONED
        async with asyncio.timeout(2.0):
            result = await received
        server.close()
        return result

    assert asyncio.run(run()) == expected


ENDLESS = 2 * (
    async_http_client.MAX_BODY_BYTES
    + async_http_client.MAX_SKIPPED_BYTES
    + async_http_client.MAX_READ_BYTES
)


@pytest.mark.parametrize(
    ("start", "part", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536, "too_large"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"10000\r\n" + b"x" * 65_536 + b"\r\n",
            "too_large",
        ),
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 65_536, "malformed"),
        (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 8_192, "malformed"),
        (b"HTTP/1.1 200 ", b"x" * 65_536, "malformed"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_048, "malformed"),
    ],
)
def test_bytes_without_end_close_the_connection_before_the_timeout(start, part, reason):
    """A response without end filled a host's memory until its request timed out."""
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        with contextlib.suppress(ConnectionError):
            while sent < ENDLESS:
                writer.write(part)
                await writer.drain()
                sent += len(part)

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        started_at = monotonic_s()
        failure = await async_http_client.call(
            ConnectionPool(address), address, HttpCall("GET", "/x"), 5.0
        )
        server.close()
        return failure, monotonic_s() - started_at

    failure, elapsed_s = asyncio.run(scenario())
    assert failure.reason == reason
    assert elapsed_s < 2.5
    assert sent < ENDLESS


@pytest.mark.parametrize("part", [b"x" * 15, b"x" * 16, b"x" * 900])
def test_a_whole_body_in_many_parts_is_received(part):
    """Guards against sound responses that count as an endless one."""
    # A part that lies across two reads counts twice.
    count = async_http_client.MAX_SMALL_PARTS // 2 if len(part) < 16 else 4_000
    chunk = b"%x;n=1\r\n%b\r\n" % (len(part), part)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def scenario():
        async with Peer(head + chunk * count + b"0\r\n\r\n") as peer:
            request = HttpCall("GET", "/x")
            return await async_http_client.call(peer.pool, peer.address, request, 5.0)

    assert asyncio.run(scenario()).body == part * count


def silence_limits(connection):
    """Return after how many ms and how many probes the kernel gives a connection up."""
    sock = connection._transport.get_extra_info("socket")
    return tuple(
        sock.getsockopt(socket.IPPROTO_TCP, option)
        for option in (socket.TCP_USER_TIMEOUT, socket.TCP_KEEPCNT)
    )


def test_the_kernel_does_not_end_a_response_that_has_begun_for_its_silence():
    """A stream whose server was out of reach for 3 s was broken off with ``reset``."""
    longest_deadline_s = 60

    async def run():
        async with Peer([COMPLETE_RESPONSE[:-1], COMPLETE_RESPONSE[-1:]]) as peer:
            connection = await peer.pool.acquire(1.0)
            usual = silence_limits(connection)
            exchange = connection.send(
                b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"", lambda *a: True
            )
            await exchange.head
            connection.tolerate_silence()
            timeout_ms, probes = silence_limits(connection)
            await exchange.outcome
            assert connection.is_reusable(monotonic_s())
            return usual, timeout_ms, probes, silence_limits(connection)

    usual, timeout_ms, probes, afterwards = asyncio.run(run())
    assert timeout_ms == 0
    assert probes * async_http_client.KEEPALIVE_INTERVAL_S > longest_deadline_s
    assert afterwards == usual
    assert usual[0] == async_http_client.DEAD_PEER_TIMEOUT_MS


@pytest.mark.parametrize(
    ("how", "refuses"),
    [
        ("listens", False),
        ("silent", False),
        ("gone", True),
        ("ending", True),
        ("full", False),
    ],
)
def test_only_a_server_that_refuses_connections_has_crashed(how, refuses):
    """A connection to a silent server ends with a time-out of the kernel as well.

    The kernel closes the connections of a process that ends before it ceases to listen,
    and resets those that it has accepted meanwhile.  A server that has as many
    connections as it may also resets them, and goes on.
    """

    async def reset(reader, writer):
        writer.transport.abort()

    async def scenario():
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            address = listener.getsockname()
            if how == "silent":
                # Nothing more is accepted while the backlog is full.
                listener.listen(0)
                for _ in range(2):
                    filler = stack.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(address)
            elif how == "gone":
                listener.close()
            elif how == "ending":
                asyncio.get_running_loop().call_later(0.005, listener.close)
            elif how == "full":
                await asyncio.start_server(reset, sock=listener)
            pool = ConnectionPool("{}:{}".format(*address))
            return await pool.refuses_connections(0.2)

    assert asyncio.run(scenario()) is refuses


def test_a_time_out_of_the_kernel_ends_a_request_as_a_broken_connection():
    async def scenario():
        async with Peer() as peer:
            connection = await peer.pool.acquire(1.0)
            exchange = connection.send(b"GET /x HTTP/1.1\r\n\r\n", b"", lambda *a: True)
            connection.connection_lost(TimeoutError(110, "timed out"))
            return exchange.outcome.result(), await peer.pool.refuses_connections(0.5)

    assert asyncio.run(scenario()) == (ExchangeOutcome.RESET, False)


@pytest.mark.parametrize("header", [b"", b"Keep-Alive: timeout=3\r\n"])
def test_an_unused_connection_is_kept_as_long_as_the_peer_usually_keeps_one(header):
    """Guards against a connection that is closed before a stream can go on over it."""
    response = COMPLETE_RESPONSE.replace(b"Request-Id: r\r\n", header)

    async def scenario():
        async with Peer(response) as peer:
            await peer.send()
            used, unused = [await peer.pool.acquire(1.0) for _ in range(2)]
            await asyncio.sleep(async_http_client.DEFAULT_IDLE_TIMEOUT_S + 0.1)
            peer.pool.put_back(unused)
            is_kept = await peer.pool.acquire(1.0) is unused
            for connection in (used, unused):
                connection.close()
            peer.pool.put_back(unused)
            await asyncio.sleep(0.01)
            return is_kept, peer.pool.size

    is_kept, size = asyncio.run(scenario())
    assert is_kept is bool(header)
    assert size == (0 if header else 1)


@pytest.mark.parametrize("has_ended", [True, False])
def test_a_connection_is_not_closed_for_an_exchange_that_has_ended(has_ended):
    """Another request had taken it meanwhile, and ended without a response."""

    async def scenario():
        response = COMPLETE_RESPONSE if has_ended else b""
        async with Peer(response, COMPLETE_RESPONSE) as peer:
            first = await peer.pool.acquire(1.0)
            exchange = first.send(REQUEST, b"", lambda status, headers: True)
            if has_ended:
                await exchange.outcome
            second = await peer.pool.acquire(1.0)
            other = second.send(REQUEST, b"", lambda status, headers: True)
            first.abandon(exchange)
            outcomes = exchange.outcome.result(), await other.outcome
            return outcomes, first is second

    outcomes, is_same = asyncio.run(scenario())
    ended = ExchangeOutcome.COMPLETE if has_ended else ExchangeOutcome.ABANDONED
    assert outcomes == (ended, ExchangeOutcome.COMPLETE)
    assert is_same is has_ended

"""A server whose response never ends, in parts of a few bytes.

Guards against hosts that answer nobody, or are killed for their memory, while one
server is in trouble.
"""

import asyncio
import itertools

import pytest
import uvloop

from sequoiapoint.protocol import chat, event_stream
from sequoiapoint.transport.async_http_client import ConnectionPool, ExchangeOutcome
from sequoiapoint.transport.clock import monotonic_s

MAX_STALL_S = 0.5
"""How late an answer to any other caller may be (CONFIG)."""
END_TIMEOUT_S = 10.0
PROBE_INTERVAL_S = 0.01
WRITE_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


EVENT = chunk(b"id: 1\ndata: oak\n\n")


class EndlessPeer:
    """A server that answers a request with a first part, and another without end."""

    def __init__(self, first, part):
        self._first = first
        self._parts = part * (WRITE_BYTES // len(part))

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.pool = ConnectionPool(f"127.0.0.1:{port}")
        return self

    async def __aexit__(self, *error):
        self.pool.close()
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._first)
        while not writer.is_closing():
            writer.write(self._parts)
            await writer.drain()


async def longest_stall_s(ended):
    """Return by how much the event loop is late at most until a future is done."""
    longest_s = 0.0
    while not ended.done():
        due_at = monotonic_s() + PROBE_INTERVAL_S
        await asyncio.wait([ended], timeout=PROBE_INTERVAL_S)
        longest_s = max(longest_s, monotonic_s() - due_at)
    return longest_s


def split_stream(connection, exchange):
    """Split the body into events, as is done for a stream."""
    splitter = event_stream.EventSplitter()

    def receive(data):
        splitter.feed(data)
        if splitter.is_too_large:
            connection.close()

    exchange.on_body = receive


@pytest.mark.parametrize(
    ("first", "part", "is_stream", "expected"),
    [
        (
            CHUNKED + chunk(b"id: 1\ndata:"),
            chunk(b" oak" * 4),
            True,
            ExchangeOutcome.ABANDONED,
        ),
        (
            CHUNKED + chunk(b"id: 1\r\ndata:"),
            chunk(b"x" * 16),
            True,
            ExchangeOutcome.ABANDONED,
        ),
        (CHUNKED, chunk(b"x" * 16), False, ExchangeOutcome.TOO_LARGE),
        (
            CHUNKED + chunk(b"id: 1\ndata:"),
            chunk(b" oak"),
            True,
            ExchangeOutcome.MALFORMED,
        ),
        (
            CHUNKED + chunk(b"id: 1\r\ndata:"),
            chunk(b"x"),
            True,
            ExchangeOutcome.MALFORMED,
        ),
        (CHUNKED, chunk(b"x"), False, ExchangeOutcome.MALFORMED),
        (CHUNKED + EVENT + b"0\r\nNote: ", b"oak ", True, ExchangeOutcome.MALFORMED),
        (CHUNKED + EVENT + b"0\r\n", b"a: b\r\n", True, ExchangeOutcome.MALFORMED),
        (CHUNKED + EVENT + b"4;note=", b"oak", True, ExchangeOutcome.MALFORMED),
    ],
    ids=[
        "event",
        "event_with_carriage_return",
        "body",
        "event_in_small_parts",
        "event_with_carriage_return_in_small_parts",
        "body_in_small_parts",
        "trailer_line",
        "trailer_lines",
        "chunk_extension",
    ],
)
def test_a_response_without_end_holds_up_no_other_caller(
    first, part, is_stream, expected
):
    async def scenario():
        async with EndlessPeer(first, part) as peer:
            connection = await peer.pool.acquire(1.0)
            exchange = connection.send(b"GET / HTTP/1.1\r\n\r\n", b"", lambda *a: True)
            if is_stream:
                split_stream(connection, exchange)
            async with asyncio.timeout(END_TIMEOUT_S):
                stall_s = await longest_stall_s(exchange.outcome)
            return exchange.outcome.result(), stall_s

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        outcome, stall_s = runner.run(scenario())
    assert outcome is expected
    assert stall_s < MAX_STALL_S


@pytest.mark.parametrize(
    "splitter_type", [event_stream.EventSplitter, chat.EventSplitter]
)
@pytest.mark.parametrize("size", [1, 4])
def test_an_event_costs_time_in_proportion_to_its_size(splitter_type, size):
    splitter, part, started_at = splitter_type(), b"x" * size, monotonic_s()
    for _ in itertools.count():
        splitter.feed(part)
        if splitter.is_too_large or monotonic_s() - started_at > END_TIMEOUT_S:
            break
    assert splitter.is_too_large

"""HTTP/1.1 client on the event loop: connections, their reuse and their limits.

One request is on a connection at a time.  A connection is used again only after an
answer that ended exactly where its framing says; any other byte closes it, so that
no answer reaches a request that it does not belong to.
"""

import asyncio
import enum
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.ports import Headers, HttpCall
from sequoiapoint.transport.clock import monotonic_s

CONNECT_TIMEOUT_S = 0.3
"""A hundred round trips between availability zones of one region."""
DEAD_PEER_TIMEOUT_MS = 2_500
"""How long sent bytes may stay unacknowledged; below the shortest contact bound."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Together about three seconds until a silent connection is found dead."""
IDLE_MARGIN_S = 1.0
"""How much earlier than the peer's stated idle timeout a connection is given up."""
DEFAULT_IDLE_TIMEOUT_S = 0.4
"""Reuse without a stated timeout, which then is below one second."""
MAX_IDLE_S = 15.0
"""Idle connections are not kept longer, whatever the peer states."""
MAX_HEAD_BYTES = 65_536
"""An answer with a larger head is not one of the protocol's."""

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class ExchangeOutcome(enum.Enum):
    """How an answer ended."""

    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class Response:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class Exchange:
    """One request on a connection and its answer.

    :param accepts: Tells from status and headers whether an answer belongs to the
        request; others are dropped.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, accepts: Callable[[int, Headers], bool]
    ) -> None:
        self.head: asyncio.Future[tuple[int, Headers] | ExchangeOutcome] = (
            loop.create_future()
        )
        self.outcome: asyncio.Future[ExchangeOutcome] = loop.create_future()
        self.on_body: Callable[[bytes], None] | None = None
        self._accepts = accepts
        self._body: list[bytes] = []

    def accepts(self, status: int, headers: Headers) -> bool:
        """Tell whether an answer belongs to the request."""
        return self._accepts(status, headers)

    def receive(self, data: bytes) -> None:
        """Take in a part of the body."""
        if self.on_body is not None:
            self.on_body(data)
        else:
            self._body.append(data)

    def take_body(self) -> bytes:
        """Return what has come of the body and has not been taken yet."""
        body = b"".join(self._body)
        self._body.clear()
        return body

    def finish(self, end: ExchangeOutcome) -> None:
        """End the exchange; only the first end counts."""
        if not self.head.done():
            self.head.set_result(end)
        if not self.outcome.done():
            self.outcome.set_result(end)


class ClientConnection(asyncio.Protocol):
    """One connection to a peer."""

    def __init__(self, on_release: Callable[["ClientConnection"], None]) -> None:
        self._on_free = on_release
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: Headers = []
        self._head_bytes = 0
        self._is_framed = False
        self._is_dropping = False
        self._is_informational = False
        self._is_headless_reply = False
        self._has_surplus = False
        self._saw_close = False
        self._may_reuse = True
        self._idle_limit_s = DEFAULT_IDLE_TIMEOUT_S
        self._idle_since = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can carry a request."""
        return self._transport is not None and not self._transport.is_closing()

    def is_reusable(self, now: float) -> bool:
        """Tell whether the peer can be trusted not to have given it up yet."""
        return self.is_open and now - self._idle_since < self._idle_limit_s

    def send(
        self, head: bytes, body: bytes, accepts: Callable[[int, Headers], bool]
    ) -> Exchange:
        """Send a request.

        :param head: The head, with its closing empty line.
        :param accepts: See :class:`Exchange`.
        """
        exchange = Exchange(self._loop, accepts)
        if not self.is_open:
            exchange.finish(ExchangeOutcome.CLOSED)
            return exchange
        self._exchange = exchange
        self._parser = httptools.HttpResponseParser(self)
        self._reset_message()
        self._is_headless_reply = head.startswith(b"HEAD ")
        self._transport.write(head + body if body else head)
        return exchange

    def close(self) -> None:
        """Give the connection up at once; a request on it is abandoned."""
        exchange, self._exchange = self._exchange, None
        self._may_reuse = False
        if self._transport is not None:
            self._transport.abort()
        if exchange is not None:
            exchange.finish(ExchangeOutcome.ABANDONED)

    def pause(self) -> None:
        """Stop reading, because the caller does not keep up."""
        if self.is_open:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Go on reading."""
        if self.is_open:
            self._transport.resume_reading()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the options that find a dead peer."""
        self._transport = transport
        self._idle_since = monotonic_s()
        set_liveness_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that no request waits for close the connection."""
        if self._exchange is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._exchange is not None:
                self._end(ExchangeOutcome.MALFORMED)
            self.close()
        if self._has_surplus:
            self.close()

    def eof_received(self) -> bool:
        """End an answer whose end is the connection's."""
        self._saw_close = True
        if self._exchange is not None:
            is_whole = self._exchange.head.done() and not self._is_framed
            self._may_reuse = False
            self._end(ExchangeOutcome.COMPLETE if is_whole else ExchangeOutcome.CLOSED)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End what is still open."""
        self._transport = None
        if self._exchange is not None:
            self._end(
                ExchangeOutcome.CLOSED if error is None else ExchangeOutcome.RESET
            )
        self._on_free(self)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a message; one that nobody waits for is surplus."""
        if self._exchange is None:
            self._has_surplus = True
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError("head too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand the head to the exchange, unless the answer is another request's."""
        exchange = self._exchange
        if exchange is None:
            return
        status = self._parser.get_status_code()
        self._is_informational = status < 200
        if self._is_informational:
            return
        self._is_framed = status in (204, 304) or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        if not exchange.accepts(status, self._headers):
            self._is_dropping = True
            self._may_reuse = False
            return
        self._note_keep_alive()
        if not exchange.head.done():
            exchange.head.set_result((status, self._headers))
        if self._is_headless_reply:
            self._may_reuse = False
            self._end(ExchangeOutcome.COMPLETE)

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        if self._exchange is not None and not self._is_dropping:
            self._exchange.receive(data)

    def on_message_complete(self) -> None:
        """End the exchange; the connection is free if nothing speaks against it."""
        if self._exchange is None or self._is_informational:
            return
        if self._is_dropping:
            self._is_dropping = False
            return
        if not self._parser.should_keep_alive() or not self._is_framed:
            self._may_reuse = False
        self._end(ExchangeOutcome.COMPLETE)

    def _reset_message(self) -> None:
        self._headers = []
        self._head_bytes = 0
        self._is_framed = False
        self._is_dropping = False
        self._is_informational = False

    def _note_keep_alive(self) -> None:
        stated = next((v for n, v in self._headers if n == b"keep-alive"), None)
        match = _KEEP_ALIVE_TIMEOUT.search(stated) if stated else None
        if match is None:
            return
        timeout_s = float(match[1])
        self._idle_limit_s = min(
            MAX_IDLE_S, max(timeout_s - IDLE_MARGIN_S, timeout_s / 2)
        )

    def _end(self, end: ExchangeOutcome) -> None:
        exchange, self._exchange = self._exchange, None
        self._idle_since = monotonic_s()
        exchange.finish(end)
        has_unsent = self.is_open and self._transport.get_write_buffer_size() > 0
        if end is not ExchangeOutcome.COMPLETE or has_unsent or not self._may_reuse:
            self._may_reuse = False
            if self._transport is not None:
                self._transport.abort()
            return
        self._on_free(self)


def set_liveness_options(sock: socket.socket) -> None:
    """Let the kernel give up a connection whose peer has fallen silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class ConnectionPool:
    """The connections to one peer.

    :param address: IP number and port.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._address = address
        self._idle: deque[ClientConnection] = deque()
        self._open: set[ClientConnection] = set()
        self._connecting = 0
        self.opened = 0

    @property
    def size(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._open) + self._connecting

    async def acquire(self, timeout_s: float) -> ClientConnection | Failure:
        """Return a connection, an idle one if the peer still keeps it."""
        now = monotonic_s()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.close()
        return await self._connect(timeout_s)

    async def _connect(self, timeout_s: float) -> ClientConnection | Failure:
        self._connecting += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._release), self._host, self._port
                )
        except TimeoutError:
            return self._failure("connect_timeout")
        except OSError as error:
            return self._failure("connect_refused", str(error))
        finally:
            self._connecting -= 1
        self.opened += 1
        self._open.add(connection)
        return connection

    def _failure(self, reason: str, detail: str = "") -> Failure:
        return Failure(FailureKind.NOT_SENT, reason, "connect", self._address, detail)

    def _release(self, connection: ClientConnection) -> None:
        if connection.is_open:
            self._idle.append(connection)
            return
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self, now: float) -> None:
        """Close the connections that their peer may give up soon."""
        for connection in [c for c in self._idle if not c.is_reusable(now)]:
            connection.close()

    def close(self) -> None:
        """Close all connections at once."""
        for connection in list(self._open):
            connection.close()
        self._open.clear()
        self._idle.clear()


def encode_request_head(call: HttpCall, host: str) -> bytes:
    """Encode the head of a call."""
    lines = [f"{call.method} {call.target} HTTP/1.1\r\nHost: {host}".encode("latin-1")]
    lines += [name + b": " + value for name, value in call.headers]
    if call.body or call.method != "GET":
        lines.append(b"Content-Length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def call(
    pool: ConnectionPool, address: str, request: HttpCall, timeout_s: float
) -> Response | Failure:
    """Make one call and wait for its whole answer.

    :param timeout_s: Time for the whole call, in seconds.
    """
    connection = await pool.acquire(min(timeout_s, CONNECT_TIMEOUT_S))
    if isinstance(connection, Failure):
        return connection
    exchange = connection.send(
        encode_request_head(request, address),
        request.body,
        lambda status, headers: True,
    )
    try:
        async with asyncio.timeout(timeout_s):
            end = await asyncio.shield(exchange.outcome)
    except TimeoutError:
        end = ExchangeOutcome.TIMED_OUT
    finally:
        if not exchange.outcome.done():
            connection.close()
    if end is not ExchangeOutcome.COMPLETE:
        step = request.target.partition("?")[0]
        return Failure(FailureKind.UNKNOWN, end.value, step, address)
    status, headers = exchange.head.result()
    return Response(status, headers, exchange.take_body())

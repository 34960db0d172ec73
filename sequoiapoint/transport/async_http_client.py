"""An HTTP/1.1 client for asyncio with a pool of reusable connections.

A connection carries one request at a time.  It is reused only after a response that
ended exactly where its framing says; any further byte closes it, so that no request
receives the response to another one.

A faulty server may send a second copy of a response late, when the response to the next
request is due.  Only the id of a request tells them apart, so a connection never
carries two requests with the same id, and a response without an id is certain only for
the first request on a connection.
"""

import asyncio
import enum
import math
import re
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.http_status import is_final, is_informational
from sequoiapoint.protocol.ports import Headers, HttpCall
from sequoiapoint.transport.clock import monotonic_s

CONNECT_TIMEOUT_S = 0.3
"""Time of a hundred round trips between availability zones of one region."""
DEAD_PEER_TIMEOUT_MS = 2_500
"""Maximum time that bytes sent to a server may stay unacknowledged; below the shortest
time after a disruption until the service's guarantees must hold again."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""With the idle time and the interval, a dead idle connection is detected after about
three seconds."""
STREAM_KEEPALIVE_PROBES = 120
"""The same while a response that has begun is awaited: as many as the kernel allows, so
that the request's deadline is reached first."""
IDLE_MARGIN_S = 1.0
"""How long before the idle timeout stated by the peer a connection is closed."""
DEFAULT_IDLE_TIMEOUT_S = 0.4
"""Idle timeout if the peer states none; the peer's timeout is then below one second."""
MAX_IDLE_S = 1.5
"""Maximum time since the peer was last heard on a connection that is used again.  The
kernel must not end a connection before the shortest timeout of a request that is sent
on it: bytes of the request that a network partition holds back could still be delivered
later."""
MAX_KEPT_IDLE_S = 15.0
"""Maximum idle time of a connection on which the peer's kernel still acknowledges the
keep-alive probes, whatever timeout the peer states."""
_TCP_INFO_BYTES = 60
_LAST_SENT_OFFSET, _LAST_ACK_OFFSET = 44, 56
"""Offsets in ``struct tcp_info`` of the times since data was last sent and since the
last acknowledgement, in ms."""
_CLOCK_TOLERANCE_S = 0.1
"""Difference between the kernel's clock and ours that shows no error."""
MAX_HEAD_BYTES = 65_536
"""Maximum size of a response head, and of what lies between two parts of a body or
behind the last one; a larger one is treated as malformed."""
MAX_BODY_BYTES = 4_194_304
"""Maximum size of a body that is collected; four times a full page of the store."""
MAX_READ_BYTES = 262_144
"""Maximum number of bytes that the event loop reads at once; limits on received bytes
are exact to one such read."""
SMALL_PART_BYTES = 16
"""Size below which a part of a body is small: handling it costs more than its bytes."""
MAX_SMALL_PARTS = 32_768
"""Maximum number of small parts of a body."""
MAX_FRAMING_BYTES = 32
"""Maximum mean number of bytes of framing a part of a body, beside
``MAX_HEAD_BYTES``."""
MAX_SKIPPED_BYTES = 1_048_576
"""Maximum size of what may precede a request's response on a connection: informational
responses, and late ones to other requests."""

PROCESS_END_S = 0.02
"""Time that a process may go on listening after its connections have ended."""
MAX_REQUESTS_PER_CONNECTION = 500
"""Number of requests with an id after which a connection is closed, as it remembers all
of them."""

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class ExchangeOutcome(enum.Enum):
    """How the response to a request ended."""

    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"
    TOO_LARGE = "too_large"


class _InvalidResponseError(Exception):
    """Raised in a parser callback for a response that is too large, or not HTTP."""


@dataclass(frozen=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes


class Exchange:
    """One request on a connection and its response.

    :param loop: The event loop of the connection.
    :param accepts: Tells from status and headers whether a response belongs to the
        request; other responses are discarded.
    :ivar head: The status and headers of the response, or the outcome if it ended
        without a head.
    :ivar outcome: How the response ended.
    :ivar on_body: Receives the parts of the body; if None, they are buffered.
    :ivar is_paused: Whether no data is read as their receiver does not keep up.
    :ivar ended_with_connection: Whether the response has neither a length nor chunks
        and was completed by the end of the connection.  It is the same whether the peer
        has closed it, or has ended before its response was whole.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, accepts: Callable[[int, Headers], bool]
    ) -> None:
        self.head: asyncio.Future[tuple[int, Headers] | ExchangeOutcome] = (
            loop.create_future()
        )
        self.outcome: asyncio.Future[ExchangeOutcome] = loop.create_future()
        self.on_body: Callable[[bytes], None] | None = None
        self.is_paused = False
        self.ended_with_connection = False
        self._accepts = accepts
        self._body = bytearray()
        self._body_bytes = 0

    def accepts(self, status: int, headers: Headers) -> bool:
        """Tell whether a response belongs to the request."""
        return self._accepts(status, headers)

    def receive(self, data: bytes) -> None:
        """Pass a part of the body to ``on_body`` or buffer it."""
        if self.on_body is not None:
            self.on_body(data)
            return
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            self._body.clear()
        else:
            self._body += data

    @property
    def is_too_large(self) -> bool:
        """Tell whether more than ``MAX_BODY_BYTES`` had to be collected."""
        return self._body_bytes > MAX_BODY_BYTES

    def take_body(self) -> bytes:
        """Remove and return the buffered part of the body."""
        body = bytes(self._body)
        self._body.clear()
        self._body_bytes = 0
        return body

    def finish(self, outcome: ExchangeOutcome) -> None:
        """End the exchange; calls after the first one have no effect."""
        if not self.head.done():
            self.head.set_result(outcome)
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class ClientConnection(asyncio.Protocol):
    """One connection to a peer.

    :param on_release: Called when the connection is idle or closed.
    :param idle_limit_s: Idle time after which it is not used again, until a response
        states the peer's timeout.
    :ivar opened_at: When the connection was established, in seconds.
    """

    def __init__(
        self,
        on_release: Callable[["ClientConnection"], None],
        idle_limit_s: float = DEFAULT_IDLE_TIMEOUT_S,
    ) -> None:
        self._on_release = on_release
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: Headers = []
        # Parts of the body from the data that is being parsed.
        self._body_parts: list[bytes] = []
        self._head_bytes = 0
        self._overhead_bytes = 0
        # Bytes of all reads beside the parts of the body, and those parts.
        self._framing_bytes = self._read_body_bytes = 0
        self._parts = self._small_parts = 0
        self._skipped_bytes = 0
        self._is_in_head = True
        self._is_framed = False
        self._is_discarding = False
        self._is_informational = False
        self._is_head_request = False
        self._has_surplus_bytes = False
        self._may_reuse = True
        self._tolerates_silence = False
        self._is_unused = True
        self._request_ids: set[str] = set()
        self.idle_limit_s = idle_limit_s
        self._idle_since = 0.0
        self.opened_at = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can carry a request."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_unused(self) -> bool:
        """Tell whether no request has been sent on the connection."""
        return self._is_unused

    def has_carried(self, request_id: str) -> bool:
        """Tell whether a request with an id has been sent on the connection."""
        return request_id in self._request_ids

    def is_reusable(self, now: float) -> bool:
        """Tell whether the connection is open and the peer will not close it soon.

        One that has been idle for longer must also be known to lead to the peer still.
        """
        idle_s = now - self._idle_since
        if not self.is_open or idle_s >= self.idle_limit_s:
            return False
        return idle_s < MAX_IDLE_S or self._unheard_s() < MAX_IDLE_S

    def idle_s(self, now: float) -> float:
        """Return for how long an idle connection has not been used."""
        return now - self._idle_since

    def _unheard_s(self) -> float:
        """Return the time since the peer's kernel last acknowledged anything.

        The keep-alive probes of an idle connection are acknowledged every second.  Not
        every system fills in these times: one that says that data was sent while the
        connection was idle does not, and nothing is known.

        :return: The time in seconds; infinity if it is not known.
        """
        sock = self._transport.get_extra_info("socket")
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
            (sent_ms,) = struct.unpack_from("=I", info, _LAST_SENT_OFFSET)
            (heard_ms,) = struct.unpack_from("=I", info, _LAST_ACK_OFFSET)
        except (OSError, struct.error):
            return math.inf
        is_true = sent_ms / 1000 > self.idle_s(monotonic_s()) - _CLOCK_TOLERANCE_S
        return heard_ms / 1000 if is_true else math.inf

    @property
    def has_unread(self) -> bool:
        """Tell whether bytes or the peer's end have arrived that are not read yet.

        The event loop reads a connection only between its tasks.  What arrived before
        a request was sent belongs to no request, but would count as its response.
        """
        return has_unread(self._transport)

    def send(
        self,
        head: bytes,
        body: bytes,
        accepts: Callable[[int, Headers], bool],
        request_id: str = "",
    ) -> Exchange:
        """Send a request.

        :param head: The encoded head, including the empty line at its end.
        :param accepts: See :class:`Exchange`.
        :param request_id: The id by which its response is identified; "" for none.
        """
        exchange = Exchange(self._loop, accepts)
        if not self.is_open:
            exchange.finish(ExchangeOutcome.CLOSED)
            return exchange
        self._is_unused = False
        if request_id:
            self._request_ids.add(request_id)
        if len(self._request_ids) >= MAX_REQUESTS_PER_CONNECTION:
            self._may_reuse = False
        self._exchange = exchange
        self._parser = httptools.HttpResponseParser(self)
        self._reset_message()
        self._skipped_bytes = 0
        self._is_head_request = head.startswith(b"HEAD ")
        self._transport.write(head + body if body else head)
        return exchange

    def close(self) -> None:
        """Close the connection immediately and abandon a request on it.

        Bytes of the request that the peer has not received are discarded: the kernel
        would deliver them after the end of a network partition.
        """
        exchange, self._exchange = self._exchange, None
        self._may_reuse = False
        if self._transport is not None:
            if exchange is None:
                set_discard_on_close(self._transport, False)
            self._transport.abort()
        if exchange is not None:
            exchange.finish(ExchangeOutcome.ABANDONED)

    def abandon(self, exchange: Exchange) -> None:
        """Close the connection, unless the exchange has ended.

        Another request may have the connection by then.
        """
        if self._exchange is exchange:
            self.close()

    def forbid_reuse(self) -> None:
        """Close the connection after the response that is awaited or being received."""
        self._may_reuse = False

    def tolerate_silence(self) -> None:
        """Let the kernel keep the connection while the peer is silent.

        It is for a response that has begun: the peer has the whole request, and may go
        on with the response after any silence.
        """
        if self.is_open:
            self._tolerates_silence = True
            sock = self._transport.get_extra_info("socket")
            _set_silence_limits(sock, 0, STREAM_KEEPALIVE_PROBES)

    def pause(self, exchange: Exchange) -> None:
        """Pause reading because the receiver of a response does not keep up.

        :param exchange: Its exchange; no effect if that has ended.
        """
        if self._exchange is exchange and self.is_open:
            exchange.is_paused = True
            self._transport.pause_reading()

    def resume(self, exchange: Exchange) -> None:
        """Resume reading, unless the exchange has ended."""
        if self._exchange is exchange and self.is_open:
            exchange.is_paused = False
            self._transport.resume_reading()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the options that detect a dead peer and discard unsent bytes."""
        self._transport = transport
        self.opened_at = self._idle_since = monotonic_s()
        set_liveness_options(transport.get_extra_info("socket"))
        # Also for a connection that the kernel ends because its peer is silent.
        set_discard_on_close(transport, True)

    def data_received(self, data: bytes) -> None:
        """Parse the data; close the connection if no request is pending."""
        exchange = self._exchange
        if exchange is None:
            self.close()
            return
        # Bytes of a body, for example the events of a stream, are not limited here.
        self._overhead_bytes += len(data)
        if not exchange.head.done():
            self._skipped_bytes += len(data)
        self._read_body_bytes = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._report_failure(error.__context__)
            if self._exchange is not None:
                self._end(ExchangeOutcome.MALFORMED)
            self.close()
        self._framing_bytes += len(data) - self._read_body_bytes
        self._deliver_body()
        if self._has_surplus_bytes:
            self.close()
        if self._exchange is not None and self._has_too_much_overhead:
            self._end(ExchangeOutcome.MALFORMED)

    def _deliver_body(self) -> None:
        """Pass the parts of the body that one read has brought to the exchange at once.

        A peer may send a body of millions of small chunks.
        """
        exchange, parts = self._exchange, self._body_parts
        if exchange is None or not parts:
            return
        self._body_parts = []
        try:
            exchange.receive(b"".join(parts))
        except Exception as error:
            self._report_failure(error)
            self._end(ExchangeOutcome.MALFORMED)
            return
        if exchange.is_too_large:
            self._end(ExchangeOutcome.TOO_LARGE)

    def _report_failure(self, cause: BaseException | None) -> None:
        """Report the unexpected failure of a callback, None if there was none."""
        if cause is not None and not isinstance(cause, _InvalidResponseError):
            self._loop.call_exception_handler(
                {"message": "processing a response failed", "exception": cause}
            )

    @property
    def _has_too_much_overhead(self) -> bool:
        """Tell whether the peer sends too much beside the body of the response.

        The parser itself collects a line of any length, in a head or a trailer.
        """
        if self._overhead_bytes > MAX_HEAD_BYTES:
            return True
        if self._framing_bytes > MAX_HEAD_BYTES + MAX_FRAMING_BYTES * self._parts:
            return True
        is_skipping = not self._exchange.head.done()
        return is_skipping and self._skipped_bytes > MAX_SKIPPED_BYTES

    def eof_received(self) -> bool:
        """End the response; without framing, the end of the connection completes it."""
        if self._exchange is not None:
            is_complete = self._exchange.head.done() and not self._is_framed
            self._may_reuse = False
            self._exchange.ended_with_connection = is_complete
            self._end(
                ExchangeOutcome.COMPLETE if is_complete else ExchangeOutcome.CLOSED
            )
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange in progress and release the connection."""
        self._transport = None
        if self._exchange is not None:
            self._end(
                ExchangeOutcome.CLOSED if error is None else ExchangeOutcome.RESET
            )
        self._on_release(self)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a message; one without a pending request counts as surplus bytes."""
        if self._exchange is None:
            self._has_surplus_bytes = True
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; one in a trailer is ignored."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _InvalidResponseError(f"response head exceeds {MAX_HEAD_BYTES} bytes")
        if self._is_in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass the head to the exchange unless it belongs to another request."""
        exchange = self._exchange
        if exchange is None:
            return
        self._is_in_head = False
        self._overhead_bytes = 0
        status = self._parser.get_status_code()
        has_framing = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._is_informational = is_informational(status)
        if self._is_informational:
            if has_framing:
                raise _InvalidResponseError("informational response with a body")
            return
        if not is_final(status):
            raise _InvalidResponseError(f"invalid status {status}")
        self._is_framed = has_framing or status in (204, 304)
        if not exchange.accepts(status, self._headers):
            self._is_discarding = True
            self._may_reuse = False
            return
        self._update_idle_limit()
        if not exchange.head.done():
            exchange.head.set_result((status, self._headers))
        if self._is_head_request:
            self._may_reuse = False
            self._end(ExchangeOutcome.COMPLETE)

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body for the exchange.

        Each part costs time, however few bytes it has.
        """
        self._overhead_bytes = 0
        self._read_body_bytes += len(data)
        self._parts += 1
        if len(data) < SMALL_PART_BYTES:
            self._small_parts += 1
            if self._small_parts > MAX_SMALL_PARTS:
                raise _InvalidResponseError("body in too many small parts")
        if self._exchange is not None and not self._is_discarding:
            self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """End the exchange and release the connection if it can be reused."""
        if self._exchange is None or self._is_informational:
            return
        if self._is_discarding:
            self._is_discarding = False
            return
        if not self._parser.should_keep_alive() or not self._is_framed:
            self._may_reuse = False
        self._end(ExchangeOutcome.COMPLETE)

    def _reset_message(self) -> None:
        self._headers = []
        self._head_bytes = 0
        self._overhead_bytes = 0
        self._framing_bytes = 0
        self._parts = self._small_parts = 0
        self._is_in_head = True
        self._is_framed = False
        self._is_discarding = False
        self._is_informational = False

    def _update_idle_limit(self) -> None:
        header = next((v for n, v in self._headers if n == b"keep-alive"), None)
        match = _KEEP_ALIVE_TIMEOUT.search(header) if header else None
        if match is None:
            return
        timeout_s = float(match[1])
        self.idle_limit_s = min(
            MAX_KEPT_IDLE_S, max(timeout_s - IDLE_MARGIN_S, timeout_s / 2)
        )

    def _end(self, outcome: ExchangeOutcome) -> None:
        self._deliver_body()
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            # The receiver of the body has closed the connection.
            return
        self._idle_since = monotonic_s()
        exchange.finish(outcome)
        has_unsent = self.is_open and self._transport.get_write_buffer_size() > 0
        if outcome is not ExchangeOutcome.COMPLETE or has_unsent or not self._may_reuse:
            self._may_reuse = False
            if self._transport is not None:
                self._transport.abort()
            return
        if self._tolerates_silence:
            self._tolerates_silence = False
            set_liveness_options(self._transport.get_extra_info("socket"))
        if exchange.is_paused:
            self._transport.resume_reading()
        self._on_release(self)


def has_unread(transport: asyncio.Transport) -> bool:
    """Tell whether bytes or the peer's end have arrived that are not read yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def set_discard_on_close(transport: asyncio.Transport, discards: bool) -> None:
    """Choose whether the kernel resets the connection on close and discards bytes."""
    linger = struct.pack("ii", discards, 0)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def set_liveness_options(
    sock: socket.socket,
    timeout_ms: int = DEAD_PEER_TIMEOUT_MS,
    probes: int = KEEPALIVE_PROBES,
) -> None:
    """Make the kernel close a connection whose peer no longer responds.

    :param timeout_ms: The maximum time that bytes may stay unacknowledged or unread, in
        milliseconds; 0 for no limit on it.
    :param probes: The number of unanswered keep-alive probes, if there is no timeout.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    _set_silence_limits(sock, timeout_ms, probes)


def _set_silence_limits(sock: socket.socket, timeout_ms: int, probes: int) -> None:
    """Set how long the kernel keeps a connection whose peer is silent.

    A timeout also decides when keep-alive probes give up, whatever their number.

    :param timeout_ms: The time in milliseconds; 0 for no limit on the time.
    :param probes: The number of unanswered keep-alive probes, if there is no timeout.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)


class ConnectionPool:
    """The connections to one peer.

    :param address: The IP address and port of the peer.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._address = address
        self._idle: deque[ClientConnection] = deque()
        self._open: set[ClientConnection] = set()
        self._connecting = 0
        self._idle_limit_s = DEFAULT_IDLE_TIMEOUT_S
        self.opened = 0

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._open) + self._connecting

    async def acquire(
        self, timeout_s: float, request_id: str = ""
    ) -> ClientConnection | Failure:
        """Return an idle connection that can be reused, otherwise a new one.

        :param timeout_s: The time for opening a connection, in seconds.
        :param request_id: The id of the request that is to be sent; it is not sent
            again on a connection that has carried it.
        """
        connection = self._take_idle(request_id)
        return connection or await self._connect(timeout_s)

    def _take_idle(self, request_id: str) -> ClientConnection | None:
        now = monotonic_s()
        unsuitable = []
        chosen = None
        while self._idle and chosen is None:
            connection = self._idle.pop()
            if not connection.is_reusable(now) or connection.has_unread:
                connection.close()
            elif connection.has_carried(request_id):
                unsuitable.append(connection)
            else:
                chosen = connection
        self._idle.extend(reversed(unsuitable))
        return chosen

    async def acquire_new(self, timeout_s: float) -> ClientConnection | Failure:
        """Return a connection on which nothing has been sent.

        :param timeout_s: The time for opening a connection, in seconds.
        """
        return await self._connect(timeout_s)

    async def _connect(self, timeout_s: float) -> ClientConnection | Failure:
        self._connecting += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._release, self._idle_limit_s),
                    self._host,
                    self._port,
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

    async def refuses_connections(self, timeout_s: float) -> bool:
        """Tell whether the peer's host is up but nothing listens at the address.

        A process that ends may listen for a moment after the kernel has closed its
        connections; the kernel then resets a new one.  So does a server that has too
        many connections, which goes on to listen.  A connection that stays open is kept
        for the next request.

        :param timeout_s: The time for opening a connection, in seconds.
        """
        for _ in range(2):
            connection = await self._connect(timeout_s)
            if isinstance(connection, Failure):
                return connection.reason == "connect_refused"
            await asyncio.sleep(PROCESS_END_S)
            if connection.is_open:
                self._release(connection)
                return False
        return False

    async def accepts_connections(self, timeout_s: float) -> bool:
        """Tell whether a connection to the peer can be opened.

        :param timeout_s: The time for opening a connection, in seconds.
        """
        connection = await self._connect(timeout_s)
        if isinstance(connection, Failure):
            return False
        connection.close()
        return True

    def _failure(self, reason: str, detail: str = "") -> Failure:
        return Failure(FailureKind.NOT_SENT, reason, "connect", self._address, detail)

    def put_back(self, connection: ClientConnection) -> None:
        """Keep an acquired connection for another request, as none was sent on it."""
        self._release(connection)

    def _release(self, connection: ClientConnection) -> None:
        if connection.is_open:
            # The peer is one process, so its next connections end after the same time.
            self._idle_limit_s = connection.idle_limit_s
            self._idle.append(connection)
            return
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def has_idle(self, now: float) -> bool:
        """Tell whether a request can be sent without opening a connection."""
        return any(connection.is_reusable(now) for connection in self._idle)

    def close_idle(self, now: float, max_kept: float = math.inf) -> None:
        """Close the idle connections that their peer may close soon.

        :param max_kept: Number of open connections from which on none is kept that has
            been idle for ``MAX_IDLE_S``, the longest idle ones first.
        """
        for connection in sorted(self._idle, key=lambda c: -c.idle_s(now)):
            is_surplus = len(self._open) > max_kept and (
                connection.idle_s(now) >= MAX_IDLE_S
            )
            if is_surplus or not connection.is_reusable(now):
                self._open.discard(connection)
                connection.close()

    def close(self) -> None:
        """Close all connections immediately."""
        for connection in list(self._open):
            connection.close()
        self._open.clear()
        self._idle.clear()


def encode_request_head(call: HttpCall, host: str) -> bytes:
    """Encode the head of a request."""
    lines = [f"{call.method} {call.target} HTTP/1.1\r\nHost: {host}".encode("latin-1")]
    lines += [name + b": " + value for name, value in call.headers]
    if call.body or call.method != "GET":
        lines.append(b"Content-Length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def call(
    pool: ConnectionPool,
    address: str,
    request: HttpCall,
    timeout_s: float,
    on_new_connection: bool = False,
) -> Response | Failure:
    """Make one call and wait for the complete response.

    A call has no id, so its response is certain only if the peer sends each response
    once, or on a new connection.

    :param timeout_s: The time for the response, in seconds; also limits the time for
        opening a connection.
    """
    acquire = pool.acquire_new if on_new_connection else pool.acquire
    connection = await acquire(min(timeout_s, CONNECT_TIMEOUT_S))
    if isinstance(connection, Failure):
        return connection
    exchange = connection.send(
        encode_request_head(request, address),
        request.body,
        lambda status, headers: True,
    )
    try:
        async with asyncio.timeout(timeout_s):
            outcome = await asyncio.shield(exchange.outcome)
    except TimeoutError:
        outcome = ExchangeOutcome.TIMED_OUT
    finally:
        if not exchange.outcome.done():
            connection.close()
    if outcome is not ExchangeOutcome.COMPLETE:
        step = request.target.partition("?")[0]
        return Failure(FailureKind.UNKNOWN, outcome.value, step, address)
    status, headers = exchange.head.result()
    return Response(status, headers, exchange.take_body())

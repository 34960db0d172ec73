"""HTTP/1.1 server on the event loop.

A request reaches its handler only when it has been read whole and its framing is
beyond doubt; anything else is answered with the standard status and the connection
is closed.  A caller that leaves cancels its handler at once.
"""

import asyncio
import http
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httptools

from sequoiapoint.protocol.gateway import CallerLimits
from sequoiapoint.protocol.ports import Headers
from sequoiapoint.transport.async_http_client import set_liveness_options
from sequoiapoint.transport.clock import monotonic_s

SWEEP_INTERVAL_S = 0.25
"""How often timeouts of connections are looked for; a tenth of the shortest one."""
LINGER_S = 0.5
"""How long a refused connection is read on, so that the refusal is not reset away."""
BACKLOG = 1024
"""New connections that may wait; a burst of all callers at once fits."""
WRITE_BUFFER_BYTES = 65_536
"""Unsent bytes of an answer from which its server is read no further."""


@dataclass(frozen=True)
class InboundRequest:
    """A request that has been read whole.

    :param headers: Headers with names in lower case.
    :param arrived_s: When its first byte came, in seconds on the steady clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_s: float


Handler = Callable[[InboundRequest, "Responder"], Awaitable[None]]


class Responder:
    """Writes the answer to one request."""

    def __init__(self, connection: "ServerConnection", keep_alive: bool) -> None:
        self._connection = connection
        self._may_keep = keep_alive
        self._is_chunked = False
        self.status = 0
        self.is_ended = False

    @property
    def is_started(self) -> bool:
        """Tell whether a part of an answer has been written."""
        return self.status != 0

    def send_response(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a whole answer."""
        self._start(status, [*headers, (b"Content-Length", b"%d" % len(body))], body)
        self._end()

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of an answer whose body follows in parts."""
        self._is_chunked = self._connection.is_http_11
        if self._is_chunked:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        else:
            self._may_keep = False
        self._start(status, headers, b"")

    def send(self, data: bytes) -> None:
        """Write a part of the body."""
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def end_stream(self) -> None:
        """End the body as complete."""
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self._end()

    def abort(self) -> None:
        """Break the answer off so that it cannot be taken for a complete one."""
        self.is_ended = True
        self._connection.abort()

    def set_flow_control(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Have functions called when the caller falls behind and when it is back."""
        self._connection.set_flow_control(pause, resume)

    def _start(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self._may_keep = self._may_keep and not self._connection.is_draining
        lines = [b"HTTP/1.1 %d %b" % (status, _phrase(status))]
        lines += [name + b": " + value for name, value in headers]
        if not self._may_keep:
            lines.append(b"Connection: close")
        self._connection.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def _end(self) -> None:
        self.is_ended = True
        self._connection.finish_request(self._may_keep)


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


class ServerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: "AsyncHttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[tuple[InboundRequest, bool]] = deque()
        self._task: asyncio.Task | None = None
        self._active: InboundRequest | None = None
        self._is_refusing = False
        self._is_reading = False
        self._progress_s = monotonic_s()
        self._pause: Callable[[], None] | None = None
        self._resume: Callable[[], None] | None = None
        self.is_http_11 = True
        self._begin_message()

    @property
    def is_draining(self) -> bool:
        """Tell whether answers should ask the caller to use another connection."""
        return self._server.is_draining

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return self._active is None and not self._is_reading

    # What responders call

    def write(self, data: bytes) -> None:
        """Write bytes to the caller."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def abort(self) -> None:
        """Drop the connection."""
        if self._transport is not None:
            self._transport.abort()

    def set_flow_control(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Have functions called when the caller falls behind and when it is back."""
        self._pause, self._resume = pause, resume

    def finish_request(self, may_keep: bool) -> None:
        """Go on to the next request, or close after the last byte."""
        self._active = None
        self._pause = self._resume = None
        self._progress_s = monotonic_s()
        if self._transport is None:
            return
        if not may_keep or self._server.is_closed:
            self._linger()
        elif self._queue:
            self._start_next()
        else:
            self._transport.resume_reading()

    def check_timeouts(self, now: float) -> None:
        """Close an idle connection, refuse a request that does not come in."""
        if self._is_refusing or self._active is not None:
            return
        limits = self._server.limits
        waited_s = now - self._progress_s
        if self._is_reading and waited_s > limits.header_timeout_s:
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        elif not self._is_reading and waited_s > limits.idle_timeout_s:
            self._transport.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        set_liveness_options(transport.get_extra_info("socket"))
        self._server.connections.add(self)
        if self._server.is_closed:
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the work for a caller that has left."""
        self._transport = None
        self._server.connections.discard(self)
        self._queue.clear()
        if self._task is not None and not self._task.done():
            self._task.cancel()

    def eof_received(self) -> bool:
        """Take the end of a caller's bytes for its leaving."""
        return False

    def pause_writing(self) -> None:
        """Stop the source of the answer."""
        if self._pause is not None:
            self._pause()

    def resume_writing(self) -> None:
        """Let the source of the answer go on."""
        if self._resume is not None:
            self._resume()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._is_refusing:
            return
        self._is_reading = True
        self._progress_s = monotonic_s()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken here; what follows the request is not read.
            if self._queue:
                request, _ = self._queue.pop()
                self._queue.append((request, False))
        except httptools.HttpParserError as error:
            self._refuse(_refusal_status(error))
            return
        if self._active is None and self._queue:
            self._start_next()
        if self._active is not None and self._queue and self._transport is not None:
            self._transport.pause_reading()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._begin_message()

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Refuse what cannot be told apart with certainty before its body is read."""
        self.is_http_11 = self._parser.get_http_version() == "1.1"
        names = [name for name, _ in self._headers]
        if names.count(b"host") != 1 and self.is_http_11:
            raise _RefusalError(http.HTTPStatus.BAD_REQUEST)
        if names.count(b"transfer-encoding") and names.count(b"content-length"):
            raise _RefusalError(http.HTTPStatus.BAD_REQUEST)
        if names.count(b"content-length") > 1:
            raise _RefusalError(http.HTTPStatus.BAD_REQUEST)
        for name, value in self._headers:
            if name == b"content-length" and (
                not value.isdigit() or int(value) > self._server.limits.max_body_bytes
            ):
                raise _RefusalError(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
                    if value.isdigit()
                    else http.HTTPStatus.BAD_REQUEST
                )
            if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                raise _RefusalError(http.HTTPStatus.BAD_REQUEST)
            if name == b"expect" and self._active is None:
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.max_body_bytes:
            raise _RefusalError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue the request for its handler."""
        self._is_reading = False
        request = InboundRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            self._arrived_s,
        )
        self._queue.append((request, self._parser.should_keep_alive()))

    def _begin_message(self) -> None:
        self._arrived_s = monotonic_s()
        self._target = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits.max_header_bytes:
            raise _RefusalError(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _start_next(self) -> None:
        request, may_keep = self._queue.popleft()
        self._active = request
        self._task = asyncio.get_running_loop().create_task(
            self._server.run_handler(request, Responder(self, may_keep))
        )

    def _refuse(self, status: http.HTTPStatus) -> None:
        """Answer what is not a proper request, after the answers before it."""
        self._server.on_rejected(int(status))
        if self._active is not None:
            # An answer is being written; it must not be followed by another one.
            self._is_refusing = True
            self._server.close_after(self, self._task)
            return
        self.write(
            b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (status, _phrase(status))
        )
        self._linger()

    def _linger(self) -> None:
        """Close once the peer has had time to read; unread bytes would reset it."""
        self._is_refusing = True
        transport = self._transport
        if transport is None:
            return
        if transport.can_write_eof():
            transport.write_eof()
        transport.resume_reading()
        asyncio.get_running_loop().call_later(LINGER_S, transport.close)


class _RefusalError(Exception):
    """Raised inside the parser for a request that is refused with a status."""

    def __init__(self, status: http.HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


def _refusal_status(error: httptools.HttpParserError) -> http.HTTPStatus:
    cause = error.__context__
    if isinstance(cause, _RefusalError):
        return cause.status
    return http.HTTPStatus.BAD_REQUEST


class AsyncHttpServer:
    """Listens on an address.

    :param handler: Answers one request.
    :param on_rejected: Called with the status of each request that is refused before
        it reaches the handler.
    """

    def __init__(self, handler: Handler, on_rejected: Callable[[int], None]) -> None:
        self._handler = handler
        self.on_rejected = on_rejected
        self.connections: set[ServerConnection] = set()
        self.limits = CallerLimits()
        self.is_draining = False
        self.is_closed = False
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None

    async def start(self, address: str) -> None:
        """Listen on an address.

        :raises OSError: The address cannot be listened on.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=BACKLOG
        )
        self._sweeper = loop.create_task(self._sweep())

    async def run_handler(self, request: InboundRequest, responder: Responder) -> None:
        """Run the handler; an answer that it leaves open is broken off."""
        try:
            await self._handler(request, responder)
        finally:
            if not responder.is_ended:
                responder.abort()

    def close_after(self, connection: ServerConnection, task: asyncio.Task) -> None:
        """Close a connection once the answer that is being written has ended."""
        task.add_done_callback(lambda _: connection.abort())

    @property
    def busy_count(self) -> int:
        """Return how many connections have a request in work."""
        return sum(not connection.is_idle for connection in self.connections)

    def stop_accepting(self) -> None:
        """Take no new request; those in work are finished."""
        self.is_closed = True
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            if connection.is_idle:
                connection.abort()

    async def stop(self) -> None:
        """Stop listening and drop what is left."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.abort()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = monotonic_s()
            for connection in list(self.connections):
                connection.check_timeouts(now)

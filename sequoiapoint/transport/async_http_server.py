"""An HTTP/1.1 server for asyncio.

A request reaches its handler only after it has been received completely and if its
framing is unambiguous.  Any other request is rejected with the standard status, and the
connection is closed.  When a caller disconnects, its handler is cancelled immediately.
"""

import array
import asyncio
import fcntl
import http
import math
import socket
import sys
import termios
import traceback
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

import httptools

from sequoiapoint.protocol.gateway import CallerLimits
from sequoiapoint.protocol.ports import Headers
from sequoiapoint.transport.async_http_client import (
    has_unread,
    set_discard_on_close,
    set_liveness_options,
)
from sequoiapoint.transport.caller_budget import (
    HEADER_BYTES,
    QUEUED_REQUEST_BYTES,
    CallerBudget,
)
from sequoiapoint.transport.clock import monotonic_s, pause_to_tick_s
from sequoiapoint.transport.excess_connections import connections_to_close

TIMEOUT_CHECK_INTERVAL_S = 0.25
"""Interval of the check for connection timeouts; a tenth of the shortest one."""
CLOSE_DELAY_S = 0.5
"""Time for which data is still read before a connection is closed.  Unread data would
make the kernel reset the connection, and the caller could lose the response."""
BACKLOG = 1024
"""Length of the accept queue; sufficient for all callers connecting at once."""
WRITE_BUFFER_BYTES = 65_536
"""Unsent bytes of a response above which reading from its source is paused."""
OVERHEAD_FACTOR = 2
"""Size of an incomplete head, or of a trailer, relative to the maximum size of headers,
from which on it is rejected; the delimiters between headers count too."""
NO_DATA = memoryview(b"")
PARSE_BYTES = 4_096
"""Bytes that are parsed at once; requests behind the one in progress stay unparsed, as
their objects need many times their bytes."""
RETRY_AFTER_S = 1
"""Time after which a caller may come back if there was no room for its request."""
CALLER_TIMEOUT_MS = 30_000
"""Maximum time for which a caller may take no bytes of a response."""
CALLER_KEEPALIVE_PROBES = 30
"""Number of keep-alive probes, one a second, that a caller out of reach may miss.  A
timeout of the kernel would count the time in which a caller with a small buffer does
not read over all responses of its connection."""
CALLER_CLOSED = "closed"
"""Why a handler is cancelled if the caller has closed its connection.  Otherwise it is
the error with which the connection ended."""
HOST_STOPPED = "host_stopped"
"""Why a handler is cancelled if the server itself has ended the connection."""
STOP_WAIT_S = 0.1
"""Time in which cancelled handlers may log their end as the server stops."""


@dataclass(frozen=True)
class InboundRequest:
    """A completely received request.

    :param headers: Headers with names in lower case.
    :param arrived_s: Arrival time of the first byte on the monotonic clock, in seconds.
    :param head_bytes: The memory of its head.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_s: float
    head_bytes: int = 0

    @property
    def queued_bytes(self) -> int:
        """Return its memory while it waits behind another one."""
        return QUEUED_REQUEST_BYTES + self.head_bytes + len(self.body)


Handler = Callable[[InboundRequest, "Responder"], Awaitable[None]]


@dataclass(frozen=True)
class Rejection:
    """Why a request is rejected before it reaches the handler.

    :param headers: The headers received so far, with names in lower case.
    :param is_incomplete: Whether the caller has ended its data within the request.
    """

    status: http.HTTPStatus
    headers: Headers
    is_incomplete: bool = False


def plain_rejection(rejection: Rejection) -> tuple[Headers, bytes]:
    """Return headers and body of a response that says no more than its status."""
    if rejection.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return [(b"Retry-After", b"%d" % RETRY_AFTER_S)], b""
    return [], b""


class Responder:
    """Writes the response to one request.

    :param keep_alive: Whether the connection may be kept after the response.
    """

    def __init__(self, connection: "ServerConnection", keep_alive: bool) -> None:
        self._connection = connection
        self._keep_alive = keep_alive
        self._is_chunked = False
        self.status = 0
        self.is_ended = False

    @property
    def caller_address(self) -> tuple[str, int]:
        """Return the caller's IP address and port."""
        return self._connection.peer_address

    def close_after(self) -> None:
        """Close the connection after the response."""
        self._keep_alive = False

    @property
    def is_started(self) -> bool:
        """Tell whether a part of the response has been written."""
        return self.status != 0

    def send_response(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a complete response."""
        self._start(status, [*headers, (b"Content-Length", b"%d" % len(body))], body)
        self._end()

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of a response whose body follows in parts."""
        self._is_chunked = self._connection.is_http_11
        if self._is_chunked:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        else:
            self._keep_alive = False
        self._start(status, headers, b"")

    def send(self, data: bytes) -> None:
        """Write a part of the body."""
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def end_stream(self) -> None:
        """Complete the body."""
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self._end()

    def abort(self) -> None:
        """Abort the connection, so that the response is recognisably incomplete."""
        self.is_ended = True
        self._connection.abort()

    def set_flow_control(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Set functions that pause and resume the source of the response.

        They are called when the caller reads too slowly and when it has caught up.
        """
        self._connection.set_flow_control(pause, resume)

    def _start(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self._keep_alive = self._keep_alive and not self._connection.is_draining
        lines = [b"HTTP/1.1 %d %b" % (status, _reason_phrase(status))]
        lines += [name + b": " + value for name, value in headers]
        if not self._keep_alive:
            lines.append(b"Connection: close")
        self._connection.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def _end(self) -> None:
        self.is_ended = True
        self._connection.finish_request(self._keep_alive)


def _kernel_bytes(transport: asyncio.Transport | None, request: int) -> int:
    """Return the bytes that the kernel holds of a connection, 0 if it does not tell.

    :param request: ``FIONREAD`` for received bytes, ``TIOCOUTQ`` for those to be sent.
    """
    held = array.array("i", [0])
    if transport is None:
        return 0
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        fcntl.ioctl(descriptor, request, held)
    except (OSError, ValueError):
        return 0
    return held[0]


def _reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


class ServerConnection(asyncio.Protocol):
    """A connection from a caller."""

    def __init__(self, server: "AsyncHttpServer") -> None:
        self._server = server
        # Whether no byte has arrived yet, and whether one is awaited although the
        # server accepts no new requests.
        self._is_new = True
        self._is_expectant = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        # Received requests, each with whether to keep the connection open afterwards.
        self._queue: deque[tuple[InboundRequest, bool]] = deque()
        # Whether reading is paused, as requests wait behind the one in progress.
        self._is_paused = False
        # Received data that is not parsed yet.
        self._unparsed = NO_DATA
        self._task: asyncio.Task | None = None
        self._active: InboundRequest | None = None
        self._ignores_input = False
        # Whether the caller has ended its data.
        self._has_ended = False
        self._is_reading = False
        self._is_head_complete = False
        self._head_started_at = 0.0
        self._last_progress_s = monotonic_s()
        self._pause: Callable[[], None] | None = None
        self._resume: Callable[[], None] | None = None
        self._end_cause = ""
        self._written_bytes = 0
        # Bytes of them that had been sent when a check last found more of them sent.
        self._sent_bytes = 0
        self._sent_at = self._last_progress_s
        # When the last response ended, or else the connection began.
        self.finished_at = self._last_progress_s
        self.has_finished = False
        # Memory of the budget, as in the protocol of its holders.
        self._active_bytes = 0
        self.pending_bytes = 0
        self.pending_since = 0.0
        self.is_http_11 = True
        self._begin_message()

    @property
    def is_draining(self) -> bool:
        """Tell whether a response should ask the caller to use another connection.

        Requests that have been received already, if only in part, are still answered on
        this one.
        """
        is_last = not self._queue and not self._unparsed
        return self._is_ending(self._server.is_draining) and is_last

    def _is_ending(self, is_server_ending: bool) -> bool:
        """Tell whether the connection ends behind the requests that are queued."""
        if self._ignores_input or self._has_ended:
            return True
        return is_server_ending and not self._is_reading

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is received or processed, and all is sent."""
        return (
            self._active is None
            and not self._is_reading
            and not self._is_expectant
            and not self._ignores_input
            and not self.has_unsent
        )

    @property
    def peer_address(self) -> tuple[str, int]:
        """Return the caller's IP address and port; none if it has disconnected."""
        if self._transport is None:
            return "", 0
        return self._transport.get_extra_info("peername")[:2]

    @property
    def task(self) -> asyncio.Task | None:
        """Return the task of the last request's handler, None if there was none."""
        return self._task

    @property
    def has_unsent(self) -> bool:
        """Tell whether bytes of responses have been written and not sent."""
        return (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )

    # Called by responders

    def write(self, data: bytes) -> None:
        """Write bytes to the caller."""
        if self._transport is not None and not self._transport.is_closing():
            self._written_bytes += len(data)
            self._transport.write(data)

    def abort(self, cause: str = "") -> None:
        """Abort the connection.

        A caller with HTTP/1.0 takes an orderly end for the end of the response, so the
        kernel resets its connection if one is in progress.

        :param cause: Why a handler in progress is cancelled; "" if its caller has left.
        """
        if self._transport is None:
            return
        self._end_cause = cause
        if cause == HOST_STOPPED:
            is_unfinished = self._active is not None or self.has_unsent
            self._server.unanswered += len(self._queue) + is_unfinished
        if self._active is not None and not self.is_http_11:
            set_discard_on_close(self._transport, True)
        self._transport.abort()

    def stop(self) -> None:
        """Close the connection unless a request is being received or processed.

        A request that has arrived but is not read yet is answered, and so is the first
        one on a new connection, as its caller cannot know that the server stops.
        """
        age_s = monotonic_s() - self._last_progress_s
        if self.is_idle and self._is_new and age_s < CLOSE_DELAY_S:
            self._expect_request()
        elif self.is_idle:
            if self._transport is None or not has_unread(self._transport):
                self.abort()
        elif self._active is None and not self._is_reading and not self._ignores_input:
            self._close_after_delay()

    def set_flow_control(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Set functions that pause and resume the source of the response.

        They are called when the caller reads too slowly and when it has caught up.
        """
        self._pause, self._resume = pause, resume

    def finish_request(self, keep_alive: bool) -> None:
        """Start the next request, or close the connection after the last byte.

        :param keep_alive: Whether the connection may be kept.
        """
        self._end_active()
        self._pause = self._resume = None
        # Reading may have been paused until now.
        self._last_progress_s = self._head_started_at = monotonic_s()
        self.finished_at = self._last_progress_s
        self.has_finished = True
        if self._transport is None:
            return
        if keep_alive and not self._queue and not self._ignores_input:
            self._parse()
            if self._has_ended and self._is_reading and self._active is None:
                self._reject(http.HTTPStatus.BAD_REQUEST, is_incomplete=True)
            self._update_pending()
            if self._active is not None or self._ignores_input:
                return
        if self._queue and keep_alive:
            self._start_next()
        elif not keep_alive or self._is_ending(self._server.is_closed):
            self._close_after_delay()
        else:
            self._resume_reading()
            self._send_continue()

    def _end_active(self) -> None:
        """Forget the request in progress."""
        self._active = None
        self._server.budget.remove_active(self._active_bytes)
        self._active_bytes = 0

    # Called by the budget and the server

    def release_pending(self) -> None:
        """Reject requests that are incomplete or have not begun; none of them has run.

        What the caller goes on to send is read and discarded.
        """
        self._queue.clear()
        self._reject(http.HTTPStatus.SERVICE_UNAVAILABLE)
        if self._transport is not None:
            self._resume_reading()

    @property
    def may_close(self) -> bool:
        """Tell whether no request is in progress, and all is sent."""
        return self._active is None and not self.has_unsent

    @property
    def is_closing(self) -> bool:
        """Tell whether the connection is being closed; its input is ignored."""
        return self._ignores_input

    def close(self) -> None:
        """Close the connection at once, with a response to an incomplete request."""
        if self._transport is None:
            return
        if self._is_reading and not self._ignores_input:
            self._server.on_rejected(int(http.HTTPStatus.SERVICE_UNAVAILABLE))
            self._write_rejection(self._rejection(http.HTTPStatus.SERVICE_UNAVAILABLE))
        self._ignores_input = True
        self._discard_received()
        self._transport.close()

    def check_timeouts(self, now: float, late_s: float = 0.0) -> None:
        """Close an idle connection; reject a request that arrives too slowly.

        The timeout limits the time to receive the whole head, and each pause within the
        body.

        :param late_s: Time by which the check is late, in seconds.  It does not count,
            as the process was suspended and read nothing.
        """
        due_at = now - late_s
        if self._head_started_at <= due_at:
            self._head_started_at += late_s
        if self._last_progress_s <= due_at:
            self._last_progress_s += late_s
        if self._is_caller_stuck(now, late_s):
            self.abort()
            return
        if self._is_paused:
            self._update_pending()
        if self._ignores_input or self._active is not None:
            return
        limits = self._server.limits
        is_head_pending = self._is_reading and not self._is_head_complete
        since = self._head_started_at if is_head_pending else self._last_progress_s
        waited_s = now - since
        is_slow = now - self._head_started_at > limits.request_timeout_s
        if self._is_reading and (is_slow or waited_s > limits.header_timeout_s):
            self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
        elif (
            not self._is_reading
            and waited_s > limits.idle_timeout_s
            and not has_unread(self._transport)
        ):
            self._server.idle_closed += 1
            self._transport.close()

    def _is_caller_stuck(self, now: float, late_s: float) -> bool:
        """Tell whether the caller has taken no bytes for ``CALLER_TIMEOUT_MS``.

        :param late_s: Time by which the check is late, in seconds.
        """
        if not self.has_unsent:
            self._sent_bytes, self._sent_at = self._written_bytes, now
            return False
        unsent = self._transport.get_write_buffer_size() + _kernel_bytes(
            self._transport, termios.TIOCOUTQ
        )
        sent = self._written_bytes - unsent
        if sent > self._sent_bytes:
            self._sent_bytes, self._sent_at = sent, now
        else:
            self._sent_at += late_s
        return now - self._sent_at > CALLER_TIMEOUT_MS / 1000

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection.

        One that was accepted as the listener closed may carry a request already.
        """
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        sock = transport.get_extra_info("socket")
        set_liveness_options(sock, timeout_ms=0, probes=CALLER_KEEPALIVE_PROBES)
        self._server.connections.add(self)
        self._server.has_connections.set()
        self._server.close_excess()
        if self._server.is_closed:
            self._expect_request()

    def _expect_request(self) -> None:
        """Wait ``CLOSE_DELAY_S`` for the first byte of a request."""
        self._is_expectant = True
        asyncio.get_running_loop().call_later(CLOSE_DELAY_S, self._stop_expecting)

    def _stop_expecting(self) -> None:
        if self._is_expectant:
            self._is_new = self._is_expectant = False
            self.stop()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler of a caller that has disconnected."""
        self._transport = None
        self._is_expectant = False
        self._server.connections.discard(self)
        self._queue.clear()
        self._discard_received()
        self._end_active()
        if self._task is not None and not self._task.done():
            cause = CALLER_CLOSED if error is None else repr(error)
            self._task.cancel(self._end_cause or cause)

    def eof_received(self) -> bool:
        """Treat the end of the caller's data as a disconnect, unless it may read on.

        :return: Whether to keep the connection open.
        """
        if not self._server.serves_half_closed:
            return False
        self._has_ended = True
        if self._is_reading and self._active is None and not self._ignores_input:
            self._reject(http.HTTPStatus.BAD_REQUEST, is_incomplete=True)
        return self._active is not None or self._ignores_input

    def pause_writing(self) -> None:
        """Pause the source of the response."""
        if self._pause is not None:
            self._pause()

    def resume_writing(self) -> None:
        """Resume the source of the response."""
        if self._resume is not None:
            self._resume()

    def data_received(self, data: bytes) -> None:
        """Parse received data and start the next request."""
        if self._ignores_input:
            return
        self._last_progress_s = monotonic_s()
        self._is_new = self._is_expectant = False
        if self._unparsed:
            data = bytes(self._unparsed) + data
        self._unparsed = memoryview(data)
        self._parse()
        has_more = bool(self._queue or self._unparsed)
        if self._active is not None and has_more and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()
        self._send_continue()
        self._update_pending()
        self._server.budget.enforce(self._last_progress_s)

    def _resume_reading(self) -> None:
        self._is_paused = False
        self._transport.resume_reading()

    def _parse(self) -> None:
        """Parse received data until a request waits behind the one in progress."""
        while self._unparsed and (self._active is None or not self._queue):
            data = self._unparsed[:PARSE_BYTES]
            rest = self._unparsed[PARSE_BYTES:]
            self._unparsed = rest if rest else NO_DATA
            if not self._is_reading:
                self._is_reading = True
                self._is_head_complete = False
                self._head_started_at = self._last_progress_s
            self._feed(data)
            if self._ignores_input:
                return
            if self._active is None and self._queue:
                self._start_next()

    def _feed(self, data: memoryview) -> None:
        """Feed data to the parser, and reject a request that it does not accept."""
        self._overhead_bytes += len(data)
        limits = self._server.limits
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported; data after the request is not read,
            # so the connection is not kept open, whatever the request asks for.
            self._unparsed = NO_DATA
            if self._queue:
                request, _ = self._queue.pop()
                self._queue.append((request, False))
        except httptools.HttpParserError as error:
            self._reject(_rejection_status(error))
            return
        if self._overhead_bytes > OVERHEAD_FACTOR * limits.max_header_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _update_pending(self) -> None:
        """Tell the budget how much memory the requests use that have not begun."""
        size = sum(request.queued_bytes for request, _ in self._queue)
        if self._unparsed:
            # A part of the data keeps all of it in memory.
            size += len(self._unparsed.obj)
        if self._is_reading:
            size += self._overhead_bytes + self._head_memory
            size += sys.getsizeof(self._body)
        if self._is_paused:
            size += _kernel_bytes(self._transport, termios.FIONREAD)
        if size and not self.pending_bytes:
            self.pending_since = self._last_progress_s
        if size != self.pending_bytes:
            self._server.budget.set_pending(self, size)

    @property
    def _head_memory(self) -> int:
        """Return the memory of the head of the request that is received."""
        return self._head_bytes + HEADER_BYTES * len(self._headers)

    def _discard_received(self) -> None:
        """Discard what has been received of requests that have not begun."""
        self._unparsed = NO_DATA
        self._headers = []
        self._body = bytearray()
        self._server.budget.set_pending(self, 0)

    def _send_continue(self) -> None:
        """Ask for the body that a caller holds back, once no response precedes it."""
        if self._awaits_continue and self._active is None and not self._queue:
            self._awaits_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request, which may begin behind another one in the same data."""
        self._is_reading = True
        self._begin_message()

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; those of a trailer were not checked, and are ignored."""
        if not self._is_head_complete:
            self._headers.append((name.lower(), value))
        self._add_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Reject ambiguous framing and excessive body sizes before the body is read."""
        self._is_head_complete = True
        self._overhead_bytes = 0
        self.is_http_11 = self._parser.get_http_version() == "1.1"
        names = [name for name, _ in self._headers]
        if names.count(b"host") != 1 and self.is_http_11:
            raise _RejectionError(http.HTTPStatus.BAD_REQUEST)
        if names.count(b"transfer-encoding") and names.count(b"content-length"):
            raise _RejectionError(http.HTTPStatus.BAD_REQUEST)
        if names.count(b"content-length") > 1:
            raise _RejectionError(http.HTTPStatus.BAD_REQUEST)
        for name, value in self._headers:
            if name == b"content-length" and (
                not value.isdigit() or int(value) > self._server.limits.max_body_bytes
            ):
                raise _RejectionError(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
                    if value.isdigit()
                    else http.HTTPStatus.BAD_REQUEST
                )
            if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                raise _RejectionError(http.HTTPStatus.BAD_REQUEST)
        self._awaits_continue = self.is_http_11 and any(
            name == b"expect" and value.strip().lower() == b"100-continue"
            for name, value in self._headers
        )

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._overhead_bytes = 0
        self._awaits_continue = False
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.max_body_bytes:
            raise _RejectionError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the complete request for the handler.

        One that has been read is also answered if the server accepts no requests.
        """
        self._is_reading = False
        self._awaits_continue = False
        self._overhead_bytes = 0
        request = InboundRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._arrived_s,
            self._head_memory,
        )
        self._body = bytearray()
        self._queue.append((request, self._parser.should_keep_alive()))

    def _begin_message(self) -> None:
        self._arrived_s = self._head_started_at = monotonic_s()
        self._is_head_complete = False
        # Whether the caller waits for an interim response before it sends the body.
        self._awaits_continue = False
        self._target = b""
        self._headers: Headers = []
        self._head_bytes = 0
        # Bytes since the start of the request or the last part of its body.  The parser
        # itself collects a line of any length, in a head or a trailer.
        self._overhead_bytes = 0
        # Its parts may be small, so they are not kept as objects.
        self._body = bytearray()
        self._body_bytes = 0

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits.max_header_bytes:
            raise _RejectionError(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _start_next(self) -> None:
        """Process the next request, or reject it if there is no room for it."""
        request, keep_alive = self._queue.popleft()
        budget = self._server.budget
        size = budget.request_bytes(request.head_bytes, len(request.body))
        if not budget.has_room(size):
            self._headers = request.headers
            self.release_pending()
            return
        self._active_bytes = size
        budget.add_active(size)
        self._active = request
        self._task = asyncio.get_running_loop().create_task(
            self._server.run_handler(request, Responder(self, keep_alive))
        )
        self._task.add_done_callback(_free_cancelled)

    def _rejection(
        self, status: http.HTTPStatus, is_incomplete: bool = False
    ) -> Rejection:
        return Rejection(status, self._headers, is_incomplete)

    def _write_rejection(self, rejection: Rejection) -> None:
        """Write the response to a request that is rejected."""
        headers, body = self._server.render_rejection(rejection)
        lines = [
            b"HTTP/1.1 %d %b" % (rejection.status, _reason_phrase(rejection.status))
        ]
        lines.append(b"Content-Length: %d" % len(body))
        lines += [name + b": " + value for name, value in headers]
        lines.append(b"Connection: close")
        self.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def _reject(self, status: http.HTTPStatus, is_incomplete: bool = False) -> None:
        """Reject a request with a status and close the connection.

        If responses to earlier requests are due, they are sent, no status is written,
        and the connection is closed after the last of them.

        :param is_incomplete: Whether the caller has ended its data within the request.
        """
        rejection = self._rejection(status, is_incomplete)
        self._server.on_rejected(int(status))
        self._ignores_input = True
        self._discard_received()
        if self._active is None and self._queue:
            self._start_next()
            return
        if self._active is not None:
            return
        self._write_rejection(rejection)
        self._close_after_delay()

    def _close_after_delay(self) -> None:
        """Close after ``CLOSE_DELAY_S``; until then, discard the caller's data."""
        self._ignores_input = True
        transport = self._transport
        if transport is None:
            return
        if transport.can_write_eof():
            transport.write_eof()
        transport.resume_reading()
        asyncio.get_running_loop().call_later(CLOSE_DELAY_S, transport.close)


def _free_cancelled(task: asyncio.Task) -> None:
    """Free what a cancelled handler held, without the garbage collector.

    The task keeps its exception, whose traceback keeps the frames with the request and
    its body; these refer to the task.
    """
    try:
        if task.cancelled():
            task.result()
    except asyncio.CancelledError as error:
        traceback.clear_frames(error.__traceback__)


class _RejectionError(Exception):
    """Raised in parser callbacks for a request that is rejected with a status."""

    def __init__(self, status: http.HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


def _rejection_status(error: httptools.HttpParserError) -> http.HTTPStatus:
    cause = error.__context__
    if isinstance(cause, _RejectionError):
        return cause.status
    return http.HTTPStatus.BAD_REQUEST


class AsyncHttpServer:
    """An HTTP server on one address.

    :param handler: Responds to one request.
    :param on_rejected: Called with the status of each request that is rejected before
        it reaches the handler.
    :param budget: The memory that callers may hold, None for any.  Several servers may
        share it.
    :param max_connections: The number of connections that may be open.
    :ivar render_rejection: Returns headers and body of the response to a request that
        is rejected before it reaches the handler.
    :ivar serves_half_closed: Whether a caller may end its data and read responses then.
    :ivar excess_closed: Number of connections closed because there were too many.
    :ivar has_connections: Set when a connection is accepted.
    :ivar idle_closed: Number of connections closed because they were idle.
    :ivar unanswered: Number of completely received requests to which the server itself
        has not responded, or not to the end.
    """

    def __init__(
        self,
        handler: Handler,
        on_rejected: Callable[[int], None],
        budget: CallerBudget | None = None,
        max_connections: int = sys.maxsize,
    ) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self.on_rejected = on_rejected
        self.budget = budget or CallerBudget(math.inf)
        self.render_rejection = plain_rejection
        self.serves_half_closed = False
        self.connections: set[ServerConnection] = set()
        self.has_connections = asyncio.Event()
        self.limits = CallerLimits()
        self.is_draining = False
        self.is_closed = False
        self.idle_closed = 0
        self.excess_closed = 0
        self.unanswered = 0
        self._listener: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        # Handlers that have begun; one that has not cannot respond once cancelled.
        self._running: set[asyncio.Task] = set()
        # Connections that were accepted as the listener closed.
        self._accepting: set[asyncio.Task] = set()
        self._timeout_task: asyncio.Task | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._socket.getsockname()[1]

    async def start(self, address: str) -> None:
        """Listen on an address.

        :raises OSError: If the server cannot listen on the address.
        """
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, int(port)), family=family)
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), sock=self._socket, backlog=BACKLOG
        )
        self._timeout_task = loop.create_task(self._check_timeouts())

    def close_excess(self) -> None:
        """Close connections if there are too many, but none with a request in progress.

        If each has one, the new connection is closed.
        """
        if len(self.connections) <= self._max_connections:
            return
        idle = [c for c in self.connections if c.may_close]
        for connection in connections_to_close(
            idle, len(self.connections), self._max_connections, monotonic_s()
        ):
            self.excess_closed += 1
            self.connections.discard(connection)
            connection.close()

    async def run_handler(self, request: InboundRequest, responder: Responder) -> None:
        """Run the handler; abort a response that it leaves incomplete."""
        task = asyncio.current_task()
        self._running.add(task)
        try:
            await self._handler(request, responder)
        finally:
            self._running.discard(task)
            if not responder.is_ended:
                responder.abort()

    @property
    def busy_count(self) -> int:
        """Return the number of connections with a request or unsent bytes.

        Those that still expect their first request count as well.
        """
        busy = sum(not connection.is_idle for connection in self.connections)
        return busy + len(self._accepting)

    @property
    def unsent_count(self) -> int:
        """Return the number of connections with unsent bytes of responses."""
        return sum(connection.has_unsent for connection in self.connections)

    def stop_accepting(self) -> None:
        """Accept no new requests; those in progress are completed.

        The kernel resets connections that still wait to be accepted as the listener
        closes, so they are accepted before.
        """
        waiting = [] if self.is_closed else list(self._accept_waiting())
        self.is_closed = True
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.stop()
        loop = asyncio.get_running_loop()
        for sock in waiting:
            task = loop.create_task(
                loop.connect_accepted_socket(lambda: ServerConnection(self), sock)
            )
            self._accepting.add(task)
            task.add_done_callback(self._note_accepted)

    def _accept_waiting(self) -> Iterator[socket.socket]:
        """Accept the connections that wait in the kernel's queue."""
        while self._socket is not None:
            try:
                sock, _ = self._socket.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                return
            sock.setblocking(False)
            yield sock

    def _note_accepted(self, task: asyncio.Task) -> None:
        """Forget a connection that is served now, or that has failed already."""
        self._accepting.discard(task)
        if not task.cancelled():
            task.exception()

    def end_requests(self) -> None:
        """Cancel the handlers in progress; they may still respond.

        Handlers that have not begun yet are started as usual.
        """
        for task in list(self._running):
            task.cancel(HOST_STOPPED)

    async def stop(self) -> None:
        """Stop listening and abort the remaining connections."""
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        if self._listener is not None:
            self._listener.close()
        tasks = [connection.task for connection in self.connections]
        for connection in list(self.connections):
            connection.abort(HOST_STOPPED)
        running = [task for task in tasks if task is not None and not task.done()]
        if running:
            await asyncio.wait(running, timeout=STOP_WAIT_S)

    async def _check_timeouts(self) -> None:
        while True:
            await self.has_connections.wait()
            pause_s = pause_to_tick_s(TIMEOUT_CHECK_INTERVAL_S)
            due_at = monotonic_s() + pause_s
            await asyncio.sleep(pause_s)
            if not self.connections:
                self.has_connections.clear()
            now = monotonic_s()
            for connection in list(self.connections):
                connection.check_timeouts(now, max(0.0, now - due_at))
            self.budget.enforce(now)

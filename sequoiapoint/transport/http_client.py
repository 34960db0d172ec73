"""HTTP calls with libcurl; each thread has its own connection pool and handles.

A call does not raise on network errors: it returns a failure that states whether the
peer may have acted on the request.
"""

import json
import re
import threading
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import pycurl

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.http_status import is_final, is_informational

CONNECT_TIMEOUT_MS = 1_000
MAX_BODY_BYTES = 4_194_304
"""Maximum size of a body that is collected; four times a full page of the store."""
MAX_IDLE_S = 5
"""Maximum idle time of a connection; servers must keep idle connections for longer."""
SELECT_TIMEOUT_S = 0.25
NOT_EXECUTED_HEADER = "x-not-executed"
CUT_HEAD = (pycurl.E_GOT_NOTHING, "connection closed within the head of the response")
"""Error code and message of a response that ends within its head; libcurl itself takes
it for a response without a body."""

ABORT = -1
"""What a callback returns to end the transfer with an error."""
_EMPTY_LINES = (b"\r\n", b"\n")
"""libcurl also passes on a line without its end if the connection closes within it."""
_STATUS = re.compile("[0-9]{3}")

_local = threading.local()


@dataclass
class HttpResponse:
    """A response, complete or being received.

    :param status: The HTTP status; 0 until it is received.
    :param headers: The headers, with names in lower case.
    :param body: The body of a complete response; a stream yields it in chunks instead.
    :ivar has_whole_head: Whether the empty line at the end of the head has arrived.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    has_whole_head: bool = field(default=False, init=False)

    def json(self) -> Any:
        """Return the decoded JSON body, or None if the body is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


def call(
    method: str,
    address: str,
    path: str,
    *,
    step: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 5.0,
    single_use: bool = False,
) -> HttpResponse | Failure:
    """Make one call and read the complete response.

    :param method: The HTTP method.
    :param address: The peer's IP address and port.
    :param path: The path with the query.
    :param step: The name of the step, which a failure reports.
    :param timeout_s: The maximum time for the whole call, in seconds.
    :param single_use: Use a new connection and close it afterwards.  When a reused
        connection turns out to be closed, the outcome of the request is unknown even if
        the server never received it.
    """
    with HttpStream(
        method,
        address,
        path,
        step=step,
        body=body,
        headers=headers,
        timeout_s=timeout_s,
        single_use=single_use,
    ) as stream:
        body = bytearray()
        for data in stream.chunks():
            body += data
            if len(body) > MAX_BODY_BYTES:
                return stream.too_large_failure()
        if stream.failure is not None:
            return stream.failure
        stream.response.body = bytes(body)
        return stream.response


class HttpStream:
    """One call whose response is read as it arrives.

    Leaving the ``with`` block before the end of the response closes the connection,
    which cancels the call at the peer.
    """

    def __init__(
        self,
        method: str,
        address: str,
        path: str,
        *,
        step: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
        single_use: bool = False,
    ) -> None:
        self.response = HttpResponse()
        self.failure: Failure | None = None
        self._step = step
        self._peer = address
        self._buffer: list[bytes] = []
        self._is_finished = False
        self._curl = _take_handle()
        self._multi = _thread_multi_handle()
        configure_handle(
            self._curl, method, f"http://{address}{path}", body, headers or {}
        )
        self._send_guard = SingleSendGuard(self._curl)
        self._curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        self._curl.setopt(pycurl.FRESH_CONNECT, int(single_use))
        self._curl.setopt(pycurl.FORBID_REUSE, int(single_use))
        self._curl.setopt(pycurl.WRITEFUNCTION, self._buffer.append)
        self._curl.setopt(
            pycurl.HEADERFUNCTION, lambda line: parse_header_line(line, self.response)
        )

    def __enter__(self) -> "HttpStream":
        self._multi.add_handle(self._curl)
        return self

    def __exit__(self, *_: object) -> None:
        self._multi.remove_handle(self._curl)
        _local.results.pop(self._curl, None)
        if self._is_finished:
            _local.handles.append(self._curl)
        else:
            self._curl.close()

    def chunks(self, should_stop: Callable[[], bool] | None = None) -> Iterator[bytes]:
        """Yield the body as it arrives, until its end or a failure.

        :param should_stop: Polled while waiting; the iteration ends early when it
            returns true, and leaving the ``with`` block then cancels the call.
        """
        while not self._is_finished:
            self._multi.perform()
            _collect_results(self._multi)
            self._is_finished = self._curl in _local.results
            if self._buffer:
                data = b"".join(self._buffer)
                self._buffer.clear()
                yield data
            if self._is_finished:
                break
            if should_stop is not None and should_stop():
                return
            self._multi.select(SELECT_TIMEOUT_S)
        result = _local.results.pop(self._curl)
        if result is None and not self.response.has_whole_head:
            result = CUT_HEAD
        if result is not None:
            self.failure = self._make_failure(*result)

    def too_large_failure(self) -> Failure:
        """Return the failure of a call whose body is too large to be collected."""
        kind = self._send_guard.failure_kind
        return Failure(kind, "too_large", self._step, self._peer)

    def _make_failure(self, error_code: int, message: str) -> Failure:
        """Convert a libcurl error; the kind states whether the peer may have acted."""
        timed_out = error_code == pycurl.E_OPERATION_TIMEDOUT
        reason = "timeout" if timed_out else "connection"
        kind = self._send_guard.failure_kind
        return Failure(kind, reason, self._step, self._peer, message)


def failure_from_response(response: HttpResponse, step: str, peer: str) -> Failure:
    """Convert a response with an error status to a failure.

    :return: A failure of kind REFUSED if the peer states that it did not act.
    """
    is_refused = NOT_EXECUTED_HEADER in response.headers
    kind = FailureKind.REFUSED if is_refused else FailureKind.UNKNOWN
    body = response.json()
    reason = body.get("reason") if isinstance(body, dict) else None
    retry_after = response.headers.get("retry-after", "")
    return Failure(
        kind,
        str(reason or f"status_{response.status}"),
        step,
        peer,
        retry_after_s=float(retry_after) if retry_after.isdigit() else None,
    )


def _collect_results(multi: pycurl.CurlMulti) -> None:
    """Store the results of the thread's calls that have ended.

    Several calls of a thread may be open at the same time.
    """
    remaining = 1
    while remaining:
        remaining, succeeded, failed = multi.info_read()
        for curl in succeeded:
            _local.results[curl] = None
        for curl, error_code, message in failed:
            _local.results[curl] = (error_code, message)


def _thread_multi_handle() -> pycurl.CurlMulti:
    """Return the multi handle, which pools the connections of the current thread."""
    if not hasattr(_local, "multi"):
        _local.multi = pycurl.CurlMulti()
        _local.handles = []
        _local.results = {}
    return _local.multi


def _take_handle() -> pycurl.Curl:
    """Return a new or reset handle of the current thread."""
    # Called only to create the thread's list of handles if there is none yet.
    _thread_multi_handle()
    if not _local.handles:
        return pycurl.Curl()
    handle = _local.handles.pop()
    handle.reset()
    return handle


class SingleSendGuard:
    """Lets libcurl send a request only once and records whether it may have been sent.

    libcurl retries on its own when a reused connection ends without a response.  Such a
    retry could execute a request twice, and its error would not show whether the first
    attempt reached the server, so it is aborted.
    """

    def __init__(self, curl: pycurl.Curl) -> None:
        self._may_have_been_sent = False
        curl.setopt(pycurl.PREREQFUNCTION, self._before_request)

    def _before_request(self, *_: object) -> int:
        if self._may_have_been_sent:
            return pycurl.PREREQFUNC_ABORT
        self._may_have_been_sent = True
        return pycurl.PREREQFUNC_OK

    @property
    def failure_kind(self) -> FailureKind:
        """Return the kind of a failure: UNKNOWN once the request may have been sent."""
        return FailureKind.UNKNOWN if self._may_have_been_sent else FailureKind.NOT_SENT


def parse_header_line(raw: bytes, response: HttpResponse) -> int | None:
    """Add a line of a head to a response: the status line, a header or the end.

    :return: What libcurl's header callback returns; it ends the transfer after a status
        line without a status of HTTP.
    """
    line = raw.decode("latin-1").strip()
    if line.startswith("HTTP/"):
        status = line.partition(" ")[2].partition(" ")[0]
        response.status = int(status) if _STATUS.fullmatch(status) else 0
        response.headers.clear()
        is_valid = is_final(response.status) or is_informational(response.status)
        return None if is_valid else ABORT
    if raw in _EMPTY_LINES:
        response.has_whole_head = is_final(response.status)
        return None
    name, colon, value = line.partition(":")
    if colon:
        response.headers[name.strip().lower()] = value.strip()
    return None


def configure_handle(
    curl: pycurl.Curl,
    method: str,
    url: str,
    body: bytes | None,
    headers: Mapping[str, str],
) -> None:
    """Set the options that all calls need on a handle."""
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    lines = [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        curl.setopt(pycurl.POSTFIELDSIZE, len(body))
        curl.setopt(pycurl.COPYPOSTFIELDS, body)
    curl.setopt(pycurl.HTTPHEADER, [*lines, "Expect:"])

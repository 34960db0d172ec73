"""HTTP calls by libcurl, one reusable handle a thread.

A call never raises for what the network does: it returns a failure that says
whether the peer can have acted on it.
"""

import json
import threading
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import pycurl

from sequoiapoint.protocol.errors import Failure, FailureKind

CONNECT_TIMEOUT_MS = 1_000
MAX_IDLE_S = 5
"""How long a connection is kept unused; servers have to keep it longer than this."""
SELECT_TIMEOUT_S = 0.25
NOT_EXECUTED_HEADER = "x-not-executed"

_local = threading.local()


@dataclass
class HttpResponse:
    """A response, whole or being read.

    :param status: The HTTP status, 0 until it is known.
    :param headers: The headers, with names in lower case.
    :param body: The bytes read so far that were not taken by a stream.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def json(self) -> Any:
        """Return the body as JSON, or None where it is not JSON."""
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
    """Make one call and read its whole answer.

    :param method: The HTTP method.
    :param address: The peer's IP number and port.
    :param path: The path with its query.
    :param step: The name of the step, for the failure.
    :param timeout_s: The time allowed for the whole call, in seconds.
    :param single_use: Use a new connection.  Over a reused one, a request that the
        server never saw has an unknown fate when the connection turns out closed.
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
        chunks = list(stream.chunks())
        if stream.failure is not None:
            return stream.failure
        stream.response.body = b"".join(chunks)
        return stream.response


class HttpStream:
    """One call whose answer is read as it arrives.

    Leaving the block before the end closes the connection, which cancels the call
    at the peer.
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
        self._finished = False
        self._curl = _take_handle()
        self._multi = _multi()
        configure_handle(
            self._curl, method, f"http://{address}{path}", body, headers or {}
        )
        self._watch = SingleSendGuard(self._curl)
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
        _local.ends.pop(self._curl, None)
        if self._finished:
            _local.handles.append(self._curl)
        else:
            self._curl.close()

    def chunks(self, should_stop: Callable[[], bool] | None = None) -> Iterator[bytes]:
        """Yield the body as it arrives, until the end or a failure.

        :param should_stop: Asked while waiting; the call is cancelled where it
            returns true.
        """
        while not self._finished:
            self._multi.perform()
            _collect_ends(self._multi)
            self._finished = self._curl in _local.ends
            if self._buffer:
                data = b"".join(self._buffer)
                self._buffer.clear()
                yield data
            if self._finished:
                break
            if should_stop is not None and should_stop():
                return
            self._multi.select(SELECT_TIMEOUT_S)
        end = _local.ends.pop(self._curl)
        if end is not None:
            self.failure = self._failure_of(*end)

    def _failure_of(self, number: int, message: str) -> Failure:
        """Classify an error of libcurl by what the peer can have seen."""
        timed_out = number == pycurl.E_OPERATION_TIMEDOUT
        reason = "timeout" if timed_out else "connection"
        kind = self._watch.failure_kind
        return Failure(kind, reason, self._step, self._peer, message)


def failure_from_response(response: HttpResponse, step: str, peer: str) -> Failure:
    """Describe an answer with an error status.

    :return: A failure of kind REFUSED where the peer says that it did not act.
    """
    refused = NOT_EXECUTED_HEADER in response.headers
    kind = FailureKind.REFUSED if refused else FailureKind.UNKNOWN
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


def _collect_ends(multi: pycurl.CurlMulti) -> None:
    """Note which calls of the thread have ended; several may be open at a time."""
    remaining = 1
    while remaining:
        remaining, succeeded, failed = multi.info_read()
        for curl in succeeded:
            _local.ends[curl] = None
        for curl, number, message in failed:
            _local.ends[curl] = (number, message)


def _multi() -> pycurl.CurlMulti:
    """Return the thread's own connection pool."""
    if not hasattr(_local, "multi"):
        _local.multi = pycurl.CurlMulti()
        _local.handles = []
        _local.ends = {}
    return _local.multi


def _take_handle() -> pycurl.Curl:
    """Return a fresh handle of the thread's pool."""
    _multi()
    if not _local.handles:
        return pycurl.Curl()
    handle = _local.handles.pop()
    handle.reset()
    return handle


class SingleSendGuard:
    """Notes whether any byte of a request can have left, and lets it leave only once.

    libcurl retries on its own when a reused connection ends without an answer.  Such
    a retry would run a request twice, and its error would say nothing of the first
    try, so it is stopped.
    """

    def __init__(self, curl: pycurl.Curl) -> None:
        self._may_have_left = False
        curl.setopt(pycurl.PREREQFUNCTION, self._before_request)

    def _before_request(self, *_: object) -> int:
        if self._may_have_left:
            return pycurl.PREREQFUNC_ABORT
        self._may_have_left = True
        return pycurl.PREREQFUNC_OK

    @property
    def failure_kind(self) -> FailureKind:
        """Return what a failure of the call says of the peer."""
        return FailureKind.UNKNOWN if self._may_have_left else FailureKind.NOT_SENT


def parse_header_line(raw: bytes, response: HttpResponse) -> None:
    """Note one header line, or the status line of an answer."""
    line = raw.decode("latin-1").strip()
    if line.startswith("HTTP/"):
        response.status = int(line.split(" ", 2)[1])
        response.headers.clear()
        return
    name, colon, value = line.partition(":")
    if colon:
        response.headers[name.strip().lower()] = value.strip()


def configure_handle(
    curl: pycurl.Curl,
    method: str,
    url: str,
    body: bytes | None,
    headers: Mapping[str, str],
) -> None:
    """Set what every call needs on a handle."""
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

"""Reads a request's id, promise, deadline and caller from its headers."""

import uuid
from dataclasses import dataclass

import xxhash
from werkzeug.wrappers import Request

from sequoiapoint.node.responses import REQUEST_ID_HEADER
from sequoiapoint.protocol.document import Document, Promise
from sequoiapoint.protocol.outcomes import ErrorResponse, Reason
from sequoiapoint.transport import clock
from sequoiapoint.transport.http_server import Caller

PROMISE_HEADER = "X-Promise"
DEADLINE_HEADER = "X-Deadline-Ms"
CALLER_HEADER = "X-Caller"
MAX_REQUEST_ID_LENGTH = 64


@dataclass(frozen=True)
class RequestContext:
    """The attributes of a request that scheduling and execution use.

    :param promise: The service class of the request.
    :param started_at: The arrival, in seconds on the local clock.
    :param deadline_at: The deadline, in seconds on the local clock.
    :param watched: The caller, or None if it does not matter whether it waits.
    """

    request_id: str
    caller: str
    promise: Promise
    started_at: float
    deadline_at: float
    watched: Caller | None = None

    def remaining_s(self) -> float:
        """Return the time to the deadline, in seconds."""
        return self.deadline_at - clock.monotonic_s()


def request_id_of(request: Request) -> str:
    """Return the request id from the caller, or a new one if none is usable."""
    return usable_request_id(request.headers.get(REQUEST_ID_HEADER, ""))


def usable_request_id(given: str) -> str:
    """Return a caller's request id, or a new one if it is not usable."""
    is_usable = given.isprintable() and 0 < len(given) <= MAX_REQUEST_ID_LENGTH
    return given if is_usable else uuid.uuid4().hex


def build_context(
    request: Request,
    request_id: str,
    document: Document,
    default_promise: str,
    watched: Caller | None,
) -> RequestContext | ErrorResponse:
    """Determine the promise and the deadline of a request.

    :param default_promise: The name of the promise to use if the caller names none.
    """
    name = request.headers.get(PROMISE_HEADER, default_promise)
    promise = next((p for p in document.promises if p.name == name), None)
    if promise is None:
        known = ", ".join(p.name for p in document.promises)
        detail = f"no promise {name!r}; known are {known}"
        return ErrorResponse(Reason.UNKNOWN_PROMISE, detail)
    deadline_ms = promise.deadline_ms
    given = request.headers.get(DEADLINE_HEADER)
    if given is not None:
        if not given.isdigit() or int(given) == 0:
            detail = f"{DEADLINE_HEADER} is a number of milliseconds, not {given!r}"
            return ErrorResponse(Reason.BAD_REQUEST, detail)
        deadline_ms = min(deadline_ms, int(given))
    now = clock.monotonic_s()
    return RequestContext(
        request_id=request_id,
        caller=request.headers.get(CALLER_HEADER, request.remote_addr or ""),
        promise=promise,
        started_at=now,
        deadline_at=now + deadline_ms / 1000.0,
        watched=watched,
    )


def fingerprint(caller: str, target: str, body: bytes) -> str:
    """Return a hash that is the same for all retries of a request by its caller."""
    digest = xxhash.xxh3_128(f"{caller}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()

"""Checks what callers and servers observed against properties that must always hold."""

import bisect
import math
import re
from collections import Counter
from collections.abc import Iterable

from standins.site.backends import Backend
from standins.soak.callers import ObservedRequest

TOLD_AFTER_S = 3.0
"""Time after a server has first named its limit from which the limit must hold."""
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_ALLOWANCE = 5
"""What a server with a limit may get in a window: the factor on what its limit allows,
and some more requests."""
EVENTS = re.compile(rb"(?:id: \d+\ndata: [^\n]*\n\n)*")
EVENT_VERSION = re.compile(rb"data: \S+ (\S+)\n\n")
NOT_RUN = (408, 421, 429, 503)
"""Statuses which state that the request has not run and never will."""
MAX_RUNS = {"read": 2, "write": 1, "talk": 2, "once": 1}
"""Maximum number of servers that run a request of each kind: its route's attempts, or
1 where it may not be repeated."""


def find_violations(
    requests: Iterable[ObservedRequest], backends: Iterable[Backend]
) -> list[str]:
    """Return the violations, one line each."""
    runs: Counter[str] = Counter()
    violations: list[str] = []
    for backend in backends:
        runs.update(backend.runs)
        violations += backend.violations
    by_id = {request.request_id: request for request in requests}
    violations += [f"{i}: ran, and nobody sent it" for i in runs if i not in by_id]
    for request in by_id.values():
        violations += [
            f"{request.request_id} ({request.kind}, {request.status}): {violation}"
            for violation in _request_violations(request, runs[request.request_id])
        ]
    return violations


def limit_violations(
    times: Iterable[float], per_s: float, start: float, end: float
) -> list[str]:
    """Return the violation of a server's limit, if there is one.

    :param times: When requests reached the server, in seconds.
    :param start: When the server first named its limit, in seconds.
    :param end: When it ceased to name it.
    """
    counted = sorted(t for t in times if start + TOLD_AFTER_S <= t < end)
    largest = max(
        (bisect.bisect_left(counted, t + LIMIT_WINDOW_S) - n)
        for n, t in enumerate([*counted, math.inf])
    )
    allowed = LIMIT_FACTOR * per_s * LIMIT_WINDOW_S + LIMIT_ALLOWANCE
    if largest <= allowed:
        return []
    return [
        f"{largest} requests in {LIMIT_WINDOW_S:g} s at a limit of {per_s} a second"
    ]


def _request_violations(request: ObservedRequest, runs: int) -> Iterable[str]:
    if runs > MAX_RUNS[request.kind]:
        yield f"ran {runs} times"
    if request.status in NOT_RUN and runs:
        yield f"said not to have run, and ran {runs} times"
    if request.status in NOT_RUN and "retry-after" not in request.headers:
        yield "refused without a time to come back"
    if 300 <= request.status < 500 and request.status not in NOT_RUN:
        yield "a proper request was refused for good"
    if request.status == 200:
        yield from _response_violations(request, runs)


def _response_violations(request: ObservedRequest, runs: int) -> Iterable[str]:
    if not runs:
        yield "answered, and never ran"
    if request.headers.get("request-id") != request.request_id:
        yield f"answered as {request.headers.get('request-id')}"
    if "server-seal" not in request.headers:
        yield "answered without a server's seal"
    if request.kind in ("talk", "once"):
        ids = request.event_ids
        versions = set(EVENT_VERSION.findall(request.response_body))
        if len(versions) > 1:
            yield f"events of versions {sorted(versions)}"
        if ids != list(range(1, len(ids) + 1)):
            yield f"events {ids}"
        if unknown := unknown_stream_data(request.response_body, request.is_complete):
            yield f"no event of the stream: {unknown!r}"
        if request.is_complete and len(ids) != request.events:
            yield f"ended as complete after {len(ids)} of {request.events} events"
    elif (
        request.is_complete and request.response_body.partition(b":")[2] != request.body
    ):
        yield f"body {request.response_body!r}"


def unknown_stream_data(body: bytes, is_complete: bool) -> bytes:
    """Return what a stream holds behind its events, except for a part of the next."""
    rest = body[EVENTS.match(body).end() :]
    is_part = b"id: ".startswith(rest[:4]) and b"\n\n" not in rest
    return b"" if is_part and not is_complete else rest

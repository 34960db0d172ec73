"""Checks what callers and servers observed against properties that must always hold."""

from collections import Counter
from collections.abc import Iterable

from standins.site.backends import Backend
from standins.soak.callers import ObservedRequest

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
        if ids != list(range(1, len(ids) + 1)):
            yield f"events {ids}"
        if request.is_complete and len(ids) != request.events:
            yield f"ended as complete after {len(ids)} of {request.events} events"
    elif (
        request.is_complete and request.response_body.partition(b":")[2] != request.body
    ):
        yield f"body {request.response_body!r}"

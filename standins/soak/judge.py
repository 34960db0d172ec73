"""What must always hold, held against what callers and servers have seen."""

from collections import Counter
from collections.abc import Iterable

from standins.site.backends import Backend
from standins.soak.callers import ObservedRequest

NOT_RUN = (408, 421, 429, 503)
"""Statuses that say that a request has not run and never will."""
MAX_RUNS = {"read": 2, "write": 1, "talk": 2, "once": 1}
"""Servers that a request of each kind may run at: its route's attempts, or one."""


def find_violations(
    seen: Iterable[ObservedRequest], backends: Iterable[Backend]
) -> list[str]:
    """Return what has been broken, a line each; nothing where all holds."""
    runs: Counter[str] = Counter()
    broken: list[str] = []
    for backend in backends:
        runs.update(backend.runs)
        broken += backend.violations
    by_id = {request.request_id: request for request in seen}
    broken += [f"{i}: ran, and nobody sent it" for i in runs if i not in by_id]
    for request in by_id.values():
        broken += [
            f"{request.request_id} ({request.kind}, {request.status}): {fault}"
            for fault in _faults(request, runs[request.request_id])
        ]
    return broken


def _faults(seen: ObservedRequest, runs: int) -> Iterable[str]:
    if runs > MAX_RUNS[seen.kind]:
        yield f"ran {runs} times"
    if seen.status in NOT_RUN and runs:
        yield f"said not to have run, and ran {runs} times"
    if seen.status in NOT_RUN and "retry-after" not in seen.headers:
        yield "refused without a time to come back"
    if 300 <= seen.status < 500 and seen.status not in NOT_RUN:
        yield "a proper request was refused for good"
    if seen.status == 200:
        yield from _answer_faults(seen, runs)


def _answer_faults(seen: ObservedRequest, runs: int) -> Iterable[str]:
    if not runs:
        yield "answered, and never ran"
    if seen.headers.get("request-id") != seen.request_id:
        yield f"answered as {seen.headers.get('request-id')}"
    if "server-seal" not in seen.headers:
        yield "answered without a server's seal"
    if seen.kind in ("talk", "once"):
        ids = seen.event_ids
        if ids != list(range(1, len(ids) + 1)):
            yield f"events {ids}"
        if seen.is_complete and len(ids) != seen.events:
            yield f"ended as complete after {len(ids)} of {seen.events} events"
    elif seen.is_complete and seen.response_body.partition(b":")[2] != seen.body:
        yield f"body {seen.response_body!r}"

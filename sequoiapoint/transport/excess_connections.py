"""Chooses the connections to close if more are open than a server accepts.

Callers that hold many connections and send nothing would otherwise shut out all others.
"""

import heapq
from collections.abc import Collection
from typing import Protocol, TypeVar

FIRST_REQUEST_S = 1.0
"""Time from the start of a connection in which a caller should send its first request.
If there are too many connections, those of slower callers are closed first."""
EXTRA_PART = 32
"""One connection in so many is closed besides the excess, so that a choice is rarely
necessary."""


class Idle(Protocol):
    """A connection without a request in progress.

    :ivar is_closing: Whether it is being closed anyway.
    :ivar has_finished: Whether it has had a response.
    :ivar finished_at: When its last response ended, or else when it began, in seconds.
    """

    @property
    def is_closing(self) -> bool: ...  # noqa: D102

    has_finished: bool
    finished_at: float


IdleT = TypeVar("IdleT", bound=Idle)


def connections_to_close(
    idle: Collection[IdleT], open_count: int, max_connections: int, now: float
) -> list[IdleT]:
    """Return the connections to close, none if there are not too many.

    Those that are being closed precede, then those without a whole request within
    ``FIRST_REQUEST_S``, then the others; each by the time of its last response.

    :param open_count: The number of connections, those with a request included.
    :param now: The time, in seconds.
    """
    excess = open_count - max_connections
    if excess <= 0:
        return []

    def order(connection: IdleT) -> tuple[int, float]:
        if connection.is_closing:
            return 0, connection.finished_at
        idle_s = now - connection.finished_at
        is_late = not connection.has_finished and idle_s > FIRST_REQUEST_S
        return 1 if is_late else 2, connection.finished_at

    return heapq.nsmallest(excess + max_connections // EXTRA_PART, idle, key=order)

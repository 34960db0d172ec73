"""Deadlines for reading request bodies from callers that send slowly.

A socket timeout restarts with each received byte, so it does not bound the time for a
whole body.  One thread monitors all reads in progress and ends those that exceed their
deadline.
"""

import heapq
import itertools
import socket
import threading
from dataclasses import dataclass

from sequoiapoint.transport import clock


@dataclass
class _GuardedRead:
    """A request body that is being read."""

    connection: socket.socket
    is_done: bool = False
    is_expired: bool = False


class ReadGuard:
    """Limits the time for the reads inside a ``with`` block.

    :param deadlines: Enforces the deadline.
    :param connection: The caller's socket.
    :param timeout_s: The maximum time for the whole block, in seconds.
    """

    def __init__(
        self, deadlines: "ReadDeadlines", connection: socket.socket, timeout_s: float
    ) -> None:
        self._deadlines = deadlines
        self._read = _GuardedRead(connection)
        self._timeout_s = timeout_s

    @property
    def is_expired(self) -> bool:
        """Tell whether the deadline expired before the block ended."""
        return self._read.is_expired

    def __enter__(self) -> "ReadGuard":
        self._deadlines.add(self._read, self._timeout_s)
        return self

    def __exit__(self, *_: object) -> None:
        self._read.is_done = True


class ReadDeadlines:
    """Enforces the deadlines of all body reads in progress."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, _GuardedRead]] = []
        self._ids = itertools.count()
        self._changed = threading.Condition()
        threading.Thread(target=self._run, name="read-deadlines", daemon=True).start()

    def guard(self, connection: socket.socket, timeout_s: float) -> ReadGuard:
        """Return a guard for the reading of one body."""
        return ReadGuard(self, connection, timeout_s)

    def add(self, read: _GuardedRead, timeout_s: float) -> None:
        """Start the deadline of a read."""
        deadline = clock.monotonic_s() + timeout_s
        with self._changed:
            heapq.heappush(self._heap, (deadline, next(self._ids), read))
            self._changed.notify()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._heap:
                    self._changed.wait()
                deadline, _, read = self._heap[0]
                remaining_s = deadline - clock.monotonic_s()
                if not read.is_done and remaining_s > 0:
                    self._changed.wait(remaining_s)
                    continue
                heapq.heappop(self._heap)
            if not read.is_done:
                self._expire(read)

    def _expire(self, read: _GuardedRead) -> None:
        """End the read; the socket stays open for writing the response."""
        read.is_expired = True
        try:
            read.connection.shutdown(socket.SHUT_RD)
        except OSError:
            pass

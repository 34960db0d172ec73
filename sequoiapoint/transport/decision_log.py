"""Log lines about decisions, bounded in rate and never in the way of requests.

Lines wait in a bounded queue for a thread of its own, which may block on standard
output; when the queue is full or an event comes too often, lines are counted and left
out, and the next line of that event says how many.
"""

import concurrent.futures
import queue
import sys
from collections.abc import Callable
from types import TracebackType
from typing import Self

import logbook

from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.logs import format_record

MAX_QUEUED_LINES = 2_000
"""Lines that may wait to be written: about half a megabyte."""
FLUSH_TIMEOUT_S = 1.0
"""Time for the last lines at the end of the process."""


class _QueueHandler(logbook.Handler):
    """Hands formatted lines to the writer's queue."""

    def __init__(self, lines: "queue.SimpleQueue[str | None]", level: str) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self._lines = lines
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record's line."""
        if self._lines.qsize() >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.put(format_record(record))


class _RateLimit:
    """Allows a number of lines a second for one event."""

    __slots__ = ("allowed", "second", "skipped")

    def __init__(self) -> None:
        self.second = -1
        self.allowed = 0.0
        self.skipped = 0


class DecisionLog:
    """The process's log.

    :param level: debug, info, warning or error.
    :param lines_per_s: Lines a second for each event and outcome.
    :param common: Fields that every line carries.
    """

    def __init__(
        self,
        level: str,
        lines_per_s: float,
        common: dict[str, object],
        write: Callable[[str], object] = sys.stdout.write,
    ) -> None:
        self._lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._handler = _QueueHandler(self._lines, level)
        self._logger = logbook.Logger("sequoiapoint")
        self._lines_per_s = lines_per_s
        self._common = common
        self._write = write
        self._limits: dict[tuple[str, str], _RateLimit] = {}
        self._writer = concurrent.futures.ThreadPoolExecutor(1, "log")

    def __enter__(self) -> Self:
        logbook.set_datetime_format("utc")
        self._handler.push_application()
        self._writing = self._writer.submit(self._write_lines)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._lines.put(None)
        concurrent.futures.wait([self._writing], FLUSH_TIMEOUT_S)
        self._handler.pop_application()
        self._writer.shutdown(wait=False, cancel_futures=True)

    @property
    def dropped(self) -> int:
        """Return how many lines did not fit into the queue."""
        return self._handler.dropped

    def event(self, name: str, outcome: str = "", **fields: object) -> None:
        """Log one event.

        :param name: A short name from a fixed set.
        :param outcome: What was decided, from a fixed set; the rate is limited for
            each name and outcome.
        :param fields: The inputs, with their age or version, the step and the peer.
        """
        limit = self._limits.setdefault((name, outcome), _RateLimit())
        second = int(monotonic_s())
        if limit.second != second:
            limit.second, limit.allowed = second, self._lines_per_s
        if limit.allowed < 1.0:
            limit.skipped += 1
            return
        limit.allowed -= 1.0
        if outcome:
            fields = {"outcome": outcome, **fields}
        if limit.skipped:
            fields["left_out"] = limit.skipped
            limit.skipped = 0
        self._logger.info(name, fields=fields | self._common)

    def _write_lines(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                break
            try:
                self._write(line + "\n")
                if self._lines.empty():
                    sys.stdout.flush()
            except (OSError, ValueError):
                # Nobody reads the log any more; requests go on without it.
                self._handler.dropped += 1

"""A rate-limited log of decisions that never blocks requests.

Lines are put into a bounded queue and written by a separate thread, which may block on
standard output.  When the queue is full, lines are dropped and counted.  When an event
exceeds its rate limit, its lines are skipped, and the next line of that event states
how many.
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

LOGGER_NAME = "sequoiapoint"
MAX_QUEUED_LINES = 2_000
"""The maximum queue length; such a queue holds about half a megabyte."""
FLUSH_TIMEOUT_S = 1.0
"""Time for writing the queued lines when the process exits."""


class _QueueHandler(logbook.Handler):
    """Formats records and puts the lines into the writer's queue."""

    def __init__(self, lines: "queue.SimpleQueue[str | None]", level: str) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self._lines = lines
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue the line of a record, or drop it when the queue is full."""
        if self._lines.qsize() >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.put(format_record(record))


class _RateLimit:
    """Counts the lines of one event that may still be logged in the current second."""

    __slots__ = ("remaining", "second", "skipped")

    def __init__(self) -> None:
        self.second = -1
        self.remaining = 0.0
        self.skipped = 0


class DecisionLog:
    """The log of the process.

    :param level: debug, info, warning or error.
    :param lines_per_s: The maximum rate of lines for each event and outcome.
    :param common: Fields added to every line.
    :param write: Writes one line.
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
        self._is_enabled = self._handler.level <= logbook.INFO
        self._lines_per_s = lines_per_s
        self._common = common
        self._write = write
        self._limits: dict[tuple[str, str], _RateLimit] = {}
        self._writer = concurrent.futures.ThreadPoolExecutor(1, "log")

    def __enter__(self) -> Self:
        logbook.set_datetime_format("utc")
        self._handler.push_application()
        self._writer_task = self._writer.submit(self._write_lines)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._lines.put(None)
        concurrent.futures.wait([self._writer_task], FLUSH_TIMEOUT_S)
        self._handler.pop_application()
        self._writer.shutdown(wait=False, cancel_futures=True)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped instead of written."""
        return self._handler.dropped

    def event(self, name: str, outcome: str = "", **fields: object) -> None:
        """Log one event.

        :param name: A short name from a fixed set.
        :param outcome: The decision, from a fixed set; the rate is limited for each
            combination of name and outcome.
        :param fields: The inputs of the decision, with their age or version, the step
            and the peer.
        """
        if not self._is_enabled:
            return
        limit = self._limits.get((name, outcome))
        if limit is None:
            limit = self._limits[name, outcome] = _RateLimit()
        second = int(monotonic_s())
        if limit.second != second:
            limit.second, limit.remaining = second, self._lines_per_s
        if limit.remaining < 1.0:
            limit.skipped += 1
            return
        limit.remaining -= 1.0
        if limit.skipped:
            fields["left_out"] = limit.skipped
            limit.skipped = 0
        decision = {"outcome": outcome} if outcome else {}
        self._emit(name, {**decision, **fields, **self._common})

    def _emit(self, name: str, fields: dict[str, object]) -> None:
        """Pass a record to the handler.

        A ``Logger`` looks for the handlers of the context first, which takes a third of
        the time of a line.
        """
        record = logbook.LogRecord(
            LOGGER_NAME, logbook.INFO, name, kwargs={"fields": fields}
        )
        record.heavy_init()
        try:
            self._handler.handle(record)
        finally:
            record.close()

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
                # Standard output is closed or broken; requests go on without the log.
                self._handler.dropped += 1

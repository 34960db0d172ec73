"""The account of what was decided for a request, for as long as memory allows."""

import collections
import threading
from dataclasses import dataclass, field
from typing import Any

from sequoiapoint.transport import clock, logs

KEPT_REQUESTS = 2_000


@dataclass(frozen=True)
class JournalEntry:
    """One decision.

    :param at_ms: The time since 1970, in milliseconds.
    """

    at_ms: int
    step: str
    fields: dict[str, Any] = field(default_factory=dict)


class Journal:
    """The decisions of the last requests, and a log line for each."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: collections.OrderedDict[str, list[JournalEntry]]
        self._entries = collections.OrderedDict()

    def record(self, subject: str, step: str, **fields: Any) -> None:
        """Note a decision.

        :param subject: The request's id, or an artifact's name.
        :param step: What was decided.
        """
        entry = JournalEntry(clock.wall_ms(), step, fields)
        with self._lock:
            self._entries.setdefault(subject, []).append(entry)
            self._entries.move_to_end(subject)
            if len(self._entries) > KEPT_REQUESTS:
                self._entries.popitem(last=False)
        logs.event(step, "debug", subject=subject, **fields)

    def entries(self, subject: str) -> list[JournalEntry]:
        """Return the decisions for a subject, oldest first."""
        with self._lock:
            return list(self._entries.get(subject, []))

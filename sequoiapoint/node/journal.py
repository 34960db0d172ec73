"""Keeps recent decisions in memory so that operators can query them."""

import collections
import threading
from dataclasses import dataclass, field
from typing import Any

from sequoiapoint.transport import clock, logs

MAX_SUBJECTS = 2_000


@dataclass(frozen=True)
class JournalEntry:
    """One decision.

    :param at_ms: The time since 1970, in milliseconds.
    :param step: What was decided.
    :param fields: Details of the decision.
    """

    at_ms: int
    step: str
    fields: dict[str, Any] = field(default_factory=dict)


class Journal:
    """Decisions on the most recent subjects: requests, artifacts and servers.

    Each decision is also logged.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: collections.OrderedDict[str, list[JournalEntry]]
        self._entries = collections.OrderedDict()

    def record(self, subject: str, step: str, **fields: Any) -> None:
        """Record a decision.

        :param subject: The request's id, an artifact's id or a server's name.
        :param step: What was decided.
        """
        entry = JournalEntry(clock.wall_ms(), step, fields)
        with self._lock:
            self._entries.setdefault(subject, []).append(entry)
            self._entries.move_to_end(subject)
            if len(self._entries) > MAX_SUBJECTS:
                self._entries.popitem(last=False)
        logs.event(step, "debug", subject=subject, **fields)

    def entries(self, subject: str) -> list[JournalEntry]:
        """Return the decisions for a subject, oldest first."""
        with self._lock:
            return list(self._entries.get(subject, []))

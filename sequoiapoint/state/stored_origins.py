"""The origins of streams that this host has read from the store.

Callers choose the ids of their streams, so two records may name one stream: if they
differ in the version, it is not known.
"""

import itertools
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.protocol.origins import OriginBatch

RETENTION_S = 60.0
"""Time for which a record is used after it was read: longer than callers wait for a
stream, over all their attempts."""
MAX_RECORD_AGE_MS = 120_000
"""Age by the time of day up to which a record is read; it keeps a record from
answering for a stream that has the id of an earlier one.  No version rests on it: a
wrong clock makes origins unknown, or keeps them as long as the store does."""
MAX_STORED = 65_536
"""Number of origins that are kept, those read last; 20 MB."""


@dataclass(frozen=True)
class StoredOrigin:
    """The version that began a stream, by a record in the store.

    :param server: The process that must be confirmed, None if the version is certain.
    :param connected_at: When the connection to it was opened, or later, in seconds.
    """

    version: str
    server: Incarnation | None = None
    connected_at: float = 0.0


@dataclass(frozen=True)
class _Known:
    """What is known of a stream; no origin if its records contradict each other."""

    read_at: float
    origin: StoredOrigin | None


def _merge(known: StoredOrigin | None, read: StoredOrigin) -> StoredOrigin | None:
    """Join two origins of one stream; return None if they differ in the version."""
    if known is None or known.version != read.version:
        return None
    return known if known.server is None else read


class StoredOrigins:
    """The origins that were read, by the keys of their streams."""

    def __init__(self) -> None:
        self._known: dict[bytes, _Known] = {}

    def __len__(self) -> int:
        """Return the number of origins that are kept."""
        return len(self._known)

    def put(self, batch: OriginBatch, now: float, now_ms: int) -> None:
        """Add the origins of a record.

        :param now: When it was read, in seconds.  The record was written before, so the
            connections are at least as old as the sum of both ages.
        :param now_ms: The same as Unix time, in milliseconds.
        """
        if abs(now_ms - batch.written_ms) > MAX_RECORD_AGE_MS:
            return
        for group in batch.groups:
            connected_at = now - group.connected_age_s
            origin = StoredOrigin(group.version, group.server, connected_at)
            for key in group.streams:
                known = self._known.pop(key, None)
                is_expired = known is None or now - known.read_at > RETENTION_S
                merged = origin if is_expired else _merge(known.origin, origin)
                self._known[key] = _Known(now, merged)
        surplus = max(0, len(self._known) - MAX_STORED)
        for key in list(itertools.islice(self._known, surplus)):
            del self._known[key]

    def get(self, key: bytes, now: float) -> StoredOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        known = self._known.get(key)
        if known is None or now - known.read_at > RETENTION_S:
            return None
        return known.origin

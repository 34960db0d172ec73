"""The state machine of a zone's idempotency keys.

The first claim of a key in log order wins.  A host whose claim comes later never runs
the request; it returns the outcome of the first claim.
"""

import heapq
from dataclasses import asdict, dataclass, replace
from functools import singledispatchmethod
from typing import Any

from sequoiapoint.protocol.records import (
    Envelope,
    KeyClaimed,
    KeySettled,
    Record,
    Snapshot,
)
from sequoiapoint.state.outcome import Outcome, applied, rejected
from sequoiapoint.state.sequences import AppliedSequences

CLOCK_MARGIN_MS = 60_000
"""Time for which an expired key is kept: the maximum clock skew between two hosts."""


@dataclass(frozen=True)
class KeyEntry:
    """The winning claim of a key, and its outcome.

    :param nonce: A unique id of the claim.
    :param expires_at_ms: The Unix time after which the key is not accepted any more.
    :param fate: The outcome of the request, empty while it is unknown.
    :param answer: The body of the response in base64.
    """

    key: str
    nonce: str
    host: str
    incarnation: str
    expires_at_ms: int
    body_hash: str
    fate: str = ""
    status: int = 0
    content_type: str = ""
    answer: str = ""


class KeyState:
    """The claimed keys of one zone."""

    def __init__(self) -> None:
        self._sequences = AppliedSequences()
        self._entries: dict[str, KeyEntry] = {}
        self._expiries: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> KeyEntry | None:
        """Return the entry of a key."""
        return self._entries.get(key)

    def apply(self, position: int, envelope: Envelope) -> Outcome:
        """Apply one record.

        :param position: The record's position in the stream.
        """
        is_new = self._sequences.record_if_new(
            envelope.host, envelope.incarnation, envelope.sequence
        )
        if not is_new:
            return rejected(position, "repeated")
        return self._apply_record(envelope.record, position)

    @singledispatchmethod
    def _apply_record(self, _record: Record, position: int) -> Outcome:
        return rejected(position, "unknown_kind")

    @_apply_record.register
    def _(self, record: KeyClaimed, position: int) -> Outcome:
        self._remove_expired(record.claimed_at_ms)
        if record.claimed_at_ms > record.expires_at_ms:
            return rejected(position, "expired")
        if record.key in self._entries:
            return rejected(position, "claimed")
        self._put(
            KeyEntry(
                key=record.key,
                nonce=record.nonce,
                host=record.host,
                incarnation=record.incarnation,
                expires_at_ms=record.expires_at_ms,
                body_hash=record.body_hash,
            )
        )
        return applied(position)

    @_apply_record.register
    def _(self, record: KeySettled, position: int) -> Outcome:
        entry = self._entries.get(record.key)
        if entry is None or entry.nonce != record.nonce:
            return rejected(position, "not_the_claim")
        if entry.fate:
            return rejected(position, "already_settled")
        if record.fate == "not_run":
            del self._entries[record.key]
            return applied(position)
        self._entries[record.key] = replace(
            entry,
            fate=record.fate,
            status=record.status,
            content_type=record.content_type,
            answer=record.answer,
        )
        return applied(position)

    @_apply_record.register
    def _(self, _record: Snapshot, position: int) -> Outcome:
        return applied(position)

    def _put(self, entry: KeyEntry) -> None:
        self._entries[entry.key] = entry
        heapq.heappush(self._expiries, (entry.expires_at_ms, entry.key))

    def _remove_expired(self, now_ms: int) -> None:
        """Remove the keys that every host rejects as expired.

        :param now_ms: The time in the record, so that all hosts remove the same keys.
        """
        cutoff_ms = now_ms - CLOCK_MARGIN_MS
        while self._expiries and self._expiries[0][0] < cutoff_ms:
            _, key = heapq.heappop(self._expiries)
            entry = self._entries.get(key)
            if entry is not None and entry.expires_at_ms < cutoff_ms:
                del self._entries[key]

    def to_json(self) -> dict[str, Any]:
        """Return the state for a snapshot."""
        return {
            "sequences": self._sequences.to_json(),
            "entries": [asdict(e) for e in self._entries.values()],
        }

    @classmethod
    def from_json(cls, state: dict[str, Any]) -> "KeyState":
        """Restore the state from a snapshot."""
        result = cls()
        result._sequences = AppliedSequences(state["sequences"])
        for entry in state["entries"]:
            result._put(KeyEntry(**entry))
        return result

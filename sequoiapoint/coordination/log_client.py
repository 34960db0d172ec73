"""Reads one log stream and appends records to it, on behalf of one process.

At most one batch is in flight.  A batch that is not read back in time is appended again
with the same sequence numbers, so that the state applies its records only once.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from sequoiapoint.protocol.records import (
    MAX_BATCH_RECORDS,
    Envelope,
    Record,
    Snapshot,
    decode_batch,
    encode_batch,
    record_position,
)
from sequoiapoint.state.outcome import Outcome

READ_BACK_TIMEOUT_S = 2.0


class StateMachine(Protocol):
    """A state that is built by applying a stream's records in order."""

    def apply(self, position: int, envelope: Envelope) -> Outcome:
        """Apply one record."""

    def to_json(self) -> dict[str, Any]:
        """Return the state for a snapshot."""


@dataclass(eq=False)
class PendingRecord:
    """A record that has not been read back yet.

    :param outcome: Set when the record is read back.
    """

    record: Record
    is_sent: bool = False
    outcome: Outcome | None = None


@dataclass(frozen=True)
class Applied:
    """A record that was read, with its pending record if this process appended it."""

    envelope: Envelope
    outcome: Outcome
    pending_record: PendingRecord | None


class LogClient:
    """The client state of one stream in one process; it does no I/O.

    :param state: The initial, empty state.
    :param restore: Builds a state from a snapshot.
    :param host: The host of this process.
    :param incarnation: The incarnation of this process.
    """

    def __init__(
        self,
        state: StateMachine,
        restore: Callable[[dict[str, Any]], StateMachine],
        host: str,
        incarnation: str,
    ) -> None:
        self._state = state
        self._restore = restore
        self._host = host
        self._incarnation = incarnation
        self._next_offset = 0
        self._sequence = 0
        self._queue: deque[PendingRecord] = deque()
        self._in_flight: dict[int, PendingRecord] = {}
        self._encoded_batch = b""
        self._retry_at = 0.0

    @property
    def state(self) -> Any:
        """Return the state after the records read so far."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Return the offset to read next."""
        return self._next_offset

    # Writing

    def submit(self, record: Record) -> PendingRecord:
        """Queue a record."""
        pending_record = PendingRecord(record)
        self._queue.append(pending_record)
        return pending_record

    def cancel(self, pending_record: PendingRecord) -> bool:
        """Remove a queued record.

        :return: Whether it has certainly never been sent.
        """
        if pending_record.is_sent:
            return False
        self._queue.remove(pending_record)
        return True

    def next_append(self, now: float) -> bytes | None:
        """Return the batch to append now, or None if there is nothing to append.

        :param now: The time, in seconds.
        """
        if self._in_flight:
            if now < self._retry_at:
                return None
        elif self._queue:
            self._encoded_batch = encode_batch(self._take_batch())
        else:
            return None
        self._retry_at = now + READ_BACK_TIMEOUT_S
        return self._encoded_batch

    def _take_batch(self) -> list[Envelope]:
        batch = []
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            pending_record = self._queue.popleft()
            pending_record.is_sent = True
            self._sequence += 1
            self._in_flight[self._sequence] = pending_record
            envelope = Envelope(
                self._host, self._incarnation, self._sequence, pending_record.record
            )
            batch.append(envelope)
        return batch

    # Reading

    def apply(self, offset: int, data: str) -> Iterator[Applied]:
        """Apply the records of one append, unless it was read before."""
        if offset < self._next_offset:
            return
        for index, envelope in enumerate(decode_batch(data)):
            outcome = self._state.apply(record_position(offset, index), envelope)
            yield Applied(envelope, outcome, self._complete(envelope, outcome))
        self._next_offset = offset + 1

    def _complete(self, envelope: Envelope, outcome: Outcome) -> PendingRecord | None:
        local_process = (self._host, self._incarnation)
        if (envelope.host, envelope.incarnation) != local_process:
            return None
        pending_record = self._in_flight.pop(envelope.sequence, None)
        if pending_record is not None:
            pending_record.outcome = outcome
        return pending_record

    # Snapshots

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the state after the records read so far."""
        return Snapshot(self._next_offset, self._state.to_json())

    def restore_if_newer(self, snapshot: Snapshot) -> bool:
        """Restore a snapshot if it is newer than the current state.

        :return: Whether the snapshot was restored.
        """
        if snapshot.next_offset <= self._next_offset:
            return False
        self._state = self._restore(snapshot.state)
        self._next_offset = snapshot.next_offset
        return True

"""A process's view of one stream: what it has read, and what it still has to append.

At most one batch is on its way.  A batch that is not read back in time is appended
again with the same sequence numbers, which the fold applies once.
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


class FoldedState(Protocol):
    """A state that is folded from a stream's records."""

    def apply(self, position: int, envelope: Envelope) -> Outcome:
        """Apply one record."""

    def to_json(self) -> dict[str, Any]:
        """Return the state for a snapshot."""


@dataclass(eq=False)
class PendingRecord:
    """A record that waits to be read back.

    :param outcome: Set once it was.
    """

    record: Record
    is_sent: bool = False
    outcome: Outcome | None = None


@dataclass(frozen=True)
class Applied:
    """A record that was read, and the ticket that waited for it."""

    envelope: Envelope
    outcome: Outcome
    pending_record: PendingRecord | None


class LogClient:
    """The reading and writing of one stream by one process; it does no I/O.

    :param state: The empty state.
    :param restore: Builds a state from a snapshot.
    :param host: The process's host.
    :param incarnation: The process.
    """

    def __init__(
        self,
        state: FoldedState,
        restore: Callable[[dict[str, Any]], FoldedState],
        host: str,
        incarnation: str,
    ) -> None:
        self._state = state
        self._restore = restore
        self._host = host
        self._incarnation = incarnation
        self._next_offset = 0
        self._sequence = 0
        self._waiting: deque[PendingRecord] = deque()
        self._in_flight: dict[int, PendingRecord] = {}
        self._batch = b""
        self._resend_at = 0.0

    @property
    def state(self) -> Any:
        """Return the state as far as it was read."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Return the offset to read next."""
        return self._next_offset

    # Writing

    def submit(self, record: Record) -> PendingRecord:
        """Queue a record."""
        ticket = PendingRecord(record)
        self._waiting.append(ticket)
        return ticket

    def cancel(self, ticket: PendingRecord) -> bool:
        """Take back a record.

        :return: Whether it was certainly never sent.
        """
        if ticket.is_sent:
            return False
        self._waiting.remove(ticket)
        return True

    def next_append(self, now: float) -> bytes | None:
        """Return the batch to append now, None where there is nothing to do.

        :param now: The time, in seconds.
        """
        if self._in_flight:
            if now < self._resend_at:
                return None
        elif self._waiting:
            self._batch = encode_batch(self._take_batch())
        else:
            return None
        self._resend_at = now + READ_BACK_TIMEOUT_S
        return self._batch

    def _take_batch(self) -> list[Envelope]:
        batch = []
        while self._waiting and len(batch) < MAX_BATCH_RECORDS:
            ticket = self._waiting.popleft()
            ticket.is_sent = True
            self._sequence += 1
            self._in_flight[self._sequence] = ticket
            envelope = Envelope(
                self._host, self._incarnation, self._sequence, ticket.record
            )
            batch.append(envelope)
        return batch

    # Reading

    def apply(self, offset: int, data: str) -> Iterator[Applied]:
        """Apply the records of one append; one that was read before is passed over."""
        if offset < self._next_offset:
            return
        for index, envelope in enumerate(decode_batch(data)):
            outcome = self._state.apply(record_position(offset, index), envelope)
            yield Applied(envelope, outcome, self._settle(envelope, outcome))
        self._next_offset = offset + 1

    def _settle(self, envelope: Envelope, outcome: Outcome) -> PendingRecord | None:
        me = (self._host, self._incarnation)
        if (envelope.host, envelope.incarnation) != me:
            return None
        ticket = self._in_flight.pop(envelope.sequence, None)
        if ticket is not None:
            ticket.outcome = outcome
        return ticket

    # Snapshots

    def snapshot(self) -> Snapshot:
        """Return the state as far as it was read."""
        return Snapshot(self._next_offset, self._state.to_json())

    def restore_if_newer(self, snapshot: Snapshot) -> bool:
        """Take over a later state.

        :return: Whether it was later than the own one.
        """
        if snapshot.next_offset <= self._next_offset:
            return False
        self._state = self._restore(snapshot.state)
        self._next_offset = snapshot.next_offset
        return True

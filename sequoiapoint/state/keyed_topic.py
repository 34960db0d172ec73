"""A replica of a keyed topic of the platform's store, with the newest record by key."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import StoreRecord
from sequoiapoint.protocol.positions import era_of


@dataclass(frozen=True)
class TopicChange:
    """The changes made by a batch of records.

    :param updated: Records with a new value, in order.
    :param deleted: Deleted keys.
    """

    updated: tuple[StoreRecord, ...]
    deleted: tuple[str, ...]


def _keeps_none(known: StoreRecord, restored: StoreRecord | None) -> bool:
    """Take every record over as the store holds it."""
    return False


MAX_TOMBSTONES = 256
"""Number of tombstones kept for hosts that replicate from this one; a host that has
missed an older one must read the complete topic."""


class KeyedTopic:
    """A topic's records by key, replicated by offset from the store or another host."""

    def __init__(self) -> None:
        self._records: dict[str, StoreRecord] = {}
        self._tombstones: dict[str, StoreRecord] = {}
        self._end = -1
        self._tombstones_from = 0

    @property
    def is_known(self) -> bool:
        """Tell whether any state of the topic is known."""
        return self._end >= 0

    @property
    def end(self) -> int:
        """Return the position after the last known record; -1 if none is known."""
        return self._end

    @property
    def records(self) -> Mapping[str, StoreRecord]:
        """Return the newest record of each key."""
        return self._records

    def changes_since(self, offset: int) -> tuple[StoreRecord, ...] | None:
        """Return the newest records from an offset, including tombstones.

        :return: None if some tombstones since then have been discarded.
        """
        if offset < self._tombstones_from:
            return None
        records = (*self._records.values(), *self._tombstones.values())
        changed = [record for record in records if record.offset >= offset]
        return tuple(sorted(changed, key=lambda record: record.offset))

    def apply(self, records: Iterable[StoreRecord]) -> TopicChange:
        """Apply subsequent records; records that are already known have no effect."""
        newest: dict[str, StoreRecord] = {}
        for record in records:
            if record.offset >= self._end:
                newest.pop(record.key, None)
                newest[record.key] = record
                self._end = record.offset + 1
        deleted = [key for key, record in newest.items() if record.value is None]
        for key in deleted:
            self._records.pop(key, None)
            self._tombstones.pop(key, None)
            self._tombstones[key] = newest.pop(key)
        self._records |= newest
        for key in newest:
            self._tombstones.pop(key, None)
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = self._tombstones.pop(next(iter(self._tombstones)))
            self._tombstones_from = oldest.offset + 1
        return TopicChange(tuple(newest.values()), tuple(deleted))

    def replace(
        self,
        records: Iterable[StoreRecord],
        end: int,
        keeps: Callable[[StoreRecord, StoreRecord | None], bool] = _keeps_none,
    ) -> TopicChange:
        """Replace the state by a complete state of the topic.

        :param end: The position after the state's last record; a state that is older
            than the known one has no effect.
        :param keeps: Tells whether a known record is newer than the one of its key, or
            none, that the store holds after it has come back older.
        """
        if end < self._end:
            return TopicChange((), ())
        state = {record.key: record for record in records if record.value is not None}
        if self.is_known and era_of(end) > era_of(self._end):
            state |= {
                key: known
                for key, known in self._records.items()
                if keeps(known, state.get(key))
            }
        updated = tuple(
            record
            for key, record in state.items()
            if key not in self._records or self._records[key].offset < record.offset
        )
        deleted = tuple(key for key in self._records if key not in state)
        self._records = state
        self._tombstones = {}
        self._tombstones_from = self._end = end
        return TopicChange(updated, deleted)

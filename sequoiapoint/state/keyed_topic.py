"""The newest record of each key of one topic of the platform's store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import StoreRecord


@dataclass(frozen=True)
class TopicChange:
    """What a batch of records changed.

    :param updated: Records with a value, in order.
    :param deleted: Keys that are gone.
    """

    updated: tuple[StoreRecord, ...]
    deleted: tuple[str, ...]


MAX_TOMBSTONES = 256
"""Dropped keys that are remembered for hosts that follow; one that lags behind more
than these takes the whole topic."""


class KeyedTopic:
    """A topic that is folded by offset, from the store or from another host."""

    def __init__(self) -> None:
        self._records: dict[str, StoreRecord] = {}
        self._drops: dict[str, StoreRecord] = {}
        self._end = -1
        self._drops_known_from = 0

    @property
    def is_known(self) -> bool:
        """Tell whether any state of the topic has been seen."""
        return self._end >= 0

    @property
    def end(self) -> int:
        """Return the offset after the last record seen; -1 before any."""
        return self._end

    @property
    def records(self) -> Mapping[str, StoreRecord]:
        """Return the newest record of each key."""
        return self._records

    def changes_since(self, offset: int) -> tuple[StoreRecord, ...] | None:
        """Return the newest records from an offset, those that drop a key included.

        :return: None where some drops since then are not known any more.
        """
        if offset < self._drops_known_from:
            return None
        records = (*self._records.values(), *self._drops.values())
        changed = [record for record in records if record.offset >= offset]
        return tuple(sorted(changed, key=lambda record: record.offset))

    def apply(self, records: Iterable[StoreRecord]) -> TopicChange:
        """Fold records that follow; those already seen change nothing."""
        newest: dict[str, StoreRecord] = {}
        for record in records:
            if record.offset >= self._end:
                newest.pop(record.key, None)
                newest[record.key] = record
                self._end = record.offset + 1
        dropped = [key for key, record in newest.items() if record.value is None]
        for key in dropped:
            self._records.pop(key, None)
            self._drops.pop(key, None)
            self._drops[key] = newest.pop(key)
        self._records |= newest
        for key in newest:
            self._drops.pop(key, None)
        while len(self._drops) > MAX_TOMBSTONES:
            oldest = self._drops.pop(next(iter(self._drops)))
            self._drops_known_from = oldest.offset + 1
        return TopicChange(tuple(newest.values()), tuple(dropped))

    def replace(self, records: Iterable[StoreRecord], end: int) -> TopicChange:
        """Take a whole state of the topic in place of the one known.

        :param end: The offset after the state's last record; an older state than the
            one known changes nothing.
        """
        if end < self._end:
            return TopicChange((), ())
        state = {record.key: record for record in records if record.value is not None}
        updated = tuple(
            record
            for key, record in state.items()
            if key not in self._records or self._records[key].offset < record.offset
        )
        dropped = tuple(key for key in self._records if key not in state)
        self._records = state
        self._drops = {}
        self._drops_known_from = self._end = end
        return TopicChange(updated, dropped)

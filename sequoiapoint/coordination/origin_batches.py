"""Decides which origins of streams are written to the store, by whom and when.

Answers the loss of all hosts at one moment while two versions of a service serve.
Each call to the store has a price, and the store takes a few hundred writes a second
from all hosts together.  So the hosts of a zone hand their origins to one of them,
which writes them in batches: the calls grow with the zones, not with the hosts or
streams.  While one version serves, nothing is written.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.protocol.origins import OriginBatch, OriginGroup
from sequoiapoint.state.stream_origins import VERSION_HISTORY_S, StreamOrigin

MAX_STREAMS = 4096
"""Number of streams of one host whose origins it can hand over; 2 MB."""
UNFINISHED_S = VERSION_HISTORY_S
"""Time after its first event for which a stream counts that was not completed."""
COLLECT_S = 0.05
"""Time for which a host collects origins before it hands them over."""
WRITE_INTERVAL_S = 0.2
"""Minimum time between two writes of a zone."""
MAX_WRITES_PER_S = 100.0
"""Writes a second of all zones together: a quarter of the smallest limit of the
store."""
MAX_BATCH = 4096
"""Number of origins in a record, at most 0.2 of the largest record."""
MAX_MESSAGE = 64
"""Number of origins in one datagram, so that it fits into a packet."""
SLOTS = 160
"""Number of records of a zone; the oldest one is replaced by the next.  At the minimum
interval they go back for as long as callers wait for a stream."""


class _Progress(enum.IntEnum):
    """How far the origin of a stream has come."""

    NEW = 0
    HANDED_OVER = 1
    """Handed over while its process was not certain."""
    CERTAIN = 2
    """Handed over with a certain version; nothing is left to do."""


@dataclass
class _Stream:
    service: str
    origin: StreamOrigin
    began_at: float
    progress: _Progress = _Progress.NEW


class UnfinishedStreams:
    """The streams that this host has begun and not completed."""

    def __init__(self) -> None:
        self._streams: dict[bytes, _Stream] = {}
        self._writer = ""

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def add(self, key: bytes, service: str, origin: StreamOrigin, now: float) -> None:
        """Add a stream whose first event is about to be passed on."""
        self._streams.pop(key, None)
        self._streams[key] = _Stream(service, origin, now)
        while self._streams:
            oldest = next(iter(self._streams))
            is_over = now - self._streams[oldest].began_at > UNFINISHED_S
            if not is_over and len(self._streams) <= MAX_STREAMS:
                break
            del self._streams[oldest]

    def complete(self, key: bytes) -> None:
        """Forget a stream whose caller has received all of it."""
        self._streams.pop(key, None)

    def take(
        self,
        writer: str,
        has_versions: Callable[[str], bool],
        is_certain: Callable[[StreamOrigin], bool],
        now: float,
    ) -> list[OriginGroup]:
        """Return the origins to hand over now.

        A new writer gets all of them, as those that the former one had not written are
        lost.  An origin that was not certain is handed over again when it is: the
        process may be gone when the record is read.

        :param writer: The host that writes the records.
        :param has_versions: Tells whether several versions of a service serve.
        """
        is_new_writer, self._writer = writer != self._writer, writer
        taken: list[tuple[bytes, StreamOrigin, bool]] = []
        mixed: dict[str, bool] = {}
        for key, stream in self._streams.items():
            if now - stream.began_at > UNFINISHED_S:
                continue
            if is_new_writer:
                stream.progress = _Progress.NEW
            if stream.progress is _Progress.CERTAIN:
                continue
            if stream.service not in mixed:
                mixed[stream.service] = has_versions(stream.service)
            if not mixed[stream.service]:
                continue
            certain = is_certain(stream.origin)
            progress = _Progress.CERTAIN if certain else _Progress.HANDED_OVER
            if progress > stream.progress:
                stream.progress = progress
                taken.append((key, stream.origin, certain))
        pending = PendingOrigins()
        for key, origin, certain in taken:
            pending.add(key, origin.version, None if certain else origin)
        return list(pending.take(now, MAX_STREAMS).groups) if taken else []


def split(groups: Iterable[OriginGroup]) -> list[OriginBatch]:
    """Return batches that fit into one datagram each."""
    parts = [
        OriginGroup(
            group.version,
            group.streams[start : start + MAX_MESSAGE],
            group.server,
            group.connected_age_s,
        )
        for group in groups
        for start in range(0, len(group.streams), MAX_MESSAGE)
    ]
    batches: list[OriginBatch] = []
    count = MAX_MESSAGE
    for part in parts:
        if count + len(part.streams) > MAX_MESSAGE:
            batches.append(OriginBatch(()))
            count = 0
        batches[-1] = OriginBatch((*batches[-1].groups, part))
        count += len(part.streams)
    return batches


class PendingOrigins:
    """Origins that wait to be written, by the keys of their streams."""

    def __init__(self) -> None:
        # The process and the time of the connection to it, None if certain.
        self._pending: dict[bytes, tuple[str, tuple[Incarnation, float] | None]] = {}

    def __len__(self) -> int:
        """Return the number of origins."""
        return len(self._pending)

    def add(self, key: bytes, version: str, origin: StreamOrigin | None) -> None:
        """Add the origin of a stream.

        :param origin: None if the version is certain.
        """
        process = None if origin is None else (origin.server, origin.connected_at)
        self._put(key, version, process)

    def add_batch(self, batch: OriginBatch, now: float) -> None:
        """Add the origins that another host hands over.

        The age of a connection was measured before now, so the time that follows from
        it is never too early.
        """
        for group in batch.groups:
            process = None
            if group.server is not None:
                process = (group.server, now - group.connected_age_s)
            for key in group.streams:
                self._put(key, group.version, process)

    def _put(
        self, key: bytes, version: str, process: tuple[Incarnation, float] | None
    ) -> None:
        self._pending.pop(key, None)
        self._pending[key] = (version, process)
        while len(self._pending) > MAX_BATCH:
            del self._pending[next(iter(self._pending))]

    def take(self, now: float, written_ms: int) -> OriginBatch:
        """Return all origins as one batch, and forget them."""
        pending, self._pending = self._pending, {}
        groups: dict[tuple[str, Incarnation | None], list[bytes]] = {}
        newest: dict[tuple[str, Incarnation | None], float] = {}
        for key, (version, process) in pending.items():
            server, connected_at = process or (None, now)
            group = (version, server)
            groups.setdefault(group, []).append(key)
            newest[group] = max(connected_at, newest.get(group, connected_at))
        return OriginBatch(
            tuple(
                OriginGroup(version, tuple(keys), server, now - newest[version, server])
                for (version, server), keys in groups.items()
            ),
            written_ms,
        )


def write_interval_s(zones: int) -> float:
    """Return the time between two writes of a zone, in seconds."""
    return max(WRITE_INTERVAL_S, zones / MAX_WRITES_PER_S)


class SlotSequence:
    """Numbers the records of a zone so that each replaces the oldest one.

    It starts from the time of day: a host that takes over as the writer, or starts
    again, goes on about where the records end.  From then on it follows the monotonic
    clock, as the time of day may be set back.
    """

    def __init__(self) -> None:
        self._offset_ms: float | None = None
        self._last = -1

    def next(self, now: float, now_ms: int) -> int:
        """Return the number of the next record.

        :param now: In seconds, on the monotonic clock.
        :param now_ms: Unix time, in milliseconds.
        """
        if self._offset_ms is None:
            self._offset_ms = now_ms - 1000 * now
        position = int((self._offset_ms + 1000 * now) / (1000 * WRITE_INTERVAL_S))
        self._last = max(position, self._last + 1)
        return self._last % SLOTS


def writer(
    own: str, is_aggregator: bool, relays: Iterable[str], reaches: Callable[[str], bool]
) -> str:
    """Return the host of the zone that writes its origins, "" if there is none.

    :param relays: The zone's relays, in order of precedence.
    :param reaches: Tells whether a relay reaches the store, by its own digests.
    """
    candidates = [own] if is_aggregator else []
    candidates += [relay for relay in relays if relay not in candidates]
    return next((host for host in candidates if reaches(host)), "")

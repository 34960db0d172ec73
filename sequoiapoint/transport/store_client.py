"""The client for all calls to the platform's store."""

import math
from collections.abc import Callable
from dataclasses import replace

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import GroupMembership, StoreRecord
from sequoiapoint.protocol.ports import HttpCall, StoreCodec
from sequoiapoint.protocol.positions import era_of, offset_of, position
from sequoiapoint.transport.async_http_client import ConnectionPool, Response, call
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.decision_log import DecisionLog
from sequoiapoint.transport.metrics import Metrics

CALL_TIMEOUT_S = 1.0
"""Timeout of a call, in addition to the time that it may wait at the store.  The store
usually responds within a few milliseconds, at its slowest within a few hundred."""
UNREACHABLE_AFTER_S = 0.5
"""Time for which calls must fail until the store counts as unreachable: a few retries
of a relay."""
ERA_CHANGED = "era_changed"
"""Reason of a failed read whose offset is of an earlier era of the store."""
EXPIRED_STATUS = 410
"""The status with which the store reports that it has deleted the records."""


class StoreClient:
    """Calls the store and tracks whether it is reachable, and its era.

    :param address: The store's IP address and port.
    :param codec: Encodes the calls and decodes the responses.
    :ivar era: The latest known era of the store; it rises each time the store comes
        back from an older copy.
    :ivar on_era_change: Called after the era has risen.
    :ivar era_changed_at: When it last rose, in seconds; -inf if it has not.
    """

    def __init__(
        self, address: str, codec: StoreCodec, metrics: Metrics, log: DecisionLog
    ) -> None:
        self._address = address
        self._codec = codec
        self._metrics = metrics
        self._log = log
        self._logged_skips: set[str] = set()
        self._pool = ConnectionPool(address)
        self._failing_since: float | None = None
        self.era = 0
        self._is_era_known = False
        self.on_era_change: list[Callable[[], None]] = []
        self.era_changed_at = -math.inf

    @property
    def codec(self) -> StoreCodec:
        """Return the codec of the store's calls."""
        return self._codec

    @property
    def is_reachable(self) -> bool:
        """Tell whether the store handles calls.

        A status of 200 or ``EXPIRED_STATUS`` counts as handled, any other does not.  A
        single failed call does not show that the store is unreachable: calls must have
        failed for ``UNREACHABLE_AFTER_S``.
        """
        return (
            self._failing_since is None
            or monotonic_s() - self._failing_since < UNREACHABLE_AFTER_S
        )

    async def newest(
        self, topic: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[list[StoreRecord], int] | Failure:
        """Return the latest record of each key, and the position to read from.

        :param timeout_s: The timeout of each page, in seconds.
        """
        records: list[StoreRecord] = []
        era: int | None = None
        start_offset: int | None = None
        after = None
        while True:
            response = await self._call(
                "newest", self._codec.newest_call(topic, after), timeout_s
            )
            if isinstance(response, Failure):
                return response
            try:
                page, end_offset, has_more = self._codec.decode_newest(
                    response.body, self._note_skipped
                )
            except ValueError as error:
                return self._failure("unreadable_answer", "newest", str(error))
            if era not in (None, self.era):
                return self._failure(ERA_CHANGED, "newest")
            era = self.era
            records += self._positioned(page)
            # The pages are not a snapshot.  Records written between them are not lost,
            # because reading continues from the end offset of the first page.
            start_offset = end_offset if start_offset is None else start_offset
            if not has_more or not page:
                return records, position(era, start_offset)
            after = page[-1].key

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> list[StoreRecord] | Failure:
        """Read the records from a position, waiting for the first one.

        The position must be of the store's present era.

        :param wait_s: The maximum time to wait at the store, in seconds.
        :param timeout_s: The timeout in addition to that time.
        """
        offset = offset_of(start)
        request = self._codec.read_call(topic, offset, wait_s)
        response = await self._call("read", request, wait_s + timeout_s)
        if isinstance(response, Failure):
            return response
        try:
            records = self._codec.decode_read(topic, offset, response.body)
        except ValueError as error:
            return self._failure("unreadable_answer", "read", str(error))
        if era_of(start) != self.era:
            return self._failure(ERA_CHANGED, "read")
        return self._positioned(records)

    async def put(self, topic: str, key: str, value: bytes) -> Failure | None:
        """Write one keyed record."""
        response = await self._call("put", self._codec.put_call(topic, key, value))
        return response if isinstance(response, Failure) else None

    async def join(
        self, group: str, topic: str, member: str, lease_s: float, generation: int
    ) -> GroupMembership | Failure:
        """Join a group, or renew the membership."""
        request = self._codec.join_call(group, topic, member, lease_s, generation)
        response = await self._call("join", request)
        if isinstance(response, Failure):
            return response
        try:
            membership = self._codec.decode_join(response.body, self._note_skipped)
            return replace(membership, era=self.era)
        except ValueError as error:
            return self._failure("unreadable_answer", "join", str(error))

    async def leave(self, group: str, member: str) -> Failure | None:
        """Leave a group."""
        response = await self._call("leave", self._codec.leave_call(group, member))
        return response if isinstance(response, Failure) else None

    async def _call(
        self, step: str, request: HttpCall, timeout_s: float = CALL_TIMEOUT_S
    ) -> Response | Failure:
        response = await call(self._pool, self._address, request, timeout_s)
        now = monotonic_s()
        if isinstance(response, Failure):
            self._note_failure(now)
            self._metrics.event(f"store_{step}_{response.reason}")
            return response
        if not self._is_current(response):
            self._metrics.event(f"store_{step}_late")
            return self._failure("late_era", step)
        if response.status == EXPIRED_STATUS:
            self._failing_since = None
            return self._failure("expired", step)
        if response.status != 200:
            self._note_failure(now)
            self._metrics.event(f"store_{step}_{response.status}")
            return self._failure(f"status_{response.status}", step)
        self._failing_since = None
        self._metrics.event(f"store_{step}_ok")
        return response

    def _is_current(self, response: Response) -> bool:
        """Tell whether a response is of the present era; note a new era.

        An era that cannot be read is logged once and taken for the present one.
        """
        try:
            era = self._codec.decode_era(response.headers)
        except ValueError as error:
            self._note_skipped(str(error))
            return True
        if era is not None:
            self.note_era(era)
        return era is None or era == self.era

    def note_era(self, era: int) -> None:
        """Note an era of the store, known from a response or from another host."""
        if era <= self.era and self._is_era_known:
            return
        previous, self.era = self.era, max(era, self.era)
        if self._is_era_known:
            self._log.event("store_era_changed", old=previous, new=era)
            self._metrics.event("store_era_changed")
            self.era_changed_at = monotonic_s()
        self._is_era_known = True
        for callback in self.on_era_change:
            callback()

    def _positioned(self, records: list[StoreRecord]) -> list[StoreRecord]:
        """Return records with their positions in place of the store's offsets."""
        if not self.era:
            return records
        return [replace(r, offset=position(self.era, r.offset)) for r in records]

    def _note_failure(self, now: float) -> None:
        if self._failing_since is None:
            self._failing_since = now

    def _note_skipped(self, reason: str) -> None:
        """Count a part of a response that cannot be read, and log it once."""
        self._metrics.event("store_row_unreadable")
        if reason not in self._logged_skips:
            self._logged_skips.add(reason)
            self._log.event("store_row_unreadable", peer=self._address, reason=reason)

    def _failure(self, reason: str, step: str, detail: str = "") -> Failure:
        return Failure(FailureKind.REFUSED, reason, step, self._address, detail)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

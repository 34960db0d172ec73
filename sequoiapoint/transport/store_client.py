"""Client of the platform's store: every call to it goes through here."""

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import GroupMembership, StoreRecord
from sequoiapoint.protocol.ports import HttpCall, StoreCodec
from sequoiapoint.transport.async_http_client import ConnectionPool, Response, call
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.metrics import Metrics

CALL_TIMEOUT_S = 1.0
"""Time for a call besides what it may wait at the store; the store's usual answer takes
some milliseconds, at its slowest some hundred."""
EXPIRED_STATUS = 410
"""The store's status for records that it has deleted."""


class StoreClient:
    """Calls to the store, and what is known of whether it answers.

    :param address: The store's IP number and port.
    """

    def __init__(self, address: str, codec: StoreCodec, metrics: Metrics) -> None:
        self._address = address
        self._codec = codec
        self._metrics = metrics
        self._pool = ConnectionPool(address)
        self.last_success_at = 0.0
        self.last_failure_at = -1e9

    @property
    def codec(self) -> StoreCodec:
        """Return the encoding of the store's calls."""
        return self._codec

    @property
    def is_reachable(self) -> bool:
        """Tell whether the newest outcome of a call was an answer."""
        return self.last_success_at > self.last_failure_at

    async def newest(self, topic: str) -> tuple[list[StoreRecord], int] | Failure:
        """Return the newest record of each key of a topic, and where to read on."""
        records: list[StoreRecord] = []
        first_end: int | None = None
        after = None
        while True:
            answer = await self._call("newest", self._codec.newest_call(topic, after))
            if isinstance(answer, Failure):
                return answer
            try:
                page, end, has_more = self._codec.decode_newest(answer.body)
            except (ValueError, KeyError, TypeError) as error:
                return self._failure("unreadable_answer", "newest", str(error))
            records += page
            # Pages are not a snapshot: what changes between them is read from here on.
            first_end = end if first_end is None else first_end
            if not has_more or not page:
                return records, first_end
            after = page[-1].key

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> list[StoreRecord] | Failure:
        """Read the records from an offset, waiting for the first."""
        request = self._codec.read_call(topic, offset, wait_s)
        answer = await self._call("read", request, wait_s + CALL_TIMEOUT_S)
        if isinstance(answer, Failure):
            return answer
        try:
            return self._codec.decode_read(topic, offset, answer.body)
        except ValueError as error:
            return self._failure("unreadable_answer", "read", str(error))

    async def put(self, topic: str, key: str, value: bytes) -> Failure | None:
        """Write one keyed record."""
        answer = await self._call("put", self._codec.put_call(topic, key, value))
        return answer if isinstance(answer, Failure) else None

    async def join(
        self, group: str, topic: str, member: str, lease_s: float, generation: int
    ) -> GroupMembership | Failure:
        """Join a group, or stay in it."""
        request = self._codec.join_call(group, topic, member, lease_s, generation)
        answer = await self._call("join", request)
        if isinstance(answer, Failure):
            return answer
        try:
            return self._codec.decode_join(answer.body)
        except (ValueError, KeyError, TypeError) as error:
            return self._failure("unreadable_answer", "join", str(error))

    async def leave(self, group: str, member: str) -> Failure | None:
        """Leave a group."""
        answer = await self._call("leave", self._codec.leave_call(group, member))
        return answer if isinstance(answer, Failure) else None

    async def _call(
        self, step: str, request: HttpCall, timeout_s: float = CALL_TIMEOUT_S
    ) -> Response | Failure:
        answer = await call(self._pool, self._address, request, timeout_s)
        now = monotonic_s()
        if isinstance(answer, Failure):
            self.last_failure_at = now
            self._metrics.event(f"store_{step}_{answer.reason}")
            return answer
        if answer.status == EXPIRED_STATUS:
            self.last_success_at = now
            return self._failure("expired", step)
        if answer.status != 200:
            self.last_failure_at = now
            self._metrics.event(f"store_{step}_{answer.status}")
            return self._failure(f"status_{answer.status}", step)
        self.last_success_at = now
        self._metrics.event(f"store_{step}_ok")
        return answer

    def _failure(self, reason: str, step: str, detail: str = "") -> Failure:
        return Failure(FailureKind.REFUSED, reason, step, self._address, detail)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

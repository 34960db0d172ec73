"""The threads that read and write one stream of the platform's log."""

import contextlib
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import Any

from sequoiapoint.coordination.log_client import (
    Applied,
    FoldedState,
    LogClient,
    PendingRecord,
)
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.records import Record, Snapshot, decode_batch
from sequoiapoint.state.outcome import Outcome
from sequoiapoint.transport import clock, http_client, logs

READ_WAIT_MS = 2_000
READ_TIMEOUT_S = 5.0
APPEND_TIMEOUT_S = 2.0
WRITE_POLL_S = 0.25
RETRY_PAUSE_S = 0.2


@dataclass(frozen=True)
class Writer:
    """The process that appends.

    :param zone: Its availability zone, which the platform is told.
    """

    host: str
    incarnation: str
    zone: str


class PendingAppend:
    """A record on its way into the log.

    :param stream: The stream that it was submitted to.
    :param ticket: The record.
    """

    def __init__(self, stream: "LogStream", ticket: PendingRecord) -> None:
        self._stream = stream
        self.ticket = ticket
        self.future: Future[Outcome] = Future()

    @property
    def is_done(self) -> bool:
        """Tell whether the record was read back."""
        return self.future.done()

    def result(self, timeout_s: float) -> Outcome | None:
        """Wait until the record was read back; None where that takes too long."""
        try:
            return self.future.result(timeout_s)
        except FutureTimeoutError:
            return None

    def cancel(self) -> bool:
        """Take the record back; return whether it was certainly never sent."""
        return self._stream.cancel(self)


OnApplied = Callable[[Applied], None]


class LogStream:
    """Follows and extends one stream.

    :param name: The stream's name.
    :param state: The empty state.
    :param restore: Builds a state from a snapshot.
    :param platform: The address of the platform.
    :param writer: This process.
    :param append_interval_s: Returns the least time between two appends, in seconds.
    :param on_applied: Told of every record that was read.
    :param fetch_peer_state: Returns a peer's state of the stream, or None.
    """

    def __init__(
        self,
        name: str,
        state: FoldedState,
        restore: Callable[[dict[str, Any]], FoldedState],
        platform: str,
        writer: Writer,
        append_interval_s: Callable[[], float],
        on_applied: OnApplied,
        fetch_peer_state: Callable[[str], dict[str, Any] | None],
    ) -> None:
        self._name = name
        self._client = LogClient(state, restore, writer.host, writer.incarnation)
        self._platform = platform
        self._zone = writer.zone
        self._append_interval_s = append_interval_s
        self._on_applied = on_applied
        self._fetch_peer_state = fetch_peer_state
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._submissions: dict[PendingRecord, PendingAppend] = {}
        self._is_complete = False
        self._read_at = float("-inf")
        self._snapshot_at = float("-inf")
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._follow, name=f"read-{name}", daemon=True),
            threading.Thread(target=self._write, name=f"write-{name}", daemon=True),
        ]

    def __enter__(self) -> "LogStream":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()

    @property
    def name(self) -> str:
        """Return the stream's name."""
        return self._name

    @property
    def is_complete(self) -> bool:
        """Tell whether everything up to a recent end of the log was read."""
        return self._is_complete

    @property
    def staleness_s(self) -> float:
        """Return the time since the platform last answered a read, in seconds."""
        return clock.monotonic_s() - self._read_at

    @property
    def snapshot_age_s(self) -> float:
        """Return the time since a snapshot was last appended, in seconds.

        It is infinite until one is seen to be appended: how old one is that was read
        on the way to the end of the log cannot be told.
        """
        return clock.monotonic_s() - self._snapshot_at

    @contextlib.contextmanager
    def state(self) -> Iterator[Any]:
        """Lend the state for the length of a block, in which nothing is applied."""
        with self._lock:
            yield self._client.state

    def submit(self, record: Record) -> PendingAppend:
        """Append a record."""
        with self._changed:
            submission = PendingAppend(self, self._client.submit(record))
            self._submissions[submission.ticket] = submission
            self._changed.notify_all()
        return submission

    def cancel(self, submission: PendingAppend) -> bool:
        """Take a record back; return whether it was certainly never sent."""
        with self._lock:
            is_cancelled = self._client.cancel(submission.ticket)
            if is_cancelled:
                del self._submissions[submission.ticket]
            return is_cancelled

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing was ever read from the stream."""
        return self._client.next_offset == 0

    def snapshot(self) -> Snapshot:
        """Return the state as it was read so far."""
        with self._lock:
            return self._client.snapshot()

    # Reading

    def _follow(self) -> None:
        while not self._stopped.is_set():
            if self._read_once():
                continue
            if not self._is_complete:
                self._adopt_from_peers()
            self._stopped.wait(RETRY_PAUSE_S)

    def _read_once(self) -> bool:
        """Read what follows; return whether that made sense."""
        start = self._client.next_offset
        wait_ms = READ_WAIT_MS if self._is_complete else 0
        page = self._read_page(start, wait_ms)
        if page is None:
            return False
        self._read_at = clock.monotonic_s()
        if page["first"] > start:
            return self._cross_gap(page)
        for offset, data in page["records"]:
            self._apply(offset, data)
        self._is_complete = self._client.next_offset >= page["next"]
        return True

    def _read_page(self, start: int, wait_ms: int = 0) -> dict[str, Any] | None:
        """Read records from an offset on, None where the platform is silent."""
        response = http_client.call(
            "GET",
            self._platform,
            f"/streams/{self._name}/records?from={start}&wait_ms={wait_ms}",
            step="log_read",
            headers={"X-Zone": self._zone},
            timeout_s=READ_TIMEOUT_S,
        )
        if isinstance(response, Failure) or response.status != 200:
            return None
        return response.json()

    def _cross_gap(self, page: dict[str, Any] | None) -> bool:
        """Get past records that the platform no longer keeps.

        :return: Whether a later state was adopted, after which reading goes on.
        """
        first = page["first"]
        if self._adopt_from_peers() and self._client.next_offset >= first:
            return True
        while page is not None and page["records"]:
            for _offset, data in page["records"]:
                for envelope in decode_batch(data):
                    if self._adopt_record(envelope.record, first):
                        return True
            page = self._read_page(page["records"][-1][0] + 1)
        return False

    def _adopt_record(self, record: Record, first: int) -> bool:
        """Adopt a snapshot that reaches up to the records that are kept."""
        if not isinstance(record, Snapshot) or record.next_offset < first:
            return False
        return self._adopt(record, "log")

    def _adopt_from_peers(self) -> bool:
        found = self._fetch_peer_state(self._name)
        if found is None:
            return False
        snapshot = Snapshot(found["next_offset"], found["state"])
        is_adopted = self._adopt(snapshot, "peer")
        if is_adopted:
            self._is_complete = True
        return is_adopted

    def _adopt(self, snapshot: Snapshot, source: str) -> bool:
        with self._lock:
            is_adopted = self._client.adopt(snapshot)
        if is_adopted:
            logs.event("snapshot_adopted", stream=self._name, source=source)
        return is_adopted

    def _apply(self, offset: int, data: str) -> None:
        """Apply the records of one append, and tell who waits for them."""
        with self._changed:
            results = list(self._client.apply(offset, data))
            has_snapshot = any(isinstance(r.envelope.record, Snapshot) for r in results)
            if has_snapshot and self._is_complete:
                self._snapshot_at = clock.monotonic_s()
            self._changed.notify_all()
        for result in results:
            self._on_applied(result)
            if result.ticket is not None:
                submission = self._submissions.pop(result.ticket)
                submission.future.set_result(result.outcome)

    # Writing

    def _write(self) -> None:
        while not self._stopped.is_set():
            data = self._next_append()
            if data is not None:
                self._append(data)
                self._stopped.wait(self._append_interval_s())

    def _next_append(self) -> bytes | None:
        with self._changed:
            data = self._client.next_append(clock.monotonic_s())
            if data is None:
                self._changed.wait(WRITE_POLL_S)
                data = self._client.next_append(clock.monotonic_s())
            return data

    def _append(self, data: bytes) -> None:
        """Append a batch; whether that worked is seen by reading on."""
        response = http_client.call(
            "POST",
            self._platform,
            f"/streams/{self._name}/append",
            step="log_append",
            body=data,
            headers={"X-Zone": self._zone},
            timeout_s=APPEND_TIMEOUT_S,
        )
        if isinstance(response, Failure) or response.status != 200:
            logs.event(
                "append_unanswered",
                "warning",
                stream=self._name,
                step="log_append",
                peer=self._platform,
                reason=_reason_of(response),
            )


def _reason_of(response: http_client.HttpResponse | Failure) -> str:
    if isinstance(response, Failure):
        return response.reason
    body = response.json()
    reason = body.get("reason") if isinstance(body, dict) else None
    return str(reason or response.status)


def snapshot_json(snapshot: Snapshot) -> dict[str, Any]:
    """Return a snapshot as a peer is given it."""
    return {"next_offset": snapshot.next_offset, "state": snapshot.state}

"""Reads and appends to one stream of the platform's log, in background threads."""

import contextlib
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import Any

from sequoiapoint.coordination.log_client import (
    Applied,
    LogClient,
    PendingRecord,
    StateMachine,
)
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.records import Record, Snapshot, decode_batch
from sequoiapoint.state.outcome import Outcome
from sequoiapoint.transport import clock, http_client, logs

READ_WAIT_MS = 2_000
READ_TIMEOUT_S = 5.0
APPEND_TIMEOUT_S = 2.0
WRITE_POLL_INTERVAL_S = 0.25
READ_RETRY_INTERVAL_S = 0.2


@dataclass(frozen=True)
class Writer:
    """The process that appends to a stream.

    :param host: Its entry host.
    :param incarnation: Identifies the process among those of the host.
    :param zone: Its availability zone, which is sent with requests to the platform.
    """

    host: str
    incarnation: str
    zone: str


class PendingAppend:
    """A record that was submitted to a stream and may not have been read back yet.

    :param stream: The stream that the record was submitted to.
    :param pending_record: The record in the log client's queue.
    """

    def __init__(self, stream: "LogStream", pending_record: PendingRecord) -> None:
        self._stream = stream
        self.pending_record = pending_record
        self.future: Future[Outcome] = Future()

    @property
    def is_done(self) -> bool:
        """Tell whether the record has been read back."""
        return self.future.done()

    def result(self, timeout_s: float) -> Outcome | None:
        """Wait for the outcome of the record; return None after the timeout."""
        try:
            return self.future.result(timeout_s)
        except FutureTimeoutError:
            return None

    def cancel(self) -> bool:
        """Cancel the append; return whether the record was certainly never sent."""
        return self._stream.cancel(self)


OnApplied = Callable[[Applied], None]


class LogStream:
    """Keeps a state up to date with one stream and appends records to the stream.

    :param name: The stream's name.
    :param state: The initial, empty state.
    :param restore: Builds a state from a snapshot.
    :param platform: The address of the platform.
    :param writer: This process.
    :param append_interval_s: Returns the minimum time between appends, in seconds.
    :param on_applied: Called with every record that is applied.
    :param fetch_peer_state: Returns a peer's state of the stream, or None.
    """

    def __init__(
        self,
        name: str,
        state: StateMachine,
        restore: Callable[[dict[str, Any]], StateMachine],
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
        self._pending_appends: dict[PendingRecord, PendingAppend] = {}
        self._is_complete = False
        self._last_read_at = float("-inf")
        self._last_snapshot_at = float("-inf")
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._read_loop, name=f"read-{name}", daemon=True),
            threading.Thread(
                target=self._write_loop, name=f"write-{name}", daemon=True
            ),
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
        """Tell whether the state has caught up with a recent end of the log."""
        return self._is_complete

    @property
    def staleness_s(self) -> float:
        """Return the time since the last successful read, in seconds."""
        return clock.monotonic_s() - self._last_read_at

    @property
    def snapshot_age_s(self) -> float:
        """Return the time since a snapshot was last appended, in seconds.

        It is infinite until a snapshot is read after the state has caught up, since
        the age of a snapshot that is read while catching up is unknown.
        """
        return clock.monotonic_s() - self._last_snapshot_at

    @contextlib.contextmanager
    def state(self) -> Iterator[Any]:
        """Give access to the state; no record is applied within the block."""
        with self._lock:
            yield self._client.state

    def submit(self, record: Record) -> PendingAppend:
        """Queue a record to be appended."""
        with self._changed:
            pending = PendingAppend(self, self._client.submit(record))
            self._pending_appends[pending.pending_record] = pending
            self._changed.notify_all()
        return pending

    def cancel(self, pending: PendingAppend) -> bool:
        """Cancel an append; return whether the record was certainly never sent."""
        with self._lock:
            is_cancelled = self._client.cancel(pending.pending_record)
            if is_cancelled:
                del self._pending_appends[pending.pending_record]
            return is_cancelled

    @property
    def is_empty(self) -> bool:
        """Tell whether no record or snapshot has been applied."""
        return self._client.next_offset == 0

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the current state."""
        with self._lock:
            return self._client.snapshot()

    # Reading

    def _read_loop(self) -> None:
        while not self._stopped.is_set():
            if self._read_once():
                continue
            if not self._is_complete:
                self._adopt_from_peers()
            self._stopped.wait(READ_RETRY_INTERVAL_S)

    def _read_once(self) -> bool:
        """Read and apply the next page; return whether that succeeded."""
        start = self._client.next_offset
        wait_ms = READ_WAIT_MS if self._is_complete else 0
        page = self._read_page(start, wait_ms)
        if page is None:
            return False
        self._last_read_at = clock.monotonic_s()
        if page["first"] > start:
            return self._skip_gap(page)
        for offset, data in page["records"]:
            self._apply(offset, data)
        self._is_complete = self._client.next_offset >= page["next"]
        return True

    def _read_page(self, start: int, wait_ms: int = 0) -> dict[str, Any] | None:
        """Read records from an offset on; return None if the read fails."""
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

    def _skip_gap(self, page: dict[str, Any] | None) -> bool:
        """Skip records that the platform no longer keeps by adopting a later state.

        :return: Whether a later state was adopted, from which reading continues.
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
        """Adopt a snapshot that covers all records before the first kept one."""
        if not isinstance(record, Snapshot) or record.next_offset < first:
            return False
        return self._adopt(record, "log")

    def _adopt_from_peers(self) -> bool:
        peer_state = self._fetch_peer_state(self._name)
        if peer_state is None:
            return False
        snapshot = Snapshot(peer_state["next_offset"], peer_state["state"])
        is_adopted = self._adopt(snapshot, "peer")
        if is_adopted:
            self._is_complete = True
        return is_adopted

    def _adopt(self, snapshot: Snapshot, source: str) -> bool:
        with self._lock:
            is_adopted = self._client.restore_if_newer(snapshot)
        if is_adopted:
            logs.event("snapshot_adopted", stream=self._name, source=source)
        return is_adopted

    def _apply(self, offset: int, data: str) -> None:
        """Apply the records of one append and complete those that were pending."""
        with self._changed:
            results = list(self._client.apply(offset, data))
            has_snapshot = any(isinstance(r.envelope.record, Snapshot) for r in results)
            if has_snapshot and self._is_complete:
                self._last_snapshot_at = clock.monotonic_s()
            self._changed.notify_all()
        for result in results:
            self._on_applied(result)
            if result.pending_record is not None:
                pending = self._pending_appends.pop(result.pending_record)
                pending.future.set_result(result.outcome)

    # Writing

    def _write_loop(self) -> None:
        while not self._stopped.is_set():
            data = self._next_append()
            if data is not None:
                self._append(data)
                self._stopped.wait(self._append_interval_s())

    def _next_append(self) -> bytes | None:
        with self._changed:
            data = self._client.next_append(clock.monotonic_s())
            if data is None:
                self._changed.wait(WRITE_POLL_INTERVAL_S)
                data = self._client.next_append(clock.monotonic_s())
            return data

    def _append(self, data: bytes) -> None:
        """Append a batch; reading it back later confirms that it was appended."""
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
                reason=_failure_reason(response),
            )


def _failure_reason(response: http_client.HttpResponse | Failure) -> str:
    if isinstance(response, Failure):
        return response.reason
    body = response.json()
    reason = body.get("reason") if isinstance(body, dict) else None
    return str(reason or response.status)


def snapshot_json(snapshot: Snapshot) -> dict[str, Any]:
    """Return the JSON form of a snapshot that is sent to peers."""
    return {"next_offset": snapshot.next_offset, "state": snapshot.state}

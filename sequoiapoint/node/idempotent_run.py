"""Runs requests that have an idempotency key, at most once for each key.

A host claims the key in the log before it sends the request to a backend server, and
writes the outcome to the log afterwards.
"""

import base64
import queue
import threading
import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import pydantic

from sequoiapoint.coordination import rendezvous
from sequoiapoint.coordination.claims import ClaimDecision, decide
from sequoiapoint.node.context import RequestContext
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.member import Member
from sequoiapoint.protocol.outcomes import ErrorResponse, Reason, RequestOutcome
from sequoiapoint.protocol.peers import (
    BadMessageError,
    ClaimCall,
    Reply,
    decode_reply,
    encode_call,
)
from sequoiapoint.protocol.records import KeyClaimed, KeySettled, keys_stream
from sequoiapoint.state.keys import KeyEntry
from sequoiapoint.transport import clock
from sequoiapoint.transport.peer_link import call_peer

CLAIM_TIMEOUT_S = 4.0
CLAIM_TIMEOUT_SHARE = 0.6
"""Share of the time to the deadline that a claim may take."""
BATCHERS_PER_ZONE = 2
"""Number of hosts of a zone that append claims, which bounds the append rate."""
MAX_HOSTS_TRIED = 4
MAX_STORED_RESPONSE_BYTES = 4_096
RUNNING_RETRY_AFTER_S = 1.0
LOG_UNAVAILABLE_RETRY_AFTER_S = 2.0
SETTLE_RETRY_INTERVAL_S = 1.0

_KEY_RECORD = pydantic.TypeAdapter(KeyClaimed | KeySettled)


@dataclass(frozen=True)
class ServiceResponse:
    """The response of a plain service."""

    status: int
    content_type: str
    body: bytes


Result = ServiceResponse | ErrorResponse


@dataclass(frozen=True)
class IdempotencyKey:
    """An idempotency key that a caller gave.

    :param key: The key, prefixed with the names of the caller and the service.
    :param expires_at_ms: When the caller stops retrying, in ms since 1970.
    :param body_hash: A hash that is the same for all retries of the request.
    """

    key: str
    expires_at_ms: int
    body_hash: str


@dataclass(frozen=True)
class _Settlement:
    """An outcome that has not yet been written to the log."""

    home_zone: str
    record: KeySettled
    expires_at_ms: int


class IdempotentRuns:
    """Runs requests whose idempotency keys this host claims.

    :param runtime: The shared state of the process.
    """

    def __init__(self, runtime: HostRuntime) -> None:
        self._runtime = runtime
        self._settlements: queue.Queue[_Settlement] = queue.Queue()
        threading.Thread(
            target=self._settle_in_background, name="settle-keys", daemon=True
        ).start()

    def run(
        self,
        key: IdempotencyKey,
        home_zone: str,
        context: RequestContext,
        execute: Callable[[], Result],
    ) -> Result:
        """Run a request, unless its key has already been claimed.

        :param home_zone: The zone that records the key.
        :param execute: Sends the request to a backend server, at most once.
        """
        error_response = self._check_expiry(key)
        if error_response is not None:
            return error_response
        nonce = uuid.uuid4().hex
        with self._runtime.coordination() as coordination:
            coordination.claims.register(nonce)
        claim = KeyClaimed(
            key=key.key,
            host=self._runtime.settings.host,
            incarnation=self._runtime.incarnation,
            expires_at_ms=key.expires_at_ms,
            claimed_at_ms=clock.wall_ms(),
            body_hash=key.body_hash,
            nonce=nonce,
        )
        timeout_s = min(CLAIM_TIMEOUT_S, context.remaining_s() * CLAIM_TIMEOUT_SHARE)
        entry = self._submit(home_zone, claim, timeout_s)
        self._record(context, "key_claimed", entry)
        if isinstance(entry, Failure):
            return self._abandon(key, home_zone, nonce, entry)
        is_claimant_alive = self._is_claimant_alive(entry)
        decision = decide(entry, nonce, key.body_hash, is_claimant_alive)
        if decision is ClaimDecision.DISPATCH:
            return self._dispatch(key, home_zone, nonce, execute)
        with self._runtime.coordination() as coordination:
            coordination.claims.remove(nonce)
        return _response_from_entry(decision, entry)

    def _check_expiry(self, key: IdempotencyKey) -> ErrorResponse | None:
        now_ms = clock.wall_ms()
        if key.expires_at_ms <= now_ms:
            return ErrorResponse(Reason.KEY_EXPIRED, "the key's time is over")
        window_s = self._runtime.settings.limits.key_window_s
        if key.expires_at_ms > now_ms + window_s * 1000:
            detail = f"a key may live for {window_s:.0f} s at most"
            return ErrorResponse(Reason.BAD_REQUEST, detail)
        return None

    def _dispatch(
        self,
        key: IdempotencyKey,
        home_zone: str,
        nonce: str,
        execute: Callable[[], Result],
    ) -> Result:
        """Run the request whose claim won the key."""
        with self._runtime.coordination() as coordination:
            may_run = coordination.claims.dispatch(nonce)
        if not may_run:
            return ErrorResponse(
                Reason.KEY_RUNNING,
                "claimed twice",
                RUNNING_RETRY_AFTER_S,
            )
        result = execute()
        self._enqueue_settlement(home_zone, _settlement_record(key, nonce, result), key)
        return result

    def _abandon(
        self, key: IdempotencyKey, home_zone: str, nonce: str, failure: Failure
    ) -> ErrorResponse:
        """Reject a request whose claim was not read back; it is never dispatched."""
        with self._runtime.coordination() as coordination:
            coordination.claims.abandon(nonce)
            if failure.kind is FailureKind.NOT_SENT:
                coordination.claims.remove(nonce)
        if failure.kind is not FailureKind.NOT_SENT:
            record = KeySettled(key=key.key, nonce=nonce, fate="not_run")
            self._enqueue_settlement(home_zone, record, key)
        return ErrorResponse(
            Reason.LOG_UNAVAILABLE, str(failure), LOG_UNAVAILABLE_RETRY_AFTER_S
        )

    def _is_claimant_alive(self, entry: KeyEntry) -> bool:
        if entry.host == self._runtime.settings.host:
            return entry.incarnation == self._runtime.incarnation
        with self._runtime.coordination() as coordination:
            return coordination.membership.is_incarnation_alive(
                entry.host, entry.incarnation, clock.monotonic_s()
            )

    # Appending claims in the zone that records the key

    def _submit(
        self, home_zone: str, record: KeyClaimed | KeySettled, timeout_s: float
    ) -> KeyEntry | Failure:
        """Append a record in a zone; return the key's entry once it is read back."""
        failure = Failure(
            FailureKind.NOT_SENT,
            "no_batcher",
            "claim",
            home_zone,
            "zone unreached",
        )
        for batcher in self._batchers(home_zone, record.key):
            result = self._submit_via(batcher, home_zone, record, timeout_s)
            if isinstance(result, KeyEntry) or result.kind is not FailureKind.NOT_SENT:
                return result
            failure = result
        return failure

    def _submit_via(
        self,
        batcher: Member,
        home_zone: str,
        record: KeyClaimed | KeySettled,
        timeout_s: float,
    ) -> KeyEntry | Failure:
        """Append a record through one host."""
        if batcher.host == self._runtime.settings.host:
            return self.submit_locally(record, timeout_s)
        call = ClaimCall(keys_stream(home_zone), asdict(record), int(timeout_s * 1000))
        data = call_peer(batcher.peer_address, encode_call(call), "claim", timeout_s)
        if isinstance(data, Failure):
            return data
        try:
            reply = decode_reply(data)
        except BadMessageError as error:
            detail = str(error)
            kind = FailureKind.UNKNOWN
            return Failure(kind, "bad_reply", "claim", batcher.host, detail)
        if not reply.is_ok:
            kind = FailureKind(reply.data["kind"])
            return Failure(kind, reply.reason, "claim", batcher.host)
        return KeyEntry(**reply.data)

    def _batchers(self, home_zone: str, key: str) -> list[Member]:
        """Return the hosts to try in order, first the one that the key hashes to.

        The others are fallbacks for when it cannot be reached.  Any host of the zone
        may append; the order in the log decides between conflicting claims.
        """
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            members = coordination.membership.serving(now, home_zone)
        zone_key = f"batcher/{home_zone}"
        ranked = sorted(
            members, key=lambda m: rendezvous.score(zone_key, m.host), reverse=True
        )
        batchers = ranked[:BATCHERS_PER_ZONE]
        batchers.sort(key=lambda m: rendezvous.score(key, m.host), reverse=True)
        return batchers + ranked[BATCHERS_PER_ZONE:MAX_HOSTS_TRIED]

    def submit_locally(
        self, record: KeyClaimed | KeySettled, timeout_s: float
    ) -> KeyEntry | Failure:
        """Append a record to the stream of this host's zone and wait for its read-back.

        :return: The entry of the key, whichever claim won it, or the failure.
        """
        local_host = self._runtime.settings.host
        pending = self._runtime.keys.submit(record)
        outcome = pending.result(timeout_s)
        if outcome is None:
            is_unsent = pending.cancel()
            kind = FailureKind.NOT_SENT if is_unsent else FailureKind.UNKNOWN
            return Failure(kind, "log_timeout", "claim", local_host)
        with self._runtime.keys.state() as state:
            entry = state.get(record.key)
        if entry is not None:
            return entry
        reason = outcome.reason or "settled"
        return Failure(FailureKind.REFUSED, reason, "claim", local_host)

    def handle_claim_call(self, call: ClaimCall) -> Reply:
        """Handle a peer's call to append a claim or an outcome."""
        if call.stream != self._runtime.keys.name:
            return Reply(False, "other_zone", {"kind": FailureKind.NOT_SENT.value})
        try:
            record = _KEY_RECORD.validate_python(call.record)
        except pydantic.ValidationError:
            return Reply(False, "bad_record", {"kind": FailureKind.NOT_SENT.value})
        entry = self.submit_locally(record, call.timeout_ms / 1000.0)
        if isinstance(entry, Failure):
            return Reply(False, entry.reason, {"kind": entry.kind.value})
        return Reply(True, "", asdict(entry))

    # Outcomes

    def _enqueue_settlement(
        self, home_zone: str, record: KeySettled, key: IdempotencyKey
    ) -> None:
        self._settlements.put(_Settlement(home_zone, record, key.expires_at_ms))

    def _settle_in_background(self) -> None:
        """Write outcomes to the log in queue order; requeue those that fail.

        Outcomes whose key has expired are discarded.
        """
        while True:
            settlement = self._settlements.get()
            if clock.wall_ms() > settlement.expires_at_ms:
                continue
            entry = self._submit(
                settlement.home_zone, settlement.record, CLAIM_TIMEOUT_S
            )
            if isinstance(entry, Failure) and entry.kind is not FailureKind.REFUSED:
                self._settlements.put(settlement)
                threading.Event().wait(SETTLE_RETRY_INTERVAL_S)
                continue
            with self._runtime.coordination() as coordination:
                coordination.claims.remove(settlement.record.nonce)

    def _record(self, context: RequestContext, step: str, entry: Any) -> None:
        text = str(entry) if isinstance(entry, Failure) else entry.nonce
        self._runtime.journal.record(context.request_id, step, outcome=text)


def _response_from_entry(decision: ClaimDecision, entry: KeyEntry) -> Result:
    """Return the response for a key that an earlier request claimed."""
    if decision is ClaimDecision.REPLAY:
        body = base64.b64decode(entry.answer)
        return ServiceResponse(entry.status, entry.content_type, body)
    if decision is ClaimDecision.KEY_REUSED:
        return ErrorResponse(
            Reason.KEY_REUSED, "the key was used for a different request"
        )
    if decision is ClaimDecision.RUN_FAILED:
        return ErrorResponse(Reason.SERVER_ERROR, "its first run failed")
    if decision is ClaimDecision.RUNNING:
        return ErrorResponse(
            Reason.KEY_RUNNING,
            "it still runs",
            RUNNING_RETRY_AFTER_S,
        )
    return ErrorResponse(Reason.OUTCOME_UNKNOWN, "it may have run; it is not run again")


def _settlement_record(key: IdempotencyKey, nonce: str, result: Result) -> KeySettled:
    """Return the record that writes an outcome to the log."""
    if isinstance(result, ErrorResponse):
        fate_by_outcome = {
            RequestOutcome.REFUSED: "not_run",
            RequestOutcome.FAILED: "failed",
            RequestOutcome.UNKNOWN: "unknown",
        }
        return KeySettled(
            key=key.key, nonce=nonce, fate=fate_by_outcome[result.outcome]
        )
    is_small = len(result.body) <= MAX_STORED_RESPONSE_BYTES
    encoded_body = base64.b64encode(result.body).decode() if is_small else ""
    fate = "done" if is_small else "unknown"
    return KeySettled(
        key=key.key,
        nonce=nonce,
        fate=fate,
        status=result.status,
        content_type=result.content_type,
        answer=encoded_body,
    )

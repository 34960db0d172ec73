"""Runs a chat request from admission to its last token, retrying on other engines."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from sequoiapoint.coordination.admission import Rejected
from sequoiapoint.coordination.routing import Candidate, choose
from sequoiapoint.node.attempt import CALLER_GONE, Attempt, AttemptOutcome, Completed
from sequoiapoint.node.candidates import model_candidates
from sequoiapoint.node.context import RequestContext
from sequoiapoint.node.probe_slots import ProbeSlots
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.protocol.chat import ChatEvent, ChatRequest
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.outcomes import ErrorResponse, Reason
from sequoiapoint.transport import clock

MODEL_LOADING_RETRY_AFTER_S = 5.0
REFUSED_RETRY_AFTER_S = 1.0
PROBE_SLOT_POLL_S = 0.05
MAX_ATTEMPTS = 4
MAX_PREFIX_CHARACTERS = 256
"""Length of the key, model name and start of the prompt, by which requests that can
reuse an engine's cached state are sent to the same engine."""
POSSIBLE_CRASH_REASONS = frozenset({"connection", "cut_short"})
"""Failures of an attempt that may be caused by a crash of the server."""

REASONS_AFTER_POSSIBLE_RUN = {
    Reason.QUARANTINED: Reason.CRASHED_SERVERS,
    Reason.DEADLINE: Reason.DEADLINE_RUNNING,
}
"""The reasons that replace others once a server may have acted on the request."""


@dataclass
class _Progress:
    """The progress of a request over its attempts.

    :param position: The position of the next token to send to the caller.
    :param attempts: The number of attempts so far.
    :param tried_servers: The servers that failed or refused the request.
    :param lost_servers: The number of attempts with an unknown outcome, in which the
        server may have acted on the request.
    :param last_failure: The failure of the last attempt.
    """

    position: int = 0
    attempts: int = 0
    tried_servers: set[str] = field(default_factory=set)
    lost_servers: int = 0
    last_failure: Failure | None = None


class ChatRun:
    """Runs one chat request.

    :param runtime: The shared state of the process.
    :param probe_slots: Grants suspected requests exclusive use of a server.
    :param chat: The request.
    :param context: Its promise and deadline.
    :param fingerprint: A hash that is the same for retries by the caller.
    """

    def __init__(
        self,
        runtime: HostRuntime,
        probe_slots: ProbeSlots,
        chat: ChatRequest,
        context: RequestContext,
        fingerprint: str,
    ) -> None:
        self._runtime = runtime
        self._probe_slots = probe_slots
        self._chat = chat
        self._context = context
        self._fingerprint = fingerprint
        self._progress = _Progress()
        self._first_token_at: float | None = None

    def events(self) -> Iterator[ChatEvent | ErrorResponse]:
        """Yield the response's events, then an error response if it is incomplete."""
        with self._runtime.coordination() as coordination:
            coordination.retry_budget.record_request()
        while True:
            error_response = self._check_admissible()
            if error_response is not None:
                yield error_response
                return
            candidate = self._choose_server()
            if isinstance(candidate, ErrorResponse):
                yield candidate
                return
            outcome = yield from self._attempt(candidate)
            if isinstance(outcome, Completed):
                self._finish(candidate)
                return
            error_response = self._handle_failure(candidate, outcome)
            if error_response is not None:
                yield error_response
                return

    # Before an attempt

    def _check_admissible(self) -> ErrorResponse | None:
        """Reject a request that is quarantined or past its deadline."""
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            if coordination.quarantine.is_quarantined(self._fingerprint, now):
                remaining_s = coordination.quarantine.remaining_s(
                    self._fingerprint, now
                )
                detail = "servers died while they ran this request"
                return self._error_response(Reason.QUARANTINED, detail, remaining_s)
        if self._context.remaining_s() <= 0:
            return self._error_response(Reason.DEADLINE, "the promise's time is over")
        return None

    def _choose_server(self) -> Candidate | ErrorResponse:
        """Choose a server and check that the request can be admitted to it."""
        candidates = model_candidates(
            self._runtime, self._chat.model, self._context.promise
        )
        if not candidates:
            detail = f"no copy of {self._chat.model!r} can take work yet"
            return self._error_response(
                Reason.MODEL_LOADING, detail, MODEL_LOADING_RETRY_AFTER_S
            )
        untried = [
            c for c in candidates if c.server not in self._progress.tried_servers
        ]
        prefix = f"{self._chat.model}\0{self._chat.messages[0].content}"
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            candidate = choose(
                untried,
                coordination.servers,
                self._runtime.settings.zone,
                prefix[:MAX_PREFIX_CHARACTERS],
                now,
                coordination.rng,
            )
            if candidate is None:
                return self._no_server_error()
            admission = coordination.admission.decide(
                self._chat.model,
                self._context.promise,
                self._chat.max_tokens - self._progress.position,
                self._context.remaining_s(),
                coordination.servers.load(candidate.server, now),
                now,
            )
        if isinstance(admission, Rejected):
            reason = Reason.OVERLOAD
            if admission.reason == "deadline":
                reason = Reason.DEADLINE
            detail = f"{candidate.server} cannot keep the promise"
            return self._error_response(reason, detail, admission.retry_after_s)
        return candidate

    def _no_server_error(self) -> ErrorResponse:
        last_failure = self._progress.last_failure
        if last_failure is None:
            return self._error_response(
                Reason.NO_SERVER, "no server is usable", REFUSED_RETRY_AFTER_S
            )
        retry_after_s = last_failure.retry_after_s or REFUSED_RETRY_AFTER_S
        return self._error_response(
            Reason.SERVERS_REFUSED, str(last_failure), retry_after_s
        )

    # Running an attempt

    def _attempt(self, candidate: Candidate) -> Iterator[ChatEvent]:
        """Run the request on one server and return the outcome of the attempt."""
        holder = self._context.request_id
        is_suspect = self._is_suspect()
        if is_suspect and not self._wait_for_probe_slot(candidate, holder):
            return Failure(
                FailureKind.REFUSED, "no_probe_turn", "probe_turn", candidate.server
            )
        self._record(
            "attempt", server=candidate.server, position=self._progress.position
        )
        self._progress.attempts += 1
        attempt = Attempt(
            candidate,
            self._chat,
            self._context,
            self._progress.attempts,
            self._progress.position,
        )
        with self._runtime.coordination() as coordination:
            coordination.servers.record_dispatch(candidate.server)
        dispatched_at = clock.monotonic_s()
        try:
            for event in attempt.events():
                self._record_token_latency(event, dispatched_at)
                self._progress.position = attempt.position
                yield event
        finally:
            with self._runtime.coordination() as coordination:
                coordination.servers.record_completion(candidate.server)
            if is_suspect:
                self._probe_slots.release(candidate.server, holder)
        self._record_possible_crash(candidate, attempt)
        return attempt.outcome

    def _is_suspect(self) -> bool:
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            return coordination.quarantine.is_suspect(self._fingerprint, now)

    def _wait_for_probe_slot(self, candidate: Candidate, holder: str) -> bool:
        """Wait for the slot that allows one suspected request at a time on a server."""
        while self._context.remaining_s() > 0:
            if self._probe_slots.acquire(candidate.server, holder):
                return True
            time.sleep(PROBE_SLOT_POLL_S)
        return False

    def _record_token_latency(self, event: ChatEvent, dispatched_at: float) -> None:
        """Update the latency estimates of admission from the times of the tokens."""
        now = clock.monotonic_s()
        if self._first_token_at is not None:
            if event.finish_reason and event.position > 1:
                mean = (now - self._first_token_at) / event.position
                with self._runtime.coordination() as coordination:
                    coordination.admission.observe_token(self._chat.model, mean)
            return
        self._first_token_at = now
        waited_s = now - self._context.started_at
        self._runtime.metrics.first_token(self._context.promise.name, waited_s)
        with self._runtime.coordination() as coordination:
            coordination.admission.observe_first_token(
                self._chat.model, now - dispatched_at, now
            )

    def _record_possible_crash(self, candidate: Candidate, attempt: Attempt) -> None:
        """Mark the request as suspect if it may have crashed its server."""
        outcome = attempt.outcome
        if not isinstance(outcome, Failure) or outcome.kind is not FailureKind.UNKNOWN:
            return
        if outcome.reason not in POSSIBLE_CRASH_REASONS:
            return
        incarnation = attempt.incarnation or self._last_known_incarnation(candidate)
        with self._runtime.coordination() as coordination:
            is_quarantined = coordination.quarantine.record_crash(
                self._fingerprint, incarnation, clock.monotonic_s()
            )
        self._runtime.urgent_gossip.set()
        self._runtime.metrics.event(
            "request_quarantined" if is_quarantined else "request_suspected"
        )
        self._record("server_lost", server=candidate.server, quarantined=is_quarantined)

    def _last_known_incarnation(self, candidate: Candidate) -> str:
        with self._runtime.control.state() as state:
            known = state.ledger.server(candidate.server).incarnation
        return known or candidate.server

    # After an attempt

    def _finish(self, candidate: Candidate) -> None:
        with self._runtime.coordination() as coordination:
            coordination.servers.record_success(candidate.server)
            coordination.quarantine.clear(self._fingerprint, clock.monotonic_s())

    def _handle_failure(
        self, candidate: Candidate, outcome: AttemptOutcome
    ) -> ErrorResponse | None:
        """Handle a failed attempt; return None if the request may be retried."""
        progress = self._progress
        progress.last_failure = outcome
        progress.tried_servers.add(candidate.server)
        self._record("attempt_failed", server=candidate.server, reason=outcome.reason)
        self._update_server_state(candidate, outcome)
        if outcome.reason == CALLER_GONE:
            return self._error_response(Reason.CALLER_GONE, "the caller went away")
        if outcome.kind is FailureKind.UNKNOWN:
            progress.lost_servers += 1
            if not self._context.promise.repeatable:
                return self._error_response(Reason.OUTCOME_UNKNOWN, str(outcome))
        if progress.attempts >= MAX_ATTEMPTS:
            return self._error_response(
                Reason.SERVERS_REFUSED, str(outcome), REFUSED_RETRY_AFTER_S
            )
        return self._acquire_retry(outcome)

    def _update_server_state(self, candidate: Candidate, failure: Failure) -> None:
        """Update what routing knows of the server from the failed attempt."""
        now = clock.monotonic_s()
        if failure.reason == "crossed_answer":
            self._runtime.metrics.dropped_response(failure.reason)
        with self._runtime.coordination() as coordination:
            if failure.reason == "leaving":
                coordination.servers.set_leaving(candidate.server, "refusal", True, now)
                self._runtime.urgent_gossip.set()
            elif (
                failure.kind is not FailureKind.REFUSED
                and failure.reason != CALLER_GONE
            ):
                coordination.servers.record_failure(candidate.server, now)

    def _acquire_retry(self, failure: Failure) -> ErrorResponse | None:
        """Acquire a retry from the retry budget.

        The first retry after a server is lost is always allowed.  It cannot multiply
        load, since there is at most one for each running request.
        """
        is_first_lost_server = (
            failure.kind is FailureKind.UNKNOWN and self._progress.lost_servers == 1
        )
        with self._runtime.coordination() as coordination:
            may_retry = is_first_lost_server or coordination.retry_budget.try_acquire()
        if not may_retry:
            return self._error_response(
                Reason.RETRY_BUDGET, str(failure), REFUSED_RETRY_AFTER_S
            )
        self._runtime.metrics.retry(failure.reason)
        return None

    def _error_response(
        self, reason: Reason, detail: str, retry_after_s: float | None = None
    ) -> ErrorResponse:
        """Return an error that never says "not run" if the request may have run."""
        if self._progress.lost_servers > 0 and reason.is_refusal:
            reason = REASONS_AFTER_POSSIBLE_RUN.get(reason, Reason.SERVER_LOST)
        return ErrorResponse(reason, detail, retry_after_s)

    def _record(self, step: str, **fields: object) -> None:
        self._runtime.journal.record(self._context.request_id, step, **fields)

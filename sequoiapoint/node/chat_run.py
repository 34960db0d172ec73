"""A chat request from admission to its last token, over as many engines as it takes."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from sequoiapoint.coordination.admission import Declined
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

MODEL_LOADING_RETRY_S = 5.0
REFUSED_RETRY_S = 1.0
SUSPECT_WAIT_S = 0.05
MAX_ATTEMPTS = 4
PREFIX_CHARACTERS = 256
DEATH_REASONS = frozenset({"connection", "cut_short"})
"""Ends of an attempt that may mean that the server died."""

AFTER_A_RUN = {
    Reason.QUARANTINED: Reason.CRASHED_SERVERS,
    Reason.DEADLINE: Reason.DEADLINE_RUNNING,
}
"""What a reason becomes once a server may have acted on the request."""


@dataclass
class _Progress:
    """How far a request has come.

    :param tried: The servers that failed or refused it.
    :param lost: How often a server was lost while it ran.
    """

    position: int = 0
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    lost: int = 0
    last: Failure | None = None


class ChatRun:
    """Runs one request.

    :param runtime: The process.
    :param probe_slots: Turns for suspects.
    :param chat: The request.
    :param context: Its promise and deadline.
    :param fingerprint: What a resend has in common with it.
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
        """Yield the answer's events; a verdict comes last where it is not whole."""
        with self._runtime.coordination() as coordination:
            coordination.retry_budget.record_request()
        while True:
            error_response = self._check()
            if error_response is not None:
                yield error_response
                return
            candidate = self._choose()
            if isinstance(candidate, ErrorResponse):
                yield candidate
                return
            end = yield from self._attempt(candidate)
            if isinstance(end, Completed):
                self._finish(candidate)
                return
            error_response = self._after(candidate, end)
            if error_response is not None:
                yield error_response
                return

    # Before an attempt

    def _check(self) -> ErrorResponse | None:
        """Decline what is in quarantine or late."""
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            if coordination.quarantine.is_quarantined(self._fingerprint, now):
                left_s = coordination.quarantine.remaining_s(self._fingerprint, now)
                detail = "servers died while they ran this request"
                return self._error_response(Reason.QUARANTINED, detail, left_s)
        if self._context.remaining_s() <= 0:
            return self._error_response(Reason.DEADLINE, "the promise's time is over")
        return None

    def _choose(self) -> Candidate | ErrorResponse:
        """Choose a server and ask for admission to it."""
        candidates = model_candidates(
            self._runtime, self._chat.model, self._context.promise
        )
        if not candidates:
            detail = f"no copy of {self._chat.model!r} can take work yet"
            return self._error_response(
                Reason.MODEL_LOADING, detail, MODEL_LOADING_RETRY_S
            )
        fresh = [c for c in candidates if c.server not in self._progress.tried]
        prefix = f"{self._chat.model}\0{self._chat.messages[0].content}"
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            candidate = choose(
                fresh,
                coordination.servers,
                self._runtime.settings.zone,
                prefix[:PREFIX_CHARACTERS],
                now,
                coordination.rng,
            )
            if candidate is None:
                return self._no_server()
            admission = coordination.admission.decide(
                self._chat.model,
                self._context.promise,
                self._chat.max_tokens - self._progress.position,
                self._context.remaining_s(),
                coordination.servers.load(candidate.server, now),
                now,
            )
        if isinstance(admission, Declined):
            reason = Reason.OVERLOAD
            if admission.reason == "deadline":
                reason = Reason.DEADLINE
            detail = f"{candidate.server} cannot keep the promise"
            return self._error_response(reason, detail, admission.retry_after_s)
        return candidate

    def _no_server(self) -> ErrorResponse:
        last = self._progress.last
        if last is None:
            return self._error_response(
                Reason.NO_SERVER, "no server is usable", REFUSED_RETRY_S
            )
        retry_s = last.retry_after_s or REFUSED_RETRY_S
        return self._error_response(Reason.SERVERS_REFUSED, str(last), retry_s)

    # The attempt

    def _attempt(self, candidate: Candidate) -> Iterator[ChatEvent]:
        """Run on one server; returns how it ended."""
        holder = self._context.request_id
        is_suspect = self._is_suspect()
        if is_suspect and not self._wait_for_turn(candidate, holder):
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
            coordination.servers.dispatched(candidate.server)
        sent_at = clock.monotonic_s()
        try:
            for event in attempt.events():
                self._observe(event, sent_at)
                self._progress.position = attempt.position
                yield event
        finally:
            with self._runtime.coordination() as coordination:
                coordination.servers.finished(candidate.server)
            if is_suspect:
                self._probe_slots.release(candidate.server, holder)
        self._note_death(candidate, attempt)
        return attempt.outcome

    def _is_suspect(self) -> bool:
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            return coordination.quarantine.is_suspect(self._fingerprint, now)

    def _wait_for_turn(self, candidate: Candidate, holder: str) -> bool:
        """Wait for the turn to run as the only suspect on a server."""
        while self._context.remaining_s() > 0:
            if self._probe_slots.acquire(candidate.server, holder):
                return True
            time.sleep(SUSPECT_WAIT_S)
        return False

    def _observe(self, event: ChatEvent, sent_at: float) -> None:
        """Learn from the times of the tokens."""
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
                self._chat.model, now - sent_at, now
            )

    def _note_death(self, candidate: Candidate, attempt: Attempt) -> None:
        """Suspect the request where its server may have died of it."""
        end = attempt.outcome
        if not isinstance(end, Failure) or end.kind is not FailureKind.UNKNOWN:
            return
        if end.reason not in DEATH_REASONS:
            return
        incarnation = attempt.incarnation or self._logged_incarnation(candidate)
        with self._runtime.coordination() as coordination:
            is_quarantined = coordination.quarantine.record_death(
                self._fingerprint, incarnation, clock.monotonic_s()
            )
        self._runtime.urgent_gossip.set()
        self._runtime.metrics.event(
            "request_quarantined" if is_quarantined else "request_suspected"
        )
        self._record("server_lost", server=candidate.server, quarantined=is_quarantined)

    def _logged_incarnation(self, candidate: Candidate) -> str:
        with self._runtime.control.state() as state:
            known = state.ledger.server(candidate.server).incarnation
        return known or candidate.server

    # After an attempt

    def _finish(self, candidate: Candidate) -> None:
        with self._runtime.coordination() as coordination:
            coordination.servers.succeeded(candidate.server)
            coordination.quarantine.clear(self._fingerprint)

    def _after(self, candidate: Candidate, end: AttemptOutcome) -> ErrorResponse | None:
        """Decide after a failed attempt; None means to try again."""
        progress = self._progress
        progress.last = end
        progress.tried.add(candidate.server)
        self._record("attempt_failed", server=candidate.server, reason=end.reason)
        self._learn(candidate, end)
        if end.reason == CALLER_GONE:
            return self._error_response(Reason.CALLER_GONE, "the caller went away")
        if end.kind is FailureKind.UNKNOWN:
            progress.lost += 1
            if not self._context.promise.repeatable:
                return self._error_response(Reason.OUTCOME_UNKNOWN, str(end))
        if progress.attempts >= MAX_ATTEMPTS:
            return self._error_response(
                Reason.SERVERS_REFUSED, str(end), REFUSED_RETRY_S
            )
        return self._budget(end)

    def _learn(self, candidate: Candidate, end: Failure) -> None:
        """Let routing know what the attempt showed of the server."""
        now = clock.monotonic_s()
        if end.reason == "crossed_answer":
            self._runtime.metrics.dropped_answer(end.reason)
        with self._runtime.coordination() as coordination:
            if end.reason == "leaving":
                coordination.servers.set_leaving(candidate.server, "refusal", True, now)
                self._runtime.urgent_gossip.set()
            elif end.kind is not FailureKind.REFUSED and end.reason != CALLER_GONE:
                coordination.servers.failed(candidate.server, now)

    def _budget(self, end: Failure) -> ErrorResponse | None:
        """Take the right to retry; the first resume after a loss is always given.

        A resume cannot multiply load: there is at most one for each running request.
        """
        is_first_loss = end.kind is FailureKind.UNKNOWN and self._progress.lost == 1
        with self._runtime.coordination() as coordination:
            may_retry = is_first_loss or coordination.retry_budget.try_acquire()
        if not may_retry:
            return self._error_response(Reason.RETRY_BUDGET, str(end), REFUSED_RETRY_S)
        self._runtime.metrics.retry(end.reason)
        return None

    def _error_response(
        self, reason: Reason, detail: str, retry_after_s: float | None = None
    ) -> ErrorResponse:
        """Return a verdict that does not say "not run" of what may have run."""
        if self._progress.lost > 0 and reason.is_refusal:
            reason = AFTER_A_RUN.get(reason, Reason.SERVER_LOST)
        return ErrorResponse(reason, detail, retry_after_s)

    def _record(self, step: str, **fields: object) -> None:
        self._runtime.journal.record(self._context.request_id, step, **fields)

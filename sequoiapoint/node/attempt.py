"""One attempt to run a chat request on one engine."""

import json
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

from sequoiapoint.coordination.routing import Candidate
from sequoiapoint.node.context import RequestContext
from sequoiapoint.protocol.chat import (
    DONE_EVENT,
    ChatEvent,
    ChatRequest,
    EventSplitter,
    parse_event,
)
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.transport import clock
from sequoiapoint.transport.http_client import (
    MAX_BODY_BYTES,
    HttpStream,
    failure_from_response,
)

STEP = "engine_request"
INTER_TOKEN_TIMEOUT_S = 3.0
"""Maximum time that an engine may take between two tokens."""
FIRST_TOKEN_TIMEOUT_SHARE = 0.6
"""Share of the remaining time that an engine may take for the first token."""
CALLER_GONE = "caller_gone"


@dataclass(frozen=True)
class Completed:
    """The engine sent the complete response."""


AttemptOutcome = Completed | Failure


class Attempt:
    """Runs a request on an engine, from its start or from a given token.

    :param candidate: The server to run it on.
    :param chat: The request.
    :param context: The promise, the deadline and the caller's connection.
    :param number: The ordinal of this attempt within the request, from 1.
    :param position: The first token that has not been sent to the caller.
    """

    def __init__(
        self,
        candidate: Candidate,
        chat: ChatRequest,
        context: RequestContext,
        number: int,
        position: int,
    ) -> None:
        self._candidate = candidate
        self._chat = chat
        self._context = context
        self._number = number
        self._position = position
        self._id = f"{uuid.uuid4().hex}-{number}"
        self._has_last_token = False
        self._repeated_tokens = 0
        self._incarnation = ""
        self._outcome: AttemptOutcome | None = None
        self._last_data_at = clock.monotonic_s()
        self._silence_timeout_s = max(
            INTER_TOKEN_TIMEOUT_S, context.remaining_s() * FIRST_TOKEN_TIMEOUT_SHARE
        )

    @property
    def position(self) -> int:
        """Return the position of the next token to send to the caller."""
        return self._position

    @property
    def incarnation(self) -> str:
        """Return the server's incarnation, empty until it has responded."""
        return self._incarnation

    @property
    def outcome(self) -> AttemptOutcome:
        """Return the outcome of the attempt, which is set once its events end."""
        assert self._outcome is not None
        return self._outcome

    def events(self) -> Iterator[ChatEvent]:
        """Yield the events of the response, each token once and in order."""
        body = self._chat.model_dump(exclude_none=True)
        body.update(stream=True, resume_from=self._position)
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": self._id,
            "X-Attempt": str(self._number),
            "X-Priority": str(self._context.promise.priority),
        }
        with HttpStream(
            "POST",
            self._candidate.address,
            "/v1/chat/completions",
            step=STEP,
            body=json.dumps(body).encode(),
            headers=headers,
            timeout_s=max(0.05, self._context.remaining_s()),
            single_use=True,
        ) as stream:
            yield from self._read(stream)

    def _read(self, stream: HttpStream) -> Iterator[ChatEvent]:
        splitter = EventSplitter()
        headers_checked = False
        error_body = bytearray()
        for data in stream.chunks(self._should_stop):
            self._last_data_at = clock.monotonic_s()
            if not headers_checked:
                if stream.response.status != 200:
                    error_body += data
                    if len(error_body) > MAX_BODY_BYTES:
                        self._outcome = stream.too_large_failure()
                        return
                    continue
                headers_checked = True
                self._outcome = self._check_headers(stream)
                if self._outcome is not None:
                    return
                self._silence_timeout_s = INTER_TOKEN_TIMEOUT_S
            for raw in splitter.feed(data):
                yield from self._process(raw)
                if self._outcome is not None:
                    return
            if splitter.is_too_large:
                self._outcome = self._failure("event_too_large")
                return
        if self._outcome is None:
            stream.response.body = bytes(error_body)
            self._outcome = self._classify_end(stream)

    def _check_headers(self, stream: HttpStream) -> Failure | None:
        """Check that the response belongs to this attempt."""
        headers = stream.response.headers
        expected = (self._id, str(self._number))
        if (headers.get("x-request-id"), headers.get("x-attempt")) != expected:
            return self._failure("crossed_answer")
        self._incarnation = headers.get("x-server-incarnation", "")
        return None

    def _process(self, raw: bytes) -> Iterator[ChatEvent]:
        """Process one event; skip tokens that the caller has already received."""
        if raw == DONE_EVENT:
            self._outcome = (
                Completed() if self._has_last_token else self._failure("cut_short")
            )
            return
        event = parse_event(raw)
        if event is None:
            self._outcome = self._failure("bad_event")
        elif event.request_id != self._id:
            self._outcome = self._failure("crossed_answer")
        elif event.position > self._position:
            self._outcome = self._failure("missing_token")
        elif self._is_surplus(event):
            self._outcome = self._failure("too_long")
        elif event.position == self._position:
            self._position += 1
            self._has_last_token = event.finish_reason is not None
            yield event

    def _is_surplus(self, event: ChatEvent) -> bool:
        """Tell whether the engine goes on beyond the tokens that the request allows.

        The event behind the last token has none, only the reason for the end.  An
        engine that begins anew repeats each token once at most.
        """
        self._repeated_tokens += event.position < self._position
        limit = self._chat.max_tokens
        return event.position > limit or self._repeated_tokens > limit

    def _should_stop(self) -> bool:
        """Tell whether to stop waiting for data, and set the outcome if so."""
        silence_s = clock.monotonic_s() - self._last_data_at
        if silence_s > self._silence_timeout_s:
            self._outcome = self._failure("silent")
            return True
        watched = self._context.watched
        if watched is not None and silence_s > 0 and watched.is_gone:
            self._outcome = self._failure(CALLER_GONE)
            return True
        return False

    def _classify_end(self, stream: HttpStream) -> AttemptOutcome:
        """Classify a response that ended without an explicit end event."""
        if stream.failure is not None:
            return stream.failure
        if stream.response.status != 200:
            return failure_from_response(stream.response, STEP, self._candidate.server)
        return self._failure("connection")

    def _failure(self, reason: str) -> Failure:
        return Failure(FailureKind.UNKNOWN, reason, STEP, self._candidate.server)

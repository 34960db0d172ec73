"""One attempt of a chat request on one engine."""

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
from sequoiapoint.transport.http_client import HttpStream, refusal_of
from sequoiapoint.transport.http_server import caller_has_gone

STEP = "engine_request"
TOKEN_TIMEOUT_S = 3.0
"""How long an engine may be silent between two tokens."""
FIRST_TOKEN_SHARE = 0.6
"""The share of the time left that an engine may take for its first token."""
CALLER_GONE = "caller_gone"


@dataclass(frozen=True)
class Completed:
    """The engine gave the rest of the answer."""


AttemptOutcome = Completed | Failure


class Attempt:
    """Runs a request, or the rest of it, on an engine.

    :param candidate: The server.
    :param chat: The request.
    :param context: The promise and the caller's connection.
    :param number: Counts the attempts of the request.
    :param position: The first token that the caller lacks.
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
        self._is_over = False
        self._incarnation = ""
        self._end: AttemptOutcome | None = None
        self._silent_since = clock.monotonic_s()
        self._silence_limit_s = max(
            TOKEN_TIMEOUT_S, context.remaining_s() * FIRST_TOKEN_SHARE
        )

    @property
    def position(self) -> int:
        """Return the next token that the caller lacks."""
        return self._position

    @property
    def incarnation(self) -> str:
        """Return the server's incarnation, empty until it has answered."""
        return self._incarnation

    @property
    def outcome(self) -> AttemptOutcome:
        """Return how the attempt ended, once its events are used up."""
        assert self._end is not None
        return self._end

    def events(self) -> Iterator[ChatEvent]:
        """Yield the events of the answer, each token once and in order."""
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
        is_checked = False
        for data in stream.chunks(self._should_stop):
            self._silent_since = clock.monotonic_s()
            if not is_checked:
                if stream.response.status != 200:
                    stream.response.body += data
                    continue
                is_checked = True
                self._end = self._check_headers(stream)
                if self._end is not None:
                    return
                self._silence_limit_s = TOKEN_TIMEOUT_S
            for raw in splitter.feed(data):
                yield from self._take(raw)
                if self._end is not None:
                    return
        if self._end is None:
            self._end = self._end_of(stream)

    def _check_headers(self, stream: HttpStream) -> Failure | None:
        """Check that the answer belongs to this attempt."""
        headers = stream.response.headers
        expected = (self._id, str(self._number))
        if (headers.get("x-request-id"), headers.get("x-attempt")) != expected:
            return self._failure("crossed_answer")
        self._incarnation = headers.get("x-server-incarnation", "")
        return None

    def _take(self, raw: bytes) -> Iterator[ChatEvent]:
        """Take one event; drop tokens that the caller already has."""
        if raw == DONE_EVENT:
            self._end = Completed() if self._is_over else self._failure("cut_short")
            return
        event = parse_event(raw)
        if event is None:
            self._end = self._failure("bad_event")
        elif event.request_id != self._id:
            self._end = self._failure("crossed_answer")
        elif event.position > self._position:
            self._end = self._failure("missing_token")
        elif event.position == self._position:
            self._position += 1
            self._is_over = event.finish_reason is not None
            yield event

    def _should_stop(self) -> bool:
        """Tell whether to stop waiting, and note why."""
        silence_s = clock.monotonic_s() - self._silent_since
        if silence_s > self._silence_limit_s:
            self._end = self._failure("silent")
            return True
        connection = self._context.connection
        if connection is not None and silence_s > 0 and caller_has_gone(connection):
            self._end = self._failure(CALLER_GONE)
            return True
        return False

    def _end_of(self, stream: HttpStream) -> AttemptOutcome:
        """Classify an answer that ended by itself."""
        if stream.failure is not None:
            return stream.failure
        if stream.response.status != 200:
            return refusal_of(stream.response, STEP, self._candidate.server)
        return self._failure("connection")

    def _failure(self, reason: str) -> Failure:
        return Failure(FailureKind.UNKNOWN, reason, STEP, self._candidate.server)

"""The HTTP interface for callers: chat completions and plain services."""

import json
import time
from collections.abc import Iterator

import pydantic
from werkzeug.wrappers import Request, Response

from sequoiapoint.node.candidates import is_known_model
from sequoiapoint.node.chat_run import ChatRun
from sequoiapoint.node.context import (
    RequestContext,
    build_context,
    fingerprint,
)
from sequoiapoint.node.idempotent_run import IdempotencyKey, IdempotentRuns, Result
from sequoiapoint.node.probe_slots import ProbeSlots
from sequoiapoint.node.responses import (
    error_body,
    json_response,
    render_error,
    set_done_headers,
)
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.node.service_run import ServiceRun
from sequoiapoint.protocol.chat import (
    DATA_PREFIX,
    DONE_EVENT,
    EVENT_END,
    ChatEvent,
    ChatRequest,
    describe_errors,
)
from sequoiapoint.protocol.document import Document, Service
from sequoiapoint.protocol.outcomes import ErrorResponse, Reason, RequestOutcome
from sequoiapoint.transport import clock, logs
from sequoiapoint.transport.http_server import CALLER_KEY

KEY_HEADER = "Idempotency-Key"
EXPIRES_HEADER = "Idempotency-Expires"
MAX_KEY_LENGTH = 128
DRAIN_RETRY_AFTER_S = 1.0
FORWARDED_HEADERS = ("Content-Type", "Accept", KEY_HEADER)


class CallerApp:
    """Handles requests from callers.

    :param runtime: The shared state of the process.
    :param idempotent_runs: Runs requests that have an idempotency key.
    :param probe_slots: Grants suspected requests exclusive use of a server.
    """

    def __init__(
        self,
        runtime: HostRuntime,
        idempotent_runs: IdempotentRuns,
        probe_slots: ProbeSlots,
    ) -> None:
        self._runtime = runtime
        self._idempotent_runs = idempotent_runs
        self._probe_slots = probe_slots

    def chat(self, request: Request, request_id: str) -> Response:
        """Handle a chat completions request."""
        started_at = clock.monotonic_s()
        prepared = self._prepare_chat(request, request_id)
        if isinstance(prepared, ErrorResponse):
            return self._respond_with_error(prepared, request_id, "", started_at)
        run, chat, context = prepared
        events = run.events()
        first = next(events)
        if isinstance(first, ErrorResponse):
            return self._respond_with_error(
                first, request_id, context.promise.name, started_at
            )
        if chat.stream:
            stream = self._stream(first, events, context)
            response = Response(stream, mimetype="text/event-stream")
            return set_done_headers(response, request_id)
        return self._collect(first, events, chat, context)

    def _prepare_chat(
        self, request: Request, request_id: str
    ) -> tuple[ChatRun, ChatRequest, RequestContext] | ErrorResponse:
        """Read and validate a chat request."""
        document = self._document()
        if isinstance(document, ErrorResponse):
            return document
        body = request.get_data()
        try:
            chat = ChatRequest.model_validate_json(body)
        except pydantic.ValidationError as error:
            return ErrorResponse(Reason.BAD_REQUEST, describe_errors(error))
        if not is_known_model(self._runtime, chat.model):
            return ErrorResponse(Reason.UNKNOWN_MODEL, f"no model {chat.model!r}")
        watched = request.environ.get(CALLER_KEY)
        default = _default_service_class(document)
        context = build_context(request, request_id, document, default, watched)
        if isinstance(context, ErrorResponse):
            return context
        digest = fingerprint(context.caller, chat.model, body)
        run = ChatRun(self._runtime, self._probe_slots, chat, context, digest)
        return run, chat, context

    def _document(self) -> Document | ErrorResponse:
        if self._runtime.is_draining.is_set():
            return ErrorResponse(
                Reason.DRAINING, "this host stops", DRAIN_RETRY_AFTER_S
            )
        document = self._runtime.document
        if document is None:
            detail = "no configuration was read yet"
            return ErrorResponse(Reason.NOT_READY, detail, DRAIN_RETRY_AFTER_S)
        return document

    def _stream(
        self,
        first: ChatEvent,
        rest: Iterator[ChatEvent | ErrorResponse],
        context: RequestContext,
    ) -> Iterator[bytes]:
        """Stream the events; an error after the first event is sent as an event."""
        outcome = RequestOutcome.FAILED
        try:
            yield _with_request_id(first, context.request_id)
            for event in rest:
                if isinstance(event, ErrorResponse):
                    self._record_error_response(event, context.request_id)
                    outcome = event.outcome
                    body = error_body(event, context.request_id)
                    yield DATA_PREFIX + json.dumps(body).encode() + EVENT_END
                    return
                yield _with_request_id(event, context.request_id)
            outcome = RequestOutcome.DONE
            yield DONE_EVENT + EVENT_END
        finally:
            rest.close()
            self._record_finished(outcome, context)

    def _collect(
        self,
        first: ChatEvent,
        rest: Iterator[ChatEvent | ErrorResponse],
        chat: ChatRequest,
        context: RequestContext,
    ) -> Response:
        """Return the complete response in one body, or only an error response."""
        texts = [first.text]
        finish_reason = first.finish_reason
        for event in rest:
            if isinstance(event, ErrorResponse):
                return self._respond_with_error(
                    event, context.request_id, context.promise.name, context.started_at
                )
            texts.append(event.text)
            finish_reason = event.finish_reason
        self._record_finished(RequestOutcome.DONE, context)
        message = {"role": "assistant", "content": "".join(texts)}
        body = {
            "id": context.request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": chat.model,
            "choices": [
                {"index": 0, "message": message, "finish_reason": finish_reason}
            ],
        }
        return set_done_headers(json_response(body), context.request_id)

    def service(
        self, request: Request, request_id: str, name: str, path: str
    ) -> Response:
        """Handle a request to a plain service."""
        started_at = clock.monotonic_s()
        result, service_class = self._run_service(request, request_id, name, path)
        if isinstance(result, ErrorResponse):
            return self._respond_with_error(
                result, request_id, service_class, started_at
            )
        self._runtime.metrics.request(
            RequestOutcome.DONE.value, service_class, clock.monotonic_s() - started_at
        )
        response = Response(
            result.body, result.status, content_type=result.content_type or None
        )
        return set_done_headers(response, request_id)

    def _run_service(
        self, request: Request, request_id: str, name: str, path: str
    ) -> tuple[Result, str]:
        """Read, validate and run a request.

        :return: Its result and the name of its service class, "" if that is unknown.
        """
        document = self._document()
        if isinstance(document, ErrorResponse):
            return document, ""
        service = next((s for s in document.services if s.name == name), None)
        if service is None:
            return ErrorResponse(Reason.UNKNOWN_SERVICE, f"no service {name!r}"), ""
        body = request.get_data()
        context = build_context(request, request_id, document, service.promise, None)
        if isinstance(context, ErrorResponse):
            return context, ""
        is_repeatable = context.promise.repeatable and _is_repeatable(document, service)
        key = self._key(request, context, service, body)
        if isinstance(key, ErrorResponse):
            return key, context.promise.name
        query = request.query_string.decode()
        run = ServiceRun(
            runtime=self._runtime,
            document=document,
            service=service,
            context=context,
            is_repeatable=is_repeatable,
            method=request.method,
            path=f"/{path}?{query}" if query else f"/{path}",
            headers={
                h: request.headers[h] for h in FORWARDED_HEADERS if h in request.headers
            },
            body=body,
        )
        if is_repeatable or key is None:
            return run.run(), context.promise.name
        result = self._idempotent_runs.run(key, service.home_zone, context, run.run)
        return result, context.promise.name

    def _key(
        self,
        request: Request,
        context: RequestContext,
        service: Service,
        body: bytes,
    ) -> IdempotencyKey | ErrorResponse | None:
        """Return the idempotency key, or None if the caller gave none."""
        given = request.headers.get(KEY_HEADER)
        if given is None:
            return None
        expires = request.headers.get(EXPIRES_HEADER, "")
        if not 0 < len(given) <= MAX_KEY_LENGTH or not given.isprintable():
            detail = f"{KEY_HEADER} has 1 to {MAX_KEY_LENGTH} printable characters"
            return ErrorResponse(Reason.BAD_REQUEST, detail)
        if not expires.isdigit():
            detail = f"{KEY_HEADER} needs {EXPIRES_HEADER} in seconds since 1970"
            return ErrorResponse(Reason.BAD_REQUEST, detail)
        target = f"{request.method} {request.full_path}"
        return IdempotencyKey(
            key=f"{context.caller}/{service.name}/{given}",
            expires_at_ms=int(expires) * 1000,
            body_hash=fingerprint(context.caller, target, body),
        )

    def _respond_with_error(
        self,
        error_response: ErrorResponse,
        request_id: str,
        service_class: str,
        started_at: float,
    ) -> Response:
        """Record an error response and return its HTTP response.

        :param service_class: The name of the request's service class, "" if unknown.
        """
        self._record_error_response(error_response, request_id)
        seconds = clock.monotonic_s() - started_at
        self._runtime.metrics.request(
            error_response.outcome.value, service_class, seconds
        )
        return render_error(error_response, request_id)

    def _record_error_response(
        self, error_response: ErrorResponse, request_id: str
    ) -> None:
        """Count, journal and log an error response.

        The metric counts it as a refusal, whatever its outcome; the journal's step is
        "verdict", the log event is "request_not_done", and its field "fate" is the
        outcome.
        """
        self._runtime.metrics.refusal(error_response.reason.label)
        self._runtime.journal.record(
            request_id,
            "verdict",
            reason=error_response.reason.label,
            detail=error_response.detail,
        )
        logs.event(
            "request_not_done",
            request_id=request_id,
            fate=error_response.outcome.value,
            reason=error_response.reason.label,
            detail=error_response.detail,
        )

    def _record_finished(
        self, outcome: RequestOutcome, context: RequestContext
    ) -> None:
        """Count and journal the outcome of a chat request with at least one event."""
        seconds = clock.monotonic_s() - context.started_at
        self._runtime.metrics.request(outcome.value, context.promise.name, seconds)
        self._runtime.journal.record(context.request_id, "finished", fate=outcome.value)


def _with_request_id(event: ChatEvent, request_id: str) -> bytes:
    """Return an event's bytes with the attempt's id replaced by the request id."""
    raw = event.raw.replace(event.request_id.encode(), request_id.encode(), 1)
    return raw + EVENT_END


def _default_service_class(document: Document) -> str:
    """Return the name of the default service class for chat requests.

    It is the first one that is repeatable, or the first one if none is.
    """
    repeatable = (p.name for p in document.promises if p.repeatable)
    return next(repeatable, document.promises[0].name)


def _is_repeatable(document: Document, service: Service) -> bool:
    """Tell whether the service class configured for a service is repeatable."""
    return any(p.repeatable for p in document.promises if p.name == service.promise)

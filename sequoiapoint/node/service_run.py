"""Runs a request to a plain service, with retries on other servers."""

from collections.abc import Mapping

from sequoiapoint.coordination.routing import Candidate, choose
from sequoiapoint.node.candidates import service_candidates
from sequoiapoint.node.context import RequestContext
from sequoiapoint.node.idempotent_run import Result, ServiceResponse
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.protocol.document import Document, Service
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.outcomes import ErrorResponse, Reason
from sequoiapoint.transport import clock, http_client

STEP = "service_request"
REFUSED_RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 3
MIN_SERVER_ERROR_STATUS = 500


class ServiceRun:
    """Runs one request to a plain service.

    :param is_repeatable: Whether it may be retried after it may have run.
    :param path: The path and query, relative to the service.
    """

    def __init__(
        self,
        runtime: HostRuntime,
        document: Document,
        service: Service,
        context: RequestContext,
        is_repeatable: bool,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        self._runtime = runtime
        self._document = document
        self._service = service
        self._context = context
        self._is_repeatable = is_repeatable
        self._method = method
        self._path = path
        self._headers = dict(headers)
        self._body = body
        self._tried_servers: set[str] = set()
        self._may_have_run = False

    def run(self) -> Result:
        """Send the request to one server after another until one accepts it.

        A request that is not repeatable is retried on another server only while it is
        certain that none has acted on it.
        """
        with self._runtime.coordination() as coordination:
            coordination.retry_budget.record_request()
        last_failure: Failure | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            if self._context.remaining_s() <= 0:
                return self._error_response(
                    Reason.DEADLINE, "the promise's time is over"
                )
            candidate = self._choose_server()
            if candidate is None:
                break
            outcome = self._attempt(candidate, number)
            if isinstance(outcome, ServiceResponse):
                return outcome
            last_failure = outcome
            error_response = self._handle_failure(candidate, outcome)
            if error_response is not None:
                return error_response
        if last_failure is None:
            detail = f"no server of {self._service.name!r} is usable"
            return self._error_response(Reason.NO_SERVER, detail, REFUSED_RETRY_AFTER_S)
        retry_after_s = last_failure.retry_after_s or REFUSED_RETRY_AFTER_S
        return self._error_response(
            Reason.SERVERS_REFUSED, str(last_failure), retry_after_s
        )

    def _choose_server(self) -> Candidate | None:
        candidates = service_candidates(
            self._runtime, self._document, self._service, self._context.promise
        )
        untried = [c for c in candidates if c.server not in self._tried_servers]
        with self._runtime.coordination() as coordination:
            return choose(
                untried,
                coordination.servers,
                self._runtime.settings.zone,
                self._context.request_id,
                clock.monotonic_s(),
                coordination.rng,
            )

    def _attempt(self, candidate: Candidate, number: int) -> ServiceResponse | Failure:
        self._record("attempt", server=candidate.server)
        with self._runtime.coordination() as coordination:
            coordination.servers.record_dispatch(candidate.server)
        headers = {**self._headers, "X-Request-Id": self._context.request_id}
        headers["X-Attempt"] = str(number)
        try:
            response = http_client.call(
                self._method,
                candidate.address,
                self._path,
                step=STEP,
                body=self._body if self._body or self._method != "GET" else None,
                headers=headers,
                timeout_s=max(0.05, self._context.remaining_s()),
                single_use=True,
            )
        finally:
            with self._runtime.coordination() as coordination:
                coordination.servers.record_completion(candidate.server)
        if isinstance(response, Failure):
            return response
        is_refused = http_client.NOT_EXECUTED_HEADER in response.headers
        if is_refused or response.status >= MIN_SERVER_ERROR_STATUS:
            return http_client.failure_from_response(response, STEP, candidate.server)
        with self._runtime.coordination() as coordination:
            coordination.servers.record_success(candidate.server)
        content_type = response.headers.get("content-type", "")
        return ServiceResponse(response.status, content_type, response.body)

    def _handle_failure(
        self, candidate: Candidate, failure: Failure
    ) -> ErrorResponse | None:
        """Handle a failed attempt; return None if another server may be tried."""
        self._tried_servers.add(candidate.server)
        self._record("attempt_failed", server=candidate.server, reason=failure.reason)
        with self._runtime.coordination() as coordination:
            if failure.reason == "leaving":
                now = clock.monotonic_s()
                coordination.servers.set_leaving(candidate.server, "refusal", True, now)
                self._runtime.urgent_gossip.set()
            elif failure.kind is not FailureKind.REFUSED:
                coordination.servers.record_failure(
                    candidate.server, clock.monotonic_s()
                )
        if failure.kind is FailureKind.UNKNOWN:
            self._may_have_run = True
            if not self._is_repeatable:
                return ErrorResponse(Reason.OUTCOME_UNKNOWN, str(failure))
        with self._runtime.coordination() as coordination:
            may_retry = coordination.retry_budget.try_acquire()
        if not may_retry:
            if self._may_have_run:
                return self._error_response(
                    Reason.RETRY_BUDGET, str(failure), REFUSED_RETRY_AFTER_S
                )
            return self._error_response(
                Reason.SERVERS_REFUSED, str(failure), REFUSED_RETRY_AFTER_S
            )
        self._runtime.metrics.retry(failure.reason)
        return None

    def _error_response(
        self, reason: Reason, detail: str, retry_after_s: float | None = None
    ) -> ErrorResponse:
        """Return an error that never says "not run" if the request may have run."""
        if self._may_have_run and reason.is_refusal:
            reason = Reason.SERVER_LOST
        return ErrorResponse(reason, detail, retry_after_s)

    def _record(self, step: str, **fields: object) -> None:
        self._runtime.journal.record(self._context.request_id, step, **fields)

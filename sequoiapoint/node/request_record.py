"""What is noted of one request for the log and the metrics."""

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.gateway import CallerRequest, Route, ServerEntry
from sequoiapoint.transport.async_http_server import Responder
from sequoiapoint.transport.clock import monotonic_s


def refuse(
    state: GatewayState,
    responder: Responder,
    request_id: str,
    reason: str,
    status: int,
    retry_after_s: float | None = None,
    **fields: object,
) -> None:
    """Give a final answer of the gateway's own."""
    headers = state.adapter.callers.refusal_headers(request_id, retry_after_s)
    responder.send_whole(int(status), headers)
    state.metrics.refusal(reason)
    state.log.event(
        "request_refused",
        reason,
        request=request_id,
        status=int(status),
        retry_after_s=None if retry_after_s is None else round(retry_after_s, 2),
        configuration=state.configuration.version if state.configuration else None,
        **fields,
    )


class RequestRecord:
    """The course of one request, for its last log line.

    :param arrived_s: When it arrived.
    :ivar sends: How often it has been sent.
    """

    def __init__(
        self,
        state: GatewayState,
        request: CallerRequest,
        route: Route,
        arrived_s: float,
    ) -> None:
        self._state = state
        self._request = request
        self._route = route
        self._arrived_s = arrived_s
        self._first_event_s: float | None = None
        self._last_event_at: float | None = None
        self._longest_gap_s = 0.0
        self.attempts = 0

    def record_event(self) -> None:
        """Note that an event has come; the pause before it counts for being on time."""
        now = monotonic_s()
        if self._last_event_at is None:
            self._first_event_s = now - self._arrived_s
            self._state.metrics.first_token(
                self._route.repeatability.value, self._first_event_s
            )
        else:
            gap_s = now - self._last_event_at
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_event_at = now

    def log_attempt(
        self, entry: ServerEntry, outcome: str, remaining_s: float, error: str
    ) -> None:
        """Log a send that did not bring the answer."""
        now = monotonic_s()
        load = self._state.loads.get_or_create(entry.incarnation)
        self._state.log.event(
            "attempt_failed",
            outcome,
            request=self._request.request_id,
            peer=entry.server,
            sends=self.attempts,
            load=round(load.running(now), 1),
            load_age_ms=round((now - load.reported_at) * 1000) if load.report else None,
            remaining_ms=round(remaining_s * 1000),
            error=error,
        )

    def log_end(self, outcome: str, waited_s: float, **fields: object) -> None:
        """Log and count the end of the request.

        :param waited_s: How long it has waited for servers in all.
        """
        elapsed_s = monotonic_s() - self._arrived_s
        self._state.metrics.request(outcome, self._route.repeatability.value, elapsed_s)
        if self._first_event_s is not None:
            fields["first_ms"] = round(self._first_event_s * 1000)
            fields["longest_gap_ms"] = round(self._longest_gap_s * 1000)
        if self._request.model:
            fields["model"] = self._request.model
            fields["adapter"] = self._request.adapter
        self._state.log.event(
            "request_ended",
            outcome,
            request=self._request.request_id,
            route=self._route.name,
            sends=self.attempts,
            waited_ms=round(waited_s * 1000),
            elapsed_ms=round(elapsed_s * 1000),
            **fields,
        )

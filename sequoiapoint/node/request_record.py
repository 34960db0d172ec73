"""Logging and metrics of a single request, and rejections."""

from dataclasses import dataclass
from functools import singledispatch

import xxhash

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.api_keys import key_label
from sequoiapoint.protocol.gateway import CallerRequest, Route, ServerEntry
from sequoiapoint.transport.async_http_server import Responder
from sequoiapoint.transport.clock import monotonic_s


def request_fingerprint(request: CallerRequest) -> int:
    """Return a number that identifies a request when its caller sends it again.

    Without a caller it is the number that earlier builds compute.
    """
    digest = xxhash.xxh64(request.target.encode())
    digest.update(request.model.encode())
    digest.update(request.body)
    caller = request.caller
    if caller:
        digest.update(b"\0" + caller)
    return digest.intdigest()


def quarantine_key(fingerprint: int) -> str:
    """Return the name of a request's fingerprint in the quarantine and in messages."""
    return f"{fingerprint:016x}"


@dataclass(frozen=True)
class Refusal:
    """An error response of the gateway itself.

    :param retry_after_s: The time after which the caller should retry, in seconds.
    """

    request_id: str
    reason: str
    status: int
    retry_after_s: float | None


@singledispatch
def send_refusal(responder: object, state: GatewayState, refusal: Refusal) -> None:
    """Send an error response: to a caller, unless the responder's type differs."""
    headers = state.adapter.callers.refusal_headers(
        refusal.request_id, refusal.retry_after_s
    )
    responder.send_response(refusal.status, headers)


def reject(
    state: GatewayState,
    responder: Responder,
    request_id: str,
    reason: str,
    status: int,
    retry_after_s: float | None = None,
    **fields: object,
) -> None:
    """Reject a request with an error response of the gateway; log and count it."""
    send_refusal(
        responder, state, Refusal(request_id, reason, int(status), retry_after_s)
    )
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
    """Collects the data for the log lines and metrics of one request.

    :param arrived_s: Arrival time of the request on the monotonic clock, in seconds.
    :ivar attempts: Number of times the request has been sent to a server.
    :ivar version: The software version of the server of the last attempt.
    :ivar limit_per_s: The limit known of the server of the last attempt, in requests a
        second; None without one.
    :ivar slowness: What the server of the last attempt stated, as a multiple of its
        usual time; None if nothing.
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
        self._time_to_first_event_s: float | None = None
        self._last_event_at: float | None = None
        self._longest_gap_s = 0.0
        self.attempts = 0
        self.version = ""
        self.limit_per_s: float | None = None
        self.slowness: float | None = None

    def record_event(self, now: float) -> None:
        """Record an event of the stream and the time since the one before.

        The time to the first event and the longest gap show whether the stream met its
        latency goals.
        """
        if self._last_event_at is None:
            self._time_to_first_event_s = now - self._arrived_s
            self._state.metrics.first_token(
                self._route.repeatability.value, self._time_to_first_event_s
            )
        else:
            gap_s = now - self._last_event_at
            if gap_s > self._longest_gap_s:
                self._longest_gap_s = gap_s
        self._last_event_at = now

    def request_fields(self) -> dict[str, str]:
        """Return what the caller asks for, for the log: a model, a stream to resume.

        With organisations, also the one for which it asks, with the label of the key.
        """
        request, fields = self._request, {}
        if request.model:
            fields |= {"model": request.model, "adapter": request.adapter}
        if request.last_event_id:
            fields |= {"resumes": request.resumes, "after": request.last_event_id}
        if request.organisation:
            key = key_label(request.key_digest)
            fields |= {"organisation": request.organisation, "key": key}
        return fields

    def log_attempt(
        self, entry: ServerEntry, outcome: str, remaining_s: float, error: str
    ) -> None:
        """Log an attempt that did not deliver a response."""
        now = monotonic_s()
        load = self._state.loads.get_or_create(entry.incarnation)
        self._state.log.event(
            "attempt_failed",
            outcome,
            request=self._request.request_id,
            peer=entry.server,
            version=entry.version,
            sends=self.attempts,
            load=round(load.running(now), 1),
            load_age_ms=round((now - load.reported_at) * 1000) if load.report else None,
            remaining_ms=round(remaining_s * 1000),
            error=error,
            **self._speed_fields(entry, now),
        )

    def _speed_fields(self, entry: ServerEntry, now: float) -> dict[str, float]:
        """Return the estimated slowness of a server, if it states any."""
        slowness = self._state.speeds.slowness(entry.incarnation, now)
        return {} if slowness is None else {"slowness": round(slowness, 2)}

    def log_end(self, outcome: str, waited_s: float, **fields: object) -> None:
        """Log and count the end of the request.

        :param waited_s: Total time that it waited for a server, in seconds.
        """
        elapsed_s = monotonic_s() - self._arrived_s
        self._state.metrics.request(outcome, self._route.repeatability.value, elapsed_s)
        if self._time_to_first_event_s is not None:
            fields["first_ms"] = round(self._time_to_first_event_s * 1000)
            fields["longest_gap_ms"] = round(self._longest_gap_s * 1000)
        if self._route.is_stream and self.version:
            fields["version"] = self.version
        if self.slowness is not None:
            fields["slowness"] = round(self.slowness, 2)
        if self.limit_per_s is not None:
            fields["limit_per_s"] = self.limit_per_s
        self._state.log.event(
            "request_ended",
            outcome,
            request=self._request.request_id,
            route=self._route.name,
            sends=self.attempts,
            waited_ms=round(waited_s * 1000),
            elapsed_ms=round(elapsed_s * 1000),
            **self.request_fields(),
            **fields,
        )

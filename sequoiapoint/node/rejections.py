"""Responses to requests that are rejected before an application sees them."""

import http

from sequoiapoint.node.context import usable_request_id
from sequoiapoint.node.responses import REQUEST_ID_HEADER, render_error
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.protocol.outcomes import ErrorResponse, Reason
from sequoiapoint.protocol.ports import Headers
from sequoiapoint.transport import logs
from sequoiapoint.transport.async_http_server import RETRY_AFTER_S, Rejection

REASONS = {
    http.HTTPStatus.BAD_REQUEST: Reason.BAD_REQUEST,
    http.HTTPStatus.REQUEST_TIMEOUT: Reason.BODY_TOO_SLOW,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Reason.BODY_TOO_LARGE,
    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: Reason.HEAD_TOO_LARGE,
    http.HTTPStatus.SERVICE_UNAVAILABLE: Reason.CALLER_MEMORY,
}
"""By status; each guarantees that the request has not run."""
RETRIED = (Reason.BODY_TOO_SLOW, Reason.CALLER_MEMORY)


def error_response(rejection: Rejection) -> ErrorResponse:
    """Return the error response to a rejected request."""
    reason = REASONS[rejection.status]
    if rejection.is_incomplete:
        reason = Reason.BODY_INCOMPLETE
    detail = "the request was not received completely, or not accepted"
    retry_after_s = float(RETRY_AFTER_S) if reason in RETRIED else None
    return ErrorResponse(reason, detail, retry_after_s)


class RejectionRenderer:
    """Records rejected requests and renders their responses."""

    def __init__(self, runtime: HostRuntime) -> None:
        self._runtime = runtime

    def render(self, rejection: Rejection) -> tuple[Headers, bytes]:
        """Return headers and body of the response."""
        name = REQUEST_ID_HEADER.lower().encode()
        given = next((v for n, v in rejection.headers if n == name), b"")
        request_id = usable_request_id(given.decode("latin-1"))
        error = error_response(rejection)
        self._runtime.metrics.refusal(error.reason.label)
        logs.event(
            "request_not_done",
            request_id=request_id,
            fate=error.outcome.value,
            reason=error.reason.label,
            detail=error.detail,
        )
        response = render_error(error, request_id)
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in response.headers
            if name.lower() != "content-length"
        ]
        return headers, response.get_data()

"""HTTP responses to callers, with machine-readable reasons for errors."""

import json
import math
from typing import Any

from werkzeug.wrappers import Response

from sequoiapoint.protocol.outcomes import ErrorResponse

REQUEST_ID_HEADER = "X-Request-Id"
FATE_HEADER = "X-Fate"
REASON_HEADER = "X-Reason"


def json_response(value: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(json.dumps(value), status, mimetype="application/json")


def error_body(error_response: ErrorResponse, request_id: str) -> dict[str, Any]:
    """Return the JSON body of an error response."""
    return {
        "error": {
            "fate": error_response.outcome.value,
            "reason": error_response.reason.label,
            "message": error_response.detail,
            "request_id": request_id,
            "retry_after_s": error_response.retry_after_s,
        }
    }


def render_error(error_response: ErrorResponse, request_id: str) -> Response:
    """Render an error response as an HTTP response."""
    body = error_body(error_response, request_id)
    response = json_response(body, error_response.reason.status)
    response.headers[REQUEST_ID_HEADER] = request_id
    response.headers[FATE_HEADER] = error_response.outcome.value
    response.headers[REASON_HEADER] = error_response.reason.label
    if error_response.retry_after_s is not None:
        seconds = max(1, math.ceil(error_response.retry_after_s))
        response.headers["Retry-After"] = str(seconds)
    return response


def set_done_headers(response: Response, request_id: str) -> Response:
    """Set the headers of a complete, successful response and return it."""
    response.headers[REQUEST_ID_HEADER] = request_id
    response.headers[FATE_HEADER] = "done"
    return response

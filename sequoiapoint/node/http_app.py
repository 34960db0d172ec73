"""Routes HTTP requests to the handlers for callers and operators."""

from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from sequoiapoint.node.caller_app import CallerApp
from sequoiapoint.node.context import request_id_of
from sequoiapoint.node.in_flight import InFlightRequests
from sequoiapoint.node.operator_app import OperatorApp
from sequoiapoint.node.responses import json_response, render_error
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.protocol.outcomes import ErrorResponse, Reason
from sequoiapoint.transport import logs
from sequoiapoint.transport.metrics import CONTENT_TYPE

ANY_METHOD = ("GET", "POST", "PUT", "PATCH", "DELETE")


class HttpApp:
    """The WSGI application of an entry host.

    :param runtime: The shared state of the process.
    :param caller_app: Handles requests from callers.
    :param operator_app: Handles requests from operators.
    :param in_flight: Tracks requests until their responses are complete.
    """

    def __init__(
        self,
        runtime: HostRuntime,
        caller_app: CallerApp,
        operator_app: OperatorApp,
        in_flight: InFlightRequests,
    ) -> None:
        self._runtime = runtime
        self._in_flight = in_flight
        self._handlers: dict[str, Callable[..., Response]] = {
            "chat": caller_app.chat,
            "service": caller_app.service,
            "configuration": operator_app.show_configuration,
            "submit": operator_app.submit,
            "history": operator_app.show_history,
            "submission": operator_app.show_submission,
            "status": operator_app.status,
            "explain": operator_app.explain,
            "drain": operator_app.drain,
            "health": self._health,
            "ready": self._ready,
            "metrics": self._metrics,
        }
        self._url_map = Map(
            [
                Rule("/v1/chat/completions", endpoint="chat", methods=["POST"]),
                Rule("/services/<name>/<path:path>", endpoint="service"),
                Rule("/admin/config", endpoint="configuration", methods=["GET"]),
                Rule("/admin/config", endpoint="submit", methods=["POST"]),
                Rule("/admin/config/history", endpoint="history"),
                Rule("/admin/submissions/<submission>", endpoint="submission"),
                Rule("/admin/status", endpoint="status"),
                Rule("/admin/explain/<subject>", endpoint="explain"),
                Rule("/admin/drain", endpoint="drain", methods=["POST"]),
                Rule("/healthz", endpoint="health"),
                Rule("/readyz", endpoint="ready"),
                Rule("/metrics", endpoint="metrics"),
            ]
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Handle one request."""
        request = Request(environ)
        token = self._in_flight.begin()
        response = self._respond(request, environ)
        response.call_on_close(lambda: self._in_flight.end(token))
        if self._runtime.is_draining.is_set():
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _respond(self, request: Request, environ: dict[str, Any]) -> Response:
        request_id = request_id_of(request)
        try:
            endpoint, values = self._url_map.bind_to_environ(environ).match()
            return self._handlers[endpoint](request, request_id, **values)
        except HTTPException as error:
            error_response = ErrorResponse(Reason.UNKNOWN_PATH, error.description or "")
            return render_error(error_response, request_id)
        except Exception as error:
            logs.event(
                "handler_error", "error", request_id=request_id, detail=repr(error)
            )
            self._runtime.metrics.event("handler_error")
            error_response = ErrorResponse(
                Reason.OUTCOME_UNKNOWN, "an error inside the host"
            )
            return render_error(error_response, request_id)

    def _health(self, _request: Request, _request_id: str) -> Response:
        return json_response({"status": "ok"})

    def _ready(self, _request: Request, _request_id: str) -> Response:
        is_ready = self._runtime.is_ready
        return json_response({"ready": is_ready}, 200 if is_ready else 503)

    def _metrics(self, _request: Request, _request_id: str) -> Response:
        return Response(self._runtime.metrics.exposition(), content_type=CONTENT_TYPE)

"""Serves the calls of other hosts over TCP, by the path of their target."""

import http
from collections.abc import Mapping

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.detours import MAX_REQUEST_BYTES
from sequoiapoint.protocol.gateway import CallerLimits
from sequoiapoint.transport.async_http_server import (
    AsyncHttpServer,
    Handler,
    InboundRequest,
    Responder,
)


class PeerServer:
    """The TCP server at this host's address for other hosts.

    :param handlers: The handlers of calls by the begin of their targets.
    """

    def __init__(self, state: GatewayState, handlers: Mapping[str, Handler]) -> None:
        self._state = state
        self._handlers = dict(handlers)
        self._server = AsyncHttpServer(
            self._serve,
            self._log_malformed,
            state.caller_budget,
            state.connection_limits.peers,
        )
        self._server.limits = CallerLimits(max_body_bytes=MAX_REQUEST_BYTES)

    @property
    def unsent_count(self) -> int:
        """Return the number of connections with unsent bytes of responses."""
        return self._server.unsent_count

    def add_handler(self, path: str, handler: Handler) -> None:
        """Serve the calls whose targets begin with a path."""
        self._handlers[path] = handler

    async def start(self) -> None:
        """Listen for calls."""
        await self._server.start(self._state.settings.peer_address)

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def _serve(self, request: InboundRequest, responder: Responder) -> None:
        for path, handler in self._handlers.items():
            if request.target.startswith(path):
                await handler(request, responder)
                return
        responder.send_response(int(http.HTTPStatus.NOT_FOUND), [])

    def _log_malformed(self, status: int) -> None:
        self._state.log.event("peer_call_malformed", str(status))

"""Runs requests for hosts that are cut off from servers.

Each request is run as if its caller had sent it to this host, with the time and the
attempts that are left.  It never goes on to a third host.  This host looks its key up
again in its own configuration, which is not older than that of the other host.
"""

import asyncio
import http
from collections.abc import Callable
from dataclasses import replace

from sequoiapoint.coordination.entry import Rejected
from sequoiapoint.node import admission
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.request_forwarder import RequestForwarder
from sequoiapoint.node.request_record import Refusal, send_refusal
from sequoiapoint.protocol.detours import (
    REPLY_HEADER,
    REQUEST_HEADER,
    DetourReply,
    DetourRequest,
    RefusalReply,
    ServerReply,
    UnknownReply,
    decode_detour_request,
    encode_detour_reply,
    with_budget,
)
from sequoiapoint.protocol.gateway import CallerRequest, Route
from sequoiapoint.protocol.ports import Headers
from sequoiapoint.transport.async_http_server import (
    HOST_STOPPED,
    InboundRequest,
    Responder,
)

OK = int(http.HTTPStatus.OK)
MAX_ENDED_REQUESTS = 1_000
"""Number of requests, of those that have ended, whose attempts are remembered."""
UNKNOWN_STATUSES = (http.HTTPStatus.BAD_GATEWAY, http.HTTPStatus.GATEWAY_TIMEOUT)
"""Statuses of the gateway's own responses that do not tell whether a request ran."""


class DetourResponder:
    """Writes what became of a request to the host that takes its detour through us.

    :param responder: Writes to that host.
    :ivar count_attempts: Returns how often the request has been sent to servers.
    """

    def __init__(self, responder: Responder) -> None:
        self._responder = responder
        self.count_attempts: Callable[[], int] = lambda: 0

    @property
    def is_started(self) -> bool:
        """Tell whether a part of the response has been written."""
        return self._responder.is_started

    @property
    def is_ended(self) -> bool:
        """Tell whether the whole response has been written."""
        return self._responder.is_ended

    def send_reply(self, reply: DetourReply, body: bytes = b"") -> None:
        """Write a reply, with the body of a server's response."""
        self._responder.send_response(OK, _head(reply), body)

    def send_response(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a server's complete response."""
        attempts = self.count_attempts()
        reply = ServerReply(status, tuple(headers), False, attempts)
        self.send_reply(reply, body)

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of a server's stream."""
        attempts = self.count_attempts()
        reply = ServerReply(status, tuple(headers), True, attempts)
        self._responder.start_stream(OK, _head(reply))

    def send(self, data: bytes) -> None:
        """Write a part of a stream."""
        self._responder.send(data)

    def end_stream(self) -> None:
        """Complete a stream."""
        self._responder.end_stream()

    def abort(self) -> None:
        """Abort the connection, so that the response is recognisably incomplete."""
        self._responder.abort()

    def set_flow_control(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Set functions that pause and resume the source of the response."""
        self._responder.set_flow_control(pause, resume)


def _head(reply: DetourReply) -> Headers:
    return [(REPLY_HEADER, encode_detour_reply(reply))]


@send_refusal.register
def _(responder: DetourResponder, state: GatewayState, refusal: Refusal) -> None:
    attempts = responder.count_attempts()
    if refusal.status in UNKNOWN_STATUSES:
        responder.send_reply(UnknownReply(refusal.reason, attempts))
        return
    responder.send_reply(
        RefusalReply(refusal.status, refusal.reason, refusal.retry_after_s, attempts)
    )


class DetourServer:
    """Serves the calls of hosts that are cut off from servers."""

    def __init__(self, state: GatewayState, exchange: PeerExchange) -> None:
        self._state = state
        self._exchange = exchange
        self._running: set[asyncio.Task] = set()
        # How often the last requests that have ended were sent, by their ids.
        self._attempts: dict[str, int] = {}

    @property
    def busy_count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._running)

    def end_requests(self) -> None:
        """Cancel the requests in progress; the hosts they are from are still told."""
        for task in list(self._running):
            task.cancel(HOST_STOPPED)

    async def handle(self, inbound: InboundRequest, responder: Responder) -> None:
        """Run a request, or refuse it.

        A call without one asks whether this host runs, or how often it has sent a
        request that has ended.
        """
        if inbound.method != "POST":
            responder.send_response(OK, self._attempts_reply(inbound.headers))
            return
        try:
            message = decode_detour_request(inbound.body)
        except ValueError as error:
            self._state.log.event("detour_malformed", error=error)
            responder.send_response(int(http.HTTPStatus.BAD_REQUEST), [])
            return
        state, request = self._state, self._with_key(message.request)
        route = None
        if state.routes is not None:
            route = state.routes.find(request.host, request.path)
        admitted = self._admit(message, request, route)
        reason = admitted.reason if isinstance(admitted, RefusalReply) else ""
        detour_responder = DetourResponder(responder)
        state.log.event(
            "detour",
            "refused" if reason else "taken",
            request=request.request_id,
            peer=message.origin,
            remaining_ms=round(message.remaining_s * 1000),
            attempts_left=message.attempts_left,
            reason=reason,
        )
        if isinstance(admitted, RefusalReply):
            detour_responder.send_reply(admitted)
            return
        message = replace(message, request=admitted)
        task = asyncio.current_task()
        self._running.add(task)
        try:
            await self._run(message, route, inbound.arrived_s, detour_responder)
        finally:
            self._running.discard(task)

    def _with_key(self, request: CallerRequest) -> CallerRequest:
        """Return a request with the digest of the caller's key.

        A host that has no organisations in force, or that is of an older build, has not
        decided on the key and sends the caller's headers as they are.
        """
        if request.organisation is not None:
            return request
        digest = self._state.adapter.callers.key_digest(request.headers)
        return replace(request, key_digest=digest)

    def _admit(
        self, message: DetourRequest, request: CallerRequest, route: Route | None
    ) -> CallerRequest | RefusalReply:
        """Return the request as this host runs it, or why it does not."""
        reason = self._unable_reason(message, route)
        if reason:
            return RefusalReply(int(http.HTTPStatus.SERVICE_UNAVAILABLE), reason, None)
        decision = admission.decide_entry(self._state, request, route)
        if isinstance(decision, Rejected):
            refused = admission.refusal(self._state, request.request_id, decision)
            return RefusalReply(refused.status, refused.reason, refused.retry_after_s)
        return replace(request, organisation=decision.name)

    def _unable_reason(self, message: DetourRequest, route: Route | None) -> str:
        """Return why this host cannot help; "" if it can."""
        state = self._state
        if state.is_draining:
            return "draining"
        if state.configuration is None:
            return "no_configuration"
        if state.configuration.version < message.configuration_version:
            return "older_configuration"
        if route is None:
            return "no_route"
        reachability = state.reachability
        if all(reachability.service(s).is_cut_off for s, _ in route.targets):
            return "cut_off"
        return ""

    async def _run(
        self,
        message: DetourRequest,
        route: Route,
        arrived_s: float,
        responder: DetourResponder,
    ) -> None:
        route = replace(route, attempts=min(route.attempts, message.attempts_left))
        forwarder = RequestForwarder(
            self._state,
            self._exchange,
            with_budget(message),
            route,
            arrived_s,
            responder,
            is_on_detour=True,
            is_retry=message.is_retry,
        )
        responder.count_attempts = forwarder.count_attempts
        request_id = message.request.request_id
        # It may have ended here before, on an earlier detour.
        self._attempts.pop(request_id, None)
        try:
            await forwarder.run()
        except asyncio.CancelledError as error:
            forwarder.end_cancelled(error.args[0] if error.args else "")
            raise
        finally:
            self._note_attempts(request_id, forwarder.count_attempts())

    def _note_attempts(self, request_id: str, attempts: int) -> None:
        """Remember the attempts of a request, and forget the oldest ones."""
        self._attempts.pop(request_id, None)
        self._attempts[request_id] = attempts
        if len(self._attempts) > MAX_ENDED_REQUESTS:
            del self._attempts[next(iter(self._attempts))]

    def _attempts_reply(self, headers: Headers) -> Headers:
        """Return the reply on a request that has ended, empty if none is asked for.

        The head of its first reply may have preceded some of its attempts.
        """
        request_id = next((v for name, v in headers if name == REQUEST_HEADER), b"")
        attempts = self._attempts.get(request_id.decode("latin-1"))
        return [] if attempts is None else _head(UnknownReply("ended", attempts))

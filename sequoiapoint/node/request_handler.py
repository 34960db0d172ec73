"""Handles callers' requests: decodes each, admits it and forwards it."""

import asyncio
import http

from sequoiapoint.coordination import waiting
from sequoiapoint.node.admission import Admission
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.request_forwarder import RequestForwarder
from sequoiapoint.node.request_record import reject
from sequoiapoint.transport.async_http_server import (
    HOST_STOPPED,
    InboundRequest,
    Responder,
)


class RequestHandler:
    """Responds to callers' requests."""

    def __init__(self, state: GatewayState, exchange: PeerExchange) -> None:
        self._state = state
        self._exchange = exchange
        self._admission = Admission(state, exchange.allowances)

    async def handle(self, inbound: InboundRequest, responder: Responder) -> None:
        """Handle one request: forward it to a server, or reject it."""
        state = self._state
        request = state.adapter.callers.decode_request(
            inbound.method, inbound.target, inbound.headers, inbound.body
        )
        if request is None:
            reject(state, responder, "", "no_request_id", http.HTTPStatus.BAD_REQUEST)
            return
        try:
            admitted = await self._admission.admit(request, responder)
        except asyncio.CancelledError as error:
            if error.args == (HOST_STOPPED,) and not responder.is_started:
                self._reject_not_run(request.request_id, responder, HOST_STOPPED)
            raise
        except Exception:
            # A fault of the program; nothing has been sent to a server.
            if not responder.is_started:
                self._reject_not_run(request.request_id, responder)
            raise
        if admitted is None:
            return
        forwarder = RequestForwarder(
            state,
            self._exchange,
            admitted.request,
            admitted.route,
            inbound.arrived_s,
            responder,
        )
        try:
            await forwarder.run()
        except asyncio.CancelledError as error:
            forwarder.end_cancelled(error.args[0] if error.args else "")
            raise
        except Exception:
            # A fault of the program, which the event loop logs with its traceback.
            if not responder.is_started:
                status = http.HTTPStatus.BAD_GATEWAY
                reject(state, responder, request.request_id, "part_failed", status)
            raise
        finally:
            if admitted.charge is not None and forwarder.was_certainly_not_run:
                organisation, cost = admitted.charge
                self._exchange.allowances.refund(organisation, cost)

    def _reject_not_run(
        self, request_id: str, responder: Responder, reason: str = "part_failed"
    ) -> None:
        state = self._state
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        retry_after_s = waiting.retry_after_s(False, state.rng.random())
        reject(state, responder, request_id, reason, status, retry_after_s)

"""Admits callers' requests: the checks before a request is forwarded, in their order.

A request that is rejected here has entered no queue and has caused no message to
another host or a server.
"""

import http
from dataclasses import dataclass, replace

from sequoiapoint.coordination import entry, waiting
from sequoiapoint.coordination.entry import Admitted, Rejected
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.request_record import Refusal, reject
from sequoiapoint.protocol.api_keys import key_label
from sequoiapoint.protocol.gateway import CallerRequest, Route
from sequoiapoint.transport.async_http_server import Responder

NO_ROUTE = Rejected("no_route", http.HTTPStatus.NOT_FOUND)


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that may be forwarded.

    :param request: The request with the organisation for which it was admitted.
    """

    request: CallerRequest
    route: Route


def decide_entry(
    state: GatewayState, request: CallerRequest, route: Route
) -> Admitted | Rejected:
    """Decide with the configuration in force whether a request may be forwarded."""
    return entry.decide(
        request,
        route,
        state.configuration,
        state.configuration_age_s(),
        state.settings.bounds.key_revocation_s,
    )


def refusal(state: GatewayState, request_id: str, rejected: Rejected) -> Refusal:
    """Return the error response for a rejected request."""
    retry_after_s = None
    if rejected.may_retry:
        retry_after_s = waiting.retry_after_s(False, state.rng.random())
    return Refusal(request_id, rejected.reason, int(rejected.status), retry_after_s)


def entry_fields(state: GatewayState, request: CallerRequest) -> dict[str, object]:
    """Return what the decision on a request rests on, for the log."""
    configuration = state.configuration
    if configuration is None or configuration.organisations is None:
        return {}
    return {
        "key": key_label(request.key_digest),
        "configuration_age_s": round(state.configuration_age_s(), 2),
    }


class Admission:
    """The checks that a caller's request passes before it is forwarded."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def admit(
        self, request: CallerRequest, responder: Responder
    ) -> AdmittedRequest | None:
        """Check a request; respond to it and return None if it is rejected."""
        state = self._state
        if state.routes is None:
            self._reject(request, responder, entry.NO_CONFIGURATION)
            return None
        route = state.routes.find(request.host, request.path)
        if route is None:
            self._reject(request, responder, NO_ROUTE)
            return None
        decision = decide_entry(state, request, route)
        if isinstance(decision, Rejected):
            self._reject(request, responder, decision, route=route.name)
            return None
        return AdmittedRequest(replace(request, organisation=decision.name), route)

    def _reject(
        self,
        request: CallerRequest,
        responder: Responder,
        rejected: Rejected,
        **fields: object,
    ) -> None:
        refused = refusal(self._state, request.request_id, rejected)
        reject(
            self._state,
            responder,
            request.request_id,
            refused.reason,
            refused.status,
            refused.retry_after_s,
            **fields,
            **entry_fields(self._state, request),
        )

"""Admits callers' requests: the checks before a request is forwarded, in their order.

A request that is rejected here has entered no queue and has caused no message to
another host or a server.
"""

import http
from dataclasses import dataclass, replace

from sequoiapoint.coordination import entry, waiting
from sequoiapoint.coordination.allowance_credit import Denied, request_cost
from sequoiapoint.coordination.entry import Admitted, Rejected
from sequoiapoint.node.allowance_exchange import AllowanceExchange
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.request_record import (
    Refusal,
    reject,
    request_fingerprint,
    send_refusal,
)
from sequoiapoint.protocol.api_keys import key_label
from sequoiapoint.protocol.gateway import CallerRequest, Organisation, Route
from sequoiapoint.transport.async_http_server import Responder

OVER_ALLOWANCE = "over_allowance"
RETURN_SHARE = 1.0 / 3.0
"""Share of the time that callers have left up to which they wait for a stated time."""
NO_ROUTE = Rejected("no_route", http.HTTPStatus.NOT_FOUND)


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that may be forwarded.

    :param request: The request with the organisation for which it was admitted.
    :param charge: The organisation that was charged and the units; None without limit.
    """

    request: CallerRequest
    route: Route
    charge: tuple[Organisation, float] | None = None


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

    def __init__(self, state: GatewayState, allowances: AllowanceExchange) -> None:
        self._state = state
        self._allowances = allowances

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
        admitted = AdmittedRequest(replace(request, organisation=decision.name), route)
        organisation = decision.organisation
        if organisation is None or organisation.allowance is None:
            return admitted
        cost = request_cost(organisation.allowance, request.tokens)
        budget_s = route.timeout_s
        if request.budget_s is not None:
            budget_s = min(budget_s, request.budget_s)
        charged = await self._allowances.admit(
            organisation,
            cost,
            request_fingerprint(request),
            RETURN_SHARE * budget_s,
            request.request_id,
        )
        if isinstance(charged, Denied):
            self._reject_over_allowance(request, responder, charged.wait_s)
            return None
        return replace(admitted, charge=(organisation, cost))

    def _reject_over_allowance(
        self, request: CallerRequest, responder: Responder, wait_s: float
    ) -> None:
        """Reject a request without a line of its own in the log.

        An organisation may send several times its allowance; the exchange logs a
        summary of what was denied every second.
        """
        state = self._state
        status = int(http.HTTPStatus.TOO_MANY_REQUESTS)
        refused = Refusal(request.request_id, OVER_ALLOWANCE, status, wait_s)
        send_refusal(responder, state, refused)
        state.metrics.refusal(OVER_ALLOWANCE)

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

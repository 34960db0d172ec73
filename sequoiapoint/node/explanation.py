"""Explains where this host would route a request now, and why.

It runs the functions of the real decision for a request that is never sent.  What
these would change belongs to a copy: the random numbers, the credit of an organisation,
the selector of the request.  No message is sent; no slot, permit or credit is taken.
"""

import copy
import http
import json
import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from typing import Any

from sequoiapoint.coordination import server_choice, waiting
from sequoiapoint.coordination.allowance_credit import Denied, request_cost
from sequoiapoint.coordination.entry import (
    NO_CONFIGURATION,
    UNKNOWN_KEY,
    Rejected,
)
from sequoiapoint.coordination.server_reasons import ServerFigures, server_reason
from sequoiapoint.node.admission import (
    NO_ROUTE,
    OVER_ALLOWANCE,
    RETURN_SHARE,
    decide_entry,
)
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.request_record import request_fingerprint
from sequoiapoint.node.server_selector import CUT_OFF_REASON, ServerSelector
from sequoiapoint.protocol.allowances import Charge
from sequoiapoint.protocol.api_keys import key_label
from sequoiapoint.protocol.explain_query import (
    ExplainQuery,
    InvalidParameter,
    parse_explain_query,
)
from sequoiapoint.protocol.gateway import (
    CallerRequest,
    GatewayConfiguration,
    Organisation,
    Route,
    ServerEntry,
    ServerState,
)
from sequoiapoint.transport.async_http_server import InboundRequest, Responder
from sequoiapoint.transport.clock import monotonic_s

JSON_HEADERS = [(b"Content-Type", b"application/json")]
DIGITS = 3
"""Decimals of the figures in a reply."""
UNKNOWN_ORGANISATION = "unknown_organisation"
_NO_DIGEST = b"\0"
"""In place of the digest of a key that no organisation has; it is shorter than one."""


@dataclass(frozen=True)
class NextStep:
    """What this host would do with the request.

    :param step: ``send``, ``ask_slot``, ``ask_permit``, ``wait``, ``detour`` or
        ``refuse``.
    :param server: The server to which it would be sent or, for ``ask_permit``, the one
        for which a permit would be requested.
    :param servers: The servers of which the allocator would choose one.
    :param allocator: The host that would be asked.
    :param predicted_wait_s: The expected wait for a slot or permit, or until servers
        accept requests again; None if it is not known.
    :param wait_limit_s: The time for which the request may wait for a server.
    """

    step: str
    reason: str = ""
    server: str = ""
    servers: tuple[str, ...] = ()
    allocator: str = ""
    allocator_zone: str = ""
    predicted_wait_s: float | None = None
    wait_limit_s: float | None = None


class Explainer:
    """Serves explanations of this host's decisions."""

    def __init__(self, state: GatewayState, exchange: PeerExchange) -> None:
        self._state = state
        self._exchange = exchange

    async def serve(self, request: InboundRequest, responder: Responder) -> None:
        """Respond to a request for an explanation."""
        query = parse_explain_query(request.target.partition("?")[2])
        status = http.HTTPStatus.OK
        if isinstance(query, InvalidParameter):
            status = http.HTTPStatus.BAD_REQUEST
            self._state.log.event("explain", "invalid", parameter=query.name)
            message = f"{query.name or 'query'}: {query.detail}"
            error = {"reason": "invalid_parameter", "message": message}
            reply = {"error": error | {"parameter": query.name}}
        else:
            reply = self.explain(query)
        body = json.dumps(_rounded(reply)).encode()
        responder.send_response(int(status), JSON_HEADERS, body)

    def explain(self, query: ExplainQuery) -> dict[str, Any]:
        """Return the decision on a request, and what it rests on."""
        state = self._state
        configuration = state.configuration
        reply: dict[str, Any] = {
            "host": {
                "name": state.settings.host,
                "zone": state.settings.zone,
                "is_draining": state.is_draining,
                "configuration": configuration.version if configuration else None,
                "configuration_age_s": state.configuration_age_s(),
                "hosts": state.host_count,
            },
            "route": None,
            "admission": None,
            "service": None,
            "decision": None,
            "servers": [],
        }
        route = None if configuration is None else self._find_route(query)
        if route is None:
            rejected = NO_CONFIGURATION if configuration is None else NO_ROUTE
            reply["admission"] = _rejection(rejected)
            reply["decision"] = asdict(NextStep("refuse", rejected.reason))
            return reply
        request = _unsent_request(query, route, configuration)
        admission, organisation = self._explain_admission(query, request, route)
        if organisation is not None:
            request = replace(request, organisation=organisation.name)
        reply["route"] = {
            "name": route.name,
            "targets": dict(route.targets),
            "goal_s": route.goal_s,
            "timeout_s": route.timeout_s,
            "is_stream": route.is_stream,
        }
        reply["admission"] = admission
        return reply | self._explain_selection(request, route, admission)

    def _find_route(self, query: ExplainQuery) -> Route | None:
        if not query.route:
            return self._state.routes.find(query.host, query.path.partition("?")[0])
        routes = self._state.configuration.routes
        return next((route for route in routes if route.name == query.route), None)

    # Admission

    def _explain_admission(
        self, query: ExplainQuery, request: CallerRequest, route: Route
    ) -> tuple[dict[str, Any], Organisation | None]:
        """Return the decision on admission, and the organisation if it is admitted."""
        state = self._state
        decision = decide_entry(state, request, route)
        if isinstance(decision, Rejected):
            if decision is UNKNOWN_KEY and query.organisation:
                decision = replace(decision, reason=UNKNOWN_ORGANISATION)
            return _rejection(decision), None
        organisation = decision.organisation
        admission: dict[str, Any] = {"is_admitted": True, "reason": "", "status": None}
        if organisation is None:
            return admission, None
        admission["organisation"] = organisation.name
        allowance = organisation.allowance
        if allowance is None:
            return admission, organisation
        cost = request_cost(allowance, request.tokens)
        max_wait_s = RETURN_SHARE * route.timeout_s
        charge = Charge(cost, request_fingerprint(request), max_wait_s)
        draw = copy.copy(state.rng).random()
        forecast = self._exchange.allowances.forecast(organisation, charge, draw)
        admission["allowance"] = {
            "rate_per_s": allowance.rate_per_s,
            "burst": allowance.burst,
            "cost": cost,
            "credit": forecast.held,
            "units_per_s": forecast.units_per_s,
            "is_asked": forecast.decision is None,
            "allocator": forecast.allocator,
            "is_silent": forecast.is_silent,
        }
        if isinstance(forecast.decision, Denied):
            status = int(http.HTTPStatus.TOO_MANY_REQUESTS)
            retry_after_s = forecast.decision.wait_s
            admission |= {
                "is_admitted": False,
                "reason": OVER_ALLOWANCE,
                "status": status,
                "retry_after_s": retry_after_s,
            }
        return admission, organisation

    # Selection of a server

    def _explain_selection(
        self, request: CallerRequest, route: Route, admission: dict[str, Any]
    ) -> dict[str, Any]:
        state = self._state
        now = monotonic_s()
        # The next request draws the same random numbers.
        view = copy.copy(state)
        view.rng = copy.copy(state.rng)
        selector = ServerSelector(
            view,
            self._exchange,
            request,
            route,
            now,
            now + route.timeout_s,
            request_fingerprint(request),
        )
        selection = _Selection(view, self._exchange, selector, request, route, now)
        if not admission["is_admitted"]:
            step = NextStep("refuse", admission["reason"])
        else:
            step = selection.next_step()
        return {
            "service": selector.service,
            "priority": selector.priority,
            "decision": asdict(step),
            "servers": selection.servers(step),
        }


class _Selection:
    """The selection of a server for one request that is not sent."""

    def __init__(
        self,
        state: GatewayState,
        exchange: PeerExchange,
        selector: ServerSelector,
        request: CallerRequest,
        route: Route,
        now: float,
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._selector = selector
        self._request = request
        self._route = route
        self._now = now
        self._serving = selector.serving(now) if selector.has_model() else []

    def next_step(self) -> NextStep:
        """Return what this host would do with the request."""
        selector, now = self._selector, self._now
        if not selector.has_model():
            return NextStep("refuse", "unknown_model")
        if selector.is_cut_off():
            return NextStep("detour", CUT_OFF_REASON)
        if self._serving:
            for servers, have_limit in selector.groups(self._serving, now):
                step = (
                    self._ask_permit(servers) if have_limit else self._choose(servers)
                )
                if step is not None:
                    return step
        if selector.back_off_s is not None:
            return NextStep(
                "refuse", selector.reason, predicted_wait_s=selector.back_off_s
            )
        if now >= self._state.queue_deadline:
            return NextStep("refuse", selector.reason)
        limit_s = waiting.wait_limit_s(self._route, self._route.timeout_s)
        return NextStep("wait", selector.reason, wait_limit_s=limit_s)

    def _ask_permit(self, servers: Sequence[ServerEntry]) -> NextStep | None:
        """Return the step for servers with a limit, None if no permit can be had."""
        permits, now = self._exchange.permits, self._now
        is_only_choice = len(servers) == len(self._serving)
        waits_s = []
        for entry in self._selector.limited_to_ask(servers, now):
            member = permits.reachable_allocator(entry.zone, now)
            denial = permits.known_denial(entry, now)
            if member is not None and (denial is None or is_only_choice):
                return NextStep(
                    "ask_permit",
                    server=entry.server,
                    allocator=member.host,
                    allocator_zone=member.zone,
                    predicted_wait_s=denial.wait_s if denial else None,
                )
            waits_s += [denial.wait_s] if denial else []
        if not is_only_choice:
            return None
        wait_s = min(waits_s, default=None)
        return NextStep("refuse", "servers_limited", predicted_wait_s=wait_s)

    def _choose(self, servers: Sequence[ServerEntry]) -> NextStep | None:
        """Return the step for servers without a limit, None if all are full."""
        selector, now = self._selector, self._now
        if self._exchange.slots.is_active:
            to_ask = servers
            if not selector.is_engine:
                to_ask = selector.with_connections_left(servers)
        else:
            free = [e for e in servers if not selector.is_brittle(e, now)]
            entry = selector.choose(free, now)
            if entry is not None:
                return NextStep("send", server=entry.server)
            to_ask = selector.with_connections_left(
                [e for e in servers if selector.is_brittle(e, now)]
            )
        return self._ask_slot(to_ask) if to_ask else None

    def _ask_slot(self, servers: Sequence[ServerEntry]) -> NextStep | None:
        """Return the step for servers whose slots are allocated.

        The host chooses by itself if no allocator can be asked.
        """
        selector, slots, now = self._selector, self._exchange.slots, self._now
        by_zone = selector.servers_by_allocator(servers, now)
        for zone, (names, _) in by_zone.items():
            member = slots.reachable_allocator(zone, now)
            if member is None:
                continue
            slot_request = selector.slot_request(0, names, now)
            return NextStep(
                "ask_slot",
                servers=names,
                allocator=member.host,
                allocator_zone=zone,
                predicted_wait_s=slots.expected_wait_s(zone, slot_request, now),
                wait_limit_s=waiting.wait_limit_s(self._route, self._route.timeout_s),
            )
        zones = server_choice.zones_to_choose_alone(
            by_zone.keys(), False, self._state.settings.zone
        )
        entry = selector.choose_alone(servers, zones, now)
        return None if entry is None else NextStep("send", server=entry.server)

    # Figures of the servers

    def servers(self, step: NextStep) -> list[dict[str, Any]]:
        """Return the figures of all servers of the service, each with its reason."""
        entries = [
            entry
            for entry in self._state.fleet.entries.values()
            if entry.service == self._selector.service
        ]
        times = self._selector.relative_times(self._serving, self._now)
        can_serve = {entry.incarnation for entry in self._serving}
        rows = []
        for entry in sorted(entries, key=lambda e: (e.zone, e.server)):
            figures = self._figures(
                entry,
                step,
                times.get(entry.incarnation),
                entry.incarnation in can_serve,
            )
            row = vars(figures) | {"reason": server_reason(figures).value}
            rows.append(row)
        return rows

    def _figures(
        self,
        entry: ServerEntry,
        step: NextStep,
        relative_time: float | None,
        can_serve: bool,
    ) -> ServerFigures:
        state, selector, now = self._state, self._selector, self._now
        fleet, request = state.fleet, self._request
        load = state.loads.get_or_create(entry.incarnation)
        is_engine = selector.is_engine
        is_allocated = self._exchange.slots.is_active and step.step == "ask_slot"
        needs_slot = is_allocated or selector.is_brittle(entry, now)
        running = load.running(now)
        capacity_refusal = selector.capacity_refusal(
            entry, load, running, relative_time
        )
        if needs_slot:
            # The allocator decides whether a server is full.
            is_counted = is_engine and is_allocated
            has_connections = is_counted or selector.has_connections_left(entry)
            capacity_refusal = "" if has_connections else "no_connection"
        limit_per_s = state.limits.per_s(entry.incarnation)
        return ServerFigures(
            server=entry.server,
            zone=entry.zone,
            slots=entry.slots,
            is_ready=entry.state is ServerState.READY,
            holds_model=not is_engine or fleet.holds(entry, request.model, "", now),
            holds_adapter=not is_engine
            or fleet.holds(entry, request.model, request.adapter, now),
            is_unreachable=load.is_unreachable(now),
            leaving_s=fleet.leaving_s(entry, now),
            back_off_s=max(0.0, load.back_off_until - now),
            is_avoided=load.is_avoided(now),
            load=running,
            failure_rate=load.failure_rate,
            relative_time=relative_time,
            limit_per_s=limit_per_s,
            permit_wait_s=None if limit_per_s is None else self._permit_wait_s(entry),
            needs_slot=needs_slot,
            capacity_refusal=capacity_refusal,
            can_serve=can_serve,
            is_chosen=step.step == "send" and step.server == entry.server,
        )

    def _permit_wait_s(self, entry: ServerEntry) -> float | None:
        """Return the time for which a server's permits are denied, None if not."""
        permits = self._exchange.permits
        denial = permits.known_denial(entry, self._now)
        if denial is not None:
            return denial.wait_s
        is_reachable = permits.reachable_allocator(entry.zone, self._now) is not None
        return None if is_reachable else math.inf


def _rejection(rejected: Rejected) -> dict[str, Any]:
    return {
        "is_admitted": False,
        "reason": rejected.reason,
        "status": int(rejected.status),
    }


def _unsent_request(
    query: ExplainQuery, route: Route, configuration: GatewayConfiguration
) -> CallerRequest:
    return CallerRequest(
        request_id="",
        method="GET",
        host=query.host or route.host,
        target=query.path or route.prefix,
        headers=(),
        body=b"",
        model=query.model,
        adapter=query.adapter,
        prompt_tokens=query.prompt_tokens or 0,
        tokens=query.prompt_tokens,
        key_digest=_key_digest(query, configuration),
    )


def _key_digest(query: ExplainQuery, configuration: GatewayConfiguration) -> bytes:
    """Return the digest of a key of the organisation, or of the key with the label."""
    organisations = configuration.organisations or {}
    if query.key_label:
        matching = (d for d in organisations if key_label(d) == query.key_label)
    elif query.organisation:
        name = query.organisation
        matching = (d for d, holder in organisations.items() if holder.name == name)
    else:
        return b""
    return next(matching, _NO_DIGEST)


def _rounded(value: Any) -> Any:
    """Return a reply with short numbers; JSON has none that are not finite."""
    if isinstance(value, dict):
        return {name: _rounded(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [_rounded(item) for item in value]
    if isinstance(value, float):
        return round(value, DIGITS) if math.isfinite(value) else None
    return value

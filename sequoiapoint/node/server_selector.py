"""Waits for a server that can take a request, and chooses it."""

from sequoiapoint.coordination import server_choice, waiting
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.gateway import CallerRequest, Route, ServerEntry
from sequoiapoint.transport.clock import monotonic_s

MIN_ATTEMPT_TIME_S = 0.02
"""Time left below which a request is not sent any more: a send that cannot be
answered in time only takes a place."""
CONNECT_TRIES = 4
"""Servers that are tried for a connection before a request is refused."""
BUSY_REASONS = frozenset({"servers_full", "no_connection", "engine_reads"})
"""Reasons why none of the servers that could run a request takes it now."""
WAKE_INTERVAL_S = 0.1
"""Longest sleep of a waiting request: pauses of servers end without an event."""


class ServerSelector:
    """Finds the server for each send of one request.

    :ivar service: The service that runs the request.
    :ivar reason: Why no server was found, or why the last send failed.
    :ivar waited_s: How long the request has waited in all, in seconds.
    :ivar tried: Servers that the request has been sent to.
    """

    def __init__(
        self,
        state: GatewayState,
        request: CallerRequest,
        route: Route,
        deadline: float,
    ) -> None:
        self._state = state
        self._request = request
        self._route = route
        self._deadline = deadline
        self.service = _pick_target(state, route)
        self._spec = state.configuration.services.get(self.service)
        self.demand_key = (self.service, request.model, request.adapter)
        self.connect_failures = 0
        self.tried: set[str] = set()
        self.reason = ""
        self.waited_s = 0.0

    @property
    def is_engine(self) -> bool:
        """Tell whether model engines run the request."""
        return self._spec is not None and self._spec.engine is not None

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens that an engine has to read, 0 for a plain service."""
        return max(1, self._request.prompt_tokens) if self.is_engine else 0

    def has_model(self) -> bool:
        """Tell whether the service has the model that is asked for."""
        return not self.is_engine or self._request.model in self._spec.engine.models

    async def select(self) -> ServerEntry | None:
        """Return the server to send to, None when waiting is no longer worth it."""
        state = self._state
        began = monotonic_s()
        limit_s = waiting.wait_limit_s(self._route, (self._deadline - monotonic_s()))
        is_waiting = False
        try:
            while True:
                now = monotonic_s()
                if self._deadline - now < MIN_ATTEMPT_TIME_S:
                    return None
                if self.connect_failures >= CONNECT_TRIES:
                    return None
                entry = self._choose(now)
                if entry is not None:
                    return entry
                if now - began > limit_s or now > state.queue_deadline:
                    return None
                if not is_waiting:
                    is_waiting = True
                    if self.is_engine:
                        state.demand.adjust(self.demand_key, waiting=1)
                        state.replan_requested.set()
                await state.wait_queue.wait(
                    self._route.priority, self._deadline, WAKE_INTERVAL_S
                )
        finally:
            self.waited_s += monotonic_s() - began
            if is_waiting and self.is_engine:
                state.demand.adjust(self.demand_key, waiting=-1)

    def _choose(self, now: float) -> ServerEntry | None:
        state, request = self._state, self._request
        ready = state.fleet.ready_servers(self.service)
        self.reason = "no_server"
        holders = [
            entry
            for entry in ready
            if not self.is_engine
            or state.fleet.holds(entry, request.model, request.adapter, now)
        ]
        if ready and not holders:
            self.reason = "model_not_loaded"
        others = [e for e in holders if e.server not in self.tried]
        candidates = []
        for entry in others or holders:
            load = state.loads.get_or_create(entry.incarnation)
            running = load.running(now)
            if waiting.is_full(running, entry.slots, self.is_engine):
                self.reason = "servers_full"
                continue
            if self._spec is not None and self._is_out_of_connections(entry):
                self.reason = "no_connection"
                continue
            unread = sum(load.pending_prompt_tokens.values())
            if self.is_engine and not waiting.may_send_prompt(
                unread, self.prompt_tokens, state.host_count
            ):
                self.reason = "engine_reads"
                continue
            candidates.append(
                server_choice.Candidate(
                    entry, running, load.failure_rate, load.is_avoided(now)
                )
            )
        chosen = server_choice.choose(
            candidates, state.settings.zone, state.rng.random, state.host_count
        )
        return chosen.entry if chosen else None

    def _is_out_of_connections(self, entry: ServerEntry) -> bool:
        """Tell whether this host uses up its part of a server's connections."""
        share = self._spec.max_connections / self._state.recent_max_host_count
        own = self._state.loads.get_or_create(entry.incarnation).local_running
        return own >= max(1.0, share)


def _pick_target(state: GatewayState, route: Route) -> str:
    """Return the service for a request, by the weights of the route's targets."""
    if len(route.targets) == 1:
        return route.targets[0][0]
    services = [service for service, _ in route.targets]
    weights = [weight for _, weight in route.targets]
    return state.rng.choices(services, weights)[0]

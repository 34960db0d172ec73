"""Selects the server for a request; queues the request while no server can take it."""

import asyncio
import copy
import math
from collections.abc import Iterable, Mapping, Sequence, Set
from typing import Self

from sequoiapoint.coordination import server_choice, waiting
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.permit_exchange import Permit
from sequoiapoint.node.request_record import quarantine_key
from sequoiapoint.node.slot_exchange import SlotTicket
from sequoiapoint.protocol.gateway import (
    CallerRequest,
    Incarnation,
    Route,
    ServerEntry,
)
from sequoiapoint.protocol.slots import SlotOutcome, SlotQuality, SlotRequest
from sequoiapoint.state.server_load import ServerLoad
from sequoiapoint.transport.clock import monotonic_s

MIN_ATTEMPT_TIME_S = 0.02
"""Minimum remaining time for which a request is still sent.  An attempt that cannot be
answered in time only occupies capacity of a server."""
MAX_CONNECT_FAILURES = 4
"""Number of failures to connect after which a request is rejected."""
CUT_OFF_REASON = "cut_off"
"""Rejection reason if this host reaches no server."""
QUEUE_TOO_LONG_REASON = "queue_too_long"
"""Rejection reason if a slot is not expected before the deadline."""
CAPACITY_REASONS = frozenset(
    {"servers_full", "no_connection", "engine_reads", QUEUE_TOO_LONG_REASON}
)
"""Rejection reasons for which servers can run the request but have no capacity.  For
"engine_reads", the engines still process earlier prompts."""
MAX_ZONES_ASKED = 3
"""Number of zones whose allocators are asked for a slot, one after the other, before a
request waits for one of them."""
REPEAT_INTERVAL_S = 0.5
"""Interval at which a queued request asks for a slot again; less than half of the time
for which allocators keep it queued."""
LIMIT_CHECK_INTERVAL_S = 1.0
"""Time since a server last named its limit after which it gets a request although
others could run it.  A server that gets no requests cannot tell that its limit has
ended."""
MAX_LIMITED_ASKED = 3
"""Number of servers with a limit for which a permit is requested, one after the other,
before a request is rejected."""
RETURN_MARGIN_S = 0.02
"""Margin of the time that a caller is told, so that it does not come back before its
reserved permit is available."""
MAX_COUNTED_WAIT_S = 1.0
"""Longest time for which a rejected request counts as waiting for a model: long enough
for the leader to learn of it, and short against the loads that it may cause."""
UNRESERVED_SPREAD = 0.5
"""Share by which the time is extended at random for callers without a reserved permit,
so that they do not come back together."""
CAPACITY_CHECK_INTERVAL_S = 0.1
"""Maximum time between two selections by the host itself: its estimates of load fade
with time, and the other hosts' counts arrive without a notification."""
MAX_WAIT_INTERVAL_S = 0.5
"""Maximum time between two selections for any waiting request, in case a notification
is missed."""
MIN_WAIT_INTERVAL_S = 0.002
"""Minimum time between them; the event loop's timers may be a millisecond early."""


class ServerSelector:
    """Selects the server for each attempt of one request.

    Public methods that are no coroutines, except ``release``, change nothing but the
    selector.  Explanations call them too, with a selector of their own.

    :param under_way_s: Time since the first attempt of its caller, see ``StatedTimes``.
    :ivar service: The service that runs the request.
    :ivar is_engine: Whether the service's servers are model engines.
    :ivar priority: The urgency of the request; 0 is the most urgent.
    :ivar demand_key: Service, model and adapter under which the demand is counted.
    :ivar required_version: The software version at which a stream must go on, None if
        any server can run the request.
    :ivar connect_failures: Number of servers to which this request could not connect,
        or not certainly to the listed process.
    :ivar reason: Why no server was found, or why the last attempt failed.
    :ivar back_off_s: The time until the first server accepts requests again, if all
        those that could run the request have turned requests away or have reached their
        limits; otherwise None.
    :ivar leaves_if_cut_off: Whether a request stops waiting for a server while this
        host is cut off from the service's servers.
    :ivar waited_s: Total time that the request has waited, in seconds.
    :ivar tried_servers: Servers that the request has been sent to.
    """

    def __init__(
        self,
        state: GatewayState,
        exchange: PeerExchange,
        request: CallerRequest,
        route: Route,
        arrived_s: float,
        deadline: float,
        fingerprint: int,
        under_way_s: float = 0.0,
    ) -> None:
        self._state = state
        self._permits = exchange.permits
        self._permit: Permit | None = None
        self._fingerprint = fingerprint
        self._quarantine_key = quarantine_key(fingerprint)
        self._goal_at = arrived_s - under_way_s + route.goal_s
        self._is_return = under_way_s > 0.0
        self._slots = exchange.slots
        self._ticket: SlotTicket | None = None
        self._asked_servers: set[Incarnation] = set()
        self._ask_again_at = 0.0
        self._questions: dict[str, tuple[tuple[str, ...], bool]] = {}
        self._questioned: tuple[str, ...] = ()
        self._silent_zones: Set[str] = set()
        self._is_queued = False
        self._needs_capacity = False
        self._back_off_ends_at = math.inf
        self._silent_server = ""
        self._request = request
        self._route = route
        self._deadline = deadline
        self.service = _choose_service(state, route)
        self.priority = state.configuration.priority(route, request.organisation)
        self._spec = state.configuration.services.get(self.service)
        self.is_engine = self._spec is not None and self._spec.engine is not None
        self.demand_key = (self.service, request.model, request.adapter)
        self.required_version: str | None = None
        self.connect_failures = 0
        self._unreached: set[Incarnation] = set()
        self._wait_started_at, self._is_wait_continued = 0.0, False
        self.tried_servers: set[str] = set()
        self.reason = ""
        self.back_off_s: float | None = None
        self._predictions: dict[str, tuple[float, float]] = {}
        self.leaves_if_cut_off = True
        self.waited_s = 0.0

    def for_next_attempt(self, server: str) -> Self:
        """Return a selector for another attempt while the one at a server still runs.

        It has no slot and no permit.
        """
        selector = copy.copy(self)
        selector._permit = selector._ticket = None
        selector.tried_servers = self.tried_servers | {server}
        return selector

    @property
    def predicted_wait_s(self) -> float:
        """Return the expected time until a server has a slot, in seconds.

        It is 0 if an allocator that has queued the request has not predicted it lately,
        or if this host chooses servers without an allocator.
        """
        if self._silent_zones and self._zones_to_choose_alone():
            return 0.0
        return waiting.predicted_wait_s(self._predictions.values(), monotonic_s())

    @property
    def prompt_tokens(self) -> int:
        """Return the prompt tokens, at least 1; 0 for a service without engines."""
        return max(1, self._request.prompt_tokens) if self.is_engine else 0

    @property
    def unreached_count(self) -> int:
        """Return the number of servers to which this request could not connect."""
        return len(self._unreached)

    def is_cut_off(self) -> bool:
        """Tell whether this host is cut off from the service's servers."""
        return self._state.reachability.service(self.service).is_cut_off

    def has_model(self) -> bool:
        """Tell whether the requested model is configured for the service."""
        return not self.is_engine or self._request.model in self._spec.engine.models

    def note_connect_failure(self, entry: ServerEntry) -> None:
        """Record that no connection to the selected server could be opened."""
        if entry.incarnation not in self._unreached:
            self._unreached.add(entry.incarnation)
            self.connect_failures += 1
        self.continue_wait()

    def continue_wait(self) -> None:
        """Let the next selection go on with the wait of the last one and its limit."""
        self._is_wait_continued = True

    async def select(self) -> ServerEntry | None:
        """Return a server for the next attempt, waiting for one if necessary.

        :return: None if the request should be given up: too little time remains, the
            limit on its wait has passed, too many connections have failed, it or a
            part of its prompt is rejected, or the host is cut off from the servers.
        """
        self._asked_servers, self._silent_zones = set(), set()
        self._is_queued, self._predictions, self._questioned = False, {}, ()
        with self._slots.ticket() as ticket:
            entry = await self._select(ticket)
            is_granted = (
                entry is not None
                and ticket.grant is not None
                and ticket.grant.engine == entry.incarnation
            )
            if is_granted:
                ticket.is_used = True
                self._ticket = ticket
            return entry

    async def select_instead_of(self, server: str) -> ServerEntry | None:
        """Return a server that is neither a silent one nor avoided.

        :return: None as for ``select``, and at once if there is no such server.
        """
        self._silent_server = server
        try:
            has_choice = bool(self.serving(monotonic_s()))
            return await self.select() if has_choice else None
        finally:
            self._silent_server = ""

    @property
    def allocator(self) -> str:
        """Return the host that granted the slot of the last attempt, "" for none."""
        if self._ticket is None or self._ticket.granted_by is None:
            return ""
        return self._ticket.granted_by.host

    def release(
        self,
        quality: SlotQuality,
        slowness: float | None = None,
        relative_time: float | None = None,
    ) -> None:
        """Release the slot and the permit of the last attempt, if it had them.

        :param slowness: What the server stated with its response; None if nothing.
        :param relative_time: How long the work took, as a multiple of the time expected
            of it; None if it is not known.
        """
        self._permit = None
        if self._ticket is not None:
            self._slots.release(self._ticket, quality, slowness, relative_time)
            self._ticket = None

    async def _select(self, ticket: SlotTicket) -> ServerEntry | None:
        state = self._state
        selected_at = started_at = monotonic_s()
        if self._is_wait_continued:
            started_at = self._wait_started_at
        self._wait_started_at, self._is_wait_continued = started_at, False
        limit_s = waiting.wait_limit_s(
            self._route, self._deadline - started_at, self._is_return
        )
        is_waiting = False
        give_up_at = math.inf
        try:
            while True:
                now = monotonic_s()
                if self._deadline - now < MIN_ATTEMPT_TIME_S:
                    return None
                if self.connect_failures >= MAX_CONNECT_FAILURES:
                    return None
                if self.leaves_if_cut_off and self.is_cut_off():
                    self.reason = CUT_OFF_REASON
                    return None
                if state.prompt_quarantine.rejected_part(self._request.shared_parts):
                    return None
                if state.quarantine.is_quarantined(self._quarantine_key, now):
                    return None
                has_ended = now >= give_up_at and not self._needs_capacity
                if has_ended and ticket.grant is None:
                    # Nothing has changed since the last selection.
                    return None
                changes_seen = state.wait_queue.change_count
                entry = await self._acquire(ticket, now)
                if entry is not None:
                    return entry
                if self.back_off_s is not None:
                    return None
                if self._is_version_missing():
                    self.reason = "version_not_served"
                    return None
                give_up_at = min(started_at + limit_s, state.queue_deadline)
                if now >= give_up_at:
                    return None
                if self._is_queue_too_long(started_at + limit_s):
                    self.reason = QUEUE_TOO_LONG_REASON
                    if self.is_engine and not (is_waiting or self._silent_server):
                        self._count_as_waiting(self.predicted_wait_s)
                    return None
                if not is_waiting:
                    is_waiting = True
                    if self.is_engine:
                        state.demand.adjust(self.demand_key, now, waiting=1)
                        state.replan_requested.set()
                has_missed_change = changes_seen != state.wait_queue.change_count
                now = monotonic_s()
                select_again_at = min(
                    self._select_again_at(now, has_missed_change),
                    give_up_at,
                    self._deadline - MIN_ATTEMPT_TIME_S,
                )
                await state.wait_queue.wait(
                    self.priority,
                    self._goal_at,
                    self._deadline,
                    max(MIN_WAIT_INTERVAL_S, select_again_at - now),
                    ticket.number,
                    self._request.organisation or "",
                    service=self.service,
                    model=self._request.model if self.is_engine else "",
                    needs_capacity=self._needs_capacity,
                )
        finally:
            self.waited_s += monotonic_s() - selected_at
            if is_waiting and self.is_engine:
                state.demand.adjust(self.demand_key, monotonic_s(), waiting=-1)

    def _is_queue_too_long(self, limit_at: float) -> bool:
        """Tell whether the predicted wait is longer than the request may wait.

        A stream that goes on waits for an engine all the same, as its caller cannot be
        told to come back.

        :param limit_at: The end of the time that it may wait, in seconds.
        """
        predicted_s, now = self.predicted_wait_s, monotonic_s()
        remaining_s = self._deadline - now
        if not self.is_engine:
            return waiting.is_too_late(predicted_s, remaining_s)
        if self.required_version is not None:
            return False
        return waiting.is_engine_queue_too_long(
            predicted_s, limit_at - now, remaining_s, self._route
        )

    def _select_again_at(self, now: float, has_missed_change: bool) -> float:
        """Return when to select again for a request that nothing wakes before.

        :param has_missed_change: Whether servers have changed since the last selection
            began, for which the request was not woken as it did not wait yet.
        """
        if self._needs_capacity or has_missed_change:
            return now + CAPACITY_CHECK_INTERVAL_S
        times = [now + MAX_WAIT_INTERVAL_S, self._back_off_ends_at]
        if self._asked_servers:
            times.append(self._ask_again_at)
        if self.is_engine:
            fleet, request = self._state.fleet, self._request
            held_again_at = fleet.held_again_at(
                self.service, request.model, request.adapter, now
            )
            times.append(held_again_at)
        return min(times)

    async def _acquire(self, ticket: SlotTicket, now: float) -> ServerEntry | None:
        """Return a server that can take the request now, None if there is none.

        Servers with a limit come last, except for a request now and then that shows
        whether the limit still holds.
        """
        groups = self.groups(self.serving(now), now)
        self._needs_capacity = any(have_limit for _, have_limit in groups)
        for servers, have_limit in groups:
            if have_limit:
                is_only_choice = len(groups) == 1
                entry = await self._acquire_limited(servers, is_only_choice)
            else:
                entry = await self._acquire_unlimited(ticket, servers, now)
            if entry is not None:
                return entry
            now = monotonic_s()
        return None

    def groups(
        self, serving: Sequence[ServerEntry], now: float
    ) -> list[tuple[Sequence[ServerEntry], bool]]:
        """Return groups of servers in the order in which they are tried.

        :return: The servers of each group, and whether they have a limit.
        """
        limited = [e for e in serving if self._has_limit(e)]
        if not limited:
            return [(serving, False)]
        others = [e for e in serving if not self._has_limit(e)]
        if not others:
            return [(limited, True)]
        loads = self._state.loads
        are_avoided = all(
            loads.get_or_create(e.incarnation).is_avoided(now) for e in others
        )
        is_limit_first = are_avoided or self._is_limit_check_due(limited, now)
        first = [(limited, True)] if is_limit_first else []
        return [*first, (others, False), (limited, True)]

    def _is_version_missing(self) -> bool:
        """Tell whether no server can go on with the stream that the request resumes.

        Adapters are loaded while a request waits, models may be loaded elsewhere.
        """
        if self.required_version is None or self.reason == "servers_full":
            return False
        fleet, now = self._state.fleet, monotonic_s()
        return not any(
            e.version == self.required_version
            and (not self.is_engine or fleet.holds(e, self._request.model, "", now))
            for e in fleet.ready_servers(self.service)
        )

    def is_brittle(self, entry: ServerEntry, now: float) -> bool:
        """Tell whether a server gets nothing but what its allocator has granted.

        One with a limit gets nothing but what has a permit, which is less.
        """
        return self._state.brittle.is_brittle(entry, now) and not self._has_limit(entry)

    def _has_limit(self, entry: ServerEntry) -> bool:
        return self._state.limits.per_s(entry.incarnation) is not None

    def _is_limit_check_due(self, limited: Sequence[ServerEntry], now: float) -> bool:
        """Tell whether this request should show whether a server's limit still holds.

        One of the hosts at a time decides so, on average.
        """
        state = self._state
        age_s = max(state.limits.age_s(e.incarnation, now) for e in limited)
        is_chosen = state.rng.random() * state.host_count < 1.0
        return age_s > LIMIT_CHECK_INTERVAL_S and is_chosen

    async def _acquire_limited(
        self, limited: Sequence[ServerEntry], is_only_choice: bool
    ) -> ServerEntry | None:
        """Return a server with a limit for which the request has a permit.

        :param is_only_choice: Whether no other server can run the request; its caller
            is then told when to come back, and a permit is reserved for it.
        """
        limited = self.limited_to_ask(limited, monotonic_s())
        soonest, soonest_s = limited[0], math.inf
        if len(limited) > 1 or not is_only_choice:
            for entry in limited:
                permit = await self._permits.acquire(
                    entry, self._fingerprint, asks_anew=is_only_choice
                )
                if isinstance(permit, Permit):
                    self._permit = permit
                    return entry
                if permit.wait_s < soonest_s:
                    soonest, soonest_s = entry, permit.wait_s
        if not is_only_choice:
            return None
        remaining_s = self._deadline - monotonic_s()
        permit = await self._permits.acquire(soonest, self._fingerprint, remaining_s)
        if isinstance(permit, Permit):
            self._permit = permit
            return soonest
        self.reason = "servers_limited"
        self.back_off_s = permit.wait_s + RETURN_MARGIN_S
        if not permit.is_reserved:
            spread = UNRESERVED_SPREAD * self._state.rng.random()
            self.back_off_s += spread * permit.wait_s
        if self.is_engine:
            self._count_as_waiting(self.back_off_s)
        return None

    def limited_to_ask(
        self, limited: Sequence[ServerEntry], now: float
    ) -> list[ServerEntry]:
        """Return the servers with a limit for which to request permits, in order."""
        running = self._running(limited, now)
        own_zone = self._state.settings.zone
        return sorted(
            limited,
            key=lambda e: (
                e.server in self.tried_servers,
                e.zone != own_zone,
                running[e.server],
            ),
        )[:MAX_LIMITED_ASKED]

    def _count_as_waiting(self, seconds: float) -> None:
        """Count a rejected request as waiting for a while.

        Otherwise no further copy would be loaded of a model whose only engine has a
        limit, or a queue that is too long.
        """
        demand, key = self._state.demand, self.demand_key
        demand.adjust(key, monotonic_s(), waiting=1)
        self._state.replan_requested.set()
        asyncio.get_running_loop().call_later(
            min(seconds, MAX_COUNTED_WAIT_S),
            lambda: demand.adjust(key, monotonic_s(), waiting=-1),
        )

    async def _acquire_unlimited(
        self, ticket: SlotTicket, serving: Sequence[ServerEntry], now: float
    ) -> ServerEntry | None:
        """Return one of the servers without a limit that can take the request now."""
        if not self._slots.is_active:
            free = [e for e in serving if not self.is_brittle(e, now)]
            self._needs_capacity |= bool(free)
            entry = self.choose(free, now)
            if entry is not None or len(free) == len(serving):
                return entry
            serving = self.with_connections_left(
                [e for e in serving if self.is_brittle(e, now)]
            )
        elif not self.is_engine:
            serving = self.with_connections_left(serving)
            if not serving:
                self.reason = "no_connection"
        if not serving:
            self._asked_servers, self._silent_zones = set(), set()
            self._predictions = {}
        elif ticket.grant is None:
            await self._ask_if_due(ticket, serving, now)
            if ticket.grant is None and self._silent_zones:
                zones = self._zones_to_choose_alone()
                return self.choose_alone(serving, zones, monotonic_s())
        return self._granted_server(ticket)

    def with_connections_left(
        self, serving: Sequence[ServerEntry]
    ) -> list[ServerEntry]:
        """Return the servers to which this host may open another connection."""
        remaining = [e for e in serving if self.has_connections_left(e)]
        self._needs_capacity |= len(remaining) < len(serving)
        return remaining

    async def _ask_if_due(
        self, ticket: SlotTicket, serving: Sequence[ServerEntry], now: float
    ) -> None:
        """Ask for a slot, unless this was done and nothing has changed.

        Queued requests are woken by a grant.  They ask again only if there are other
        engines to run them, and now and then because messages may be lost.  Allocators
        that could not be reached are asked at each selection; the exchange sends them
        nothing for a while.
        """
        servers = {entry.incarnation for entry in serving}
        if servers != self._asked_servers or now >= self._ask_again_at:
            self._asked_servers = servers
            self._ask_again_at = now + REPEAT_INTERVAL_S
            self._questions = self.servers_by_allocator(serving, now)
            self._predictions = {}
            self._silent_zones, self._is_queued = await self._ask_zones(
                ticket, self._questions, now
            )
        elif self._silent_zones:
            self._silent_zones, is_queued = await self._ask_zones(
                ticket, self._silent_zones, now
            )
            self._is_queued |= is_queued

    def choose_alone(
        self, serving: Sequence[ServerEntry], zones: Set[str], now: float
    ) -> ServerEntry | None:
        """Choose a server of the zones whose allocators cannot be reached."""
        remaining = [
            e
            for e in serving
            if self._zone_to_ask(e, now) in zones and not self.is_brittle(e, now)
        ]
        self._needs_capacity |= bool(remaining)
        if self.is_engine or not self._slots.is_active:
            return self.choose(remaining, now)
        return self._draw(remaining, now)

    def _draw(self, serving: Sequence[ServerEntry], now: float) -> ServerEntry | None:
        """Draw a plain server while the allocator of the service does not reply."""
        loads = self._state.loads
        usable = [
            e for e in serving if not loads.get_or_create(e.incarnation).is_avoided(now)
        ]
        untried = [e for e in usable if e.server not in self.tried_servers]
        candidates = untried or usable or serving
        times = self.relative_times(candidates, now)
        return server_choice.draw_by_speed(candidates, times, self._state.rng.random)

    def _zones_to_choose_alone(self) -> Set[str]:
        return server_choice.zones_to_choose_alone(
            self._silent_zones, self._is_queued, self._state.settings.zone
        )

    def _granted_server(self, ticket: SlotTicket) -> ServerEntry | None:
        if ticket.grant is None:
            return None
        server, started_ms = ticket.grant.engine
        entry = self._state.fleet.entries.get(server)
        is_current = entry is not None and entry.started_ms == started_ms
        if is_current and self.may_send_to(entry, monotonic_s()):
            return entry
        self.reason = "no_server"
        self._slots.release(ticket, SlotQuality.UNUSED)
        return None

    def servers_by_allocator(
        self, serving: Sequence[ServerEntry], now: float
    ) -> dict[str, tuple[tuple[str, ...], bool]]:
        """Return which zones' allocators to ask for which servers, in this order.

        A waiting request asks again when the first avoided server may be used.  One
        that is queued in all zones of the same engines asks them in the same order as
        before, whatever their load is now: finding the order takes most of the time of
        a selection.

        :return: By zone, the servers and whether the slots are those of brittle ones.
        """
        state = self._state
        preferred = []
        for entry in serving:
            load = state.loads.get_or_create(entry.incarnation)
            if now < load.avoid_until:
                self._ask_again_at = min(self._ask_again_at, load.avoid_until)
            if entry.server not in self.tried_servers and not load.is_avoided(now):
                preferred.append(entry)
        # The allocator grants the first of several engines that are equally loaded.
        candidates: Sequence[ServerEntry] = preferred or serving
        known, self._questioned = self._questioned, tuple(e.server for e in candidates)
        are_known = known == self._questioned
        has_fixed_zones = self.is_engine and not state.brittle.has_any(now)
        if are_known and has_fixed_zones and len(self._questions) <= MAX_ZONES_ASKED:
            return self._questions
        if len(candidates) > 1:
            candidates = sorted(
                candidates, key=lambda e: not state.pools.has_idle(e, now)
            )
        zones = server_choice.zones_by_load(
            candidates,
            self._running(candidates, now),
            state.settings.zone,
            self.relative_times(candidates, now),
        )
        members_of: dict[str, list[ServerEntry]] = {zone: [] for zone in zones}
        for entry in candidates:
            members_of[entry.zone].append(entry)
        by_allocator: dict[str, tuple[tuple[str, ...], bool]] = {}
        for zone, members in members_of.items():
            are_brittle = all(self.is_brittle(e, now) for e in members)
            if are_brittle:
                zone = self._slots.allocating_zone(zone, now)
            else:
                zone = self._zone_to_ask(members[0], now)
            servers, has_brittle = by_allocator.get(zone, ((), False))
            servers += tuple(entry.server for entry in members)
            by_allocator[zone] = servers, has_brittle or are_brittle
        return by_allocator

    async def _ask_zones(
        self, ticket: SlotTicket, zones: Iterable[str], now: float
    ) -> tuple[set[str], bool]:
        """Ask the allocators of zones for a slot until one grants it.

        :return: The zones whose allocators cannot be reached, and whether any other
            allocator has granted a slot or queued the request.
        """
        silent_zones = set()
        asked = 0
        for zone in zones:
            servers, are_brittle = self._questions[zone]
            ticket.wait_s = 0.0
            slot_request = self.slot_request(ticket.number, servers, now)
            outcome = await self._slots.ask(ticket, zone, slot_request, are_brittle)
            if outcome is SlotOutcome.UNAVAILABLE:
                silent_zones.add(zone)
                continue
            self._predictions[zone] = (ticket.wait_s, monotonic_s())
            asked += 1
            if ticket.grant is not None or asked >= MAX_ZONES_ASKED:
                break
        return silent_zones, asked > 0

    def slot_request(
        self, number: int, servers: tuple[str, ...], now: float
    ) -> SlotRequest:
        """Return the request for a slot at one of several servers."""
        return SlotRequest(
            self._state.settings.host,
            number,
            servers,
            self.priority,
            self._deadline - now,
            max(0.0, self._goal_at - now),
            self._request.organisation or "",
        )

    def _zone_to_ask(self, entry: ServerEntry, now: float) -> str:
        """Return the zone whose allocator grants the slots of a server."""
        if self.is_engine or not self._slots.is_active:
            return entry.zone
        return self._slots.plain_zone(entry.service, now)

    def relative_times(
        self, entries: Sequence[ServerEntry], now: float
    ) -> Mapping[Incarnation, float]:
        """Return how long work takes at each server, nothing if none states it."""
        servers = (entry.incarnation for entry in entries)
        return self._state.speeds.relative_times(servers, now)

    def _running(self, entries: Sequence[ServerEntry], now: float) -> dict[str, float]:
        """Return the estimated number of requests at each server."""
        loads = self._state.loads
        return {
            e.server: loads.get_or_create(e.incarnation).running(now) for e in entries
        }

    def serving(self, now: float) -> Sequence[ServerEntry]:
        """Return the servers that can run the request, whether or not they are full.

        Those that cannot be reached are among them only if no other can run it, and
        only until the request has tried one.  It sets ``reason`` and ``back_off_s``.
        """
        fleet, request = self._state.fleet, self._request
        if self.is_engine:
            serving = fleet.ready_holders(
                self.service, request.model, request.adapter, now
            )
        else:
            serving = fleet.ready_servers(self.service)
        candidates = self._of_required_version(serving)
        serving = self._without_unreachable(candidates, now)
        are_unreachable = bool(candidates) and not serving
        serving = self._without_leaving(serving, now)
        if self._silent_server:
            serving = [entry for entry in serving if self._may_take_over(entry, now)]
        untils = [self._back_off_until(entry) for entry in serving]
        self._back_off_ends_at = min((u for u in untils if u > now), default=math.inf)
        self.back_off_s = waiting.back_off_s(untils, now)
        if self.back_off_s is not None:
            self.reason = "servers_back_off"
            return []
        if self._back_off_ends_at < math.inf:
            serving = [
                e for e, until in zip(serving, untils, strict=True) if until <= now
            ]
        if serving:
            self.reason = "servers_full"
        elif are_unreachable:
            self.reason = "servers_unreachable"
        elif self._of_required_version(fleet.ready_servers(self.service)):
            self.reason = "model_not_loaded"
        else:
            self.reason = "no_server"
        return self._only_for_suspect(serving, now)

    def _of_required_version(
        self, servers: Sequence[ServerEntry]
    ) -> Sequence[ServerEntry]:
        if self.required_version is None:
            return servers
        return [entry for entry in servers if entry.version == self.required_version]

    def _only_for_suspect(
        self, serving: Sequence[ServerEntry], now: float
    ) -> Sequence[ServerEntry]:
        """Return the engine to use if a part of the prompt may crash engines."""
        parts = self._request.shared_parts if self.is_engine else ()
        suspects = self._state.prompt_quarantine.suspects(parts)
        if not suspects:
            return serving
        loads = self._state.loads
        return server_choice.only_for_suspect(
            serving,
            suspects[0],
            lambda entry: (
                entry.server not in self.tried_servers
                and not loads.get_or_create(entry.incarnation).is_avoided(now)
            ),
        )

    def _may_take_over(self, entry: ServerEntry, now: float) -> bool:
        """Tell whether a server is preferred to the silent one."""
        load = self._state.loads.get_or_create(entry.incarnation)
        return entry.server != self._silent_server and not load.is_avoided(now)

    def may_send_to(self, entry: ServerEntry, now: float) -> bool:
        """Tell whether a server that was chosen before may still get the request."""
        return (
            self._state.fleet.is_ready(entry)
            and self._back_off_until(entry) <= now
            and self.required_version in (None, entry.version)
            and bool(self._without_leaving([entry], now))
        )

    def is_permitted(self, entry: ServerEntry, now: float) -> bool:
        """Tell whether the request may be sent as far as limits and slots go."""
        if self.is_brittle(entry, now) and (
            self._ticket is None or not self._ticket.may_use(entry.incarnation, now)
        ):
            return False
        if not self._has_limit(entry):
            return True
        permit = self._permit
        return (
            permit is not None
            and permit.server == entry.incarnation
            and now <= permit.expires_at
        )

    def _back_off_until(self, entry: ServerEntry) -> float:
        return self._state.loads.get_or_create(entry.incarnation).back_off_until

    def _without_unreachable(
        self, servers: Sequence[ServerEntry], now: float
    ) -> Sequence[ServerEntry]:
        loads = self._state.loads
        if loads.are_all_reachable(now):
            return servers
        return server_choice.without_unreachable(
            servers,
            lambda e: loads.get_or_create(e.incarnation).is_unreachable(now),
            bool(self._unreached),
        )

    def _without_leaving(
        self, servers: Sequence[ServerEntry], now: float
    ) -> Sequence[ServerEntry]:
        if not self._state.fleet.leaving():
            return servers
        return server_choice.without_leaving(
            servers,
            lambda entry: self._state.fleet.leaving_s(entry, now),
            self._state.settings.bounds.server_drain_s,
        )

    def choose(self, serving: Sequence[ServerEntry], now: float) -> ServerEntry | None:
        """Return the server that this host chooses by itself, None if all are full.

        It sets ``reason`` if one is full.
        """
        state = self._state
        untried = [e for e in serving if e.server not in self.tried_servers]
        candidates = []
        times = self.relative_times(serving, now)
        for entry in untried or serving:
            time = times.get(entry.incarnation)
            load = state.loads.get_or_create(entry.incarnation)
            running = load.running(now)
            refusal = self.capacity_refusal(entry, load, running, time)
            if refusal:
                self.reason = refusal
                continue
            candidates.append(
                server_choice.Candidate(
                    entry, running, load.failure_rate, load.is_avoided(now), time
                )
            )
        chosen = server_choice.choose(
            candidates, state.settings.zone, state.rng.random, state.host_count
        )
        return chosen.entry if chosen else None

    def capacity_refusal(
        self,
        entry: ServerEntry,
        load: ServerLoad,
        running: float,
        relative_time: float | None,
    ) -> str:
        """Return why this host sends a server nothing more now, "" if it would.

        :param running: Estimated number of requests there.
        :param relative_time: How long work takes there, None if it is not known.
        """
        is_engine = self.is_engine
        if waiting.is_full(running, entry.slots, is_engine, relative_time):
            return "servers_full"
        if not self.has_connections_left(entry):
            return "no_connection"
        return "" if self._may_send_prompt(load) else "engine_reads"

    def may_send_prompt(self, entry: ServerEntry) -> bool:
        """Tell whether a chosen server may be sent the prompt beside those it reads."""
        is_granted = self._ticket is not None
        load = self._state.loads.get_or_create(entry.incarnation)
        return is_granted or self._may_send_prompt(load)

    def _may_send_prompt(self, load: ServerLoad) -> bool:
        pending_tokens = sum(load.pending_prompt_tokens.values())
        return not self.is_engine or waiting.may_send_prompt(
            pending_tokens, self.prompt_tokens, self._state.host_count
        )

    def has_connections_left(self, entry: ServerEntry) -> bool:
        """Tell whether this host uses less than its share of a server's connections."""
        if self._spec is None:
            return True
        share = self._spec.max_connections / self._state.recent_max_host_count
        local_running = self._state.loads.get_or_create(entry.incarnation).local_running
        return local_running < max(1.0, share)


def _choose_service(state: GatewayState, route: Route) -> str:
    """Choose a service at random, according to the weights of the route's targets."""
    if len(route.targets) == 1:
        return route.targets[0][0]
    services = [service for service, _ in route.targets]
    weights = [weight for _, weight in route.targets]
    return state.rng.choices(services, weights)[0]

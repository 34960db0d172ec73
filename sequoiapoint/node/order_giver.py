"""Gives orders to engines while this host holds the lease for it."""

import asyncio
import math
from collections import Counter, deque
from collections.abc import Mapping

import xxhash

from sequoiapoint.coordination import model_placement
from sequoiapoint.coordination.model_placement import PlannedOrder, Wish
from sequoiapoint.coordination.order_lease import OrderLease
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.gateway import (
    EngineSpec,
    Order,
    OrderAction,
    OrderResult,
    ServerState,
    Unreadable,
)
from sequoiapoint.state.engine_ledger import REPORT_LAG_S, EngineRecord
from sequoiapoint.transport.clock import monotonic_s, since_boot_s
from sequoiapoint.transport.loop_client import call
from sequoiapoint.transport.store_client import StoreClient

GROUP = "engine-orders"
GROUP_TOPIC = "engine-orders"
LEASE_S = 1.8
"""For how long the store keeps a silent holder; a gap in orders costs callers more than
renewals, of which ten have the price of a call."""
HOLDER_RENEWAL_S = 0.45
"""Time between renewals by the holder: four in a lease, three while it is trusted."""
CANDIDATE_RENEWAL_S = 0.8
"""The same for hosts that would follow it: two in a lease."""
HOLDER_NOW_S = 0.6
"""Age of a digest up to which its sender counts as giving orders still."""
HOLDER_SILENCE_S = 1.2
"""Age of a holder's last digest from which others want to follow it: two digests lost,
and less than the time for which the store keeps its lease."""
CANDIDATES = 3
"""Hosts that want to follow a silent holder; others do when these fall silent too."""
FIRST_JOIN_DELAY_S = 0.6
"""Time after the start before a host may join the group: a join that was not needed
moves the lease."""
OUTSIDER_CHECK_S = 0.2
"""Time between looks at whether this host should be in the group."""
PLAN_INTERVAL_S = 0.2
"""Time between looks at the placement when nothing asks for one."""
LEAST_PLAN_INTERVAL_S = 0.01
"""Least time between looks: several requests that wait are then seen in one."""
ORDER_TIMEOUT_S = 0.8
"""Time for an engine's answer; it comes within milliseconds or not at all."""
ADAPTER_EVICTION_S = 1.0
"""Time after which an engine is asked whether an adapter in use has left its place; of
the order of a short stream."""
ADAPTER_LOAD_S = 0.016
"""How long an adapter takes to load, at the upper end of what engines need."""
UNUSED_EVICTION_S = 0.06
"""How long the eviction of a model takes that no request uses: some round trips."""
LOAD_MARGIN_S = 0.1
"""Time after a load's due end before it is believed done."""
SMOOTHING_S = 1.0
"""Time constant of the demand that copies follow: a shift of demand shows within it."""
ADAPTER_RECENT_S = 5.0
"""Time after its last request for which an adapter counts as asked for."""
DEMAND_LOG_INTERVAL_S = 1.0
"""Time between log lines about the demand."""
DEMAND_LOG_MODELS = 5
"""Models in such a line, the most wanted first: requests at servers, requests that
wait, copies."""
EVICTION_NOTICE_S = 0.08
"""How long before an eviction the other hosts are told to send no more."""
STORE_LOAD_SHARE = 0.8
"""Part of the weight store's rate that is used."""


class OrderGiver:
    """Holds the lease, follows demand and gives orders."""

    def __init__(
        self, state: GatewayState, store: StoreClient, exchange: PeerExchange
    ) -> None:
        self._state = state
        self._store = store
        self._exchange = exchange
        bounds = state.settings.bounds
        self._lease = OrderLease(LEASE_S, bounds.order_lease_s, bounds.is_fence_checked)
        self._held_at = 0.0
        self._records: dict[tuple[str, int], EngineRecord] = {}
        self._in_work: dict[tuple[str, str], float] = {}
        self._asked_at: dict[tuple[str, str], float] = {}
        self._goals: dict[tuple[str, str], float] = {}
        self._priorities: dict[tuple[str, str], int] = {}
        self._adapter_asked_at: dict[tuple[str, str, str], float] = {}
        self._planned_at = 0.0
        self._logged_at = 0.0
        self._store_loads: deque[float] = deque()
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Renew the lease and plan for as long as the process runs."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._renew())
            tasks.create_task(self._plan_regularly())

    async def release(self) -> None:
        """Give the lease up, so that another host follows soon."""
        self._lease.release()
        self._exchange.fence = 0
        await self._store.leave(GROUP, self._state.settings.host)

    # Lease

    async def _renew(self) -> None:
        was_held = False
        # The first digests tell which hosts there are, and so who belongs to the group.
        await asyncio.sleep(FIRST_JOIN_DELAY_S)
        while not self._state.is_draining:
            is_held = self._lease.is_held(since_boot_s())
            if is_held or self._is_candidate():
                await self._join()
                is_held = self._lease.is_held(since_boot_s())
                pause_s = HOLDER_RENEWAL_S if is_held else CANDIDATE_RENEWAL_S
            else:
                pause_s = OUTSIDER_CHECK_S
            if is_held != was_held:
                was_held = is_held
                self._note_turn(is_held)
            await asyncio.sleep(pause_s)

    def _is_candidate(self) -> bool:
        """Tell whether this host should be in the group without holding the lease.

        While a holder is heard of, nobody else is: each member that comes or goes may
        move the lease.  All hosts rank the hosts that they hear of alike; views that
        differ for a while only make the group larger.
        """
        now = monotonic_s()
        if self._exchange.hears_other_holder(now, HOLDER_SILENCE_S):
            return False
        own = self._state.settings.host
        hosts = [own, *(p.host for p in self._exchange.peers.live(now))]
        hosts.sort(key=lambda host: xxhash.xxh64_intdigest(host.encode()))
        return own in hosts[:CANDIDATES]

    async def _join(self) -> None:
        asked_at = since_boot_s()
        answer = await self._store.join(
            GROUP,
            GROUP_TOPIC,
            self._state.settings.host,
            LEASE_S,
            self._lease.generation,
        )
        if not isinstance(answer, Failure) and not self._state.is_draining:
            self._lease.renew(answer, asked_at)

    def _note_turn(self, is_held: bool) -> None:
        """Start with no belief of one's own when the lease comes or goes."""
        self._records.clear()
        self._held_at = monotonic_s()
        self._exchange.fence = self._lease.fence if is_held else 0
        self._exchange.send_soon()
        self._state.log.event(
            "order_lease", "held" if is_held else "lost", fence=self._lease.fence
        )

    def _may_order(self) -> bool:
        return not self._state.is_draining and self._lease.may_order(since_boot_s())

    # Planning

    async def _plan_regularly(self) -> None:
        wants = self._state.wants_order
        while True:
            try:
                async with asyncio.timeout(PLAN_INTERVAL_S):
                    await wants.wait()
            except TimeoutError:
                pass
            wants.clear()
            if self._lease.is_held(since_boot_s()):
                self._exchange.fence = self._lease.fence
                self._plan()
            else:
                self._exchange.fence = 0
                if self._state.demand.waiting():
                    self._exchange.send_soon()
            await asyncio.sleep(LEAST_PLAN_INTERVAL_S)

    def _plan(self) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        now = monotonic_s()
        if self._exchange.hears_other_holder(now, HOLDER_NOW_S):
            self._lease.note_other_holder(since_boot_s())
        self._follow_demand(now)
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine, now)

    def _follow_demand(self, now: float) -> None:
        weight = 1.0 - math.exp(-(now - self._planned_at) / SMOOTHING_S)
        self._planned_at = now
        in_work: dict[tuple[str, str], int] = {}
        self._waiting: dict[tuple[str, str], int] = {}
        self._adapters_waiting: dict[str, dict[tuple[str, str], int]] = {}
        self._adapters_in_use: dict[str, set[tuple[str, str]]] = {}
        total = self._exchange.fleet_demand.total(now)
        for demand in total:
            key = (demand.service, demand.model)
            in_work[key] = in_work.get(key, 0) + demand.in_work
            self._waiting[key] = self._waiting.get(key, 0) + demand.waiting
            self._asked_at[key] = now
            self._goals[key] = min(demand.goal_s, self._goals.get(key, demand.goal_s))
            self._priorities[key] = min(
                demand.priority, self._priorities.get(key, demand.priority)
            )
            if demand.adapter:
                self._note_adapter(demand, now)
        for key in self._in_work.keys() | in_work.keys():
            value = self._in_work.get(key, 0.0)
            self._in_work[key] = value + weight * (in_work.get(key, 0) - value)

    def _note_adapter(self, demand: object, now: float) -> None:
        pair = (demand.model, demand.adapter)
        self._adapter_asked_at[(demand.service, *pair)] = now
        if demand.waiting:
            self._adapters_waiting.setdefault(demand.service, {})[pair] = demand.waiting
        if demand.in_work:
            self._adapters_in_use.setdefault(demand.service, set()).add(pair)
        for record in self._records.values():
            if demand.adapter in record.held.get(demand.model, ()):
                record.adapter_used[pair] = now

    def _plan_service(self, service: str, spec: EngineSpec, now: float) -> None:
        records = self._follow_engines(service, now)
        if not self._may_order():
            return
        settled = [r for r in records if not r.is_in_doubt]
        adapters_asked = Counter(
            model
            for (name, model, _), at in self._adapter_asked_at.items()
            if name == service and now - at < ADAPTER_RECENT_S
        )
        least_urgent = max(
            (
                route.priority
                for route in self._state.configuration.routes
                if any(target == service for target, _ in route.targets)
            ),
            default=0,
        )
        wishes = {
            model: Wish(
                self._in_work.get((service, model), 0.0),
                self._waiting.get((service, model), 0),
                now - self._asked_at.get((service, model), self._held_at),
                adapters_asked[model],
                self._goals.get((service, model)),
                self._priorities.get((service, model), 0) == least_urgent,
            )
            for model in spec.models
        }
        loads = {
            r.entry.server: self._state.loads.of(r.entry.incarnation).running(now)
            for r in settled
        }
        adapters = self._adapters_waiting.get(service, {})
        # Each plan leaves out the engines to which one before it gives an order.
        for order in model_placement.plan_adapters(
            settled, spec, adapters, self._adapters_in_use.get(service, set()), loads
        ):
            self._start(order, spec, now)
        left = self._store_loads_left(spec, now)
        self._log_demand(service, records, wishes, now)
        for order in model_placement.plan_models(settled, spec, wishes, left, now):
            self._start(order, spec, now)
        for order in model_placement.plan_spare_places(settled, spec, wishes):
            self._start(order, spec, now)

    def _log_demand(
        self,
        service: str,
        records: list[EngineRecord],
        wishes: Mapping[str, Wish],
        now: float,
    ) -> None:
        """Log what the placement is decided on, once in a while."""
        if now - self._logged_at < DEMAND_LOG_INTERVAL_S:
            return
        self._logged_at = now
        most = sorted(wishes, key=lambda model: -wishes[model].requests)
        self._state.log.event(
            "demand",
            service=service,
            engines=len(records),
            in_doubt=sum(record.is_in_doubt for record in records),
            busy=sum(record.is_busy for record in records),
            models=",".join(
                f"{m}:{wishes[m].in_work:.1f}+{wishes[m].waiting}"
                f"/{sum(m in record.held for record in records)}"
                for m in most[:DEMAND_LOG_MODELS]
            ),
        )

    def _follow_engines(self, service: str, now: float) -> list[EngineRecord]:
        """Return the records of the engines that take orders."""
        fleet = self._state.fleet
        live = {
            e.incarnation: e for e in fleet.entries.values() if e.service == service
        }
        gone = [
            i
            for i, record in self._records.items()
            if record.entry.service == service and i not in live
        ]
        for incarnation in gone:
            del self._records[incarnation]
        for incarnation, entry in live.items():
            if entry.state is not ServerState.READY:
                self._records.pop(incarnation, None)
                continue
            record = self._records.get(incarnation)
            if record is None:
                record = self._records[incarnation] = EngineRecord(entry)
            record.entry = entry
            self._finish_if_due(record, now)
        return [r for i, r in self._records.items() if i in live]

    def _finish_if_due(self, record: EngineRecord, now: float) -> None:
        """Take an order for done when it is due, or ask the engine."""
        if record.has_order_in_flight:
            return
        if record.is_busy and now >= record.busy_until and not record.is_in_doubt:
            if record.coming:
                self._log_change(record, "loaded", record.coming)
                self._keep_for_a_while(record, record.coming)
                record.coming = ""
                self._publish(record)
            elif record.is_eviction_quick:
                # If requests are left after all, the next order is refused as early.
                record.held.pop(record.leaving_model, None)
                record.leaving_model = ""
                record.is_eviction_quick = False
                return
            record.doubt(now)
        needs_report = record.is_in_doubt or bool(record.leaving_adapters)
        if needs_report and now >= record.ask_after:
            record.has_order_in_flight = True
            self._spawn(self._ask(record))

    def _keep_for_a_while(self, record: EngineRecord, model: str) -> None:
        """Let a new copy stay long enough to be of use."""
        record.new_models.add(model)
        asyncio.get_running_loop().call_later(
            model_placement.LEAST_STAY_S, record.new_models.discard, model
        )

    def _store_loads_left(self, spec: EngineSpec, now: float) -> int:
        window_s = self._state.settings.bounds.store_load_window_s
        while self._store_loads and now - self._store_loads[0] > window_s:
            self._store_loads.popleft()
        allowed = int(spec.store_loads_per_s * window_s * STORE_LOAD_SHARE)
        return allowed - len(self._store_loads)

    # Orders

    def _spawn(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start(self, planned: PlannedOrder, spec: EngineSpec, now: float) -> None:
        record = planned.record
        record.has_order_in_flight = True
        if planned.is_store_load:
            self._store_loads.append(now)
        self._spawn(self._carry_out(planned, spec))

    async def _carry_out(self, planned: PlannedOrder, spec: EngineSpec) -> None:
        record = planned.record
        try:
            if planned.action is OrderAction.EVICT:
                self._withdraw(record, planned)
                if not planned.adapter:
                    await asyncio.sleep(EVICTION_NOTICE_S)
            if not self._may_order() or record.order_count is None:
                return
            order = Order(
                planned.action,
                planned.model,
                planned.adapter,
                record.order_count,
                self._state.settings.host,
                self._lease.fence,
            )
            result = await self._give(record, order)
            self._take_result(record, planned, spec, order, result)
        finally:
            record.has_order_in_flight = False
            self._state.wants_order.set()

    def _withdraw(self, record: EngineRecord, planned: PlannedOrder) -> None:
        """Let no host send for what is about to be evicted."""
        if planned.adapter:
            record.held[planned.model].discard(planned.adapter)
        else:
            record.leaving_model = planned.model
        self._publish(record)

    async def _give(self, record: EngineRecord, order: Order) -> OrderResult:
        codec = self._state.adapter.servers
        pool = self._state.pools.of(record.entry)
        request = codec.order_call(record.entry, order)
        answer = await call(pool, record.entry.address, request, ORDER_TIMEOUT_S)
        result = (
            OrderResult.UNANSWERED
            if isinstance(answer, Failure)
            else codec.order_result(answer.status)
        )
        self._state.metrics.order(order.action.value, result.value)
        self._state.log.event(
            "order",
            result.value,
            server=record.entry.server,
            action=order.action.value,
            model=order.model,
            adapter=order.adapter,
            expected_count=order.expected_count,
            fence=order.fence,
            error=answer if isinstance(answer, Failure) else None,
        )
        return result

    def _take_result(
        self,
        record: EngineRecord,
        planned: PlannedOrder,
        spec: EngineSpec,
        order: Order,
        result: OrderResult,
    ) -> None:
        now = monotonic_s()
        if result is OrderResult.FENCED:
            self._lease.note_refused(order.fence)
        if result not in (OrderResult.STARTED, OrderResult.ALREADY_SO):
            record.leaving_model = ""
            record.doubt(now)
            return
        record.order_count = order.expected_count + 1
        if planned.adapter:
            self._take_adapter_result(record, planned, result)
        elif planned.action is OrderAction.LOAD:
            record.held[planned.model] = set()
            load_s = model_placement.load_seconds(record, spec, planned.model)
            record.coming = planned.model
            record.busy_until = now + load_s + LOAD_MARGIN_S
        else:
            is_unused = (
                self._in_work.get((record.entry.service, planned.model), 0.0) < 1
            )
            record.busy_until = now + (UNUSED_EVICTION_S if is_unused else REPORT_LAG_S)
            record.is_eviction_quick = is_unused
        if result is OrderResult.ALREADY_SO and not planned.adapter:
            record.doubt(now)

    def _take_adapter_result(
        self, record: EngineRecord, planned: PlannedOrder, result: OrderResult
    ) -> None:
        pair = (planned.model, planned.adapter)
        if planned.action is OrderAction.EVICT:
            if result is OrderResult.STARTED:
                # Its requests end first; a report tells when its place is free.
                record.leaving_adapters.add(pair)
                record.ask_after = monotonic_s() + ADAPTER_EVICTION_S
            return
        record.held.setdefault(planned.model, set()).add(planned.adapter)
        record.adapter_used.setdefault(pair, monotonic_s())
        record.coming_adapters.add(pair)
        asyncio.get_running_loop().call_later(
            ADAPTER_LOAD_S, self._finish_adapter, record, pair
        )

    def _finish_adapter(self, record: EngineRecord, pair: tuple[str, str]) -> None:
        record.coming_adapters.discard(pair)
        self._publish(record)

    async def _ask(self, record: EngineRecord) -> None:
        """Settle what an engine holds by its own report."""
        try:
            codec = self._state.adapter.servers
            pool = self._state.pools.of(record.entry)
            request = codec.report_call(record.entry)
            answer = await call(pool, record.entry.address, request, ORDER_TIMEOUT_S)
            now = monotonic_s()
            if isinstance(answer, Failure) or answer.status != 200:
                record.ask_after = now + REPORT_LAG_S
                return
            report = codec.decode_report(answer.body)
            if isinstance(report, Unreadable):
                record.ask_after = now + REPORT_LAG_S
                self._state.log.event(
                    "report_unreadable",
                    server=record.entry.server,
                    reason=report.reason,
                )
                return
            record.take_report(report, now)
            self._log_change(record, "reported", ",".join(sorted(record.held)))
            self._publish(record)
        finally:
            record.has_order_in_flight = False
            self._state.wants_order.set()

    def _publish(self, record: EngineRecord) -> None:
        """Tell all hosts what requests an engine can be sent."""
        incarnation = record.entry.incarnation
        if self._state.fleet.set_held(incarnation, record.usable()):
            self._state.waiting.notify()
            self._exchange.send_soon(incarnation)

    def _log_change(self, record: EngineRecord, outcome: str, models: str) -> None:
        self._state.log.event(
            "engine",
            outcome,
            server=record.entry.server,
            models=models,
            adapters=record.adapter_count,
            order_count=record.order_count,
        )

"""Gives orders to engines while this host holds the lease for it.

The decisions are in ``coordination``; this asks, orders and keeps the ledger of what
each engine has accepted.
"""

import asyncio
from collections import deque
from collections.abc import Mapping

from sequoiapoint.coordination import adapter_placement, model_placement
from sequoiapoint.coordination.demand_history import DemandHistory
from sequoiapoint.coordination.model_placement import DemandStats, PlannedOrder
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.lease_manager import LeaseManager
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.gateway import (
    EngineSpec,
    Incarnation,
    Order,
    OrderAction,
    OrderResult,
    ServerState,
    Unreadable,
)
from sequoiapoint.state.engine_ledger import REPORT_LAG_S, EngineRecord
from sequoiapoint.transport.async_http_client import call
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.store_client import StoreClient

PLAN_INTERVAL_S = 0.2
"""Time between looks at the placement when nothing asks for one."""
LEAST_PLAN_INTERVAL_S = 0.01
"""Least time between looks: several requests that wait are then seen in one."""
PLAN_SHARE = 0.2
"""Part of the process's time that plans may take: with many hosts, models and engines
they come less often, and requests go on meanwhile."""
MODEL_PLAN_SHARE = 0.1
"""Part of it that plans for models may take, which cost most and can wait longest."""
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
DEMAND_LOG_INTERVAL_S = 1.0
"""Time between log lines about the demand."""
DEMAND_LOG_MODELS = 5
"""Models in such a line, the most wanted first: requests at servers, requests that
wait, copies."""
EVICTION_NOTICE_S = 0.08
"""How long before an eviction the other hosts are told to send no more."""
STORE_LOAD_SHARE = 0.8
"""Part of the weight store's rate that is used."""


class PlacementController:
    """Holds the lease, follows demand and gives orders."""

    def __init__(
        self, state: GatewayState, store: StoreClient, exchange: PeerExchange
    ) -> None:
        self._state = state
        self._store = store
        self._exchange = exchange
        self._lease = LeaseManager(state, store, exchange, self._start_anew)
        self._records: dict[Incarnation, EngineRecord] = {}
        self._demand = DemandHistory(monotonic_s())
        self._logged_at = 0.0
        self._models_due_at = 0.0
        self._reports_tell_at = 0.0
        self._store_loads: deque[float] = deque()
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Renew the lease and plan for as long as the process runs."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._lease.run())
            tasks.create_task(self._plan_regularly())

    async def release(self) -> None:
        """Give the lease up, so that another host follows soon."""
        await self._lease.release()

    def _start_anew(self) -> None:
        """Drop what is believed of engines and demand when the lease comes or goes."""
        now = monotonic_s()
        self._records.clear()
        self._demand = DemandHistory(now)
        # What an earlier holder ordered last may not show in a report before.
        self._reports_tell_at = now + REPORT_LAG_S

    # Planning

    async def _plan_regularly(self) -> None:
        wants = self._state.replan_requested
        while True:
            try:
                async with asyncio.timeout(PLAN_INTERVAL_S):
                    await wants.wait()
            except TimeoutError:
                pass
            wants.clear()
            began = monotonic_s()
            if self._lease.is_held:
                self._plan()
            elif self._state.demand.waiting():
                self._exchange.placement.schedule_demand_report()
            pause_s = _pause_s(monotonic_s() - began, PLAN_SHARE)
            await asyncio.sleep(max(LEAST_PLAN_INTERVAL_S, pause_s))

    def _plan(self) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        now = monotonic_s()
        self._demand.update(self._exchange.placement.fleet_demand.total(now), now)
        self._note_adapters_used(now)
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine, now)

    def _note_adapters_used(self, now: float) -> None:
        asked: dict[str, list[tuple[str, str]]] = {}
        for record in self._records.values():
            service = record.entry.service
            if service not in asked:
                asked[service] = self._demand.adapters_in_latest_reports(service)
            for pair in asked[service]:
                if pair[1] in record.held.get(pair[0], ()):
                    record.adapter_last_requested[pair] = now

    def _plan_service(self, service: str, spec: EngineSpec, now: float) -> None:
        records = self._follow_engines(service, now)
        if not self._lease.may_order():
            return
        settled = [r for r in records if not r.is_order_count_unknown]
        wishes = self._demand.demand_by_model(
            service,
            spec.models,
            self._state.configuration.least_urgent_priority(service),
            now,
        )
        loads = {
            r.entry.server: self._state.loads.get_or_create(
                r.entry.incarnation
            ).running(now)
            for r in settled
        }
        # Each plan leaves out the engines to which one before it gives an order.
        for order in adapter_placement.plan_adapters(
            settled,
            spec,
            self._demand.adapters_waiting(service),
            self._demand.adapters_in_use(service),
            loads,
        ):
            self._start(order, spec, now)
        self._log_demand(service, records, wishes, now)
        if now >= self._models_due_at:
            self._plan_service_models(settled, spec, wishes, now)
            ended = monotonic_s()
            self._models_due_at = ended + _pause_s(ended - now, MODEL_PLAN_SHARE)

    def _plan_service_models(
        self,
        settled: list[EngineRecord],
        spec: EngineSpec,
        wishes: Mapping[str, DemandStats],
        now: float,
    ) -> None:
        left = self._store_loads_left(spec, now)
        for order in model_placement.plan_models(settled, spec, wishes, left, now):
            self._start(order, spec, now)
        for order in adapter_placement.plan_prefetch(settled, spec, wishes):
            self._start(order, spec, now)

    def _log_demand(
        self,
        service: str,
        records: list[EngineRecord],
        wishes: Mapping[str, DemandStats],
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
            in_doubt=sum(record.is_order_count_unknown for record in records),
            busy=sum(record.is_busy for record in records),
            models=",".join(
                f"{m}:{wishes[m].running:.1f}+{wishes[m].waiting}"
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
                record = EngineRecord(entry, next_poll_at=self._reports_tell_at)
                self._records[incarnation] = record
            record.entry = entry
            self._finish_if_due(record, now)
        return [r for i, r in self._records.items() if i in live]

    def _finish_if_due(self, record: EngineRecord, now: float) -> None:
        """Take an order for done when it is due, or ask the engine."""
        if record.has_order_in_flight:
            return
        if (
            record.is_busy
            and now >= record.busy_until
            and not record.is_order_count_unknown
        ):
            if record.loading_model:
                self._log_change(record, "loaded", record.loading_model)
                self._keep_for_a_while(record, record.loading_model)
                record.loading_model = ""
                self._publish(record)
            elif record.is_eviction_immediate:
                # If requests are left after all, the next order is refused as early.
                record.held.pop(record.evicting_model, None)
                record.evicting_model = ""
                record.is_eviction_immediate = False
                return
            record.mark_order_count_unknown(now)
        needs_report = record.is_order_count_unknown or bool(record.evicting_adapters)
        if needs_report and now >= record.next_poll_at:
            record.has_order_in_flight = True
            self._spawn(self._ask(record))

    def _keep_for_a_while(self, record: EngineRecord, model: str) -> None:
        """Let a new copy stay long enough to be of use."""
        record.recently_loaded_models.add(model)
        asyncio.get_running_loop().call_later(
            model_placement.MIN_RESIDENCY_S,
            record.recently_loaded_models.discard,
            model,
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
            result = await self._order(planned, spec)
            is_place_free = result is OrderResult.ALREADY_DONE
            if planned.replacement is not None and is_place_free:
                load = PlannedOrder(record, OrderAction.LOAD, *planned.replacement)
                await self._order(load, spec)
        finally:
            record.has_order_in_flight = False
            self._state.replan_requested.set()

    async def _order(
        self, planned: PlannedOrder, spec: EngineSpec
    ) -> OrderResult | None:
        """Give an order; None where it may not be given any more."""
        record = planned.record
        if planned.action is OrderAction.EVICT:
            self._withdraw(record, planned)
            if not planned.adapter:
                await asyncio.sleep(EVICTION_NOTICE_S)
        if not self._lease.may_order() or record.order_count is None:
            record.mark_order_unconfirmed(monotonic_s())
            return None
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
        return result

    def _withdraw(self, record: EngineRecord, planned: PlannedOrder) -> None:
        """Let no host send for what is about to be evicted."""
        if planned.adapter:
            record.held[planned.model].discard(planned.adapter)
        else:
            record.evicting_model = planned.model
        self._publish(record, is_for_all=not planned.adapter)

    async def _give(self, record: EngineRecord, order: Order) -> OrderResult:
        codec = self._state.adapter.servers
        pool = self._state.pools.get_or_create(record.entry)
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
            self._lease.note_rejected(order.fence)
        if result not in (OrderResult.STARTED, OrderResult.ALREADY_DONE):
            record.mark_order_unconfirmed(now)
            return
        record.order_count = order.expected_count + 1
        if planned.adapter:
            self._take_adapter_result(record, planned, result)
        elif planned.action is OrderAction.LOAD:
            record.held[planned.model] = set()
            load_s = model_placement.load_seconds(record, spec, planned.model)
            record.loading_model = planned.model
            record.busy_until = now + load_s + LOAD_MARGIN_S
        else:
            is_unused = self._demand.running(record.entry.service, planned.model) < 1
            record.busy_until = now + (UNUSED_EVICTION_S if is_unused else REPORT_LAG_S)
            record.is_eviction_immediate = is_unused
        if result is OrderResult.ALREADY_DONE and not planned.adapter:
            record.mark_order_count_unknown(now)

    def _take_adapter_result(
        self, record: EngineRecord, planned: PlannedOrder, result: OrderResult
    ) -> None:
        pair = (planned.model, planned.adapter)
        if planned.action is OrderAction.EVICT:
            if result is OrderResult.STARTED:
                # Its requests end first; a report tells when its place is free.
                record.evicting_adapters.add(pair)
                record.next_poll_at = monotonic_s() + ADAPTER_EVICTION_S
            return
        record.held.setdefault(planned.model, set()).add(planned.adapter)
        record.adapter_last_requested.setdefault(pair, monotonic_s())
        record.loading_adapters.add(pair)
        record.adapter_load_accepted_at[pair] = monotonic_s()
        asyncio.get_running_loop().call_later(
            ADAPTER_LOAD_S, self._finish_adapter, record, pair
        )

    def _finish_adapter(self, record: EngineRecord, pair: tuple[str, str]) -> None:
        record.loading_adapters.discard(pair)
        self._publish(record, is_for_all=False)

    async def _ask(self, record: EngineRecord) -> None:
        """Settle what an engine holds by its own report."""
        try:
            codec = self._state.adapter.servers
            pool = self._state.pools.get_or_create(record.entry)
            request = codec.report_call(record.entry)
            answer = await call(pool, record.entry.address, request, ORDER_TIMEOUT_S)
            now = monotonic_s()
            if isinstance(answer, Failure) or answer.status != 200:
                record.next_poll_at = now + REPORT_LAG_S
                return
            report = codec.decode_report(answer.body)
            if isinstance(report, Unreadable):
                record.next_poll_at = now + REPORT_LAG_S
                self._state.log.event(
                    "report_unreadable",
                    server=record.entry.server,
                    reason=report.reason,
                )
                return
            record.apply_report(report, now)
            self._log_change(record, "reported", ",".join(sorted(record.held)))
            self._publish(record)
        finally:
            record.has_order_in_flight = False
            self._state.replan_requested.set()

    def _publish(self, record: EngineRecord, is_for_all: bool = True) -> None:
        """Tell hosts what requests an engine can be sent."""
        incarnation = record.entry.incarnation
        if self._state.fleet.set_held(incarnation, record.usable()):
            self._state.wait_queue.notify()
            self._exchange.placement.schedule_holding_update(incarnation, is_for_all)

    def _log_change(self, record: EngineRecord, outcome: str, models: str) -> None:
        self._state.log.event(
            "engine",
            outcome,
            server=record.entry.server,
            models=models,
            adapters=record.adapter_count,
            order_count=record.order_count,
        )


def _pause_s(cost_s: float, share: float) -> float:
    """Return the pause after work that may take a share of the time, in seconds."""
    return cost_s * (1.0 / share - 1.0)

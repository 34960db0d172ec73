"""Controls which models and adapters engines load, while this host is the leader.

The decisions are made in ``coordination``.  This module polls the engines' reports,
sends orders and maintains a record of the orders that each engine has accepted.
"""

import asyncio
from collections import deque
from collections.abc import Mapping

from sequoiapoint.coordination import (
    adapter_placement,
    model_placement,
    server_choice,
)
from sequoiapoint.coordination.demand_history import DemandHistory
from sequoiapoint.coordination.model_placement import DemandStats, PlannedOrder
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.lease_manager import LeaseManager
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import (
    EngineSpec,
    Incarnation,
    Order,
    OrderAction,
    OrderResult,
    ServerEntry,
    Unreadable,
)
from sequoiapoint.protocol.ports import HttpCall
from sequoiapoint.state.engine_ledger import REPORT_LAG_S, EngineRecord
from sequoiapoint.transport.async_http_client import Response, call
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.store_client import StoreClient

PLAN_INTERVAL_S = 0.2
"""Interval of planning passes while none is requested."""
IDLE_PLAN_INTERVAL_S = 1.0
"""The same on a host that is not the leader and has no waiting requests: there is
nothing to plan or to report until a pass is requested."""
MIN_PLAN_INTERVAL_S = 0.01
"""Minimum time between two planning passes, so that one pass covers several requests
that start to wait at about the same time."""
MAX_PLAN_SHARE = 0.2
"""Maximum share of the process's time spent on planning.  With many hosts, models and
engines, passes are less frequent so that requests are still served in between."""
MAX_MODEL_PLAN_SHARE = 0.1
"""Maximum share of the process's time spent on planning models, which is the most
expensive part and the least urgent."""
ORDER_TIMEOUT_S = 0.8
"""Timeout of a call to an engine, which responds within milliseconds or not at all."""
ADAPTER_EVICTION_POLL_DELAY_S = 1.0
"""Delay before an engine is polled for whether the eviction of an adapter in use has
completed; about the duration of a short stream."""
ADAPTER_LOAD_TIME_S = 0.016
"""Time to load an adapter, at the upper end of what engines need."""
UNUSED_EVICTION_TIME_S = 0.06
"""Time to evict a model that no request uses: a few round trips."""
LOAD_MARGIN_S = 0.1
"""Margin added to the expected duration of a load before it counts as completed."""
DEMAND_LOG_INTERVAL_S = 1.0
"""Minimum time between log lines about the demand."""
MAX_LOGGED_MODELS = 5
"""Number of models in such a line, those with the most requests first.  Each is logged
with its requests at servers, its waiting requests and its copies."""
EVICTION_DELAY_S = 0.08
"""Time between telling the other hosts to send no more requests for a model and its
eviction."""
DEMAND_WARM_UP_REPORTS = 1.5
"""Time after which a new leader knows the demand of all hosts, in intervals of their
reports.  Until then models in demand would seem to have surplus copies."""
MAX_STORE_LOAD_SHARE = 0.8
"""Share of the weight store's permitted load rate that is used."""


class PlacementController:
    """Plans the placement of models and adapters and sends the orders to engines."""

    def __init__(
        self, state: GatewayState, store: StoreClient, exchange: PeerExchange
    ) -> None:
        self._state = state
        self._store = store
        self._exchange = exchange
        self._lease = LeaseManager(
            state, store, exchange, self._reset, self._reaches_engines
        )
        self._records: dict[Incarnation, EngineRecord] = {}
        self._demand = DemandHistory(monotonic_s())
        self._demand_logged_at = 0.0
        self._next_model_plan_at = 0.0
        self._first_poll_at = 0.0
        self._demand_known_at = 0.0
        self._weight_store_loads: deque[float] = deque()
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Renew the lease and run planning passes until the process stops."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._lease.run())
            tasks.create_task(self._run_planning())

    def _reaches_engines(self) -> bool:
        """Tell whether this host is not cut off from engines, as probes have shown.

        A leader polls all engines, so it is the first that fails to connect to several
        that have crashed.  Orders stop for seconds when it gives the lease up.
        """
        configuration = self._state.configuration
        return configuration is None or not any(
            self._state.reachability.service(service.name).is_confirmed
            for service in configuration.services.values()
            if service.engine is not None
        )

    async def release(self) -> None:
        """Release the lease so that another host can acquire it at once."""
        await self._lease.release()

    def _reset(self) -> None:
        """Discard all state of engines and demand as the lease is acquired or lost."""
        self._state.replan_requested.set()
        now = monotonic_s()
        self._records.clear()
        self._demand = DemandHistory(now)
        # Earlier reports may not show the last orders of the previous leader yet.
        self._first_poll_at = now + REPORT_LAG_S
        interval_s = self._exchange.placement.demand_interval_s
        self._demand_known_at = now + DEMAND_WARM_UP_REPORTS * interval_s

    # Planning

    async def _run_planning(self) -> None:
        replan_requested = self._state.replan_requested
        interval_s = PLAN_INTERVAL_S
        while True:
            try:
                async with asyncio.timeout(interval_s):
                    await replan_requested.wait()
            except TimeoutError:
                pass
            replan_requested.clear()
            started_at = monotonic_s()
            interval_s = PLAN_INTERVAL_S
            if self._lease.is_held:
                self._plan()
            elif self._state.demand.waiting():
                self._exchange.placement.schedule_demand_report()
            else:
                interval_s = IDLE_PLAN_INTERVAL_S
            pause_s = _pause_s(monotonic_s() - started_at, MAX_PLAN_SHARE)
            await asyncio.sleep(max(MIN_PLAN_INTERVAL_S, pause_s))

    def _plan(self) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        now = monotonic_s()
        self._demand.update(self._exchange.placement.cluster_demand.total(now), now)
        self._update_adapter_usage(now)
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine, now)

    def _update_adapter_usage(self, now: float) -> None:
        requested: dict[str, list[tuple[str, str]]] = {}
        for record in self._records.values():
            service = record.entry.service
            if service not in requested:
                requested[service] = self._demand.adapters_in_latest_reports(service)
            for pair in requested[service]:
                if pair[1] in record.held.get(pair[0], ()):
                    record.adapter_last_requested[pair] = now

    def _plan_service(self, service: str, spec: EngineSpec, now: float) -> None:
        records = self._update_records(service, now)
        if not self._lease.may_order():
            return
        plannable = [
            r
            for r in records
            if not r.is_order_count_unknown and not self._backs_off(r, now)
        ]
        demand = self._demand.demand_by_model(
            service,
            spec.models,
            self._state.configuration.least_urgent_priority(service),
            now,
        )
        loads = {
            r.entry.server: self._state.loads.get_or_create(
                r.entry.incarnation
            ).running(now)
            for r in plannable
        }
        # Each plan leaves out the engines that a previous one has sent an order to.
        for order in adapter_placement.plan_adapters(
            plannable,
            spec,
            self._demand.adapters_waiting(service, now),
            self._demand.adapters_in_use(service),
            loads,
            now,
        ):
            self._start_order(order, spec, now)
        self._log_demand(service, records, demand, now)
        if now >= self._next_model_plan_at:
            self._plan_service_models(service, plannable, spec, demand, now)
            ended = monotonic_s()
            self._next_model_plan_at = ended + _pause_s(
                ended - now, MAX_MODEL_PLAN_SHARE
            )

    def _backs_off(self, record: EngineRecord, now: float) -> bool:
        """Tell whether an engine wants nothing from this host at the moment."""
        load = self._state.loads.get_or_create(record.entry.incarnation)
        return load.back_off_until > now

    def _plan_service_models(
        self,
        service: str,
        plannable: list[EngineRecord],
        spec: EngineSpec,
        demand: Mapping[str, DemandStats],
        now: float,
    ) -> None:
        remaining = self._remaining_weight_store_loads(spec, now)
        for order in model_placement.plan_models(
            plannable,
            spec,
            demand,
            remaining,
            now,
            now >= self._demand_known_at,
            self._demand.is_settled(service, now),
        ):
            self._start_order(order, spec, now)
        for order in adapter_placement.plan_prefetch(plannable, spec, demand):
            self._start_order(order, spec, now)

    def _log_demand(
        self,
        service: str,
        records: list[EngineRecord],
        demand: Mapping[str, DemandStats],
        now: float,
    ) -> None:
        """Log the demand that the placement is based on, at a limited rate."""
        if now - self._demand_logged_at < DEMAND_LOG_INTERVAL_S:
            return
        self._demand_logged_at = now
        by_demand = sorted(demand, key=lambda model: -demand[model].requests)
        self._state.log.event(
            "demand",
            service=service,
            engines=len(records),
            in_doubt=sum(record.is_order_count_unknown for record in records),
            busy=sum(record.is_busy for record in records),
            models=",".join(
                f"{m}:{demand[m].running:.1f}+{demand[m].waiting}"
                f"/{sum(m in record.held for record in records)}"
                for m in by_demand[:MAX_LOGGED_MODELS]
            ),
        )
        unplaced = self._demand.unplaced(service, [r.usable() for r in records], now)
        for missing in unplaced[:MAX_LOGGED_MODELS]:
            self._state.log.event(
                "demand_unplaced",
                service=service,
                model=missing.model,
                adapter=missing.adapter,
                waiting=missing.waiting,
                unserved_ms=round(missing.unserved_s * 1000),
                model_copies=missing.model_copies,
                unplaced=len(unplaced),
            )

    def _update_records(self, service: str, now: float) -> list[EngineRecord]:
        """Update the records of a service's engines and return those of ready engines.

        Polls the reports of engines whose state is unknown.  Engines with a limit on
        their requests get neither polls nor orders, and models that only they hold are
        loaded elsewhere, unless all engines have one.
        """
        fleet = self._state.fleet
        live = {
            e.incarnation: e for e in fleet.entries.values() if e.service == service
        }
        removed = [
            i
            for i, record in self._records.items()
            if record.entry.service == service and i not in live
        ]
        for incarnation in removed:
            del self._records[incarnation]
        for incarnation, entry in live.items():
            if not fleet.is_staying(entry):
                self._records.pop(incarnation, None)
                continue
            record = self._records.get(incarnation)
            if record is None:
                record = EngineRecord(entry, next_poll_at=self._first_poll_at)
                self._records[incarnation] = record
            record.entry = entry
        records = {i: r for i, r in self._records.items() if i in live}
        usable = server_choice.without_limited(
            [record.entry for record in records.values()],
            lambda entry: self._state.limits.per_s(entry.incarnation) is not None,
        )
        for entry in usable:
            self._check_completion(records[entry.incarnation], now)
        return [records[entry.incarnation] for entry in usable]

    def _check_completion(self, record: EngineRecord, now: float) -> None:
        """Mark an order as completed when it is due, or poll the engine's report."""
        if record.has_order_in_flight:
            return
        if (
            record.is_busy
            and now >= record.busy_until
            and not record.is_order_count_unknown
        ):
            if record.loading_model:
                self._log_change(record, "loaded", record.loading_model)
                self._protect_new_copy(record, record.loading_model)
                record.loading_model = ""
                self._publish(record)
            elif record.is_eviction_immediate:
                # If requests are still in progress after all, the engine rejects the
                # next order as premature.
                record.held.pop(record.evicting_model, None)
                record.evicting_model = ""
                record.is_eviction_immediate = False
                return
            record.mark_order_count_unknown(now)
        needs_report = record.is_order_count_unknown or bool(record.evicting_adapters)
        if needs_report and now >= record.next_poll_at:
            record.has_order_in_flight = True
            self._spawn(self._poll_report(record))

    def _protect_new_copy(self, record: EngineRecord, model: str) -> None:
        """Protect a new copy from eviction until its load has paid off."""
        record.recently_loaded_models.add(model)
        asyncio.get_running_loop().call_later(
            model_placement.MIN_RESIDENCY_S,
            record.recently_loaded_models.discard,
            model,
        )

    def _remaining_weight_store_loads(self, spec: EngineSpec, now: float) -> int:
        """Return how many more loads from the weight store may start now.

        The loads of all services within the last ``store_load_window_s`` count towards
        the limit of the given service, so the result may be negative.
        """
        window_s = self._state.settings.bounds.store_load_window_s
        while self._weight_store_loads and now - self._weight_store_loads[0] > window_s:
            self._weight_store_loads.popleft()
        allowed = int(spec.store_loads_per_s * window_s * MAX_STORE_LOAD_SHARE)
        return allowed - len(self._weight_store_loads)

    # Orders

    def _spawn(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_order(self, planned: PlannedOrder, spec: EngineSpec, now: float) -> None:
        record = planned.record
        record.has_order_in_flight = True
        if planned.is_store_load:
            self._weight_store_loads.append(now)
        self._spawn(self._execute(planned, spec))

    async def _execute(self, planned: PlannedOrder, spec: EngineSpec) -> None:
        record = planned.record
        try:
            result = await self._send_order(planned, spec)
            is_slot_free = result is OrderResult.ALREADY_DONE
            if planned.replacement is not None and is_slot_free:
                load = PlannedOrder(record, OrderAction.LOAD, *planned.replacement)
                await self._send_order(load, spec)
        finally:
            record.has_order_in_flight = False
            self._state.replan_requested.set()

    async def _send_order(
        self, planned: PlannedOrder, spec: EngineSpec
    ) -> OrderResult | None:
        """Send an order.

        :return: The result, None if the order may no longer be sent.
        """
        record = planned.record
        if planned.action is OrderAction.EVICT:
            self._stop_routing(record, planned)
            if not planned.adapter:
                await asyncio.sleep(EVICTION_DELAY_S)
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
        result = await self._call_engine(record, order)
        self._apply_result(record, planned, spec, order, result)
        return result

    def _stop_routing(self, record: EngineRecord, planned: PlannedOrder) -> None:
        """Tell hosts to send no more requests for what is about to be evicted."""
        if planned.adapter:
            record.held[planned.model].discard(planned.adapter)
        else:
            record.evicting_model = planned.model
        self._publish(record, is_broadcast=not planned.adapter)

    async def _call_engine(self, record: EngineRecord, order: Order) -> OrderResult:
        codec = self._state.adapter.servers
        request = codec.order_call(record.entry, order)
        response = await self._call(record.entry, request)
        result = (
            OrderResult.UNANSWERED
            if isinstance(response, Failure)
            else codec.order_result(response.status)
        )
        self._note_condition(record, response, "order")
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
            error=response if isinstance(response, Failure) else None,
        )
        return result

    async def _call(self, entry: ServerEntry, request: HttpCall) -> Response | Failure:
        """Make a call to an engine.

        On a connection that has carried requests of callers, a late copy of a response
        could be taken for the one to an order.
        """
        pool = self._state.pools.get_or_create(entry)
        return await call(
            pool, entry.address, request, ORDER_TIMEOUT_S, on_new_connection=True
        )

    def _note_condition(
        self, record: EngineRecord, response: Response | Failure, step: str
    ) -> None:
        """Note what any response of an engine says of its condition.

        An engine that does not answer may still be reached: it may leave orders
        unanswered.
        """
        codec, now = self._state.adapter.servers, monotonic_s()
        if isinstance(response, Failure):
            if response.kind is FailureKind.NOT_SENT:
                service = self._state.reachability.service(record.entry.service)
                service.note_connect_failure(record.entry.incarnation, now)
            return
        if codec.is_leaving(response.headers):
            self._state.note_server_leaving(record.entry, step, now)
        limit_per_s = codec.limit_per_s(response.headers)
        server = record.entry.incarnation
        self._state.note_server_limit(server, limit_per_s, step, now)
        brittle_per_s = codec.brittle_per_s(response.headers)
        self._state.note_server_brittle(server, brittle_per_s, step, now)

    def _apply_result(
        self,
        record: EngineRecord,
        planned: PlannedOrder,
        spec: EngineSpec,
        order: Order,
        result: OrderResult,
    ) -> None:
        """Update an engine's record with the result of an order.

        An order that the engine has accepted increments its order count.  After any
        other result the count is unknown: the engine may still have accepted the order,
        or the expected count was wrong.

        If a model order was already done, no load or eviction follows whose end could
        be awaited, and the record did not match the engine.  The count is then marked
        as unknown too: the engine receives no orders until its next report, which shows
        what is resident and resets the loading or evicting state of the record.
        """
        now = monotonic_s()
        if result is OrderResult.FENCED:
            self._lease.note_rejected(order.fence)
        if result not in (OrderResult.STARTED, OrderResult.ALREADY_DONE):
            record.mark_order_unconfirmed(now)
            return
        record.order_count = order.expected_count + 1
        if planned.adapter:
            self._apply_adapter_result(record, planned, result)
        elif planned.action is OrderAction.LOAD:
            record.held[planned.model] = set()
            load_s = model_placement.load_seconds(record, spec, planned.model)
            record.loading_model = planned.model
            record.busy_until = now + load_s + LOAD_MARGIN_S
        else:
            is_unused = self._demand.running(record.entry.service, planned.model) < 1
            record.busy_until = now + (
                UNUSED_EVICTION_TIME_S if is_unused else REPORT_LAG_S
            )
            record.is_eviction_immediate = is_unused
        if result is OrderResult.ALREADY_DONE and not planned.adapter:
            record.mark_order_count_unknown(now)

    def _apply_adapter_result(
        self, record: EngineRecord, planned: PlannedOrder, result: OrderResult
    ) -> None:
        pair = (planned.model, planned.adapter)
        if planned.action is OrderAction.EVICT:
            if result is OrderResult.STARTED:
                # Requests that use it complete first; a report shows when its slot is
                # free.
                record.evicting_adapters.add(pair)
                record.next_poll_at = monotonic_s() + ADAPTER_EVICTION_POLL_DELAY_S
            return
        record.held.setdefault(planned.model, set()).add(planned.adapter)
        record.adapter_last_requested.setdefault(pair, monotonic_s())
        record.loading_adapters.add(pair)
        record.adapter_load_accepted_at[pair] = monotonic_s()
        asyncio.get_running_loop().call_later(
            ADAPTER_LOAD_TIME_S, self._complete_adapter_load, record, pair
        )

    def _complete_adapter_load(
        self, record: EngineRecord, pair: tuple[str, str]
    ) -> None:
        record.loading_adapters.discard(pair)
        self._publish(record, is_broadcast=False)

    async def _poll_report(self, record: EngineRecord) -> None:
        """Poll an engine's report and update its record."""
        try:
            codec = self._state.adapter.servers
            response = await self._call(record.entry, codec.report_call(record.entry))
            now = monotonic_s()
            self._note_condition(record, response, "report")
            if isinstance(response, Failure) or response.status != 200:
                record.next_poll_at = now + REPORT_LAG_S
                return
            report = codec.decode_report(response.body)
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

    def _publish(self, record: EngineRecord, is_broadcast: bool = True) -> None:
        """Update this and other hosts' view of the models that an engine can serve.

        :param is_broadcast: Whether to tell all hosts, not only those with requests
            waiting for the engine's models and adapters.
        """
        incarnation = record.entry.incarnation
        if self._state.fleet.set_held(incarnation, record.usable(), monotonic_s()):
            self._exchange.placement.schedule_holding_update(incarnation, is_broadcast)

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
    """Return the pause in seconds that limits a task to a share of the time."""
    return cost_s * (1.0 / share - 1.0)

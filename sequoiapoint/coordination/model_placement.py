"""Decides which engine loads or evicts which model.

Handles demand that shifts between models within seconds, sudden requests for rarely
used models, and a start with many models.  A model's first copy takes precedence over
an additional copy of equal benefit, a copy is evicted only for a model in higher
demand, and loads from the weight store stay below its rate limit.
"""

import enum
import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import EngineSpec, OrderAction
from sequoiapoint.state.engine_ledger import EngineRecord

SCALE_OUT_REQUESTS = 6.4
"""Number of a model's requests for each of its copies above which it gets another copy.
The first event of a stream becomes late long before the slots of a large batch are
taken, because prompts are processed between the tokens of all requests."""
MAX_SCALE_OUT_UTILISATION = 0.35
"""The same as a share of the batch slots, for engines with few slots.  They are shared
by the two or three models of an engine."""
SHORTAGE_FACTOR = 2.5
"""Factor on the number of requests for each copy while requests above the lowest
priority wait for a model without a copy."""
MAX_SHORTAGE_UTILISATION = 0.6
"""The largest share of the batch slots for which a model gets no further copy then."""
MAX_DEGRADED_UTILISATION = 0.4
"""Maximum utilisation of a model's remaining copies after one is evicted for the first
copy of another model; its requests are then late, but are served."""
SURPLUS_SHARE = 0.5
"""Maximum utilisation of the remaining copies for a copy to count as surplus, as a
share of the utilisation at which the copy would be loaded again."""
LONG_IDLE_S = 15.0
"""Time without requests after which the only copy of a model may be evicted for a
further copy of a model that requests wait for.  Its next request waits for a load from
the engine's memory or disk."""
MAX_EVICTING_SHARE = 0.2
"""Share of the engines that may evict models for further copies at the same time."""
GROWTH_LEAD_S = 3.0
"""Time for which a rise of demand is projected: until a further copy has taken the
place of another one and is loaded."""
MAX_GROWTH_FACTOR = 3.0
"""Largest ratio of the projected requests to the present ones."""
RECENT_REQUEST_S = 8.0
"""Time after its last request for which a model counts as recently requested."""
MIN_IDLE_S = 3.0
"""Time without requests after which a model's only copy may be evicted for a model
that requests wait for."""
LOAD_TOLERANT_GOAL_S = 2.0
"""Latency goal from which requests can wait for a model load: the time of an eviction
and a load from disk, with some margin."""
MIN_USED_REQUESTS = 0.5
"""Smoothed number of requests below which a model counts as unused."""
OUTWEIGHED_RATIO = 0.1
"""A model whose requests can wait for a load may be evicted for a model with more than
ten times as many requests: the largest ratio of the former to the latter."""
URGENCY_DOUBLING_REQUESTS = 4.0
"""Number of waiting urgent requests that doubles the weight of a model's load time,
relative to the cost of disturbing an engine."""
FIRST_COPY_WEIGHT = 8.0
"""Weight of a request that waits for a model without a copy, relative to an additional
request at the copies of a model in demand."""
OVERDUE_S = 4.0
"""Time for which requests have waited for a model that no engine holds after which it
is overdue: a load from the weight store still completes within the time for which
patient requests wait."""
UNSERVED_DOUBLING_S = 2.5
"""Time for which a model's requests have been waiting without a copy that doubles the
gain of its first copy."""
WAITING_WEIGHT = 4.0
"""Weight of a request that waits for a further copy: half of one that waits for a first
copy, as the copies that exist serve some of those that wait."""
URGENT_BATCH_SHARE = 0.5
"""Share of a batch that waits for further copies from which on these may use the orders
that are kept for overdue models."""
SHORTAGE_WEIGHT = 16.0
"""Weight of a request that waits for a further copy while a whole batch of requests
waits: a copy serves such a batch, and those that follow it, within seconds."""
MAX_OVERDUE_BUSY_SHARE = 0.6
"""Share of the engines with models in demand that may load or evict models at the same
time for a model that is overdue, or for which a whole batch of requests waits; the
others still accept orders for adapters."""
MIN_RESIDENCY_S = 4.0
"""Minimum time for which a new copy is kept, so that two models do not repeatedly evict
each other."""
ADAPTER_SLOTS_SHARE = 1.0
"""Share of an engine's adapter slots that is planned for one model's adapters."""
MAX_BUSY_SHARE = 0.4
"""Share of the engines with models in demand that may load or evict models at the same
time.  A busy engine accepts no orders for adapters and no further model orders."""
SERVING_ENGINE_COST_S = 2.0
"""Additional cost, as time, of a model order at an engine that serves a model in
demand."""
EVICTION_COST_S = 1.0
"""Cost of an eviction in addition to the load, as time: running requests have to finish
first."""


@dataclass(frozen=True)
class DemandStats:
    """Demand for one model.

    :param running: Smoothed number of requests at servers.
    :param waiting: Number of requests that wait for a server.
    :param idle_s: Time since the last request, in seconds.
    :param requested_adapter_count: Number of its adapters that were requested recently.
    :param goal_s: Shortest latency goal of its requests, None if there were none.
    :param is_least_urgent: Whether its requests have the lowest priority of all
        requests to the service.
    :param unserved_s: Time since which its requests have waited while none of them was
        sent to a server, in seconds.
    :param growth_per_s: By how many requests a second the demand rises.
    """

    running: float
    waiting: int
    idle_s: float
    requested_adapter_count: int = 0
    goal_s: float | None = 0.0
    is_least_urgent: bool = False
    unserved_s: float = 0.0
    growth_per_s: float = 0.0

    @property
    def is_overdue(self) -> bool:
        """Tell whether its requests have waited too long for a first copy."""
        return self.waiting > 0 and self.unserved_s >= OVERDUE_S

    @property
    def can_wait_for_load(self) -> bool:
        """Tell whether its requests can wait for a model load and meet their goal."""
        return self.goal_s is not None and self.goal_s >= LOAD_TOLERANT_GOAL_S

    @property
    def requests(self) -> float:
        """Return the number of requests, running and waiting."""
        return self.running + self.waiting

    @property
    def expected_requests(self) -> float:
        """Return the number of requests by the time that a further copy can serve."""
        return min(
            MAX_GROWTH_FACTOR * self.requests,
            self.requests + GROWTH_LEAD_S * self.growth_per_s,
        )


class EvictionReason(enum.IntEnum):
    """Why a copy may be evicted for another model, the most preferred reason first."""

    SURPLUS = 0
    """The model has more copies than it needs."""
    LOAD_TOLERANT_IDLE = 1
    """The model's requests can wait for a load, and it has been idle for some time."""
    LOAD_TOLERANT_UNUSED = 2
    """The model's requests can wait for a load, and it is unused at the moment."""
    OTHER_COPIES_SUFFICE = 3
    """The other copies can serve the model's requests on time."""
    LONG_IDLE = 4
    """The copy is the only one of a model that has not been requested for a long time,
    and requests wait for the other model."""
    OTHER_COPIES_OVERLOADED = 5
    """The other copies can serve the model's requests, but late."""
    OUTWEIGHED = 6
    """The other model has far more requests, and this model's requests can wait."""
    IDLE = 7
    """The copy is the only one of a model that is not requested at the moment."""


NO_DEMAND = DemandStats(0.0, 0, math.inf, goal_s=None)


@dataclass(frozen=True)
class PlannedOrder:
    """An order that should be sent now.

    :param adapter: The adapter, "" for the model itself.
    :param is_store_load: Whether it counts against the weight store's rate limit.
    :param replacement: The model and adapter to load into the slot of an evicted
        adapter.
    """

    record: EngineRecord
    action: OrderAction
    model: str
    adapter: str = ""
    is_store_load: bool = False
    replacement: tuple[str, str] | None = None


def plan_models(
    records: Sequence[EngineRecord],
    spec: EngineSpec,
    demand_by_model: Mapping[str, DemandStats],
    store_loads_left: int,
    now: float = 0.0,
    may_evict: bool = True,
    is_settled: bool = True,
) -> list[PlannedOrder]:
    """Plan at most one model order for each engine.

    A model gets as many further copies at once as it lacks, the model with the largest
    gain first each time: copies that are loaded one after the other, for seconds each,
    come too late for a burst.

    :param records: Engines that accept new work.
    :param demand_by_model: Demand by model.
    :param store_loads_left: Number of loads that the weight store's rate limit still
        allows.
    :param now: The time, in seconds.
    :param may_evict: Whether the demand is known well enough to evict models.
    :param is_settled: Whether there have been requests for long enough to tell which
        copies are surplus.  Until then a model with several copies keeps them.
    """
    planner = _Planner(records, spec, demand_by_model, now, may_evict, is_settled)
    orders = planner.evict_unconfigured()
    lacking = planner.models_lacking_copies()
    while lacking and planner.free:
        name = lacking.pop(0)
        option = planner.plan_copy(name)
        if option is None or (option.is_store_load and store_loads_left <= 0):
            continue
        if option.record in planner.free:
            store_loads_left -= option.is_store_load
            planner.commit(name, option)
            orders.append(option)
        else:
            # Waiting for the best engine is the cheapest way to this copy.
            planner.reserve(name, option.record)
        if planner.lacks_copies(name):
            lacking.append(name)
            lacking.sort(key=planner.gain, reverse=True)
    return orders


class _Planner:
    """The state of one planning pass.

    Values that do not change during the pass are computed once for each model or
    engine, so that its cost grows little faster than their number.

    :ivar free: Engines that can accept a model order.
    """

    def __init__(
        self,
        records: Sequence[EngineRecord],
        spec: EngineSpec,
        demand_by_model: Mapping[str, DemandStats],
        now: float,
        may_evict: bool,
        is_settled: bool,
    ) -> None:
        self._may_evict = may_evict
        self._records = records
        self._spec = spec
        self._demand_by_model = demand_by_model
        self._now = now
        self._committed_s: dict[str, float] = {}
        self._reserved: set[tuple[str, str]] = set()
        self._models_in_demand = {
            name
            for name, demand in demand_by_model.items()
            if demand.requests >= 1 or demand.requested_adapter_count
        }
        self._serving = {
            r.entry.server
            for r in records
            if not self._models_in_demand.isdisjoint(
                r.held.keys() - {r.loading_model, r.evicting_model}
            )
        }
        self._free_mb = {
            r.entry.server: spec.memory_mb - r.used_mb(spec) for r in records
        }
        self._copy_values: dict[str, float] = {}
        max_evicting = max(1, int(MAX_EVICTING_SHARE * len(records)))
        self._evictions_left = max_evicting - sum(
            bool(record.evicting_model) for record in records
        )
        serving = [r for r in records if self._serves(r)]
        busy = sum(record.is_busy for record in serving)
        self._orders_left = _max_busy(MAX_BUSY_SHARE, serving, records) - busy
        self._overdue_orders_left = (
            _max_busy(MAX_OVERDUE_BUSY_SHARE, serving, records) - busy
        )
        max_busy_of_all = max(1, int(MAX_BUSY_SHARE * len(records)))
        self._additional_copies_left = math.ceil(max_busy_of_all / 2)
        self.free = [r for r in records if not r.is_busy and not r.has_order_in_flight]
        self._copy_counts = dict.fromkeys(spec.models, 0)
        # Copies that are being loaded or planned.
        self._coming_counts = Counter(r.loading_model for r in records)
        self._scale_out_utilisation = min(
            MAX_SCALE_OUT_UTILISATION, SCALE_OUT_REQUESTS / spec.slots
        )
        max_surplus_utilisation = SURPLUS_SHARE * self._scale_out_utilisation
        for record in records:
            for name in record.held:
                if name != record.evicting_model and name in self._copy_counts:
                    self._copy_counts[name] += 1
        if any(self._has_first_copy_priority(name) for name in self._copy_counts):
            self._scale_out_utilisation = min(
                MAX_SHORTAGE_UTILISATION,
                SHORTAGE_FACTOR * SCALE_OUT_REQUESTS / spec.slots,
            )
        self._targets = {name: self._target(name) for name in self._copy_counts}
        self._surplus = {
            name: EvictionReason.SURPLUS
            for name, copies in self._copy_counts.items()
            if is_settled
            and copies > self._targets[name]
            and self._utilisation(name, copies - 1) <= max_surplus_utilisation
        }
        self._non_surplus = [
            name
            for name, copies in self._copy_counts.items()
            if copies > 0 and name not in self._surplus and (is_settled or copies == 1)
        ]

    def evict_unconfigured(self) -> list[PlannedOrder]:
        """Return orders to evict models that the configuration does not name.

        Answers a configuration without a model that full engines hold, while requests
        wait for another one.  Until it is evicted nothing can be loaded there, as its
        size, and so the free memory, is not known.
        """
        orders: list[PlannedOrder] = []
        if not self._may_evict:
            return orders
        for record in list(self.free):
            if self._evictions_left <= 0:
                break
            names = record.unconfigured_models(self._spec)
            if names:
                self._evictions_left -= 1
                self.free.remove(record)
                orders.append(PlannedOrder(record, OrderAction.EVICT, names[0]))
        return orders

    def _serves(self, record: EngineRecord) -> bool:
        """Tell whether an engine holds a usable model that is in demand."""
        return record.entry.server in self._serving

    def _demand_of(self, name: str) -> DemandStats:
        return self._demand_by_model.get(name, NO_DEMAND)

    def _has_first_copy_priority(self, name: str) -> bool:
        """Tell whether requests above the lowest priority wait for a first copy."""
        demand = self._demand_of(name)
        return (
            self._copy_counts[name] == 0
            and demand.waiting > 0
            and not demand.is_least_urgent
        )

    def _is_overdue(self, name: str) -> bool:
        """Tell whether requests have waited too long for a model's first copy."""
        return self._copy_counts[name] == 0 and self._demand_of(name).is_overdue

    def _target(self, name: str) -> int:
        """Return how many copies a model should have."""
        demand = self._demand_of(name)
        by_load = math.ceil(
            demand.expected_requests / (self._scale_out_utilisation * self._spec.slots)
        )
        adapter_slots = max(1.0, ADAPTER_SLOTS_SHARE * self._spec.adapter_slots)
        by_adapters = math.ceil(demand.requested_adapter_count / adapter_slots)
        return max(1, by_load, by_adapters)

    def _utilisation(self, name: str, copies: int) -> float:
        """Return a model's requests as a share of the slots of its copies."""
        if copies <= 0:
            return math.inf if self._demand_of(name).requests else 0.0
        return self._demand_of(name).requests / (copies * self._spec.slots)

    def models_lacking_copies(self) -> list[str]:
        """Return the models that lack copies, in decreasing order of gain.

        The weights in the gain favour a first copy over an additional one.
        """
        gains = {
            name: self.gain(name)
            for name in self._copy_counts
            if self.lacks_copies(name)
        }
        smallest_mb = min(
            (self._spec.models[name].size_mb for name in gains), default=math.inf
        )
        if max(self._free_mb.values(), default=0.0) < smallest_mb:
            gains = {
                n: gain for n, gain in gains.items() if self._is_recently_requested(n)
            }
        return sorted(gains, key=gains.__getitem__, reverse=True)

    def _is_recently_requested(self, name: str) -> bool:
        """Tell whether a model was requested recently enough to justify an eviction."""
        demand = self._demand_of(name)
        return demand.goal_s is not None and demand.idle_s <= RECENT_REQUEST_S

    def gain(self, name: str) -> float:
        """Return the weighted number of requests that another copy would serve.

        The gain of a first copy grows with the time for which its requests have waited:
        otherwise a model with few requests is never loaded while models with many
        requests always lack another copy.
        """
        demand, copies = self._demand_of(name), self._copy_counts[name]
        if copies == 0:
            is_low_priority = demand.can_wait_for_load and demand.is_least_urgent
            has_low_weight = is_low_priority and not demand.is_overdue
            weight = 1.0 if has_low_weight else FIRST_COPY_WEIGHT
            return (
                demand.waiting
                * weight
                * (1.0 + demand.unserved_s / UNSERVED_DOUBLING_S)
            )
        capacity = copies * self._scale_out_utilisation * self._spec.slots
        gain = max(0.0, demand.expected_requests - capacity) / (1.0 + copies)
        gain = max(gain, WAITING_WEIGHT * self._waiting_for_further_copies(name))
        if self._has_shortage(name):
            gain = max(gain, SHORTAGE_WEIGHT * self._spec.slots)
        return gain

    def _waiting_for_further_copies(self, name: str) -> float:
        """Return how many requests wait for further copies, at most a batch of them.

        Copies that are being loaded are taken to serve a batch each.
        """
        if not self._copy_counts[name]:
            return 0.0
        slots = self._spec.slots
        left = self._demand_of(name).waiting - slots * self._coming_counts[name]
        return min(slots, max(0.0, left))

    def _has_shortage(self, name: str) -> bool:
        """Tell whether a whole batch of requests waits for further copies."""
        return self._waiting_for_further_copies(name) >= self._spec.slots

    def commit(self, name: str, order: PlannedOrder) -> None:
        """Account for an order that will be sent."""
        self.free.remove(order.record)
        self._committed_s[order.record.entry.server] = EVICTION_COST_S + load_seconds(
            order.record, self._spec, name
        )
        if self._serves(order.record):
            self._orders_left -= 1
            self._overdue_orders_left -= 1
        if self._copy_counts[name] > 0:
            self._additional_copies_left -= 1
        self.reserve(name, order.record)

    def reserve(self, name: str, record: EngineRecord) -> None:
        """Count a copy at an engine as planned."""
        self._copy_counts[name] += 1
        self._coming_counts[name] += 1
        self._reserved.add((name, record.entry.server))

    def lacks_copies(self, name: str) -> bool:
        """Tell whether a model should have more copies than exist or are planned."""
        return self._copy_counts[name] < self._targets[name]

    def plan_copy(self, name: str) -> PlannedOrder | None:
        """Return the order to load a model, or to evict one to make room for it.

        The order may be for an engine that is busy, unless the model is overdue and an
        engine that is not busy can be used.
        """
        if self._copy_counts[name] > 0 and self._additional_copies_left <= 0:
            return None
        is_overdue = self._is_overdue(name)
        is_urgent_first_copy = (
            self._copy_counts[name] == 0
            and not self._demand_of(name).can_wait_for_load
            and self._demand_of(name).waiting > 0
        )
        orders_left = self._orders_left
        waiting = self._waiting_for_further_copies(name)
        if is_overdue or waiting >= URGENT_BATCH_SHARE * self._spec.slots:
            orders_left = self._overdue_orders_left
        best: tuple[bool, float, PlannedOrder] | None = None
        reasons = self._evictable_models(name)
        size_mb = self._spec.models[name].size_mb
        for record in self._records:
            if name in record.held or (name, record.entry.server) in self._reserved:
                continue
            if self._free_mb[record.entry.server] == -math.inf:
                continue  # An unconfigured model has to be evicted first.
            has_free_memory = self._free_mb[record.entry.server] >= size_mb
            if not has_free_memory and reasons.keys().isdisjoint(record.held):
                continue
            exceeds_busy_limit = orders_left <= 0 and self._serves(record)
            if exceeds_busy_limit and not is_urgent_first_copy:
                continue
            option = self._cheapest_order(name, record, reasons)
            if option is None:
                continue
            cost, order = option
            has_to_wait = is_overdue and record not in self.free
            if best is None or (has_to_wait, cost) < best[:2]:
                best = (has_to_wait, cost, order)
        return None if best is None else best[2]

    def _available_in_s(self, record: EngineRecord) -> float:
        """Return the time until an engine accepts another model order, in seconds."""
        if record.is_busy:
            return max(0.0, record.busy_until - self._now)
        return self._committed_s.get(record.entry.server, 0.0)

    def _cheapest_order(
        self, name: str, record: EngineRecord, reasons: Mapping[str, EvictionReason]
    ) -> tuple[float, PlannedOrder] | None:
        """Return the cost in seconds of a copy on an engine, and the order for it."""
        demand = self._demand_of(name)
        urgency = (
            1.0
            if demand.can_wait_for_load
            else 1.0 + demand.waiting / URGENCY_DOUBLING_REQUESTS
        )
        cost = urgency * (
            self._available_in_s(record) + load_seconds(record, self._spec, name)
        )
        if self._serves(record):
            cost += SERVING_ENGINE_COST_S
        free_mb = self._free_mb[record.entry.server]
        if free_mb >= self._spec.models[name].size_mb:
            is_store_load = name not in record.in_host_memory | record.on_disk
            order = PlannedOrder(record, OrderAction.LOAD, name, "", is_store_load)
            return cost, order
        if self._evictions_left <= 0 and self._copy_counts[name] > 0:
            return None
        ranked = [
            (reasons[other], self._copy_value(other), other)
            for other in record.held
            if other in reasons
            and other != record.loading_model
            and other not in record.recently_loaded_models
        ]
        if not ranked:
            return None
        reason, value, victim = min(ranked)
        order = PlannedOrder(record, OrderAction.EVICT, victim)
        return cost + EVICTION_COST_S * (1 + reason) + value, order

    def _copy_value(self, name: str) -> float:
        """Return the value of a copy: requests per copy, then recency of use."""
        value = self._copy_values.get(name)
        if value is None:
            demand = self._demand_of(name)
            requests = demand.requests / max(1, self._copy_counts[name])
            value = requests + 1.0 / (1.0 + min(demand.idle_s, 1e6))
            self._copy_values[name] = value
        return value

    def _evictable_models(self, incoming: str) -> dict[str, EvictionReason]:
        """Return the models of which a copy may be evicted, with the reason."""
        if not self._may_evict:
            return {}
        if self._copy_counts[incoming] == 0 and not self._is_recently_requested(
            incoming
        ):
            return {}
        return self._surplus | {
            name: reason
            for name in self._non_surplus
            if (reason := self._eviction_reason(name, incoming)) is not None
        }

    def _eviction_reason(self, name: str, incoming: str) -> EvictionReason | None:
        """Return why a copy that is not surplus may be evicted for another model."""
        demand, incoming_demand = self._demand_of(name), self._demand_of(incoming)
        is_first = self._copy_counts[incoming] == 0
        remaining = self._copy_counts[name] - 1
        is_unused = demand.requests < MIN_USED_REQUESTS
        if (
            demand.can_wait_for_load
            and is_unused
            and demand.idle_s > incoming_demand.idle_s
        ):
            is_long_idle = demand.idle_s > MIN_IDLE_S
            return (
                EvictionReason.LOAD_TOLERANT_IDLE
                if is_long_idle
                else EvictionReason.LOAD_TOLERANT_UNUSED
            )
        if is_first and incoming_demand.waiting == 0:
            return None
        incoming_utilisation = self._utilisation(incoming, self._copy_counts[incoming])
        if remaining >= 1 and self._utilisation(name, remaining) <= min(
            self._scale_out_utilisation, incoming_utilisation / 2
        ):
            return EvictionReason.OTHER_COPIES_SUFFICE
        is_low_priority = (
            incoming_demand.can_wait_for_load and incoming_demand.is_least_urgent
        )
        if is_low_priority and not self._is_overdue(incoming):
            return None
        if (
            is_first
            and remaining >= 1
            and self._utilisation(name, remaining) <= MAX_DEGRADED_UTILISATION
        ):
            return EvictionReason.OTHER_COPIES_OVERLOADED
        if (
            demand.can_wait_for_load
            and demand.requests < OUTWEIGHED_RATIO * incoming_demand.requests
        ):
            return (
                EvictionReason.OUTWEIGHED
                if incoming_utilisation > self._scale_out_utilisation
                else None
            )
        if is_unused and incoming_demand.waiting > 0 and demand.idle_s > LONG_IDLE_S:
            return EvictionReason.LONG_IDLE
        is_idle = is_unused and demand.idle_s > MIN_IDLE_S
        return EvictionReason.IDLE if is_first and is_idle else None


def _max_busy(
    share: float, serving: Sequence[EngineRecord], records: Sequence[EngineRecord]
) -> int:
    """Return how many of the engines with models in demand may be busy at once."""
    return max(1, int(share * len(serving))) if serving else len(records)


def load_seconds(record: EngineRecord, spec: EngineSpec, name: str) -> float:
    """Return the time that an engine takes to load a model, in seconds."""
    model = spec.models[name]
    if name in record.in_host_memory:
        return model.host_load_s
    if name in record.on_disk:
        return model.disk_load_s
    return model.load_s

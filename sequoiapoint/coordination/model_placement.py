"""Which engine loads or evicts what.

Answers demand that moves by a place in a list within seconds, rare models that are
asked for at once, and a start with many models: a model's first copy comes before any
second that helps as much, a copy is only given up for one that is asked for more, and
loads from the weight store stay below its rate.
"""

import enum
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import EngineSpec, OrderAction
from sequoiapoint.state.engine_ledger import EngineRecord

COPY_FILL = 0.1
"""Share of an engine's places that one model's requests fill before it gets another
copy; first events come late long before the places are full, as prompts are read
between the tokens of all requests."""
SCARCE_COPY_FILL = 0.25
"""The same while requests that others rank behind wait for a model without any copy."""
CROWDED_FILL = 0.4
"""Share of its remaining copies' places that a model's requests may fill after it has
given up a copy for another's first one: late, but served."""
YIELD_FILL = 0.05
"""Share of its remaining copies' places that a model's requests may fill after it has
given up a copy: half of what would bring the copy back."""
RECENT_S = 8.0
"""Time after its last request for which a model counts as asked for."""
IDLE_S = 3.0
"""Time after its last request from which a model's only copy may yield to one that
requests wait for."""
LOAD_TOLERANT_GOAL_S = 2.0
"""Goal from which requests can wait for a load: an eviction and a load from disk, with
some room."""
UNUSED_REQUESTS = 0.5
"""Smoothed requests below which a model counts as unused."""
OUTWEIGHED_SHARE = 0.1
"""A model of patient requests yields to one in demand that has ten times as many."""
WAITING_DOUBLES = 4.0
"""Urgent requests that wait for a model and that double what each second of its load
counts, against what an order disturbs."""
FIRST_COPY_WEIGHT = 8.0
"""What a waiting request for a model without a copy counts, against one more request at
the copies of a model in demand."""
MIN_RESIDENCY_S = 4.0
"""Time for which a new copy stays, so that models do not take turns at a place."""
ADAPTER_COPIES_SHARE = 1.0
"""Part of an engine's adapter places that one model's adapters are planned to take."""
BUSY_SHARE = 0.4
"""Part of the engines with models in demand that may load or evict models at once:
they take no orders about adapters meanwhile, and none about what comes next."""
SERVING_ENGINE_COST_S = 2.0
"""What an order about a model costs besides, as time, at an engine that serves adapters
of a model in demand."""
EVICTION_COST_S = 1.0
"""What an eviction costs besides the load, as time: runs have to finish first."""


@dataclass(frozen=True)
class DemandStats:
    """Demand for one model.

    :param running: Requests at servers, smoothed.
    :param waiting: Requests that wait for a server.
    :param idle_s: How long ago it was last asked for.
    :param adapters: How many of its adapters were asked for lately.
    :param goal_s: The shortest goal of its requests, None where none has been seen.
    :param is_least_urgent: Whether no kind of request of the service is less urgent
        than its requests.
    """

    running: float
    waiting: int
    idle_s: float
    adapters: int = 0
    goal_s: float | None = 0.0
    is_least_urgent: bool = False

    @property
    def can_wait_for_load(self) -> bool:
        """Tell whether its requests can wait for a load and still be on time."""
        return self.goal_s is not None and self.goal_s >= LOAD_TOLERANT_GOAL_S

    @property
    def requests(self) -> float:
        """Return all requests, at servers and waiting."""
        return self.running + self.waiting


class EvictionReason(enum.IntEnum):
    """Why a copy may go for one of another model, the readiest first."""

    SURPLUS = 0
    """Its model has more copies than it needs."""
    LOAD_TOLERANT_IDLE = 1
    """Its model's requests can wait for a load, and none has come for a while."""
    LOAD_TOLERANT_UNUSED = 2
    """They can wait for a load, and none is in work."""
    OTHER_COPIES_SUFFICE = 3
    """Other copies carry its requests on time."""
    OTHER_COPIES_OVERLOADED = 4
    """Other copies carry its requests, though late."""
    OUTWEIGHED = 5
    """The other model has far more requests, and these can wait."""
    IDLE = 6
    """It is the only copy of a model that nobody asks for at the moment."""


NO_DEMAND = DemandStats(0.0, 0, math.inf, goal_s=None)


@dataclass(frozen=True)
class PlannedOrder:
    """An order that is worth giving now.

    :param adapter: The adapter, "" for the model itself.
    :param is_store_load: Whether it takes from the weight store's rate.
    :param replacement: The model and adapter for the place that an adapter leaves.
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
) -> list[PlannedOrder]:
    """Plan at most one order about a model for each engine.

    :param records: Engines that take new work.
    :param demand_by_model: Demand by model.
    :param store_loads_left: Loads that the weight store's rate still allows.
    :param now: The time, in seconds.
    """
    planner = _Planner(records, spec, demand_by_model, now)
    orders: list[PlannedOrder] = []
    for name in planner.wanted():
        order = planner.place(name)
        if order is None or (order.is_store_load and store_loads_left <= 0):
            continue
        store_loads_left -= order.is_store_load
        planner.take(name, order)
        orders.append(order)
    return orders


class _Planner:
    """One look at the placement.

    What does not change during the look is reckoned once for each model or engine: with
    many of both, a look costs little more than their number.

    :ivar free: Engines that can take an order about a model.
    """

    def __init__(
        self,
        records: Sequence[EngineRecord],
        spec: EngineSpec,
        wishes: Mapping[str, DemandStats],
        now: float,
    ) -> None:
        self._records = records
        self._spec = spec
        self._wishes = wishes
        self._now = now
        self._taken_s: dict[str, float] = {}
        self._has_demand = {
            name for name, wish in wishes.items() if wish.requests >= 1 or wish.adapters
        }
        self._serving = {
            r.entry.server
            for r in records
            if not self._has_demand.isdisjoint(
                r.held.keys() - {r.loading_model, r.evicting_model}
            )
        }
        self._room_mb = {
            r.entry.server: spec.memory_mb - r.used_mb(spec) for r in records
        }
        self._values: dict[str, float] = {}
        self._is_making_room = any(record.evicting_model for record in records)
        serving = [r for r in records if self._serves(r)]
        most = max(1, int(BUSY_SHARE * len(serving))) if serving else len(records)
        self._orders_left = most - sum(record.is_busy for record in serving)
        self._further_copies_left = math.ceil(most / 2)
        self.free = [r for r in records if not r.is_busy and not r.has_order_in_flight]
        self._copies = dict.fromkeys(spec.models, 0)
        self._copy_fill = COPY_FILL
        for record in records:
            for name in record.held:
                if name != record.evicting_model and name in self._copies:
                    self._copies[name] += 1
        if any(self._must_come_first(name) for name in self._copies):
            self._copy_fill = SCARCE_COPY_FILL
        self._targets = {name: self._target(name) for name in self._copies}
        self._excess = {
            name: EvictionReason.SURPLUS
            for name, copies in self._copies.items()
            if copies > self._targets[name]
            and self._fill(name, copies - 1) <= YIELD_FILL
        }
        self._others = [
            name
            for name, copies in self._copies.items()
            if copies > 0 and name not in self._excess
        ]

    def _serves(self, record: EngineRecord) -> bool:
        """Tell whether an engine holds a model in demand besides one on its way."""
        return record.entry.server in self._serving

    def _wish(self, name: str) -> DemandStats:
        return self._wishes.get(name, NO_DEMAND)

    def _must_come_first(self, name: str) -> bool:
        """Tell whether requests that others rank behind wait for a first copy."""
        wish = self._wish(name)
        return self._copies[name] == 0 and wish.waiting > 0 and not wish.is_least_urgent

    def _target(self, name: str) -> int:
        """Return how many copies a model should have."""
        wish = self._wish(name)
        by_load = math.ceil(wish.requests / (self._copy_fill * self._spec.slots))
        places = max(1.0, ADAPTER_COPIES_SHARE * self._spec.adapter_slots)
        by_adapters = math.ceil(wish.adapters / places)
        return max(1, by_load, by_adapters)

    def _fill(self, name: str, copies: int) -> float:
        """Return the share of its copies' places that a model's requests fill."""
        if copies <= 0:
            return math.inf if self._wish(name).requests else 0.0
        return self._wish(name).requests / (copies * self._spec.slots)

    def wanted(self) -> list[str]:
        """Return the models that lack copies, those that gain most first.

        A first copy goes before any further one that gains as much.
        """
        gains = {
            name: self._gain(name)
            for name, copies in self._copies.items()
            if copies < self._targets[name]
        }
        smallest_mb = min(
            (self._spec.models[name].size_mb for name in gains), default=math.inf
        )
        if max(self._room_mb.values(), default=0.0) < smallest_mb:
            gains = {n: gain for n, gain in gains.items() if self._is_asked_for(n)}
        return sorted(gains, key=gains.__getitem__, reverse=True)

    def _is_asked_for(self, name: str) -> bool:
        """Tell whether a model is worth more than free room."""
        wish = self._wish(name)
        return wish.goal_s is not None and wish.idle_s <= RECENT_S

    def _gain(self, name: str) -> float:
        """Return the requests that a copy would help, weighted."""
        wish, copies = self._wish(name), self._copies[name]
        if copies == 0:
            may_come_last = wish.can_wait_for_load and wish.is_least_urgent
            return wish.waiting * (1.0 if may_come_last else FIRST_COPY_WEIGHT)
        carried = copies * self._copy_fill * self._spec.slots
        return max(0.0, wish.requests - carried) / (1.0 + copies)

    def take(self, name: str, order: PlannedOrder) -> None:
        """Reckon with an order that is given."""
        self.free.remove(order.record)
        self._taken_s[order.record.entry.server] = EVICTION_COST_S + load_seconds(
            order.record, self._spec, name
        )
        if self._serves(order.record):
            self._orders_left -= 1
        if self._copies[name] > 0:
            self._further_copies_left -= 1

    def place(self, name: str) -> PlannedOrder | None:
        """Return the load of a model, or the eviction that makes room for it."""
        if self._copies[name] > 0 and self._further_copies_left <= 0:
            return None
        is_urgent_first = (
            self._copies[name] == 0
            and not self._wish(name).can_wait_for_load
            and self._wish(name).waiting > 0
        )
        best: tuple[float, PlannedOrder] | None = None
        readiness = self._readiness_of_all(name)
        size_mb = self._spec.models[name].size_mb
        for record in self._records:
            if name in record.held:
                continue
            has_room = self._room_mb[record.entry.server] >= size_mb
            if not has_room and readiness.keys().isdisjoint(record.held):
                continue
            is_over = self._orders_left <= 0 and self._serves(record)
            if is_over and not is_urgent_first:
                continue
            option = self._option(name, record, readiness)
            if option is not None and (best is None or option[0] < best[0]):
                best = option
        if best is None or best[1].record not in self.free:
            # Where the best engine is busy, it is worth waiting for.
            return None
        return best[1]

    def _free_in_s(self, record: EngineRecord) -> float:
        """Return how long an engine takes no other order about a model, in seconds."""
        if record.is_busy:
            return max(0.0, record.busy_until - self._now)
        return self._taken_s.get(record.entry.server, 0.0)

    def _option(
        self, name: str, record: EngineRecord, readiness: Mapping[str, EvictionReason]
    ) -> tuple[float, PlannedOrder] | None:
        """Return the cost in seconds of a copy on an engine, and the order for it."""
        wish = self._wish(name)
        urgency = (
            1.0 if wish.can_wait_for_load else 1.0 + wish.waiting / WAITING_DOUBLES
        )
        cost = urgency * (
            self._free_in_s(record) + load_seconds(record, self._spec, name)
        )
        if self._serves(record):
            cost += SERVING_ENGINE_COST_S
        room_mb = self._room_mb[record.entry.server]
        if room_mb >= self._spec.models[name].size_mb:
            is_store_load = name not in record.in_host_memory | record.on_disk
            order = PlannedOrder(record, OrderAction.LOAD, name, "", is_store_load)
            return cost, order
        if self._is_making_room and self._copies[name] > 0:
            return None
        ranked = [
            (readiness[other], self._value(other), other)
            for other in record.held
            if other in readiness
            and other != record.loading_model
            and other not in record.recently_loaded_models
        ]
        if not ranked:
            return None
        why, value, victim = min(ranked)
        order = PlannedOrder(record, OrderAction.EVICT, victim)
        return cost + EVICTION_COST_S * (1 + why) + value, order

    def _value(self, name: str) -> float:
        """Return what a copy of a model is worth: its requests, then how lately."""
        value = self._values.get(name)
        if value is None:
            wish = self._wish(name)
            requests = wish.requests / max(1, self._copies[name])
            value = requests + 1.0 / (1.0 + min(wish.idle_s, 1e6))
            self._values[name] = value
        return value

    def _readiness_of_all(self, wanted: str) -> dict[str, EvictionReason]:
        """Return the models of which a copy may go for one of another, and why."""
        if self._copies[wanted] == 0 and not self._is_asked_for(wanted):
            return {}
        return self._excess | {
            name: readiness
            for name in self._others
            if (readiness := self._readiness(name, wanted)) is not None
        }

    def _readiness(self, name: str, wanted: str) -> EvictionReason | None:
        """Return why a copy that is needed may go for one of another model."""
        wish, wanted_wish = self._wish(name), self._wish(wanted)
        is_first = self._copies[wanted] == 0
        left = self._copies[name] - 1
        is_unused = wish.requests < UNUSED_REQUESTS
        if wish.can_wait_for_load and is_unused and wish.idle_s > wanted_wish.idle_s:
            has_been_idle = wish.idle_s > IDLE_S
            return (
                EvictionReason.LOAD_TOLERANT_IDLE
                if has_been_idle
                else EvictionReason.LOAD_TOLERANT_UNUSED
            )
        if is_first and wanted_wish.waiting == 0:
            return None
        wanted_fill = self._fill(wanted, self._copies[wanted])
        if left >= 1 and self._fill(name, left) <= min(
            self._copy_fill, wanted_fill / 2
        ):
            return EvictionReason.OTHER_COPIES_SUFFICE
        if wanted_wish.can_wait_for_load and wanted_wish.is_least_urgent:
            return None
        if is_first and left >= 1 and self._fill(name, left) <= CROWDED_FILL:
            return EvictionReason.OTHER_COPIES_OVERLOADED
        if (
            wish.can_wait_for_load
            and wish.requests < OUTWEIGHED_SHARE * wanted_wish.requests
        ):
            return EvictionReason.OUTWEIGHED if wanted_fill > self._copy_fill else None
        is_idle = is_unused and wish.idle_s > IDLE_S
        return EvictionReason.IDLE if is_first and is_idle else None


def load_seconds(record: EngineRecord, spec: EngineSpec, name: str) -> float:
    """Return how long an engine takes to load a model, in seconds."""
    model = spec.models[name]
    if name in record.in_host_memory:
        return model.host_load_s
    if name in record.on_disk:
        return model.disk_load_s
    return model.load_s

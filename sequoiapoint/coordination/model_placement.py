"""Which engine loads or evicts what.

Answers demand that moves by a place in a list within seconds, rare models that are asked
for at once, and a start with many models: a model's first copy comes before any second,
a copy is only given up for one that is asked for more, and loads from the weight store
stay below its rate.  Adapters load in milliseconds and follow the requests that wait.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import EngineSpec, OrderAction
from sequoiapoint.state.engine_ledger import EngineRecord

COPY_FILL = 0.3
"""Share of an engine's places that one model's requests fill before it gets another
copy: a third leaves room for a burst of three times the load."""
IDLE_BEFORE_EVICTION_S = 3.0
"""How long a model's only copy must have been unused before it yields."""
ADAPTER_PLACES_AT_ONCE = 4
"""Adapters that may be on their way to an engine."""


@dataclass(frozen=True)
class Wish:
    """Demand for one model or adapter.

    :param in_work: Requests at servers, smoothed.
    :param waiting: Requests that wait for a server.
    :param idle_s: How long ago it was last asked for.
    """

    in_work: float
    waiting: int
    idle_s: float


NO_WISH = Wish(0.0, 0, math.inf)


@dataclass(frozen=True)
class PlannedOrder:
    """An order that is worth giving now.

    :param adapter: The adapter, "" for the model itself.
    :param is_store_load: Whether it takes from the weight store's rate.
    """

    record: EngineRecord
    action: OrderAction
    model: str
    adapter: str = ""
    is_store_load: bool = False


def plan_models(
    records: Sequence[EngineRecord],
    spec: EngineSpec,
    wishes: Mapping[str, Wish],
    store_loads_left: int,
) -> list[PlannedOrder]:
    """Plan at most one order about a model for each engine.

    :param records: Engines that take new work.
    :param wishes: Demand by model.
    :param store_loads_left: Loads that the weight store's rate still allows.
    """
    copies = _copies(records, spec)
    targets = {name: _target(wishes.get(name, NO_WISH), spec) for name in spec.models}
    free = [r for r in records if not r.is_busy and not r.has_order_in_flight]
    orders: list[PlannedOrder] = []
    for name in _by_urgency(copies, targets, wishes):
        if any(r.leaving_model for r in records) and copies[name] > 0:
            # Room is being made already; see what it brings first.
            continue
        order = _place(name, free, spec, wishes, copies, targets)
        if order is None or (order.is_store_load and store_loads_left <= 0):
            continue
        store_loads_left -= order.is_store_load
        free.remove(order.record)
        orders.append(order)
    return orders


def _copies(records: Sequence[EngineRecord], spec: EngineSpec) -> dict[str, int]:
    counts = dict.fromkeys(spec.models, 0)
    for record in records:
        for name in record.held:
            if name != record.leaving_model and name in counts:
                counts[name] += 1
    return counts


def _target(wish: Wish, spec: EngineSpec) -> int:
    return max(1, math.ceil((wish.in_work + wish.waiting) / (COPY_FILL * spec.slots)))


def _by_urgency(
    copies: Mapping[str, int], targets: Mapping[str, int], wishes: Mapping[str, Wish]
) -> list[str]:
    """Return the models that lack copies, those that requests wait for first."""

    def rank(name: str) -> tuple[bool, bool, float]:
        wish = wishes.get(name, NO_WISH)
        pressure = (wish.in_work + wish.waiting) / max(1, copies[name])
        return (copies[name] > 0, wish.waiting == 0, -pressure)

    return sorted((n for n in copies if copies[n] < targets[n]), key=rank)


def _place(
    name: str,
    free: Sequence[EngineRecord],
    spec: EngineSpec,
    wishes: Mapping[str, Wish],
    copies: Mapping[str, int],
    targets: Mapping[str, int],
) -> PlannedOrder | None:
    """Return the load of a model, or the eviction that makes room for it."""
    size = spec.models[name].size_mb
    best: tuple[float, PlannedOrder] | None = None
    for record in free:
        if name in record.held:
            continue
        cost = load_seconds(record, spec, name)
        room = spec.memory_mb - record.used_mb(spec)
        if room >= size:
            is_store_load = name not in record.in_host_memory | record.on_disk
            order = PlannedOrder(record, OrderAction.LOAD, name, "", is_store_load)
        else:
            victim = _victim(record, name, spec, wishes, copies, targets)
            if victim is None:
                continue
            cost += 1.0 + _value(victim, wishes, copies)
            order = PlannedOrder(record, OrderAction.EVICT, victim)
        if best is None or cost < best[0]:
            best = (cost, order)
    return best[1] if best else None


def load_seconds(record: EngineRecord, spec: EngineSpec, name: str) -> float:
    """Return how long an engine takes to load a model, in seconds."""
    model = spec.models[name]
    if name in record.in_host_memory:
        return model.host_load_s
    if name in record.on_disk:
        return model.disk_load_s
    return model.load_s


def _value(name: str, wishes: Mapping[str, Wish], copies: Mapping[str, int]) -> float:
    """Return the requests that a copy of a model carries."""
    wish = wishes.get(name, NO_WISH)
    return (wish.in_work + wish.waiting) / max(1, copies[name])


def _victim(
    record: EngineRecord,
    wanted: str,
    spec: EngineSpec,
    wishes: Mapping[str, Wish],
    copies: Mapping[str, int],
    targets: Mapping[str, int],
) -> str | None:
    """Return the copy that yields to a wanted model, or None where none should."""
    is_first_copy = copies[wanted] == 0
    wanted_wish = wishes.get(wanted, NO_WISH)
    allowed = []
    for name in record.held:
        if name not in spec.models or name == record.coming:
            continue
        wish = wishes.get(name, NO_WISH)
        has_excess = copies[name] > targets[name]
        is_spare = copies[name] > 1 and is_first_copy
        is_unused = (
            is_first_copy
            and wanted_wish.waiting > 0
            and wish.in_work + wish.waiting < 1
            and wish.idle_s > IDLE_BEFORE_EVICTION_S
        )
        if has_excess or is_spare or is_unused:
            allowed.append(name)
    return min(allowed, key=lambda n: _value(n, wishes, copies), default=None)


def plan_adapters(
    records: Sequence[EngineRecord],
    spec: EngineSpec,
    waiting: Mapping[tuple[str, str], int],
    loads: Mapping[str, float],
) -> list[PlannedOrder]:
    """Plan an order for each adapter that requests wait for, one for each engine.

    :param waiting: Requests that wait, by model and adapter.
    :param loads: Load by server, to choose among engines that hold the model.
    """
    free = [r for r in records if not r.is_busy and not r.has_order_in_flight]
    orders = []
    for (model, adapter), _ in sorted(waiting.items(), key=lambda item: -item[1]):
        hosts = [r for r in free if model in r.held and adapter not in r.held[model]]
        if not hosts or any(adapter in r.usable().get(model, ()) for r in records):
            continue
        record = min(hosts, key=lambda r: _adapter_cost(r, spec, loads, waiting))
        order = _adapter_order(record, spec, model, adapter, waiting)
        if order is not None:
            free.remove(record)
            orders.append(order)
    return orders


def _adapter_cost(
    record: EngineRecord,
    spec: EngineSpec,
    loads: Mapping[str, float],
    waiting: Mapping[tuple[str, str], int],
) -> tuple[bool, float]:
    has_place = record.adapter_count < spec.adapter_places
    return (not has_place, loads.get(record.entry.server, 0.0) / spec.slots)


def _adapter_order(
    record: EngineRecord,
    spec: EngineSpec,
    model: str,
    adapter: str,
    waiting: Mapping[tuple[str, str], int],
) -> PlannedOrder | None:
    adapter_mb = spec.models[model].adapter_mb if model in spec.models else 0.0
    has_room = record.used_mb(spec) + adapter_mb <= spec.memory_mb
    if record.adapter_count < spec.adapter_places and has_room:
        return PlannedOrder(record, OrderAction.LOAD, model, adapter)
    held = [
        (name, other)
        for name, adapters in record.held.items()
        for other in adapters
        if (name, other) not in waiting
    ]
    if not held:
        return None
    oldest = min(held, key=lambda pair: record.adapter_used.get(pair, 0.0))
    return PlannedOrder(record, OrderAction.EVICT, *oldest)

"""Decides which engine loads or evicts which adapter.

Adapters load within milliseconds, but an engine has few adapter slots.  Adapters are
loaded for waiting requests, and spare slots are filled with adapters of models in
demand before these adapters are requested.  If more adapters are requested than there
are slots, they take turns: the adapter whose requests have waited longest comes first,
and one that has had its turn yields its slot even if requests wait for it too.
"""

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass

from sequoiapoint.coordination.model_placement import DemandStats, PlannedOrder
from sequoiapoint.protocol.gateway import EngineSpec, OrderAction
from sequoiapoint.state.engine_ledger import EngineRecord

MAX_CONCURRENT_ADAPTER_LOADS = 4
"""Maximum number of concurrent adapter loads at an engine, set by its protocol."""
ADAPTER_TURN_S = 0.5
"""Time for which an adapter that requests wait for keeps its slot; less than half of
the time for which the requests of an urgent stream wait."""


@dataclass(frozen=True)
class AdapterDemand:
    """Requests that wait for one adapter.

    :param waiting: Number of waiting requests.
    :param unserved_s: Time since which requests have waited while none was sent to a
        server, in seconds.
    """

    waiting: int
    unserved_s: float = 0.0


def plan_adapters(
    records: Sequence[EngineRecord],
    spec: EngineSpec,
    waiting: Mapping[tuple[str, str], AdapterDemand],
    in_use: Set[tuple[str, str]],
    loads: Mapping[str, float],
    now: float = 0.0,
) -> list[PlannedOrder]:
    """Plan orders for adapters that requests wait for, at most one for each engine.

    An engine accepts no adapter orders while it loads or evicts a model.

    :param waiting: Waiting requests by model and adapter.
    :param in_use: Adapters with running requests.  They are evicted last, because their
        slot only becomes free when these requests have ended.
    :param loads: Load by server, for the choice among engines that hold the model.
    :param now: The time, in seconds.
    """
    free = [r for r in records if not r.is_busy and not r.has_order_in_flight]
    orders = []
    for requested in sorted(
        waiting, key=lambda p: (-waiting[p].unserved_s, -waiting[p].waiting)
    ):
        model, adapter = requested
        if any(adapter in r.held.get(model, ()) for r in records):
            continue
        if model not in spec.models:
            continue
        eligible = [r for r in free if model in r.held]
        for record in sorted(eligible, key=lambda r: _adapter_cost(r, spec, loads)):
            order = _adapter_order(record, spec, requested, waiting, in_use, now)
            if order is not None:
                free.remove(record)
                orders.append(order)
                break
    return orders


def plan_prefetch(
    records: Sequence[EngineRecord],
    spec: EngineSpec,
    demand_by_model: Mapping[str, DemandStats],
) -> list[PlannedOrder]:
    """Plan loads of adapters of models in demand into unused adapter slots.

    If a model's adapters are requested one after another, those that fit are then
    loaded before their first request.
    """
    free = [r for r in records if not r.is_busy and not r.has_order_in_flight]
    orders = []
    models_in_demand = sorted(
        (
            name
            for name, demand in demand_by_model.items()
            if demand.requested_adapter_count and name in spec.models
        ),
        key=lambda name: -demand_by_model[name].requests,
    )
    for model in models_in_demand:
        held = {a for r in records for a in r.held.get(model, ())}
        missing = [name for name in spec.models[model].adapters if name not in held]
        for record in list(free):
            if not missing:
                break
            if model not in record.held or not _has_adapter_slot(record, spec, model):
                continue
            orders.append(PlannedOrder(record, OrderAction.LOAD, model, missing.pop(0)))
            free.remove(record)
    return orders


def _adapter_cost(
    record: EngineRecord, spec: EngineSpec, loads: Mapping[str, float]
) -> tuple[bool, float]:
    has_slot = record.adapter_count < spec.adapter_slots
    return (not has_slot, loads.get(record.entry.server, 0.0) / spec.slots)


def _has_adapter_slot(record: EngineRecord, spec: EngineSpec, model: str) -> bool:
    has_free_memory = (
        record.used_mb(spec) + spec.models[model].adapter_mb <= spec.memory_mb
    )
    return has_free_memory and record.adapter_count < spec.adapter_slots


def _adapter_order(
    record: EngineRecord,
    spec: EngineSpec,
    requested: tuple[str, str],
    waiting: Mapping[tuple[str, str], AdapterDemand],
    in_use: Set[tuple[str, str]],
    now: float,
) -> PlannedOrder | None:
    """Return the order that brings an adapter to an engine, None if there is none."""
    if len(record.loading_adapters) >= MAX_CONCURRENT_ADAPTER_LOADS:
        return None
    if _has_adapter_slot(record, spec, requested[0]):
        return PlannedOrder(record, OrderAction.LOAD, *requested)
    held = [
        (model, adapter)
        for model, adapters in record.held.items()
        for adapter in adapters
        if (model, adapter) not in record.loading_adapters
    ]
    victims = [pair for pair in held if pair not in waiting]
    if not victims and waiting[requested].unserved_s >= ADAPTER_TURN_S:
        victims = [pair for pair in held if _has_had_its_turn(record, pair, now)]
    if record.evicting_adapters:
        # Its slot is not free yet; only an adapter that yields at once makes room.
        victims = [pair for pair in victims if pair not in in_use]
    if not victims:
        return None
    victim = min(
        victims,
        key=lambda pair: (pair in in_use, record.adapter_last_requested.get(pair, 0.0)),
    )
    return PlannedOrder(record, OrderAction.EVICT, *victim, replacement=requested)


def _has_had_its_turn(record: EngineRecord, pair: tuple[str, str], now: float) -> bool:
    """Tell whether an adapter has kept its slot long enough to yield it."""
    return now - record.adapter_load_accepted_at.get(pair, 0.0) >= ADAPTER_TURN_S

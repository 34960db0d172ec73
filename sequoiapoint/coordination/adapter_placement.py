"""Decides which engine loads or evicts which adapter.

Adapters load within milliseconds, but an engine has few adapter slots.  Adapters are
loaded for waiting requests, and spare slots are filled with adapters of models in
demand before these adapters are requested.
"""

from collections.abc import Mapping, Sequence, Set

from sequoiapoint.coordination.model_placement import DemandStats, PlannedOrder
from sequoiapoint.protocol.gateway import EngineSpec, OrderAction
from sequoiapoint.state.engine_ledger import EngineRecord

MAX_CONCURRENT_ADAPTER_LOADS = 4
"""Maximum number of concurrent adapter loads at an engine, set by its protocol."""


def plan_adapters(
    records: Sequence[EngineRecord],
    spec: EngineSpec,
    waiting: Mapping[tuple[str, str], int],
    in_use: Set[tuple[str, str]],
    loads: Mapping[str, float],
) -> list[PlannedOrder]:
    """Plan orders for adapters that requests wait for, at most one for each engine.

    An engine accepts no adapter orders while it loads or evicts a model.

    :param waiting: Number of waiting requests by model and adapter.
    :param in_use: Adapters with running requests.  They are evicted last, because their
        slot only becomes free when these requests have ended.
    :param loads: Load by server, for the choice among engines that hold the model.
    """
    free = [r for r in records if not r.is_busy and not r.has_order_in_flight]
    orders = []
    for (model, adapter), _ in sorted(waiting.items(), key=lambda item: -item[1]):
        if any(adapter in r.held.get(model, ()) for r in records):
            continue
        eligible = [r for r in free if model in r.held]
        if not eligible:
            continue
        record = min(eligible, key=lambda r: _adapter_cost(r, spec, loads))
        order = _adapter_order(record, spec, (model, adapter), waiting.keys(), in_use)
        if order is not None:
            free.remove(record)
            orders.append(order)
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
    waiting: Set[tuple[str, str]],
    in_use: Set[tuple[str, str]],
) -> PlannedOrder | None:
    if len(record.loading_adapters) >= MAX_CONCURRENT_ADAPTER_LOADS:
        return None
    if _has_adapter_slot(record, spec, requested[0]):
        return PlannedOrder(record, OrderAction.LOAD, *requested)
    if record.evicting_adapters:
        return None
    held = [
        (model, adapter)
        for model, adapters in record.held.items()
        for adapter in adapters
        if (model, adapter) not in waiting
        and (model, adapter) not in record.loading_adapters
    ]
    if not held:
        return None
    victim = min(
        held,
        key=lambda pair: (pair in in_use, record.adapter_last_requested.get(pair, 0.0)),
    )
    return PlannedOrder(record, OrderAction.EVICT, *victim, replacement=requested)

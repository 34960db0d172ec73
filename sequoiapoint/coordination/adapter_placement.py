"""Which engine loads or evicts which adapter.

Adapters load in milliseconds but have few places: they follow the requests that wait,
and spare places are filled with the adapters of models in demand before these are asked
for.
"""

from collections.abc import Mapping, Sequence, Set

from sequoiapoint.coordination.model_placement import DemandStats, PlannedOrder
from sequoiapoint.protocol.gateway import EngineSpec, OrderAction
from sequoiapoint.state.engine_ledger import EngineRecord

MAX_CONCURRENT_ADAPTER_LOADS = 4
"""Adapters that may be on their way to an engine at once, by the engines' protocol."""


def plan_adapters(
    records: Sequence[EngineRecord],
    spec: EngineSpec,
    waiting: Mapping[tuple[str, str], int],
    in_use: Set[tuple[str, str]],
    loads: Mapping[str, float],
) -> list[PlannedOrder]:
    """Plan an order for each adapter that requests wait for, one for each engine.

    An engine that loads or evicts a model takes no order about adapters meanwhile.

    :param waiting: Requests that wait, by model and adapter.
    :param in_use: Adapters with requests at servers; they yield last, as their place is
        only free once those have ended.
    :param loads: Load by server, to choose among engines that hold the model.
    """
    free = [r for r in records if not r.is_busy and not r.has_order_in_flight]
    orders = []
    for (model, adapter), _ in sorted(waiting.items(), key=lambda item: -item[1]):
        if any(adapter in r.held.get(model, ()) for r in records):
            continue
        hosts = [r for r in free if model in r.held]
        if not hosts:
            continue
        record = min(hosts, key=lambda r: _adapter_cost(r, spec, loads))
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
    """Plan adapters of the models in demand for places that nothing else needs.

    Answers a model whose adapters are asked for one after the other: those that fit are
    there before their first request.
    """
    free = [r for r in records if not r.is_busy and not r.has_order_in_flight]
    orders = []
    wanted = sorted(
        (
            name
            for name, wish in demand_by_model.items()
            if wish.adapters and name in spec.models
        ),
        key=lambda name: -demand_by_model[name].requests,
    )
    for model in wanted:
        held = {a for r in records for a in r.held.get(model, ())}
        missing = [name for name in spec.models[model].adapters if name not in held]
        for record in list(free):
            if not missing:
                break
            if model not in record.held or not _has_adapter_place(record, spec, model):
                continue
            orders.append(PlannedOrder(record, OrderAction.LOAD, model, missing.pop(0)))
            free.remove(record)
    return orders


def _adapter_cost(
    record: EngineRecord, spec: EngineSpec, loads: Mapping[str, float]
) -> tuple[bool, float]:
    has_place = record.adapter_count < spec.adapter_slots
    return (not has_place, loads.get(record.entry.server, 0.0) / spec.slots)


def _has_adapter_place(record: EngineRecord, spec: EngineSpec, model: str) -> bool:
    has_room = record.used_mb(spec) + spec.models[model].adapter_mb <= spec.memory_mb
    return has_room and record.adapter_count < spec.adapter_slots


def _adapter_order(
    record: EngineRecord,
    spec: EngineSpec,
    wanted: tuple[str, str],
    waiting: Set[tuple[str, str]],
    in_use: Set[tuple[str, str]],
) -> PlannedOrder | None:
    if len(record.loading_adapters) >= MAX_CONCURRENT_ADAPTER_LOADS:
        return None
    if _has_adapter_place(record, spec, wanted[0]):
        return PlannedOrder(record, OrderAction.LOAD, *wanted)
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
    return PlannedOrder(record, OrderAction.EVICT, *victim, replacement=wanted)

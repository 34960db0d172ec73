import pytest

from sequoiapoint.coordination import adapter_placement
from sequoiapoint.coordination.model_placement import DemandStats
from sequoiapoint.coordination.model_placement_test import SPEC, engine


def plan_adapters(engines, waiting, in_use=frozenset()):
    orders = adapter_placement.plan_adapters(engines, SPEC, waiting, in_use, {})
    return [(o.record.entry.server, o.action.value, o.adapter) for o in orders]


def test_a_requested_adapter_is_loaded_on_an_engine_with_a_free_slot():
    full = engine("a", "m0", adapters=("a1", "a2", "a3", "a4"))
    assert plan_adapters([full, engine("b", "m0")], {("m0", "a5"): 2}) == [
        ("b", "load", "a5")
    ]


def test_the_least_recently_used_adapter_is_evicted_first():
    record = engine("a", "m0", adapters=("a1", "a2", "a3", "a4"))
    record.adapter_last_requested = {("m0", f"a{n}"): float(n) for n in (1, 2, 3, 4)}
    assert plan_adapters([record], {("m0", "a5"): 1}) == [("a", "evict", "a1")]
    assert plan_adapters([record], {("m0", "a5"): 1}, {("m0", "a1")}) == [
        ("a", "evict", "a2")
    ]


def test_an_evicting_adapter_occupies_its_slot_until_its_requests_end():
    """Guards against an order that exceeds an engine's slots before one is free."""
    record = engine("a", "m0", adapters=("a1", "a2", "a3"))
    record.evicting_adapters = {("m0", "a4")}
    assert plan_adapters([record], {("m0", "a5"): 1}) == []


@pytest.mark.parametrize("field", ["loading_model", "evicting_model"])
def test_an_engine_that_loads_or_evicts_a_model_gets_no_adapter_order(field):
    record = engine("a", "m0", **{field: "m1"})
    assert plan_adapters([record], {("m0", "a5"): 1}) == []


def test_an_adapter_is_not_ordered_on_two_engines():
    engines = [engine("a", "m0", adapters=("a5",)), engine("b", "m0")]
    assert plan_adapters(engines, {("m0", "a5"): 1}) == []


def test_unused_slots_are_filled_with_adapters_of_models_in_demand():
    """Simulates a model whose adapters are requested one after another."""
    engines = [engine("a", "m0", adapters=("a1", "a2")), engine("b", "m1")]
    demand_by_model = {
        "m0": DemandStats(5.0, 0, 0.0, requested_adapter_count=2),
        "m1": DemandStats(5.0, 0, 0.0),
    }
    orders = adapter_placement.plan_prefetch(engines, SPEC, demand_by_model)
    assert [(o.record.entry.server, o.model, o.adapter) for o in orders] == [
        ("a", "m0", "a3")
    ]

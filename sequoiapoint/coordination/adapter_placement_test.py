import pytest

from sequoiapoint.coordination import adapter_placement
from sequoiapoint.coordination.adapter_placement import ADAPTER_TURN_S, AdapterDemand
from sequoiapoint.coordination.model_placement import DemandStats
from sequoiapoint.coordination.model_placement_test import SPEC, engine


def plan_adapters(engines, waiting, in_use=frozenset(), loads=None, now=100.0):
    waiting = {
        pair: demand if isinstance(demand, AdapterDemand) else AdapterDemand(demand)
        for pair, demand in waiting.items()
    }
    orders = adapter_placement.plan_adapters(
        engines, SPEC, waiting, in_use, loads or {}, now
    )
    return [(o.record.entry.server, o.action.value, o.adapter) for o in orders]


def test_a_requested_adapter_is_loaded_on_an_engine_with_a_free_slot():
    full = engine("a", "m0", adapters=("a1", "a2", "a3", "a4"))
    assert plan_adapters([full, engine("b", "m0")], {("m0", "a5"): 2}) == [
        ("b", "load", "a5")
    ]


def test_no_adapter_is_loaded_beside_a_model_that_is_no_longer_configured():
    """The size of that model is not known."""
    assert plan_adapters([engine("a", "m0", "gone")], {("m0", "a5"): 1}) == []


def test_requests_that_wait_for_a_model_that_is_no_longer_configured_change_nothing():
    """They ended the planning of all orders."""
    engines = [engine("a", "gone"), engine("b", "m0")]
    waiting = {("gone", "a1"): 2, ("m0", "a5"): 1}
    assert plan_adapters(engines, waiting) == [("b", "load", "a5")]


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
    in_use = {("m0", "a1"), ("m0", "a2"), ("m0", "a3")}
    assert plan_adapters([record], {("m0", "a5"): 1}, in_use) == []


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


def test_the_adapter_whose_requests_have_waited_longest_comes_first():
    """Guards against adapters that are never served.

    Ordered by the number of requests, an adapter with few always came last.
    """
    waiting = {("m0", "a5"): AdapterDemand(9, 0.1), ("m0", "a6"): AdapterDemand(1, 0.9)}
    assert plan_adapters([engine("a", "m0")], waiting) == [("a", "load", "a6")]


@pytest.mark.parametrize(
    ("unserved_s", "loaded_at", "expected"),
    [
        (ADAPTER_TURN_S, 99.0, [("a", "evict", "a1")]),
        (ADAPTER_TURN_S, 99.9, []),
        (ADAPTER_TURN_S / 2, 99.0, []),
    ],
)
def test_an_adapter_yields_after_its_turn_although_requests_wait_for_it(
    unserved_s, loaded_at, expected
):
    """Guards against adapters that are never served.

    Replays trouble-3 of Tollcross: 16 adapters of a model were requested, and those
    that held the engine's slots always had waiting requests as well.
    """
    held = ("a1", "a2", "a3", "a4")
    record = engine("a", "m0", adapters=held)
    record.adapter_load_accepted_at = {("m0", name): loaded_at for name in held}
    record.adapter_last_requested = {("m0", f"a{n}"): float(n) for n in (1, 2, 3, 4)}
    waiting = {("m0", name): AdapterDemand(3, 0.2) for name in held}
    waiting[("m0", "a5")] = AdapterDemand(1, unserved_s)
    assert plan_adapters([record], waiting) == expected


def test_another_engine_loads_the_adapter_if_the_least_loaded_one_cannot():
    """Guards against an adapter that waits for one engine while another has room."""
    busy = engine("a", "m0", adapters=("a1", "a2", "a3"))
    busy.evicting_adapters = {("m0", "a4")}
    idle = engine("b", "m0", adapters=("a1", "a2", "a3", "a4"))
    in_use = {("m0", name) for name in ("a1", "a2", "a3")}
    assert plan_adapters(
        [busy, idle], {("m0", "a5"): 1}, in_use, {"a": 1.0, "b": 9.0}
    ) == [("b", "evict", "a4")]


def test_an_unused_adapter_yields_while_the_slot_of_another_is_not_free_yet():
    """Guards against one adapter in use that blocks its engine for a second or more."""
    record = engine("a", "m0", adapters=("a1", "a2", "a3"))
    record.evicting_adapters = {("m0", "a4")}
    in_use = {("m0", "a1"), ("m0", "a3")}
    assert plan_adapters([record], {("m0", "a5"): 1}, in_use) == [("a", "evict", "a2")]

"""Tests of polling and orders after a host has become the leader."""

import asyncio
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination.model_placement import PlannedOrder
from sequoiapoint.node import placement_controller
from sequoiapoint.node.placement_controller import PlacementController
from sequoiapoint.protocol.gateway import (
    OrderAction,
    OrderResult,
    ServerEntry,
    ServerState,
)
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.state.engine_ledger import REPORT_LAG_S, EngineRecord
from sequoiapoint.state.fleet import Fleet
from sequoiapoint.state.server_limits import LimitNotice, ServerLimits


def entry(server):
    return ServerEntry(server, "lm", "10.0.0.1:1", "z", ServerState.READY, 1, 8)


@pytest.fixture
def controller(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(placement_controller, "monotonic_s", lambda: clock.now)
    settings = SimpleNamespace(host="h", bounds=Bounds())
    state = SimpleNamespace(
        settings=settings,
        fleet=Fleet(),
        limits=ServerLimits(),
        wait_queue=SimpleNamespace(notify=lambda: None),
        replan_requested=SimpleNamespace(set=lambda: None),
    )
    placement = SimpleNamespace(
        schedule_holding_update=lambda incarnation, is_broadcast: None,
        demand_interval_s=0.5,
    )
    exchange = SimpleNamespace(placement=placement)
    controller = PlacementController(state, None, exchange)
    controller.clock, controller.polled = clock, []
    monkeypatch.setattr(controller, "_poll_report", lambda record: record.entry.server)
    monkeypatch.setattr(controller, "_spawn", controller.polled.append)
    return controller


def update_records(controller, after_s):
    controller.clock.now = 100.0 + after_s
    controller._update_records("lm", controller.clock.now)
    return controller.polled


def test_engines_are_polled_once_reports_show_the_previous_leaders_orders(controller):
    """Guards against early reports when the lease moves during adapter loads.

    Such a report may not show yet what the previous leader has ordered.
    """
    controller._state.fleet.put(entry("s-1"))
    controller._reset()
    assert update_records(controller, 0.0) == []
    assert update_records(controller, REPORT_LAG_S - 0.05) == []
    assert update_records(controller, REPORT_LAG_S + 0.05) == ["s-1"]


def test_an_engine_that_registers_later_is_polled_at_once(controller):
    controller._reset()
    assert update_records(controller, REPORT_LAG_S + 0.1) == []
    controller._state.fleet.put(entry("s-2"))
    assert update_records(controller, REPORT_LAG_S + 0.2) == ["s-2"]


def engine_record(controller, **held):
    controller._state.fleet.put(entry("s-1"))
    return EngineRecord(entry("s-1"), order_count=4, held=dict(held))


@pytest.mark.parametrize("adapter", ["a1", ""])
def test_an_unsent_eviction_leaves_the_order_count_unknown_and_frees_nothing(
    controller, monkeypatch, adapter
):
    """Guards against counting space as free when the lease expires during planning.

    The model or adapter was withdrawn from routing before its eviction, but the
    eviction order was never sent, so it is still loaded.
    """
    monkeypatch.setattr(controller._lease, "may_order", lambda: False)
    record = engine_record(controller, oak={"a1", "a2"})
    planned = PlannedOrder(record, OrderAction.EVICT, "oak", adapter)
    asyncio.run(controller._execute(planned, None))
    assert record.is_order_count_unknown
    assert not record.is_busy
    assert not record.has_order_in_flight


@pytest.mark.parametrize(
    ("result", "expected_orders"),
    [
        (OrderResult.ALREADY_DONE, [("evict", "a1", 4), ("load", "a9", 5)]),
        (OrderResult.STARTED, [("evict", "a1", 4)]),
        (OrderResult.UNANSWERED, [("evict", "a1", 4)]),
    ],
)
def test_a_replacement_adapter_is_loaded_at_once_if_the_slot_is_free(
    controller, monkeypatch, result, expected_orders
):
    """Guards against waiting for a planning pass when adapters replace each other.

    The load of the replacement follows the eviction directly if the engine has evicted
    the old adapter already.
    """
    orders = []

    async def call_engine(record, order):
        orders.append((order.action.value, order.adapter, order.expected_count))
        return result if order.action is OrderAction.EVICT else OrderResult.STARTED

    monkeypatch.setattr(controller._lease, "may_order", lambda: True)
    monkeypatch.setattr(controller, "_call_engine", call_engine)
    record = engine_record(controller, oak={"a1", "a2"})
    planned = PlannedOrder(
        record, OrderAction.EVICT, "oak", "a1", replacement=("oak", "a9")
    )
    asyncio.run(controller._execute(planned, None))
    assert orders == expected_orders


def test_an_engine_that_leaves_gets_no_orders_and_does_not_count_as_a_copy(controller):
    controller._state.fleet.put(entry("s-1"))
    assert len(controller._update_records("lm", 100.0)) == 1
    controller._state.fleet.note_leaving(entry("s-1").incarnation, 100.0)
    assert controller._update_records("lm", 100.0) == []


def test_an_engine_with_a_limit_gets_neither_polls_nor_orders(controller):
    """Models that only it holds are planned as if no engine held them."""
    entries = [
        ServerEntry(f"s-{n}", "lm", "10.0.0.1:1", "z", ServerState.READY, 1, 8)
        for n in (1, 2)
    ]
    for entry in entries:
        controller._state.fleet.put(entry)
    limits = controller._state.limits
    limits.note(LimitNotice(("s-1", 1), 2.0, 100.0))
    records = controller._update_records("lm", 200.0)
    assert [record.entry.server for record in records] == ["s-2"]
    assert controller.polled == ["s-2"]
    limits.note(LimitNotice(("s-2", 1), 2.0, 101.0))
    records = controller._update_records("lm", 200.0)
    assert {record.entry.server for record in records} == {"s-1", "s-2"}
    limits.note(LimitNotice(("s-1", 1), None, 102.0))
    limits.note(LimitNotice(("s-2", 1), None, 102.0))
    assert len(controller._update_records("lm", 200.0)) == 2

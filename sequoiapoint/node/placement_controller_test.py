"""What a host does with engines when the lease for orders comes to it."""

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


def entry(server):
    return ServerEntry(server, "lm", "10.0.0.1:1", "z", ServerState.READY, 1, 8)


@pytest.fixture
def giver(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(placement_controller, "monotonic_s", lambda: clock.now)
    settings = SimpleNamespace(host="h", bounds=Bounds())
    state = SimpleNamespace(
        settings=settings,
        fleet=Fleet(),
        wait_queue=SimpleNamespace(notify=lambda: None),
        replan_requested=SimpleNamespace(set=lambda: None),
    )
    orders = SimpleNamespace(
        schedule_holding_update=lambda incarnation, is_for_all: None
    )
    exchange = SimpleNamespace(placement=orders)
    giver = PlacementController(state, None, exchange)
    giver.clock, giver.asked = clock, []
    monkeypatch.setattr(giver, "_ask", lambda record: record.entry.server)
    monkeypatch.setattr(giver, "_spawn", giver.asked.append)
    return giver


def follow(giver, after_s):
    giver.clock.now = 100.0 + after_s
    giver._follow_engines("lm", giver.clock.now)
    return giver.asked


def test_engines_are_asked_when_reports_show_an_earlier_holders_last_orders(giver):
    """Replays a lease that moves while engines load adapters for the last holder."""
    giver._state.fleet.put(entry("s-1"))
    giver._start_anew()
    assert follow(giver, 0.0) == []
    assert follow(giver, REPORT_LAG_S - 0.05) == []
    assert follow(giver, REPORT_LAG_S + 0.05) == ["s-1"]


def test_an_engine_that_comes_later_is_asked_at_once(giver):
    giver._start_anew()
    assert follow(giver, REPORT_LAG_S + 0.1) == []
    giver._state.fleet.put(entry("s-2"))
    assert follow(giver, REPORT_LAG_S + 0.2) == ["s-2"]


def engine(giver, **held):
    giver._state.fleet.put(entry("s-1"))
    return EngineRecord(entry("s-1"), order_count=4, held=dict(held))


@pytest.mark.parametrize("adapter", ["a1", ""])
def test_what_was_withdrawn_for_an_order_that_is_not_given_is_still_there(
    giver, monkeypatch, adapter
):
    """Replays a lease that lapses while a long plan is made: no place is free."""
    monkeypatch.setattr(giver._lease, "may_order", lambda: False)
    record = engine(giver, oak={"a1", "a2"})
    planned = PlannedOrder(record, OrderAction.EVICT, "oak", adapter)
    asyncio.run(giver._carry_out(planned, None))
    assert record.is_order_count_unknown
    assert not record.is_busy
    assert not record.has_order_in_flight


@pytest.mark.parametrize(
    ("answer", "given"),
    [
        (OrderResult.ALREADY_DONE, [("evict", "a1", 4), ("load", "a9", 5)]),
        (OrderResult.STARTED, [("evict", "a1", 4)]),
        (OrderResult.UNANSWERED, [("evict", "a1", 4)]),
    ],
)
def test_an_adapter_follows_at_once_where_its_place_is_free(
    giver, monkeypatch, answer, given
):
    """Replays adapters that take turns: a request waits for one order, not a plan."""
    orders = []

    async def give(record, order):
        orders.append((order.action.value, order.adapter, order.expected_count))
        return answer if order.action is OrderAction.EVICT else OrderResult.STARTED

    monkeypatch.setattr(giver._lease, "may_order", lambda: True)
    monkeypatch.setattr(giver, "_give", give)
    record = engine(giver, oak={"a1", "a2"})
    planned = PlannedOrder(
        record, OrderAction.EVICT, "oak", "a1", replacement=("oak", "a9")
    )
    asyncio.run(giver._carry_out(planned, None))
    assert orders == given

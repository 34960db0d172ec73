"""Tests of the demand that the leader aggregates."""

from dataclasses import replace

import pytest

from sequoiapoint.coordination.demand_history import DemandHistory, UnplacedDemand
from sequoiapoint.protocol.gateway import ModelDemand
from sequoiapoint.state.demand import UNSERVED_MEMORY_S


def waits(model, adapter="", count=1):
    return ModelDemand("lm", model, adapter, 0, count, 0.3, 0)


@pytest.mark.parametrize(
    ("held", "expected"),
    [
        ([], UnplacedDemand("oak", "a1", 2, 1.0, 0)),
        ([{"elm": {"a1"}}], UnplacedDemand("oak", "a1", 2, 1.0, 0)),
        ([{"oak": set()}, {"oak": {"a2"}}], UnplacedDemand("oak", "a1", 2, 1.0, 2)),
        ([{"oak": {"a1"}}], None),
    ],
)
def test_a_model_or_adapter_that_no_engine_holds_is_reported(held, expected):
    history = DemandHistory(0.0)
    for now in (10.0, 10.5, 11.0):
        history.update([waits("oak", "a1", 2)], now)
    unplaced = history.unplaced("lm", held, 11.0)
    assert unplaced == ([expected] if expected else [])


def test_a_short_wait_or_one_that_was_served_is_not_reported():
    history = DemandHistory(0.0)
    history.update([waits("oak"), waits("elm")], 10.0)
    served = ModelDemand("lm", "oak", "", 1, 0, 0.3, 0)
    history.update([served, waits("elm")], 10.3)
    assert history.unplaced("lm", [], 10.3) == []
    history.update([waits("oak"), waits("elm")], 10.6)
    assert [d.model for d in history.unplaced("lm", [], 10.6)] == ["elm"]


def unserved_s(history, now):
    return history.demand_by_model("lm", ["oak"], 0, now)["oak"].unserved_s


def test_the_unserved_time_lasts_over_a_retry_and_ends_when_a_request_is_served():
    history = DemandHistory(0.0)
    history.update([waits("oak")], 10.0)
    history.update([], 12.0)
    history.update([waits("oak")], 14.0)
    assert unserved_s(history, 14.0) == 4.0
    history.update([ModelDemand("lm", "oak", "", 1, 3, 0.3, 0)], 15.0)
    assert unserved_s(history, 15.0) == 0.0
    history.update([waits("oak")], 16.0)
    history.update([waits("oak")], 16.1 + UNSERVED_MEMORY_S)
    assert unserved_s(history, 16.1 + UNSERVED_MEMORY_S) == 0.0


def test_a_new_leader_knows_how_long_requests_have_not_been_served():
    """Guards against models that are never served while the lease moves often.

    Replays scale-1 of the grown Tollcross, small: ten leaders within 45 s, each of
    which started to count anew.
    """
    history = DemandHistory(100.0)
    history.update([replace(waits("oak", "a1"), unserved_s=6.0)], 100.0)
    assert unserved_s(history, 100.0) == 6.0
    assert history.adapters_waiting("lm", 100.0)[("oak", "a1")].unserved_s == 6.0


def test_a_model_that_was_served_since_does_not_keep_the_time_that_a_host_reports():
    """Guards against a model that is overdue as soon as it has been evicted."""
    history = DemandHistory(100.0)
    history.update([ModelDemand("lm", "oak", "", 1, 0, 0.3, 0)], 109.0)
    history.update([replace(waits("oak"), unserved_s=9.0)], 110.0)
    assert unserved_s(history, 110.0) == 1.0


@pytest.mark.parametrize(
    ("requests_at", "now", "is_settled"),
    [
        ([], 20.0, False),
        ([10.0], 10.5, False),
        ([10.0, 11.0, 12.0], 12.4, False),
        ([10.0, 11.0, 12.0], 12.6, True),
        ([10.0, 12.0, 14.0, 20.0], 20.0, False),
        ([10.0, 12.0, 14.0, 20.0, 22.5], 22.5, True),
    ],
)
def test_demand_settles_some_time_after_the_first_requests(
    requests_at, now, is_settled
):
    # Traffic that began at full rate made the busiest models lose copies within 0.2 s.
    history = DemandHistory(0.0)
    for at in requests_at:
        history.update([waits("oak")], at)
    assert history.is_settled("lm", now) is is_settled


@pytest.mark.parametrize(
    ("running_at", "least", "most"),
    [
        # Demand that moves to a model: from 0 to 40 requests within four seconds.
        (lambda at: max(0.0, min(40.0, 10.0 * (at - 20.0))), 4.0, 10.0),
        (lambda at: 20.0 + 4.0 * (int(2 * at) % 2), 0.0, 0.0),
        (lambda at: max(0.0, 40.0 - 10.0 * (at - 20.0)), 0.0, 0.0),
    ],
    ids=["rising", "steady", "falling"],
)
def test_a_rise_of_demand_shows_while_it_lasts(running_at, least, most):
    # Copies of a model were loaded from the time on that requests waited for it, 2.5 s
    # after its two copies were three quarters full; a load takes four seconds.
    history = DemandHistory(0.0)
    for step in range(47):
        at = 0.5 * step
        running = round(running_at(at))
        history.update([ModelDemand("lm", "oak", "", running, 0, 0.3, 0)], at)
    growth = history.demand_by_model("lm", ["oak"], 0, 23.0)["oak"].growth_per_s
    assert least <= growth <= most

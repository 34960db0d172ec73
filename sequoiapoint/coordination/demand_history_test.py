"""Tests of the demand that the leader aggregates."""

import pytest

from sequoiapoint.coordination.demand_history import DemandHistory, UnplacedDemand
from sequoiapoint.protocol.gateway import ModelDemand


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


def test_a_short_wait_or_one_that_has_ended_is_not_reported():
    history = DemandHistory(0.0)
    history.update([waits("oak"), waits("elm")], 10.0)
    history.update([waits("elm")], 10.3)
    assert history.unplaced("lm", [], 10.3) == []
    history.update([waits("oak"), waits("elm")], 10.6)
    assert [d.model for d in history.unplaced("lm", [], 10.6)] == ["elm"]

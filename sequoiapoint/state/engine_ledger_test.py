import pytest

from sequoiapoint.protocol.gateway import (
    EngineReport,
    HeldModel,
    ServerEntry,
    ServerState,
)
from sequoiapoint.state.engine_ledger import REPORT_LAG_S, EngineRecord

ENTRY = ServerEntry("s", "lm", "10.0.0.1:1", "z", ServerState.READY, 1, 64)


def report(is_busy=False, loading_adapters=(), models=("oak",), count=3):
    return EngineReport(
        tuple(HeldModel(m) for m in models),
        count,
        is_busy,
        0,
        0,
        tuple(loading_adapters),
    )


def test_an_unanswered_order_makes_the_order_count_unknown():
    record = EngineRecord(ENTRY, order_count=3)
    record.mark_order_count_unknown(10.0)
    assert record.is_order_count_unknown
    assert record.next_poll_at == 10.0 + REPORT_LAG_S
    record.apply_report(report(count=4), 11.0)
    assert record.order_count == 4


def test_a_report_of_a_busy_engine_keeps_the_count_unknown_and_the_loading_model():
    record = EngineRecord(ENTRY, order_count=3, loading_model="elm")
    record.apply_report(report(is_busy=True), 10.0)
    assert record.is_order_count_unknown
    assert set(record.held) == {"oak", "elm"}
    assert "elm" not in record.usable()


def test_loading_adapters_use_slots():
    record = EngineRecord(ENTRY)
    record.apply_report(report(loading_adapters=[("oak", "a1")]), 10.0)
    assert record.adapter_count == 1


@pytest.mark.parametrize(("age_s", "slots"), [(0.1, 1), (REPORT_LAG_S + 0.1, 0)])
def test_a_report_may_predate_the_last_accepted_adapter(age_s, slots):
    """A report requested just after an adapter was accepted may not yet list it."""
    record = EngineRecord(ENTRY, adapter_load_accepted_at={("oak", "a1"): 10.0})
    record.apply_report(report(count=4), 10.0 + age_s)
    assert record.adapter_count == slots


@pytest.mark.parametrize(
    ("fields", "usable"),
    [
        ({}, {"oak": {"a1"}, "elm": set()}),
        ({"loading_model": "elm"}, {"oak": {"a1"}}),
        ({"evicting_model": "oak"}, {"elm": set()}),
        ({"loading_adapters": {("oak", "a1")}}, {"oak": set(), "elm": set()}),
    ],
)
def test_requests_are_sent_only_for_models_and_adapters_that_are_ready(fields, usable):
    record = EngineRecord(ENTRY, held={"oak": {"a1"}, "elm": set()}, **fields)
    assert record.usable() == usable

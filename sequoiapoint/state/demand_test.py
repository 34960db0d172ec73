import pytest

from sequoiapoint.protocol.gateway import ModelDemand
from sequoiapoint.state.demand import (
    REPORT_TTL_S,
    UNSERVED_MEMORY_S,
    ClusterDemand,
    LocalDemand,
)

KEY = ("lm", "oak", "")


def test_a_finished_request_appears_in_exactly_one_report():
    local = LocalDemand()
    local.note_request(KEY, 0.3, 1)
    local.adjust(KEY, 0.0, running=1)
    local.adjust(KEY, 0.0, running=-1)
    assert local.report(0.0) == [ModelDemand(*KEY, 0, 0, 0.3, 1)]
    assert local.report(0.0) == []


def test_a_model_gets_the_urgency_of_its_most_urgent_request():
    local = LocalDemand()
    local.note_request(KEY, 5.0, 2)
    local.note_request(KEY, 0.3, 1)
    local.adjust(KEY, 0.0, waiting=2)
    assert local.report(0.0) == [ModelDemand(*KEY, 0, 2, 0.3, 1)]
    assert local.waiting() == {KEY: 2}


def test_hosts_without_a_recent_report_do_not_count():
    cluster = ClusterDemand()
    cluster.set_report("a", [ModelDemand(*KEY, 3, 1, 0.3, 1)], 0.0)
    cluster.set_report("b", [ModelDemand(*KEY, 2, 0, 5.0, 0)], 2.0)
    assert cluster.total(2.0) == [ModelDemand(*KEY, 5, 1, 0.3, 0)]
    assert cluster.total(REPORT_TTL_S + 0.1) == [ModelDemand(*KEY, 2, 0, 5.0, 0)]


def test_a_host_reports_how_long_its_requests_have_not_been_served():
    local = LocalDemand()
    local.adjust(KEY, 10.0, waiting=1)
    local.adjust(KEY, 14.0, waiting=-1)
    local.adjust(KEY, 15.0, waiting=1)
    assert [demand.unserved_s for demand in local.report(16.0)] == [6.0]
    local.adjust(KEY, 16.5, running=1)
    assert [demand.unserved_s for demand in local.report(17.0)] == [0.0]
    local.adjust(KEY, 18.0, running=-1, waiting=-1)
    local.adjust(KEY, 19.0, waiting=1)
    local.adjust(KEY, 19.5, waiting=-1)
    local.adjust(KEY, 19.6 + UNSERVED_MEMORY_S, waiting=1)
    assert [demand.unserved_s for demand in local.report(29.6)] == [pytest.approx(2.0)]


def test_the_longest_time_without_service_counts():
    cluster = ClusterDemand()
    cluster.set_report("a", [ModelDemand(*KEY, 0, 1, 0.3, 1, 3.0)], 0.0)
    cluster.set_report("b", [ModelDemand(*KEY, 0, 1, 0.3, 1, 7.0)], 0.0)
    assert [demand.unserved_s for demand in cluster.total(0.0)] == [7.0]

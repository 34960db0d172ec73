from sequoiapoint.protocol.gateway import ModelDemand
from sequoiapoint.state.demand import REPORT_TTL_S, ClusterDemand, LocalDemand

KEY = ("lm", "oak", "")


def test_a_finished_request_appears_in_exactly_one_report():
    local = LocalDemand()
    local.note_request(KEY, 0.3, 1)
    local.adjust(KEY, running=1)
    local.adjust(KEY, running=-1)
    assert local.report() == [ModelDemand(*KEY, 0, 0, 0.3, 1)]
    assert local.report() == []


def test_a_model_gets_the_urgency_of_its_most_urgent_request():
    local = LocalDemand()
    local.note_request(KEY, 5.0, 2)
    local.note_request(KEY, 0.3, 1)
    local.adjust(KEY, waiting=2)
    assert local.report() == [ModelDemand(*KEY, 0, 2, 0.3, 1)]
    assert local.waiting() == {KEY: 2}


def test_hosts_without_a_recent_report_do_not_count():
    cluster = ClusterDemand()
    cluster.set_report("a", [ModelDemand(*KEY, 3, 1, 0.3, 1)], 0.0)
    cluster.set_report("b", [ModelDemand(*KEY, 2, 0, 5.0, 0)], 2.0)
    assert cluster.total(2.0) == [ModelDemand(*KEY, 5, 1, 0.3, 0)]
    assert cluster.total(REPORT_TTL_S + 0.1) == [ModelDemand(*KEY, 2, 0, 5.0, 0)]

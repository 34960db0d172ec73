from sequoiapoint.protocol.gateway import ModelDemand
from sequoiapoint.state.demand import REPORT_AGE_S, ClusterDemand, LocalDemand

KEY = ("lm", "oak", "")


def test_a_request_shows_in_one_report_even_if_it_has_ended():
    own = LocalDemand()
    own.note_request(KEY, 0.3, 1)
    own.adjust(KEY, in_work=1)
    own.adjust(KEY, in_work=-1)
    assert own.report() == [ModelDemand(*KEY, 0, 0, 0.3, 1)]
    assert own.report() == []


def test_the_most_urgent_request_for_a_model_counts():
    own = LocalDemand()
    own.note_request(KEY, 5.0, 2)
    own.note_request(KEY, 0.3, 1)
    own.adjust(KEY, waiting=2)
    assert own.report() == [ModelDemand(*KEY, 0, 2, 0.3, 1)]
    assert own.waiting() == {KEY: 2}


def test_hosts_that_fell_silent_do_not_count():
    fleet = ClusterDemand()
    fleet.merge("a", [ModelDemand(*KEY, 3, 1, 0.3, 1)], 0.0)
    fleet.merge("b", [ModelDemand(*KEY, 2, 0, 5.0, 0)], 2.0)
    assert fleet.total(2.0) == [ModelDemand(*KEY, 5, 1, 0.3, 0)]
    assert fleet.total(REPORT_AGE_S + 0.1) == [ModelDemand(*KEY, 2, 0, 5.0, 0)]

import pytest

from sequoiapoint.protocol.gateway import LoadReport
from sequoiapoint.state.server_load import (
    CONNECT_BACKOFF_S,
    MAX_CONNECT_BACKOFF_S,
    REMOTE_COUNT_TTL_S,
    SILENCE_TIMEOUT_S,
    ServerLoad,
    ServerLoads,
)


def test_local_requests_count_immediately():
    load = ServerLoad()
    load.note_sent(1, 0.0)
    load.note_sent(2, 0.0)
    load.note_finished(1)
    load.note_finished(1)
    assert load.running(0.0) == 1


def test_a_load_report_decays_with_its_age():
    load = ServerLoad()
    load.note_sent(1, 0.0)
    load.apply_report(LoadReport(8, 2, 8), 0.0)
    assert load.running(0.0) == 10
    assert load.running(0.5) == pytest.approx(1 + 9 / 2)


def test_counts_of_other_hosts_take_precedence_over_a_load_report():
    load = ServerLoad()
    load.apply_report(LoadReport(8, 8, 8), 0.0)
    load.set_remote_running(5, 0.0)
    load.set_remote_running(3, 0.1)
    assert load.running(0.2) == 3
    assert load.running(0.05 + REMOTE_COUNT_TTL_S) == 3
    assert load.running(0.1 + REMOTE_COUNT_TTL_S) == pytest.approx(
        16 * 0.5 ** ((0.1 + REMOTE_COUNT_TTL_S) / 0.5)
    )


def test_local_requests_are_not_counted_as_remote():
    """Cluster totals from the aggregator include what this host reported earlier."""
    loads, key = ServerLoads(), ("s-1", 1)
    loads.get_or_create(key).note_sent(1, 0.0)
    loads.get_or_create(key).note_sent(2, 0.0)
    assert loads.report() == {key: 2}
    loads.get_or_create(key).note_finished(1)
    loads.set_cluster_running({key: 7, ("s-2", 1): 4}, 0.5)
    assert loads.get_or_create(key).running(0.5) == 1 + 5
    assert loads.get_or_create(("s-2", 1)).running(0.5) == 4
    loads.set_remote_running({}, 1.0)
    assert loads.get_or_create(key).running(1.0) == 1


@pytest.mark.parametrize(
    ("received_at", "now", "silent"),
    [
        (None, SILENCE_TIMEOUT_S / 2, False),
        (None, 0.1 + SILENCE_TIMEOUT_S, True),
        (1.0, 1.5, False),
    ],
)
def test_a_server_is_silent_if_no_data_arrives_while_requests_run(
    received_at, now, silent
):
    load = ServerLoad()
    load.note_sent(1, 0.0)
    if received_at is not None:
        load.note_received(received_at)
    assert load.is_silent(now) is silent
    load.note_finished(1)
    assert not load.is_silent(now)


def test_the_backoff_grows_with_each_failure_to_connect():
    load = ServerLoad()
    backoffs_s = []
    for _ in range(6):
        load.note_connect_failure(0.0)
        backoffs_s.append(load.avoid_until)
    assert backoffs_s[0] == CONNECT_BACKOFF_S
    assert backoffs_s == sorted(backoffs_s)
    assert backoffs_s[-1] == MAX_CONNECT_BACKOFF_S
    load.note_received(1.0)
    load.note_connect_failure(1.0)
    assert load.avoid_until == 1.0 + CONNECT_BACKOFF_S


def test_the_failure_rate_follows_the_latest_outcomes():
    load = ServerLoad()
    for _ in range(20):
        load.note_outcome(True)
    assert load.failure_rate > 0.9
    for _ in range(40):
        load.note_outcome(False)
    assert load.failure_rate < 0.1


def test_removed_processes_are_kept_until_their_requests_finish():
    loads = ServerLoads()
    loads.get_or_create(("s-1", 1)).note_sent(1, 0.0)
    loads.get_or_create(("s-2", 1))
    loads.retain(set())
    assert set(loads.local_counts()) == {("s-1", 1)}
    loads.get_or_create(("s-1", 1)).note_finished(1)
    loads.retain(set())
    assert not loads.local_counts()


@pytest.mark.parametrize(
    ("breaks", "is_avoided"),
    [("bb", False), ("bbb", True), ("bbob", False), ("bbobbb", True)],
)
def test_a_server_that_breaks_connections_time_and_again_is_avoided(breaks, is_avoided):
    """Guards against requests that are all drawn to a server that runs none."""
    load = ServerLoad()
    for event in breaks:
        if event == "b":
            load.note_broken(1.0)
        load.note_outcome(event == "b")
    assert load.is_avoided(1.1) is is_avoided

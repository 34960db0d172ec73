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


def test_own_requests_count_at_once():
    load = ServerLoad()
    load.note_sent(1, 0.0)
    load.note_sent(2, 0.0)
    load.note_finished(1)
    load.note_finished(1)
    assert load.running(0.0) == 1


def test_a_report_counts_less_the_older_it_is():
    load = ServerLoad()
    load.note_sent(1, 0.0)
    load.apply_report(LoadReport(8, 2, 8), 0.0)
    assert load.running(0.0) == 10
    assert load.running(0.5) == pytest.approx(1 + 9 / 2)


def test_the_counts_of_other_hosts_go_before_a_report():
    load = ServerLoad()
    load.apply_report(LoadReport(8, 8, 8), 0.0)
    load.set_remote_running(5, 0.0)
    load.set_remote_running(3, 0.1)
    assert load.running(0.2) == 3
    assert load.running(0.05 + REMOTE_COUNT_TTL_S) == 3
    assert load.running(0.1 + REMOTE_COUNT_TTL_S) == pytest.approx(
        16 * 0.5 ** ((0.1 + REMOTE_COUNT_TTL_S) / 0.5)
    )


def test_this_hosts_requests_are_not_taken_for_those_of_others():
    """Replays a relay's sums, which hold what this host reported before."""
    book, key = ServerLoads(), ("s-1", 1)
    book.get_or_create(key).note_sent(1, 0.0)
    book.get_or_create(key).note_sent(2, 0.0)
    assert book.report() == {key: 2}
    book.get_or_create(key).note_finished(1)
    book.set_cluster_running({key: 7, ("s-2", 1): 4}, 0.5)
    assert book.get_or_create(key).running(0.5) == 1 + 5
    assert book.get_or_create(("s-2", 1)).running(0.5) == 4
    book.set_remote_running({}, 1.0)
    assert book.get_or_create(key).running(1.0) == 1


@pytest.mark.parametrize(
    ("heard_at", "now", "silent"),
    [
        (None, SILENCE_TIMEOUT_S / 2, False),
        (None, 0.1 + SILENCE_TIMEOUT_S, True),
        (1.0, 1.5, False),
    ],
)
def test_a_server_is_silent_when_nothing_comes_while_requests_run(
    heard_at, now, silent
):
    load = ServerLoad()
    load.note_sent(1, 0.0)
    if heard_at is not None:
        load.note_received(heard_at)
    assert load.is_silent(now) is silent
    load.note_finished(1)
    assert not load.is_silent(now)


def test_a_server_that_cannot_be_connected_to_is_avoided_longer_each_time():
    load = ServerLoad()
    pauses = []
    for _ in range(6):
        load.note_connect_failure(0.0)
        pauses.append(load.avoid_until)
    assert pauses[0] == CONNECT_BACKOFF_S
    assert pauses == sorted(pauses)
    assert pauses[-1] == MAX_CONNECT_BACKOFF_S
    load.note_received(1.0)
    load.note_connect_failure(1.0)
    assert load.avoid_until == 1.0 + CONNECT_BACKOFF_S


def test_the_failure_rate_follows_the_last_outcomes():
    load = ServerLoad()
    for _ in range(20):
        load.note_outcome(True)
    assert load.failure_rate > 0.9
    for _ in range(40):
        load.note_outcome(False)
    assert load.failure_rate < 0.1


def test_processes_that_are_gone_are_forgotten_once_nothing_runs_there():
    book = ServerLoads()
    book.get_or_create(("s-1", 1)).note_sent(1, 0.0)
    book.get_or_create(("s-2", 1))
    book.retain(set())
    assert set(book.own_counts()) == {("s-1", 1)}
    book.get_or_create(("s-1", 1)).note_finished(1)
    book.retain(set())
    assert not book.own_counts()

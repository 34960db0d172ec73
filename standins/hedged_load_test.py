import pytest

from standins.hedged_load import HedgedReplay
from standins.plain_load import Load, Replay, summary

LOAD = {"duration_s": 5.0}


@pytest.mark.parametrize(("rule", "hosts"), [("granted", 74), ("counts", 10)])
def test_without_a_delay_the_replay_is_the_plain_one(rule, hosts):
    plain = Replay(Load(hosts=hosts, **LOAD), rule, True, 1)
    hedged = HedgedReplay(Load(hosts=hosts, **LOAD), rule, True, 1, None)
    plain.run()
    hedged.run()
    figures, expected = hedged.figures(), summary(plain)
    assert {name: expected.get(name, 0) for name in figures} == figures


@pytest.mark.parametrize("is_work_stopped", [True, False])
@pytest.mark.parametrize(("rule", "hosts"), [("granted", 74), ("counts", 10)])
def test_copies_leave_nothing_behind(rule, hosts, is_work_stopped):
    """Guards against a replay that loses requests, or counts copies as running."""
    load = Load(hosts=hosts, rate=200.0, **LOAD)
    replay = HedgedReplay(load, rule, True, 1, 0.06, is_work_stopped)
    replay.run()
    assert replay.copies_won > 0
    assert all(request.result for request in replay.requests)
    assert [count for local in replay.local for count in local.values() if count] == []
    assert [server.running for server in replay.servers] == [0, 0, 0]

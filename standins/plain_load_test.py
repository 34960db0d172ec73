import pytest

from standins.plain_load import Load, Replay, summary


def play(rule, are_speeds_used, seed, **load):
    replay = Replay(Load(duration_s=8.0, **load), rule, are_speeds_used, seed)
    replay.run()
    return summary(replay)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("rate", [170.0, 300.0])
def test_granted_slots_send_plain_servers_no_more_than_they_take(rate, seed):
    """74 hosts that choose by counts are turned away, and most requests are late."""
    before = play("counts", False, seed, rate=rate)
    after = play("granted", False, seed, rate=rate)
    assert before["turned_away"] > 0
    assert after["turned_away"] == 0
    assert after["on_time"] > before["on_time"]
    assert after["served"] >= before["served"]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("rule", "hosts"), [("granted", 74), ("counts", 10)], ids=["many", "few"]
)
def test_speeds_raise_the_share_on_time_at_uneven_servers(rule, hosts, seed):
    """Servers that take 1, 1.6 and 2.7 times as long, slowed at random times."""
    without = play(rule, False, seed, hosts=hosts)
    with_speeds = play(rule, True, seed, hosts=hosts)
    assert with_speeds["on_time"] > without["on_time"]


def test_no_server_is_locked_out():
    """The slowest server keeps a share of the requests, also when others suffice."""
    figures = play("granted", True, 1, rate=60.0)
    assert figures["share_2.7"] > 0.0


@pytest.mark.parametrize(("rate", "most"), [(170.0, 0.0), (300.0, 0.1)])
def test_hosts_without_an_allocator_do_not_overload_plain_servers(rate, most):
    """While an allocator is silent, each of 74 hosts uses its share of the slots."""
    before = play("counts", True, 1, rate=rate)
    after = play("shares", True, 1, rate=rate)
    assert after["turned_away"] <= most * before["turned_away"]

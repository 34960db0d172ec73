import math
import random

import pytest

from sequoiapoint.protocol.digests import SpeedSample
from sequoiapoint.state.server_speed import (
    RETENTION_S,
    ServerSpeeds,
    add_samples,
)

FAST, SLOW = ("s-1", 1), ("s-2", 1)


def relative(speeds, now, servers=(FAST, SLOW)):
    return speeds.relative_times(servers, now)


def state_steadily(speeds, server, slowness, start_s, end_s, per_s=20):
    for step in range(int((end_s - start_s) * per_s)):
        speeds.note_slowness(server, slowness, start_s + step / per_s)


def test_without_a_statement_there_is_no_estimate():
    """A deployment whose servers do not state their slowness is served as before."""
    speeds = ServerSpeeds()
    speeds.note_work(FAST, 3.0, 0.1)
    assert relative(speeds, 0.2) == {}
    assert speeds.slowness(FAST, 0.2) is None
    assert not speeds.own_samples(0.2)


@pytest.mark.parametrize("per_s", [1, 5, 60])
def test_a_change_is_followed_within_a_second(per_s):
    speeds = ServerSpeeds()
    state_steadily(speeds, FAST, 1.0, 0.0, 10.0, per_s)
    state_steadily(speeds, FAST, 2.5, 10.0, 11.0, per_s)
    last_stated_at = 11.0 - 1.0 / per_s
    assert speeds.slowness(FAST, last_stated_at) > 0.75 * 2.5


def test_a_short_slowdown_is_not_avoided_for_long_when_nothing_more_is_heard():
    speeds = ServerSpeeds()
    state_steadily(speeds, FAST, 1.0, 0.0, 10.0)
    state_steadily(speeds, FAST, 2.5, 10.0, 10.6)
    assert speeds.slowness(FAST, 10.6) > 2.0
    assert speeds.slowness(FAST, 12.0) < 1.4
    assert speeds.slowness(FAST, 15.6) < 1.1


@pytest.mark.parametrize("is_machine_stated", [False, True])
def test_servers_of_different_speed_are_told_apart(is_machine_stated):
    """The figure may or may not contain how fast the machine is by itself."""
    speeds, rng = ServerSpeeds(), random.Random(1)
    for step in range(200):
        now = step / 20
        for server, speed in ((FAST, 1.0), (SLOW, 2.7)):
            slowed = 2.5 if rng.random() < 0.15 else 1.0
            stated = slowed * (speed if is_machine_stated else 1.0)
            speeds.note_slowness(server, stated, now)
            taken = 0.25 * speed * slowed * rng.uniform(0.8, 1.2)
            speeds.note_work(server, taken, now)
    assert 1.8 < relative(speeds, 10.5)[SLOW] < 3.6
    assert relative(speeds, 10.5)[FAST] == 1.0


def test_a_server_that_gets_nothing_is_an_ordinary_one_again_within_seconds():
    """Guards against a server that is locked out by what it was once."""
    speeds = ServerSpeeds()
    for step in range(100):
        for server, work in ((FAST, 0.2), (("s-3", 1), 0.2), (SLOW, 2.0)):
            speeds.note_slowness(server, 4.0 if server == SLOW else 1.0, step / 20)
            speeds.note_work(
                server, work * speeds.slowness(server, step / 20), step / 20
            )
    assert relative(speeds, 5.0)[SLOW] > 10
    for step in range(160):
        speeds.note_slowness(FAST, 1.0, 5 + step / 20)
        speeds.note_work(FAST, 0.2, 5 + step / 20)
    assert relative(speeds, 13.0)[SLOW] < 3.5


def test_a_process_that_restarts_starts_anew():
    speeds = ServerSpeeds()
    state_steadily(speeds, FAST, 5.0, 0.0, 1.0)
    state_steadily(speeds, SLOW, 1.0, 0.0, 1.0)
    restarted = ("s-1", 2)
    assert relative(speeds, 1.0, (restarted, SLOW)) == {restarted: 1.0, SLOW: 1.0}
    assert set(speeds.own_samples(0.5 + RETENTION_S)) == {FAST, SLOW}
    assert not speeds.own_samples(1.0 + RETENTION_S)


def test_sums_of_many_hosts_tell_what_none_of_them_knows():
    """Each of 79 hosts has seen one or two requests at each server."""
    rng, hosts = random.Random(2), [ServerSpeeds() for _ in range(79)]
    for host in hosts:
        for server, speed in ((FAST, 1.0), (SLOW, 1.6)):
            now = rng.uniform(0.0, 1.0)
            host.note_slowness(server, 1.0, now)
            host.note_work(server, 0.25 * speed * rng.choice((0.4, 1.0, 1.6)), now)
    known = ServerSpeeds()
    known.merge(add_samples(host.own_samples(1.0) for host in hosts), 1.0)
    assert 1.3 < relative(known, 1.1)[SLOW] < 1.8
    known.merge(add_samples(host.own_samples(1.5) for host in hosts), 1.5)
    assert known._speeds[FAST].work(1.5)[1] <= 79


def test_the_newest_statement_of_all_hosts_counts():
    first = {FAST: SpeedSample(1.0, 0.4, 0.2, 3.0), SLOW: SpeedSample(1.0, 0.1, 0.0, 0)}
    second = {FAST: SpeedSample(2.5, 0.1, 0.6, 1.0)}
    total = add_samples([first, second])[FAST]
    assert (total.slowness, total.age_s, total.samples) == (2.5, 0.1, 4.0)
    assert total.mean_work == pytest.approx(0.3)
    speeds = ServerSpeeds()
    speeds.note_slowness(FAST, 1.0, 10.0)
    speeds.merge({FAST: SpeedSample(9.0, 5.0, 0.3, 4.0)}, 10.0)
    assert speeds.slowness(FAST, 10.0) == 1.0


@pytest.mark.parametrize("value", [math.nan, math.inf, -1.0, 0.0])
def test_an_absurd_time_changes_nothing(value):
    speeds = ServerSpeeds()
    state_steadily(speeds, FAST, 1.0, 0.0, 1.0)
    speeds.note_work(FAST, value, 1.0)
    assert speeds.own_samples(1.0)[FAST].samples == 0

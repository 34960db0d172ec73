import random
from dataclasses import replace

import pytest

from sequoiapoint.coordination.store_reading import (
    MAX_LAG_S,
    PROBE_DURATION_S,
    PROBES_PER_S,
    STALL_S,
    StoreReading,
    ZoneView,
)

HEARD = ZoneView(
    is_aggregator=False,
    is_aggregator_heard=True,
    is_store_reachable=True,
    server_end=5,
    hosts=34,
)
STEP_S = 0.1


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, False),
        ({"is_aggregator": True}, True),
        ({"is_aggregator_heard": False}, True),
        ({"is_store_reachable": False}, False),
        ({"is_store_reachable": False, "is_standby": True}, True),
        ({"is_standby": True}, False),
        ({"lag_s": MAX_LAG_S - 0.1}, False),
        ({"lag_s": MAX_LAG_S + 0.1}, True),
    ],
)
def test_who_reads_the_store(changes, expected):
    reading = StoreReading(random.Random(1).random)
    assert not reading.reads_itself(HEARD, 100.0)
    assert reading.reads_itself(replace(HEARD, **changes), 100.1) is expected


@pytest.mark.parametrize("hosts", [4, 34, 200])
def test_the_tries_of_a_zone_do_not_grow_with_its_hosts(hosts):
    """Replays a store that is down for ten seconds."""
    rng = random.Random(7)
    readings = [StoreReading(rng.random) for _ in range(hosts)]
    view = replace(HEARD, is_store_reachable=False, hosts=hosts)
    for reading in readings:
        reading.reads_itself(view, 100.0)
    tries, was_trying = 0, [False] * hosts
    for step in range(round(10.0 / STEP_S)):
        now = 100.0 + STALL_S + step * STEP_S
        for number, reading in enumerate(readings):
            tries_now = reading.reads_itself(view, now)
            tries += tries_now and not was_trying[number]
            was_trying[number] = tries_now
    assert 1 <= tries <= 1.5 * max(hosts, PROBES_PER_S * (10.0 + PROBE_DURATION_S))
    if hosts > 4:
        assert tries >= 10


def test_nobody_tries_the_store_while_another_host_is_served():
    reading = StoreReading(random.Random(1).random)
    view = replace(HEARD, is_store_reachable=False, hosts=1)
    for step in range(100):
        advanced = replace(view, server_end=step)
        assert not reading.reads_itself(advanced, 100.0 + step * STALL_S / 2)

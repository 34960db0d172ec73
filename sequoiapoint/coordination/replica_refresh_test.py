import pytest

from sequoiapoint.coordination import replica_refresh
from sequoiapoint.coordination.replica_refresh import TIMEOUT_SHARE, Refresh, decide


@pytest.mark.parametrize(
    ("age_s", "is_relay", "position", "expected"),
    [
        (0.9, True, 0, Refresh(False, False)),
        (1.1, True, 0, Refresh(True, True)),
        (1.1, False, 2, Refresh(True, False)),
        (1.25, False, 2, Refresh(True, True)),
        (1.25, False, 9, Refresh(True, False)),
        (1.41, False, 9, Refresh(True, True)),
    ],
)
def test_relays_turn_to_the_store_before_the_other_hosts(
    age_s, is_relay, position, expected
):
    assert decide(age_s, 2.0, is_relay, position, 10) == expected


@pytest.mark.parametrize(("is_relay", "expected"), [(True, True), (False, False)])
def test_a_zone_does_not_turn_to_a_store_that_its_relays_cannot_read(
    is_relay, expected
):
    """Replays an outage: relays answer, but have no newer state."""
    assert decide(9.0, 2.0, is_relay, 1, 50, True) == Refresh(True, expected)


@pytest.mark.parametrize("hosts", [2, 12, 200])
def test_the_last_host_still_has_time_for_two_calls_within_the_limit(hosts):
    latest_share = next(
        share / 1000
        for share in range(1000)
        if decide(share / 1000, 1.0, False, hosts - 1, hosts).reads_store
    )
    assert latest_share + TIMEOUT_SHARE < 1.0
    assert replica_refresh.STALE_SHARE + 2 * TIMEOUT_SHARE < 1.0

import pytest

from sequoiapoint.state.stated_times import RETENTION_S, StatedTimes


@pytest.mark.parametrize(
    ("earlier", "stated_s", "under_way_s"),
    [
        ([5.0] * 20, 5.0, 0.0),
        ([5.0] * 20, 4.2, 0.8),
        ([5.0] * 20, 4.995, 0.0),
        ([5.0] * 20, None, 0.0),
        ([5.0] * 20, 6.0, 0.0),
        ([5.0] * 12 + [4.0, 3.9, 3.8, 4.1] * 2, 4.2, 0.8),
        # Too few requests, callers with times of their own, and one that waits longer.
        ([5.0] * 3, 4.2, 0.0),
        ([5.0, 4.0] * 20, 4.0, 0.0),
        ([5.0] * 20 + [9.0], 4.2, 0.0),
        ([None] * 20, 4.2, 0.0),
    ],
)
def test_a_shorter_time_than_most_callers_state_is_that_of_a_later_attempt(
    earlier, stated_s, under_way_s
):
    """Guards against first attempts that are put behind others as late ones."""
    times = StatedTimes()
    for number, time_s in enumerate(earlier):
        times.note("chat", time_s, 0.01 * number)
        times.note("other", 30.0, 0.01 * number)
    assert times.note("chat", stated_s, 1.0) == pytest.approx(under_way_s)


def test_what_callers_stated_more_than_a_minute_ago_is_forgotten():
    """Guards against an operator's shorter time limit that looks like late requests."""
    times = StatedTimes()
    for number in range(100):
        times.note("chat", 5.0, 0.1 * number)
    at = 10.0 + RETENTION_S
    for number in range(100):
        times.note("chat", 4.0, at + 0.1 * number)
    assert times.note("chat", 4.0, at + RETENTION_S / 2) == 0.0
    assert times.note("chat", 3.0, at + RETENTION_S / 2) == pytest.approx(1.0)

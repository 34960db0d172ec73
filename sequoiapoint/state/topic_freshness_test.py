"""Until when a replica is known to be complete, from reads and announcements."""

import math

import pytest

from sequoiapoint.state.topic_freshness import (
    MAX_PENDING_ANNOUNCEMENTS,
    TopicFreshness,
)


@pytest.mark.parametrize(
    ("announced", "known_end", "expected"),
    [
        ([], 5, 1.0),
        ([(5, 2.0)], 5, 2.0),
        ([(6, 2.0)], 5, 1.0),
        ([(6, 2.0)], 6, 2.0),
        ([(6, 2.0), (7, 3.0)], 6, 2.0),
        ([(6, 2.0), (7, 3.0)], 7, 3.0),
        ([(4, 0.5)], 5, 1.0),
    ],
)
def test_an_announced_read_counts_once_its_end_is_reached(
    announced, known_end, expected
):
    freshness = TopicFreshness()
    freshness.note_read(1.0)
    for end, at in announced:
        freshness.note_announcement(end, at, 5)
    freshness.note_end(known_end)
    assert freshness.complete_until == expected


def test_the_lag_of_a_change_is_bounded_by_two_reads_and_the_way_here():
    freshness = TopicFreshness()
    assert freshness.age_s(1.0) == math.inf
    freshness.note_read(1.0)
    freshness.note_read(1.6)
    lag = freshness.change_lag(1.9)
    assert (lag.unread_s, lag.relayed_s) == pytest.approx((0.6, 0.3))
    assert lag.total_s == pytest.approx(0.9)


def test_announcements_that_are_never_reached_do_not_accumulate():
    freshness = TopicFreshness()
    for end in range(1000):
        freshness.note_announcement(end + 1, float(end), 0)
    assert len(freshness._announced) == MAX_PENDING_ANNOUNCEMENTS

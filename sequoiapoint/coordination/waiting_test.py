import pytest

from sequoiapoint.coordination import waiting
from sequoiapoint.protocol.gateway import Repeatability, Route


def route(goal_s, is_stream, gap_s=0.0):
    return Route(
        "r",
        "h",
        "/",
        (("s", 1.0),),
        Repeatability.IDEMPOTENT,
        is_stream,
        is_stream,
        12.0,
        goal_s,
        gap_s,
        2,
        0,
    )


@pytest.mark.parametrize(
    ("goal_s", "is_stream", "remaining_s", "bound"),
    [
        (0.3, True, 12.0, 2.0),
        (0.3, True, 0.2, 0.2),
        (5.0, True, 20.0, 16.0),
        (3.0, True, 20.0, 9.6),
        (3.0, True, 4.0, 4.0),
        (0.2, False, 1.5, 0.75),
    ],
)
def test_the_wait_limit_leaves_time_before_the_callers_timeouts(
    goal_s, is_stream, remaining_s, bound
):
    limit_s = waiting.wait_limit_s(route(goal_s, is_stream), remaining_s)
    assert 0 < limit_s <= bound


@pytest.mark.parametrize(
    ("goal_s", "is_stream", "remaining_s", "expected"),
    [(0.3, True, 5.0, 1.5), (0.2, False, 1.0, 0.75), (5.0, True, 20.0, 15.0)],
)
def test_a_caller_that_has_come_back_may_wait_longer(
    goal_s, is_stream, remaining_s, expected
):
    """It does not come back again, so no time has to remain for another attempt."""
    limit_s = waiting.wait_limit_s(route(goal_s, is_stream), remaining_s, True)
    assert limit_s == pytest.approx(expected)


@pytest.mark.parametrize(
    ("goal_s", "gap_s", "expected"),
    [(0.3, 0.15, 2.0), (3.0, 0.15, 12.0), (0.3, 0.5, 4.0)],
)
def test_the_event_timeout_depends_on_latency_goal_and_event_gap(
    goal_s, gap_s, expected
):
    assert waiting.event_timeout_s(route(goal_s, True, gap_s)) == expected


@pytest.mark.parametrize(
    ("time", "limit"), [(None, 12), (1.0, 12), (2.0, 9), (6.0, 7), (100.0, 7)]
)
def test_a_slow_server_gets_fewer_requests_beyond_its_slots(time, limit):
    """At least its slots and one more: it must not be locked out."""
    assert not waiting.is_full(limit - 1, 6, False, time)
    assert waiting.is_full(limit, 6, False, time)


@pytest.mark.parametrize(
    ("wait_s", "remaining_s", "late"),
    [(0.0, 0.1, False), (0.9, 1.0, False), (2, 1, True)],
)
def test_a_request_is_too_late_if_the_queue_is_longer_than_its_time(
    wait_s, remaining_s, late
):
    assert waiting.is_too_late(wait_s, remaining_s) is late


@pytest.mark.parametrize(
    ("predictions", "expected"),
    [
        ([], 0.0),
        ([(2.0, 10.0)], 2.0),
        ([(2.0, 10.0), (0.5, 9.8)], 0.3),
        ([(2.0, 10.0), (0.0, 10.0)], 0.0),
        ([(2.0, 10.0), (3.0, 8.9)], 0.0),
        ([(0.4, 9.5)], 0.0),
    ],
    ids=["none", "one", "shortest", "one_unknown", "one_too_old", "over"],
)
def test_the_shortest_wait_counts_if_all_allocators_have_predicted_one(
    predictions, expected
):
    assert waiting.predicted_wait_s(predictions, 10.0) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("goal_s", "predicted_s", "limit_s", "remaining_s", "expected"),
    [
        (0.4, 1.3, 1.2, 4.0, True),
        (0.4, 1.1, 1.2, 4.0, False),
        (0.4, 1.1, 1.2, 1.0, True),
        (0.4, 0.0, 1.2, 4.0, False),
        (2.0, 9.0, 1.2, 4.0, False),
    ],
    ids=["limit", "in_time", "deadline", "unknown", "may_be_loaded"],
)
def test_a_request_waits_for_engines_only_if_it_may_be_served_in_time(
    goal_s, predicted_s, limit_s, remaining_s, expected
):
    """Of 7,900 urgent requests 2,067 were rejected, most after a wait of 1.2 s."""
    arguments = (predicted_s, limit_s, remaining_s, route(goal_s, True))
    assert waiting.is_engine_queue_too_long(*arguments) is expected


@pytest.mark.parametrize("wait_s", [0.001, 0.3, 4.0])
def test_the_retry_delay_is_the_predicted_wait_if_there_is_one(wait_s):
    delays = [waiting.retry_after_s(True, n / 10, wait_s) for n in range(11)]
    assert max(wait_s, waiting.MIN_RETRY_AFTER_S) == min(delays)
    assert len(set(delays)) == 11
    assert max(delays) < 1.3 * min(delays)


@pytest.mark.parametrize("has_servers", [True, False])
def test_retry_delays_of_rejected_callers_are_spread(has_servers):
    times = [waiting.retry_after_s(has_servers, n / 10) for n in range(11)]
    assert len(set(times)) == 11
    assert max(times) == 3 * min(times) > 0


@pytest.mark.parametrize(
    ("load", "slots", "is_engine", "full"),
    [
        (64, 64, True, False),
        (80, 64, True, True),
        (11, 6, False, False),
        (12, 6, False, True),
    ],
)
def test_a_server_is_full_beyond_its_utilisation_limit(load, slots, is_engine, full):
    assert waiting.is_full(load, slots, is_engine) is full


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ((0, 0.5, 9.0), (1, 0.5, 1.0)),
        ((1, 0.5, 9.0), (1, -0.1, 1.0)),
        ((1, 0.5, 1.0), (1, 0.4, 2.0)),
        ((0, -0.1, 9.0), (1, 0.5, 1.0)),
    ],
)
def test_the_urgency_is_by_priority_then_whether_it_can_be_on_time(first, second):
    now = 100.0
    keys = [
        waiting.urgency(priority, now + goal_s, now + deadline_s, now)
        for priority, goal_s, deadline_s in (first, second)
    ]
    assert keys == sorted(keys)


@pytest.mark.parametrize(
    ("remaining_s", "expected"), [(5.0, True), (0.3, True), (0.2, False), (-0.1, False)]
)
def test_a_request_is_not_sent_again_just_before_its_caller_leaves(
    remaining_s, expected
):
    """Replays trouble-1 of the large deployment.

    A request reached a second server 0.55 s after its caller's deadline.
    """
    assert waiting.may_send_again(remaining_s) is expected


@pytest.mark.parametrize("refusal_s", [0.01, waiting.MIN_RETRY_TIME_S])
@pytest.mark.parametrize("pause_s", [0.0, 0.2])
@pytest.mark.parametrize("remaining_s", [0.1, 0.3, 0.6, 0.71, 3.0])
def test_a_stream_that_leaves_a_silent_server_can_be_tried_at_two_others(
    remaining_s, pause_s, refusal_s
):
    """The first one turned it away when none could be tried any more: cut off."""
    if waiting.may_leave_silent_server(remaining_s, pause_s):
        assert waiting.may_send_again(remaining_s)
        assert waiting.may_send_again(remaining_s - refusal_s - pause_s)
    else:
        assert remaining_s < 2 * waiting.MIN_RETRY_TIME_S + pause_s


@pytest.mark.parametrize(
    ("until", "expected"),
    [([], None), ([0.0], None), ([12.0, 9.0], None), ([12.0, 11.5], 1.5)],
)
def test_a_caller_is_told_when_the_first_server_accepts_requests_again(until, expected):
    assert waiting.back_off_s(until, 10.0) == expected

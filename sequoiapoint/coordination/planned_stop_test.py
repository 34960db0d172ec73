import pytest

from sequoiapoint.coordination.planned_stop import PlannedStop

STOP = PlannedStop(100.0, 8.0)


@pytest.mark.parametrize(
    ("now", "deadline", "may_begin"),
    [
        # Any request, until the load balancer has moved the callers away.
        (100.0, 112.0, True),
        (102.6, 114.6, True),
        # Later, one that may still run as the process ends is not begun.
        (102.8, 114.8, False),
        (103.5, 107.5, False),
        (107.3, 108.8, False),
        # One that ends before that, at its deadline at the latest, is.
        (103.5, 105.0, True),
        (105.8, 107.3, True),
    ],
)
def test_a_late_request_is_begun_only_if_it_ends_before_the_process(
    now, deadline, may_begin
):
    assert STOP.may_begin(now, deadline) is may_begin


def test_the_steps_of_a_stop_follow_one_another_before_the_kill():
    steps = [
        STOP.started_at,
        STOP.queue_deadline,
        STOP.listens_until,
        STOP.requests_end_at,
        STOP.connections_end_at,
        STOP.started_at + STOP.drain_timeout_s,
    ]
    assert steps == sorted(set(steps))


@pytest.mark.parametrize("drain_timeout_s", [0.1, 1.0, 3.0])
def test_no_request_is_begun_once_requests_are_ended(drain_timeout_s):
    """Under a short drain timeout they were sent to servers as the process ended."""
    stop = PlannedStop(100.0, drain_timeout_s)
    assert not stop.may_begin(stop.requests_end_at, 112.0)
    assert stop.started_at <= stop.listens_until <= stop.requests_end_at

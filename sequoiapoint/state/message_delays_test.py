import pytest

from sequoiapoint.state.message_delays import WINDOW_S, MessageDelays

CLOCK_OFFSET_S = -5_000.0


@pytest.mark.parametrize(
    ("delays_s", "expected_s"),
    [
        ([0.01, 0.01, 0.01], [0.0, 0.0, 0.0]),
        ([0.01, 4.01, 0.01], [0.0, 4.0, 0.0]),
        ([0.01, 4.01, 3.51, 3.01], [0.0, 4.0, 3.5, 3.0]),
        ([0.51, 0.01, 0.51], [0.0, 0.0, 0.5]),
    ],
)
def test_messages_are_compared_with_the_fastest_one(delays_s, expected_s):
    delays, late_s = MessageDelays(), []
    for number, delay_s in enumerate(delays_s):
        sent_at = 0.5 * number
        late_s.append(delays.late_s("h", sent_at + CLOCK_OFFSET_S, sent_at + delay_s))
    assert late_s == pytest.approx(expected_s)


@pytest.mark.parametrize("drift", [-1e-4, 1e-4])
def test_clocks_that_drift_apart_do_not_make_messages_late(drift):
    delays = MessageDelays()
    late_s = [delays.late_s("h", t * (1 + drift), t) for t in range(3600)]
    assert max(late_s) < 0.01


def test_a_late_message_is_noticed_after_a_window_has_ended():
    delays = MessageDelays()
    delays.late_s("h", 0.0, 0.01)
    late_s = delays.late_s("h", WINDOW_S, WINDOW_S + 4.01)
    assert late_s == pytest.approx(4.0)


def test_a_process_that_has_started_again_has_other_clocks():
    delays = MessageDelays()
    delays.late_s(("h", 1), 1_000.0, 10.0)
    assert delays.late_s(("h", 2), 0.5, 10.5) == 0.0

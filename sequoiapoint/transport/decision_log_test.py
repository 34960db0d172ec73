import threading

import pytest

from sequoiapoint.transport import decision_log
from sequoiapoint.transport.decision_log import DecisionLog


def logged(work, lines_per_s=1000.0, level="info"):
    lines = []
    with DecisionLog(level, lines_per_s, {"host": "h"}, lines.append) as log:
        work(log)
    return lines


def test_a_line_holds_the_event_its_outcome_and_its_inputs():
    (line,) = logged(lambda log: log.event("route", "refused", request="r 1", age_ms=3))
    for pair in (
        "event=route",
        "outcome=refused",
        'request="r 1"',
        "age_ms=3",
        "host=h",
    ):
        assert pair in line


def test_an_event_that_comes_too_often_is_counted_and_left_out():
    """Replays an outage in which every request is refused for the same reason."""

    def work(log):
        for n in range(500):
            log.event("refused", "full", request=n)
        log.event("refused", "late", request=1)

    lines = logged(work, lines_per_s=10.0)
    assert 10 <= sum("outcome=full" in line for line in lines) <= 30
    assert sum("outcome=late" in line for line in lines) == 1


def test_a_reader_that_hangs_does_not_hold_up_the_process(monkeypatch):
    monkeypatch.setattr(decision_log, "MAX_QUEUED_LINES", 50)
    monkeypatch.setattr(decision_log, "FLUSH_TIMEOUT_S", 0.05)
    release = threading.Event()
    with DecisionLog("info", 1e6, {}, lambda line: release.wait(10)) as log:
        for n in range(500):
            log.event("e", request=n)
        dropped = log.dropped
    release.set()
    assert dropped > 400


@pytest.mark.parametrize(("level", "count"), [("info", 1), ("error", 0)])
def test_the_level_of_the_settings_counts(level, count):
    assert len(logged(lambda log: log.event("e"), level=level)) == count

import threading

import pytest

from sequoiapoint.transport import decision_log
from sequoiapoint.transport.decision_log import DecisionLog


def log_lines(work, lines_per_s=1000.0, level="info"):
    lines = []
    with DecisionLog(level, lines_per_s, {"host": "h"}, lines.append) as log:
        work(log)
    return lines


def test_a_line_contains_the_event_its_outcome_and_its_fields():
    (line,) = log_lines(
        lambda log: log.event("route", "refused", request="r 1", age_ms=3)
    )
    for pair in (
        "event=route",
        "outcome=refused",
        'request="r 1"',
        "age_ms=3",
        "host=h",
    ):
        assert pair in line


def test_the_order_of_the_fields_and_their_quotes_stay_the_same():
    """Guards operators' scripts, which read the lines."""
    odd = {"empty": "", "text": 'a="b\\"\nc', "level": 3, "none": None}
    lines = log_lines(lambda log: [log.event("e", "o", n=1), log.event("e2", **odd)])
    first, second = (line.partition(" ") for line in lines)
    assert first[2] == "level=info event=e outcome=o n=1 host=h\n"
    quoted = r'empty="" text="a=\"b\\\"\nc" none=None host=h'
    assert second[2] == f"level=3 event=e2 {quoted}\n"


def test_lines_above_the_rate_limit_of_an_event_and_outcome_are_skipped():
    """Guards against a flood of lines in an outage.

    Every request is then refused for the same reason.
    """

    def work(log):
        for n in range(500):
            log.event("refused", "full", request=n)
        log.event("refused", "late", request=1)

    lines = log_lines(work, lines_per_s=10.0)
    assert 10 <= sum("outcome=full" in line for line in lines) <= 30
    assert sum("outcome=late" in line for line in lines) == 1


def test_a_blocked_writer_does_not_block_the_process(monkeypatch):
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
def test_lines_below_the_configured_level_are_not_logged(level, count):
    assert len(log_lines(lambda log: log.event("e"), level=level)) == count

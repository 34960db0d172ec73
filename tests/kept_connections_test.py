"""A short seeded run of callers on kept connections beside changes and disturbances.

`python -m standins.site.kept_connections` does longer ones by hand.
"""

from collections import Counter
from dataclasses import replace

import pytest

from standins.site import backends, kept_connections
from standins.site.kept_connections import SentRequest, _judge

SEED = 1
EVENTS = b"id: 1\ndata: lm-0\n\nid: 2\ndata: lm-0\n\n"
SECONDS = 26.0
CHANGES = {"timeout", "idle", "routes", "big", "hangup", "stop"}
STOPS = [("gw-1", 4.0)]
MIN_ANSWERED_SHARE = 0.5
"""Servers are disturbed for three quarters of the time."""


def test_no_request_ends_without_an_answer_beside_changes_and_disturbances():
    result = kept_connections.run(SEED, SECONDS)
    print(result.summary())
    assert result.lost == []
    assert result.failures == []
    assert set(result.actions) >= CHANGES
    answered = sum(request.status == 200 for request in result.requests)
    assert answered > MIN_ANSWERED_SHARE * len(result.requests)


class _Site:
    """Logs and servers from which requests are judged."""

    def __init__(self, tmp_path, log="", runs=()):
        path = tmp_path / "log"
        path.write_text(log)
        self.gateways = [_Record(log=path)]
        self.backends = [_Record(runs=Counter(runs))]


class _Record:
    def __init__(self, **fields):
        self.__dict__.update(fields)


def judged(tmp_path, log="", runs=(), **changes):
    fields = {"begun_at": 10.0, "sent_at": 10.0, "ended_at": 11.0} | changes
    fields = {"kind": "read", "gateway": "gw-0", "is_slow": False} | fields
    result = _judge(_Site(tmp_path, log, runs), [SentRequest("r", **fields)], STOPS)
    return len(result.lost), dict(result.excused)


def test_what_counts_as_a_request_without_an_answer(tmp_path):
    read = "event=request_ended outcome=broken_off request=r reason=timed_out x\n"
    broken = "event=attempt_failed outcome=unknown request=r error=reset x\n"
    silent = "event=attempt_failed outcome=unknown request=r error=timed_out x\n"
    assert judged(tmp_path, read) == (1, {})
    assert judged(tmp_path, runs=["r"]) == (1, {})
    assert judged(tmp_path, silent + read) == (1, {})
    assert judged(tmp_path, read, is_whole=True) == (0, {})
    assert judged(tmp_path, read, sent_at=0.0) == (0, {})
    assert judged(tmp_path) == (0, {"closed before it was read": 1})
    assert judged(tmp_path, broken + read) == (0, {"server broke off": 1})
    assert judged(tmp_path, read, ended_at=13.1) == (0, {"deadline": 1})
    assert judged(tmp_path, read, ended_at=14.0) == (1, {})


def test_what_counts_as_a_wrong_answer(tmp_path):
    """Refused requests that had run, and second runs, have complete responses."""
    whole = {"is_whole": True, "status": 200}
    assert judged(tmp_path, runs=["r"], **whole) == (0, {})
    assert judged(tmp_path, wrong="body", **whole) == (1, {})
    assert judged(tmp_path, is_whole=True, status=503) == (0, {})
    for status in (429, 503):
        assert judged(tmp_path, runs=["r"], is_whole=True, status=status) == (1, {})
    late = {"is_whole": True, "status": 408, "habit": "late"}
    assert judged(tmp_path, pause_s=1.9, **late) == (0, {})
    assert judged(tmp_path, pause_s=1.5, **late) == (1, {})
    for kind, lost in (("read", 0), ("write", 1), ("talk", 0), ("once", 1)):
        assert judged(tmp_path, runs=["r", "r"], kind=kind, **whole) == (lost, {})


@pytest.mark.parametrize(
    ("kind", "data", "is_whole", "is_wrong"),
    [
        ("read", b"web-0:body", True, False),
        ("read", b"web-0:other", True, True),
        ("read", b"web-0:bo", False, False),
        ("talk", EVENTS, True, False),
        ("talk", EVENTS[:18], True, True),
        ("talk", EVENTS[:18], False, False),
        ("talk", EVENTS[:25], False, False),
        ("talk", EVENTS[:25], True, True),
        ("talk", EVENTS[18:], False, True),
        ("once", EVENTS + EVENTS, True, True),
        ("once", EVENTS[:18] + b"failed", False, True),
        ("once", EVENTS[:25] + EVENTS[18:], False, True),
        ("talk", EVENTS + backends.PAGE, True, True),
        ("talk", EVENTS + b"HTTP/1.1 200 OK\r\n", False, True),
    ],
)
def test_streams_hold_nothing_but_their_events(kind, data, is_whole, is_wrong):
    """What another server had answered was joined to a stream."""
    request = SentRequest("r", kind, "gw-0", False, is_whole=is_whole)
    request.check(data, b"body", 2)
    assert bool(request.wrong) == is_wrong


def test_late_callers_that_are_cut_without_an_answer(tmp_path):
    """A request behind another one was read at a stop, and dropped without a line."""
    before = SentRequest("b", "read", "gw-1", False, is_whole=True)
    behind = {"habit": "behind", "before": before}
    cut = replace(before, is_whole=False)
    at_end = {"gateway": "gw-1", "sent_at": 6.0, "budget_s": 9.0}
    assert judged(tmp_path, **behind) == (1, {})
    assert judged(tmp_path, habit="late") == (1, {})
    closed = (0, {"closed before it was read": 1})
    assert judged(tmp_path, ended_at=10.1, **behind) == closed
    assert judged(tmp_path, habit="paused") == closed
    behind_cut = (0, {"behind another one without an answer": 1})
    assert judged(tmp_path, **(behind | {"before": cut})) == behind_cut
    assert judged(tmp_path, runs=["r"], **(behind | {"before": cut})) == (1, {})
    in_progress = (0, {"in progress at the end of a stop": 1})
    assert judged(tmp_path, runs=["r"], **at_end) == in_progress
    assert judged(tmp_path, runs=["r"], **(at_end | {"sent_at": 7.1})) == (1, {})
    assert judged(tmp_path, runs=["r"], ended_at=10.5, **at_end) == (1, {})
    assert judged(tmp_path, runs=["r"], **(at_end | {"gateway": "gw-0"})) == (1, {})

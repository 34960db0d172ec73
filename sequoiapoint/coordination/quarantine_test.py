import itertools

import pytest

from sequoiapoint.coordination.quarantine import Quarantine, Verdict


def test_peers_receive_a_limited_number_of_recent_changes():
    """Simulates lost responses of a service: hundreds of requests become suspect."""
    quarantine = Quarantine(3)
    for n in range(500):
        quarantine.record_crash(f"r-{n}", "s@1", n / 100)
    changes = quarantine.recent_changes(5.0, 1.0, 20)
    assert len(changes) == 20
    assert changes[0].fingerprint == "r-499"
    assert quarantine.recent_changes(9.0, 1.0, 20) == ()


def test_a_request_is_quarantined_after_the_configured_number_of_crashes():
    quarantine = Quarantine(3)
    quarantined = [quarantine.record_crash("r", f"s-{n}@1", 0.0) for n in range(3)]
    assert quarantined == [False, False, True]
    assert not quarantine.record_crash("q", "s-1@1", 0.0)
    assert not quarantine.record_crash("q", "s-1@1", 0.1)


def test_excused_crashes_do_not_count_in_whatever_order_they_become_known():
    quarantine = Quarantine(3)
    for n in range(3):
        quarantine.record_crash("page", f"s-{n}@1", 0.0)
    assert quarantine.is_quarantined("page", 0.1)
    quarantine.excuse("s-0@1")
    assert not quarantine.is_quarantined("page", 0.1)
    quarantine.excuse("s-1@1")
    quarantine.excuse("s-2@1")
    assert not quarantine.is_suspect("page", 0.1)
    assert not quarantine.merge("page", frozenset({"s-0@1", "s-1@1", "s-2@1"}), 0.2)
    assert not quarantine.is_suspect("page", 0.2)
    deadly = frozenset({"s-2@1", "s-3@1", "s-4@1", "s-5@1"})
    assert quarantine.merge("deadly", deadly, 0.3)


FREE, PROBED, REJECTED = "free", "probed", "rejected"


def verdict(quarantine, now):
    if quarantine.is_quarantined("page", now):
        return REJECTED
    return PROBED if quarantine.needs_probe("page", now) else FREE


@pytest.mark.parametrize(
    ("crashes", "answered_at", "expected"),
    [
        ([(1.0, 0.5), (1.0, 0.6), (1.0, 0.9)], None, PROBED),
        ([(1.0, 0.5)] * 20, None, PROBED),
        ([(1.0, 0.5)] * 20, 0.3, FREE),
        ([(1.0, 0.5)] * 20, 1.2, FREE),
        ([(1.0, 0.5), (1.1, 1.0), (1.2, 1.1)], None, REJECTED),
        ([(1.0, 0.5), (1.1, 1.0), (1.2, 1.1)], 0.3, FREE),
        ([(1.0, 0.5), (1.1, 1.0), (1.2, 1.1)], 1.3, FREE),
        ([(1.0, 0.9), (1.0, 0.9), (2.0, 1.5)], None, PROBED),
        ([(1.0, 0.9), (1.0, 0.9), (1.0, 0.9), (2.0, 1.5), (3.0, 2.5)], None, REJECTED),
        ([(1.0, 0.9), (2.0, 1.5)], None, FREE),
    ],
)
def test_servers_that_crash_at_once_prove_nothing(crashes, answered_at, expected):
    """A page that was in flight on a rack as it crashed was rejected for 10 minutes.

    :param crashes: When servers crashed, and when they had been sent the request.
    :param answered_at: When a request for the page was answered.
    """
    quarantine = Quarantine(3)
    events = [(at, f"s-{n}@1", sent_at) for n, (at, sent_at) in enumerate(crashes)]
    events += [] if answered_at is None else [(answered_at, "", 0.0)]
    for now, server, sent_at in sorted(events, key=lambda event: event[0]):
        if server:
            quarantine.record_crash("page", server, now, sent_at)
        else:
            quarantine.clear("page", now)
    assert verdict(quarantine, 4.0) == expected


def test_one_request_at_a_time_probes_whether_it_crashes_servers():
    """Answers a rack that crashes while a page that nobody has got yet is in demand."""
    quarantine = Quarantine(3)
    for number in range(3):
        quarantine.record_crash("page", f"s-{number}@1", 1.0, 0.5)
    first = quarantine.admit("page", "first", 1.1)
    assert first is quarantine.admit("page", "first", 1.2) is Verdict.ADMITTED
    assert quarantine.admit("page", "second", 1.2) is Verdict.BEHIND_PROBE
    assert quarantine.admit("other", "second", 1.2) is Verdict.ADMITTED
    quarantine.end_probe("page", "second")
    assert quarantine.admit("page", "second", 1.3) is Verdict.BEHIND_PROBE
    quarantine.end_probe("page", "first")
    assert quarantine.admit("page", "second", 1.4) is Verdict.ADMITTED
    quarantine.clear("page", 1.5)
    assert quarantine.admit("page", "third", 1.6) is Verdict.ADMITTED


@pytest.mark.parametrize("is_answered", [False, True])
def test_hosts_agree_in_whatever_order_they_learn_of_crashes(is_answered):
    steps = [
        lambda q: q.merge("page", frozenset({"a", "b"}), 1.0, frozenset({"b"})),
        lambda q: q.merge("page", frozenset({"b", "c"}), 1.0, frozenset({"c"})),
    ]
    if is_answered:
        steps.append(lambda q: q.clear("page", 1.0))
    verdicts = set()
    for order in itertools.permutations(steps):
        quarantine = Quarantine(3)
        for step in order:
            step(quarantine)
        verdicts.add(verdict(quarantine, 2.0))
    assert verdicts == {FREE if is_answered else REJECTED}

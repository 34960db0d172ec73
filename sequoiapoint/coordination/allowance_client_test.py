import itertools

import pytest

from sequoiapoint.coordination.allowance_allocator import Tolerance
from sequoiapoint.coordination.allowance_client import (
    ALLOCATOR_BACKOFF_S,
    RESEND_S,
    AllowanceClient,
)
from sequoiapoint.coordination.allowance_credit import (
    GRANTED,
    Denied,
    request_cost,
)
from sequoiapoint.protocol.allowances import (
    AllowanceOutcome,
    AllowanceReply,
    Charge,
    caller_mark,
)
from sequoiapoint.protocol.gateway import Allowance

TOLERANCE = Tolerance(8.0, 0.1, 0.0)
HOSTS = 4
ALLOWANCE = Allowance(100.0, 100.0, True, 20.0)


def build():
    return AllowanceClient("h", "org", ALLOWANCE, itertools.count(1), lambda: 0.5)


def reply_to(request, *waits_s, **fields):
    return AllowanceReply("h", request.number, waits_s=waits_s, **fields)


def receive(client, reply, now):
    return client.receive(reply, TOLERANCE, HOSTS, now)


def time_out(client, number, now):
    return client.time_out(number, TOLERANCE, HOSTS, now)


def test_requests_that_arrive_while_a_message_is_under_way_share_the_next():
    client = build()
    assert client.submit(Charge(5.0), "a", 1.0) is None
    first = client.next_message(1, 1.0)
    for waiter in "bc":
        assert client.submit(Charge(6.0), waiter, 1.001) is None
        assert client.next_message(1, 1.001) is None
    assert receive(client, reply_to(first, 0.0), 1.01) == [("a", GRANTED)]
    second = client.next_message(1, 1.01)
    assert [charge.cost for charge in second.charges] == [6.0, 6.0]
    decided = receive(client, reply_to(second, 0.0, 0.7), 1.02)
    assert decided == [("b", GRANTED), ("c", Denied(0.7))]


def test_credit_needs_no_message_and_ends_after_a_second():
    client = build()
    client.submit(Charge(5.0), "a", 1.0)
    receive(client, reply_to(client.next_message(1, 1.0), 0.0, credit=20.0), 1.05)
    assert client.submit(Charge(5.0), "b", 1.9) is GRANTED
    assert client.submit(Charge(5.0), "c", 2.0) is None
    assert client.next_message(1, 2.0).returned == 0.0


def test_a_denied_host_asks_only_for_callers_that_are_due():
    client = build()
    client.submit(Charge(5.0), "a", 1.0)
    request = client.next_message(1, 1.0)
    denial = reply_to(request, 0.6, deny_s=0.3, wait_s=0.6, due=(caller_mark(9),))
    receive(client, denial, 1.0)
    denied = client.submit(Charge(5.0, 8, 1.2), "b", 1.1)
    assert denied.wait_s > 1.2
    assert client.next_message(1, 1.1) is None
    assert client.submit(Charge(5.0, 9, 1.2), "c", 1.1) is None
    assert client.submit(Charge(5.0, 8, 1.2), "d", 1.31) is None


def test_a_silent_allocator_is_asked_twice_and_then_left_alone():
    """Requests waited for an allocator that had crashed."""
    client = build()
    client.submit(Charge(50.0), "a", 1.0)
    request = client.next_message(1, 1.0)
    assert time_out(client, request.number, 1.0 + RESEND_S) == (request, [])
    resend, decided = time_out(client, request.number, 1.0 + 2 * RESEND_S)
    assert resend is None
    assert [waiter for waiter, _ in decided] == ["a"]
    assert client.submit(Charge(50.0), "b", 1.2) is not None
    assert client.next_message(1, 1.2) is None
    later = 1.1 + ALLOCATOR_BACKOFF_S
    assert client.submit(Charge(50.0), "c", later) is not None
    assert client.next_message(1, later).charges == ()


def test_the_former_rate_is_kept_while_the_allocator_is_silent():
    client, now = build(), 0.0
    while now < 10.0:
        now += 0.1
        client.submit(Charge(3.0), "a", now)
        request = client.next_message(1, now)
        receive(client, reply_to(request, *[0.0] * len(request.charges)), now)
    client.note_silent(TOLERANCE, HOSTS, now)
    admitted = 0.0
    for _ in range(200):
        now += 0.01
        if client.submit(Charge(3.0), "b", now) is GRANTED:
            admitted += 3.0
    assert 0.7 * 30.0 * 2.0 <= admitted <= 1.4 * 30.0 * 2.0


@pytest.mark.parametrize("outcome", list(AllowanceOutcome))
def test_a_late_reply_ends_the_silence_and_gives_back_what_was_denied(outcome):
    """A busy host counted as silent for longer than it was."""
    client = build()
    for waiter in "ab":
        client.submit(Charge(400.0), waiter, 1.0)
    request = client.next_message(1, 1.0)
    for step in (1, 2):
        _, decided = time_out(client, request.number, 1.0 + step * RESEND_S)
    assert all(isinstance(decision, Denied) for _, decision in decided)
    late = AllowanceReply("h", request.number, outcome, (0.0, 0.5))
    receive(client, late, 1.1)
    is_there = outcome is AllowanceOutcome.DECIDED
    assert client.credit.is_silent != is_there
    assert client.credit.refunded == (400.0 if is_there else 0.0)


def test_a_caller_that_has_gone_is_not_charged():
    client = build()
    client.submit(Charge(5.0), "a", 1.0)
    request = client.next_message(1, 1.0)
    client.withdraw("a")
    assert receive(client, reply_to(request, 0.0), 1.01) == []
    assert client.next_message(1, 1.01).returned == 5.0


def test_a_changed_allowance_ends_the_credit_and_the_denial():
    client = build()
    client.submit(Charge(5.0), "a", 1.0)
    request = client.next_message(1, 1.0)
    receive(client, reply_to(request, 0.4, deny_s=0.4, wait_s=0.4), 1.0)
    client.credit.set_allowance(Allowance(900.0, 900.0, True, 20.0))
    assert client.submit(Charge(5.0), "b", 1.1) is None


@pytest.mark.parametrize(
    ("counts_tokens", "tokens", "cost"),
    [(True, 15, 15.0), (True, 0, 0.0), (True, None, 20.0), (False, 15, 1.0)],
)
def test_request_cost(counts_tokens, tokens, cost):
    assert request_cost(Allowance(1.0, 1.0, counts_tokens, 20.0), tokens) == cost

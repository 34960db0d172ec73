import random

import pytest

from sequoiapoint.coordination.allowance_allocator import (
    CREDIT_TTL_S,
    MAX_PAUSE_S,
    AllowanceAllocator,
    Tolerance,
    allocating_zone,
    bucket_size,
)
from sequoiapoint.protocol.allowances import AllowanceRequest, Charge
from sequoiapoint.protocol.gateway import Allowance

TOLERANCE = Tolerance(8.0, 0.1, 100.0)
RATE, BURST = 100.0, 200.0


class Asking:
    """Hosts that ask an allocator whose bucket is full at the time 100."""

    def __init__(self, rate=RATE, burst=BURST, tolerance=TOLERANCE):
        self.rate, self.burst, self.tolerance = rate, burst, tolerance
        self.allocator, self.number = AllowanceAllocator(), 0
        allowance = Allowance(rate, burst, True)
        self.allocator.assign({"org": allowance}, 1, tolerance, 0.0)

    def ask(self, now, *charges, host="h", number=None, **fields):
        if number is None:
            self.number += 1
            number = self.number
        version = fields.pop("version", 1)
        rate = fields.pop("rate", self.rate)
        request = AllowanceRequest(
            host, number, "org", version, rate, self.burst, charges, **fields
        )
        return self.allocator.request(request, self.tolerance, 4, 4, now, 0.5)


def test_a_repeated_message_is_charged_once():
    """A lost reply made the allocator charge the same request a second time."""
    hosts = Asking()
    replies = [hosts.ask(100.0, Charge(150.0), number=7) for _ in range(3)]
    assert [reply.waits_s for reply in replies] == [(0.0,)] * 3
    assert hosts.ask(100.0, Charge(50.0), host="other").waits_s == (0.0,)


@pytest.mark.parametrize("used_after_s", [0.0, 0.5, 0.99])
def test_credit_that_is_used_late_does_not_add_to_a_full_bucket(used_after_s):
    """A window had the burst, the refill and what hosts held before it began."""
    hosts = Asking()
    credit = sum(hosts.ask(100.0, host=f"h{n}", ahead=40.0).credit for n in range(50))
    assert credit > 0.0
    now = 100.0 + used_after_s
    granted = sum(
        hosts.ask(now, Charge(5.0), host=f"x{n}").waits_s == (0.0,) for n in range(90)
    )
    assert credit + 5.0 * granted <= BURST + used_after_s * RATE
    later = now + CREDIT_TTL_S + 3.0
    assert hosts.ask(later, Charge(BURST)).waits_s == (0.0,)


def test_what_is_given_back_can_be_granted_again():
    hosts = Asking()
    assert hosts.ask(100.0, Charge(200.0)).waits_s == (0.0,)
    assert hosts.ask(100.0, Charge(150.0), returned=150.0).waits_s == (0.0,)
    assert hosts.ask(100.0, Charge(10.0), returned=5.0).waits_s != (0.0,)


def test_more_than_the_capacity_is_never_given_back():
    hosts = Asking()
    hosts.ask(100.0, returned=1e9)
    assert hosts.ask(100.0, Charge(150.0)).waits_s == (0.0,)
    assert hosts.ask(100.0, Charge(150.0)).waits_s != (0.0,)


@pytest.mark.parametrize(
    ("cost", "is_granted"), [(200.0, True), (290.0, True), (500.0, False)]
)
def test_a_request_beyond_the_burst_is_granted_within_the_tolerated_excess(
    cost, is_granted
):
    """One request of 290 units, in a window, is within (8 x 100 + 200) x 1.1 + 100."""
    hosts = Asking()
    assert (hosts.ask(100.0, Charge(cost)).waits_s == (0.0,)) == is_granted
    if is_granted:
        assert hosts.ask(101.0, Charge(cost)).waits_s != (0.0,)


def test_an_allocator_that_was_suspended_begins_with_nothing():
    """Hosts had used the refill of that time without it."""
    hosts = Asking()
    allocator, now = hosts.allocator, 100.0
    allocator.note_alive(now)
    for _ in range(10):
        now += 0.9 * MAX_PAUSE_S
        assert not allocator.note_alive(now)
    assert hosts.ask(now, Charge(100.0)).waits_s == (0.0,)
    assert allocator.note_alive(now + 2.0)
    assert hosts.ask(now + 2.0, Charge(20.0)).waits_s != (0.0,)
    assert hosts.ask(now + 2.5, Charge(20.0)).waits_s == (0.0,)


def test_the_newest_configuration_counts_whoever_knows_it():
    hosts = Asking()
    hosts.ask(100.0, Charge(200.0))
    hosts.ask(100.1, rate=1000.0, version=2)
    assert hosts.ask(100.2, Charge(90.0), rate=100.0, version=1).waits_s == (0.0,)


def test_callers_that_come_back_precede_others():
    """Others, who came all the time, took the units that they were promised."""
    hosts, rng, now = Asking(), random.Random(1), 100.0
    due, outcomes = [], []
    for caller in range(1, 3000):
        now += 0.005
        for back_at, known in [item for item in due if item[0] <= now]:
            due.remove((back_at, known))
            outcomes.append(hosts.ask(now, known).waits_s == (0.0,))
        charge = Charge(rng.uniform(3.0, 10.0), caller, 1.5)
        reply = hosts.ask(now, charge, host=f"h{caller % 5}")
        if 0.0 < reply.waits_s[0] <= charge.max_wait_s:
            due.append((now + reply.waits_s[0], charge))
    assert len(outcomes) >= 20
    assert all(outcomes)


@pytest.mark.parametrize("known", [2, 3, 6, 62, 400])
def test_the_parts_of_a_divided_deployment_stay_within_half_the_excess(known):
    half = 0.5 * TOLERANCE.excess(RATE, BURST) / TOLERANCE.window_s
    for part in range(1, known):
        sizes = [
            bucket_size(RATE, BURST, TOLERANCE, n, known) for n in (part, known - part)
        ]
        assert sum(size.rate_per_s for size in sizes) <= RATE + half + 1e-9
        assert sum(size.capacity for size in sizes) <= BURST + 1e-9


def test_organisations_are_spread_over_the_zones():
    zones = [f"z{n}" for n in range(4)]
    names = [f"organisation-{n}" for n in range(200)]
    chosen = [allocating_zone(name, zones) for name in names]
    assert min(chosen.count(zone) for zone in zones) >= 30
    assert allocating_zone("organisation-1", ()) is None

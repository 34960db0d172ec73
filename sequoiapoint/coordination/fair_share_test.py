import itertools
import random
from collections import Counter, deque

import pytest

from sequoiapoint.coordination.fair_share import FairShare
from sequoiapoint.coordination.slot_allocator import Engine, SlotAllocator, released
from sequoiapoint.protocol.slots import SlotOutcome, SlotQuality, SlotRequest

RATES = {"large": 40.0, "middle": 20.0, "small": 10.0, "tiny": 1.0}
"""Usual requests a second; the weights are 1.8 times that, as allowances are."""
WEIGHTS = {name: 1.8 * rate for name, rate in RATES.items()}
SURGE = 5.0
RUN_S = 30.0
PATIENCE_S = 1.0


def replay(surging, capacity_per_s, seed=1):
    """Serve requests that arrive at random; return the share served of each."""
    shares, rng = FairShare(), random.Random(seed)
    shares.set_weights(WEIGHTS)
    arrivals = []
    for name, rate in RATES.items():
        at, factor = 0.0, SURGE if name == surging else 1.0
        while at < RUN_S:
            at += rng.expovariate(rate * factor)
            arrivals.append((at, name))
    queue, served, arrived = deque(sorted(arrivals)), Counter(), Counter()
    waiting = []
    for step in itertools.count():
        now = step / capacity_per_s
        if now > RUN_S:
            break
        while queue and queue[0][0] <= now:
            waiting.append(queue.popleft())
            arrived[waiting[-1][1]] += 1
        waiting = [item for item in waiting if now - item[0] <= PATIENCE_S]
        if waiting:
            order = shares.ordered(
                waiting, lambda i: i[1], lambda i: (0, False, i[0]), lambda i: (0,)
            )
            waiting.remove(order[0])
            shares.note_served(order[0][1])
            served[order[0][1]] += 1
    return {name: served[name] / arrived[name] for name in RATES}


@pytest.mark.parametrize("surging", list(RATES))
def test_an_organisation_that_surges_takes_nothing_from_others(surging):
    """First come, first served, all were served alike little."""
    served = replay(surging, 1.15 * sum(RATES.values()))
    assert all(share >= 0.97 for name, share in served.items() if name != surging)


@pytest.mark.parametrize("surging", [None, *RATES])
def test_none_is_served_less_than_a_quarter_as_often_as_all(surging):
    """Half of the usual requests can be served."""
    served = replay(surging, 0.5 * sum(RATES.values()))
    usual = [share for name, share in served.items() if name != surging]
    assert min(usual) >= 0.25 * sum(usual) / len(usual)


def test_an_idle_organisation_saves_nothing_up():
    shares = FairShare()
    for _ in range(1000):
        shares.note_served("busy")
    order = shares.ordered(
        ["idle"] * 10 + ["busy"] * 10, str, lambda i: (0,), lambda i: ()
    )
    assert Counter(order[:10])["busy"] >= 4


def test_urgency_precedes_fairness():
    shares = FairShare()
    for _ in range(50):
        shares.note_served("served")
    items = [("late", 1, 5.0), ("served", 0, 9.0), ("late", 0, 8.0)]
    order = shares.ordered(items, lambda i: i[0], lambda i: i[1:], lambda i: i[1:2])
    assert [item[1] for item in order] == [0, 0, 1]


def test_without_organisations_the_order_is_that_of_urgency():
    shares, rng = FairShare(), random.Random(2)
    items = [(rng.randrange(3), rng.random()) for _ in range(50)]
    for _ in range(20):
        shares.note_served("")
    order = shares.ordered(items, lambda i: "", lambda i: i, lambda i: i[:1])
    assert order == sorted(items)


def test_slots_go_to_the_organisation_that_has_had_little():
    """The requests of an organisation that surged filled all slots that became free."""
    slots = SlotAllocator()
    slots.set_engines([Engine(("e-1", 1), 4)], 0.0)
    slots.set_weights({"surge": 1.0, "calm": 1.0})
    numbers = itertools.count()

    def ask(organisation):
        request = SlotRequest("h", next(numbers), ("e-1",), 0, 10.0, 5.0, organisation)
        return slots.request(request, 0.0)

    running = [ask("surge") for _ in range(4)]
    names = {}
    for organisation in ["surge"] * 20 + ["calm"] * 4:
        reply = ask(organisation)
        assert reply.outcome is SlotOutcome.QUEUED
        names[reply.number] = organisation
    granted = []
    for _ in range(8):
        release = released(running.pop(0), SlotQuality.ON_TIME)
        (grant,) = slots.release(release, 0.1)
        running.append(grant)
        granted.append(names[grant.number])
    assert Counter(granted)["calm"] == 4

"""Order of grants and predicted waits, against a model that examines every request."""

import pickle
import random
from collections import Counter

import pytest

from sequoiapoint.coordination import waiting
from sequoiapoint.coordination.fair_share import FairShare
from sequoiapoint.coordination.slot_allocator import (
    QUEUE_TTL_S,
    Engine,
    SlotAllocator,
    released,
    withdrawn,
)
from sequoiapoint.protocol.slots import SlotOutcome, SlotQuality, SlotReply, SlotRequest

SERVERS = ("e-0", "e-1", "e-2", "e-3")
WEIGHTS = {"a": 1.0, "b": 2.5, "c": 0.2}
EVENTS = 600


class PlainQueue:
    """Queued requests without an index."""

    def __init__(self):
        self.shares, self.queued, self.order = FairShare(), {}, 0
        self.shares.set_weights(WEIGHTS)

    def drop_expired(self, now):
        self.queued = {
            number: entry
            for number, entry in self.queued.items()
            if now - entry[1] <= QUEUE_TTL_S and entry[2] > now
        }

    def add(self, request, order, now):
        deadline, goal_at = now + request.remaining_s, now + request.goal_s
        if order is None:
            order, self.order = self.order, self.order + 1
        self.queued[request.number] = (request, now, deadline, goal_at, order)

    def pop_order(self, number):
        entry = self.queued.pop(number, None)
        return None if entry is None else entry[4]

    def rank(self, entry, now):
        request, _, deadline, goal_at, order = entry
        priority, is_late, deadline = waiting.urgency(
            request.priority, goal_at, deadline, now
        )
        position = self.shares.position(request.organisation)
        return (priority, is_late, position, deadline, order)

    def most_urgent(self, server, now):
        able = [e for e in self.queued.values() if server in e[0].candidates]
        return min(able, key=lambda entry: self.rank(entry, now), default=None)


class Comparison:
    """An allocator and the model, with the same random events."""

    def __init__(self, seed):
        self.rng, self.now, self.number = random.Random(seed), 0.0, 0
        self.slots, self.plain = SlotAllocator(), PlainQueue()
        self.slots.set_weights(WEIGHTS)
        self.engines = [Engine((name, 1), 2) for name in SERVERS[:-1]]
        self.slots.set_engines(self.engines, 0.0)
        self.running, self.granted = [], 0

    def play(self):
        events = (self.ask, self.ask, self.ask_again, self.end, self.withdraw)
        rare = (self.refresh, self.report, self.change_engines)
        for _ in range(EVENTS):
            self.now += self.rng.choice((0.0, 0.01, 0.05))
            self.plain.drop_expired(self.now)
            group = events if self.rng.random() < 0.9 else rare
            self.rng.choice(group)()
        return self.granted

    def request(self, number, priority, organisation):
        rng = self.rng
        candidates = tuple(rng.sample(SERVERS, rng.randint(0, len(SERVERS))))
        return SlotRequest(
            *(f"h-{number % 5}", number, candidates, priority),
            *(rng.choice((0.2, 1.0, 3.0)), rng.choice((0.0, 0.1, 0.3)), organisation),
        )

    def ask(self):
        self.number += 1
        organisation = self.rng.choice(("", "a", "b", "c"))
        self.send(self.request(self.number, self.rng.randrange(3), organisation))

    def ask_again(self):
        if self.plain.queued:
            known = self.rng.choice(list(self.plain.queued.values()))[0]
            self.send(self.request(known.number, known.priority, known.organisation))

    def send(self, request):
        order = self.plain.pop_order(request.number)
        reply = self.slots.request(request, self.now)
        if reply.outcome is SlotOutcome.GRANTED:
            self.plain.shares.note_served(request.organisation)
            self.running.append(reply)
        else:
            self.plain.add(request, order, self.now)
            assert reply.wait_s >= 0.0

    def check(self, grants):
        for grant in grants:
            expected = self.plain.most_urgent(grant.engine[0], self.now)[0]
            assert (grant.host, grant.number) == (expected.host, expected.number)
            del self.plain.queued[grant.number]
            self.plain.shares.note_served(expected.organisation)
            self.running.append(grant)
            self.granted += 1

    def assert_no_free_slot_is_wanted(self, engines):
        for engine in engines:
            wanted = self.plain.most_urgent(engine.server, self.now)
            assert wanted is None or not engine.has_free_slot(self.now)

    def end(self):
        if self.running:
            grant = self.running.pop(self.rng.randrange(len(self.running)))
            quality = self.rng.choice((SlotQuality.ON_TIME, SlotQuality.UNUSED))
            host = self.slots._hosts.get(grant.host)
            is_known = host is not None and grant.number in host.grants
            self.check(self.slots.release(released(grant, quality), self.now))
            engine = self.slots._engines.get(grant.engine)
            if is_known and engine is not None:
                self.assert_no_free_slot_is_wanted([engine])

    def withdraw(self):
        if self.plain.queued:
            known = self.rng.choice(list(self.plain.queued.values()))[0]
            del self.plain.queued[known.number]
            message = withdrawn(known.host, known.number)
            assert not self.slots.release(message, self.now)

    def refresh(self):
        self.slots.expire(self.now)
        self.assert_counts_are_right()
        self.check(self.slots.grant_queued(self.now))
        self.assert_no_free_slot_is_wanted(self.slots._engines.values())
        assert self.slots.queue_length == len(self.plain.queued)

    def report(self):
        host = f"h-{self.rng.randrange(7)}"
        counts = Counter(grant.engine for grant in self.running if grant.host == host)
        if self.rng.random() < 0.2:
            counts[(self.rng.choice(SERVERS), 1)] += 1
        self.slots.set_report(host, counts, self.now)

    def change_engines(self):
        count = self.rng.randint(2, 4)
        names = self.rng.sample(SERVERS, count)
        self.slots.set_engines([Engine((name, 1), 2) for name in names], self.now)
        self.assert_counts_are_right()

    def assert_counts_are_right(self):
        counts = Counter()
        for host in self.slots._hosts.values():
            counts.update(host.unallocated)
            counts.update(grant.engine for grant in host.grants.values())
        for engine in self.slots._engines.values():
            assert engine.used == counts[engine.incarnation]


@pytest.mark.parametrize("seed", range(20))
def test_grants_are_in_the_order_of_a_model_that_examines_every_request(seed):
    """Guards against an index that misses a change of lateness, share or servers."""
    assert Comparison(seed).play() > 20


USE_S = 0.1


def busy(*names, ended_at=0.0):
    """Return an allocator whose engines of one slot are full and end in ``USE_S``."""
    slots = SlotAllocator()
    engines = [Engine((name, 1), 1, mean_use_s=USE_S) for name in names]
    for engine in engines:
        engine.ended_at = ended_at
    slots.set_engines(engines, 0.0)
    for number, name in enumerate(names):
        slots.request(asked(-1 - number, candidates=(name,)), 0.0)
    return slots


def asked(number, priority=1, goal_s=9.0, name="", candidates=("e-1",), remaining_s=9):
    return SlotRequest("h", number, candidates, priority, remaining_s, goal_s, name)


BOTH = ("e-1", "e-2")


@pytest.mark.parametrize(
    ("queued", "last", "ahead"),
    [
        ([], {}, 1),
        ([{"priority": 0}] * 3 + [{"priority": 2}] * 4, {}, 4),
        ([{"priority": 0, "goal_s": 0.0}] * 3, {}, 4),
        ([{"goal_s": 0.0}] * 4, {}, 1),
        ([{}] * 4, {"goal_s": 0.0}, 5),
        ([{"remaining_s": 5}] * 2 + [{}] * 4, {"remaining_s": 7}, 3),
        ([{"name": "a"}] * 20, {"name": "b"}, 2),
        ([{"name": "a"}] * 20 + [{"name": "b"}] * 3, {"name": "b"}, 8),
        ([{"candidates": ("e-2",)}] * 9, {}, 1),
        ([{"candidates": BOTH, "remaining_s": 5}] * 8, {}, 5),
        ([{"candidates": BOTH, "remaining_s": 5}] * 8, {"candidates": BOTH}, 9 / 2),
        ([{"candidates": BOTH, "priority": 0}] * 8, {}, 5),
    ],
)
def test_a_predicted_wait_is_that_of_the_requests_that_precede(queued, last, ahead):
    slots = busy("e-1", "e-2")
    for number, fields in enumerate(queued):
        assert slots.request(asked(number, **fields), 0.0).outcome is SlotOutcome.QUEUED
    reply = slots.request(asked(99, **last), 0.0)
    assert reply.wait_s == pytest.approx(ahead * USE_S, rel=0.2)


@pytest.mark.parametrize(("ended_at", "wait_s"), [(50.0, USE_S), (20.0, 0.0)])
def test_nothing_is_predicted_if_no_request_has_ended_lately(ended_at, wait_s):
    """Guards against rejections based on what a stalled engine did before."""
    slots = busy("e-1", ended_at=ended_at)
    assert slots.request(asked(1), 55.0).wait_s == pytest.approx(wait_s)


@pytest.mark.parametrize("seed", range(5))
def test_requests_of_several_organisations_are_granted_slots_as_predicted(seed):
    rng, slots = random.Random(seed), busy("e-1")
    slots.set_weights(WEIGHTS)
    requests = [
        asked(number, name=rng.choice("abc"), remaining_s=rng.uniform(5, 9))
        for number in range(60)
    ]
    for request in requests:
        slots.request(request, 0.0)
    predicted = {r.number: slots.request(r, 0.0).wait_s / USE_S for r in requests}
    grant = SlotReply("h", -1, SlotOutcome.GRANTED, ("e-1", 1))
    for position in range(1, 61):
        (grant,) = slots.release(released(grant, SlotQuality.UNUSED), 0.0)
        assert predicted[grant.number] == pytest.approx(position, abs=1.5)


@pytest.mark.parametrize("seed", range(10))
def test_an_expected_wait_is_what_a_request_is_told_when_it_is_queued(seed):
    """Guards against an explanation that has its own rules or changes the queue."""
    rng, slots = random.Random(seed), busy(*SERVERS[1:])
    slots.set_weights(WEIGHTS)
    for number in range(80):
        slots._shares.note_served(rng.choice("abc"))
        request = asked(
            *(number, rng.randrange(2), rng.choice((0.0, 9.0)), rng.choice("abc")),
            *(tuple(rng.sample(SERVERS, rng.randint(1, 4))), rng.choice((3, 5, 9))),
        )
        before = pickle.dumps(vars(slots))
        expected_s = slots.expected_wait_s(request, 0.0)
        assert pickle.dumps(vars(slots)) == before
        reply = slots.request(request, 0.0)
        assert reply.outcome is SlotOutcome.QUEUED
        assert reply.wait_s == pytest.approx(expected_s or 0.0)

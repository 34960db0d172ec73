"""Replay of an overload whose rejected callers come back once, at the stated time."""

import heapq
import itertools
import random
from dataclasses import dataclass

import pytest

from sequoiapoint.coordination import waiting
from sequoiapoint.coordination.slot_allocator import (
    Engine,
    SlotAllocator,
    released,
    withdrawn,
)
from sequoiapoint.protocol.gateway import Repeatability, Route
from sequoiapoint.protocol.slots import SlotOutcome, SlotQuality, SlotRequest
from sequoiapoint.state.stated_times import StatedTimes

SERVERS, SLOTS, USE_S = ("e-0", "e-1", "e-2", "e-3"), 12, 0.25
CAPACITY = len(SERVERS) * SLOTS / USE_S
CALM_S, OVERLOAD_S, END_S = 5.0, 5.0, 16.0
USUAL, OVERLOAD = 0.5, 2.0
"""Requests a second, relative to the capacity."""
HOSTS, REPEAT_S, REFRESH_S, RETURN_SHARE = 8, 0.5, 0.1, 1 / 3
ORGANISATIONS = {"a": (1.8, 0.6), "b": (0.6, 0.2), "c": (0.6, 0.2)}
"""Weight of each organisation, and its part of the requests."""
ENGINES = ((0.3, 5.0, True), (1.0, 8.0, True), (5.0, 20.0, True))
PLAIN = ((0.17, 1.25, False),) * 3
"""Latency goal, time limit and whether responses are streams, by priority."""
EVEN, URGENT = (0.3, 0.4, 0.3), (0.6, 0.3, 0.1)
"""Part of the requests by priority; in the second, the urgent ones fill all slots."""


@dataclass(eq=False)
class Caller:
    route: Route
    organisation: str
    arrived_at: float
    deadline: float
    number: int = -1
    limit_at: float = 0.0
    goal_at: float = 0.0
    has_returned: bool = False
    is_served: bool = False


class Replay:
    def __init__(self, times, parts, seed):
        self.rng, self.now, self.order = random.Random(seed), 0.0, itertools.count()
        self.routes = [
            Route(
                *(f"r-{priority}", "h", "/", (), Repeatability.IDEMPOTENT, is_stream),
                *(False, timeout_s, goal_s, 0.1, 2, priority),
            )
            for priority, (goal_s, timeout_s, is_stream) in enumerate(times)
        ]
        self.parts, self.events, self.callers, self.queued = parts, [], [], {}
        self.stated = [StatedTimes() for _ in range(HOSTS)]
        self.slots = SlotAllocator()
        self.slots.set_engines([Engine((name, 1), SLOTS) for name in SERVERS], 0.0)
        self.slots.set_weights({n: w for n, (w, _) in ORGANISATIONS.items()})
        self.overtaken = 0
        self.at(0.0, self.arrive)
        self.at(0.0, self.refresh)
        while self.now < END_S + max(timeout_s for _, timeout_s, _ in times):
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)

    def at(self, delay_s, function, *arguments):
        event = (self.now + delay_s, next(self.order), function, arguments)
        heapq.heappush(self.events, event)

    def refresh(self):
        self.at(REFRESH_S, self.refresh)
        self.slots.expire(self.now)
        for grant in self.slots.grant_queued(self.now):
            self.serve(grant)

    # Callers

    def arrive(self):
        if self.now > END_S:
            return
        is_overload = CALM_S <= self.now < CALM_S + OVERLOAD_S
        rate = CAPACITY * (OVERLOAD if is_overload else USUAL)
        self.at(self.rng.expovariate(rate), self.arrive)
        route = self.rng.choices(self.routes, self.parts)[0]
        parts = [part for _, part in ORGANISATIONS.values()]
        name = self.rng.choices(list(ORGANISATIONS), parts)[0]
        caller = Caller(route, name, self.now, self.now + route.timeout_s)
        self.callers.append(caller)
        self.begin(caller)

    def begin(self, caller):
        """Send a request of a caller, which only states the time that is left."""
        caller.number, stated_s = next(self.order), caller.deadline - self.now
        times = self.stated[caller.number % HOSTS]
        under_way_s = times.note(caller.route.name, stated_s, self.now)
        caller.goal_at = self.now - under_way_s + caller.route.goal_s
        caller.limit_at = self.now + waiting.wait_limit_s(
            caller.route, stated_s, under_way_s > 0.0
        )
        self.queued[caller.number] = caller
        self.ask(caller.number)

    # Hosts

    def host(self, number):
        return f"h-{number % HOSTS}"

    def ask(self, number):
        caller = self.queued.get(number)
        if caller is None:
            return
        request = SlotRequest(
            *(self.host(number), number, SERVERS, caller.route.priority),
            *(caller.deadline - self.now, max(0.0, caller.goal_at - self.now)),
            caller.organisation,
        )
        reply = self.slots.request(request, self.now)
        left_s = caller.limit_at - self.now
        if reply.outcome is SlotOutcome.GRANTED:
            self.serve(reply)
        elif waiting.is_too_late(reply.wait_s, left_s) or left_s <= 0.0:
            self.reject(caller, reply.wait_s)
        else:
            self.at(min(REPEAT_S, left_s + 0.001), self.ask, number)

    def reject(self, caller, wait_s):
        del self.queued[caller.number]
        message = withdrawn(self.host(caller.number), caller.number)
        self.slots.release(message, self.now)
        after_s = waiting.retry_after_s(True, self.rng.random(), wait_s)
        is_patient = after_s <= RETURN_SHARE * (caller.deadline - self.now)
        if is_patient and not caller.has_returned:
            caller.has_returned = True
            self.at(after_s, self.begin, caller)

    def serve(self, grant):
        caller = self.queued.pop(grant.number)
        caller.is_served = self.now < caller.deadline
        priority = caller.route.priority
        self.overtaken += any(
            other.route.priority < priority for other in self.queued.values()
        )
        self.at(USE_S * self.rng.uniform(0.5, 1.5), self.end, grant)

    def end(self, grant):
        message = released(grant, SlotQuality.ON_TIME)
        for reply in self.slots.release(message, self.now):
            self.serve(reply)

    def served(self, *organisations):
        """Return the served part of the callers that came during the overload."""
        are_served = [
            caller.is_served
            for caller in self.callers
            if CALM_S <= caller.arrived_at < CALM_S + OVERLOAD_S
            and caller.organisation in organisations
        ]
        return sum(are_served) / len(are_served)


cases = pytest.mark.parametrize(
    ("times", "parts"),
    [(ENGINES, EVEN), (ENGINES, URGENT), (PLAIN, EVEN), (PLAIN, URGENT)],
    ids=["engines", "engines-urgent", "plain", "plain-urgent"],
)


@cases
def test_callers_that_come_back_at_the_stated_time_are_served(times, parts):
    """Guards against stated times after which callers find the same queue."""
    replays = [Replay(times, parts, seed) for seed in (1, 2, 3)]
    returned = [c for r in replays for c in r.callers if c.has_returned]
    assert returned
    assert sum(c.is_served for c in returned) >= 0.8 * len(returned)


@cases
def test_an_overload_neither_delays_urgent_requests_nor_starves_organisations(
    times, parts
):
    replay = Replay(times, parts, 2)
    assert replay.overtaken == 0
    everyone = replay.served(*ORGANISATIONS)
    assert all(replay.served(name) >= 0.25 * everyone for name in ORGANISATIONS)

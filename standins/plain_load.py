"""Replays many hosts before a few plain servers in virtual time, without a network.

Compares how hosts share servers: by counts that are up to a second old, at random, or
by slots that allocators grant; each with and without estimates of the servers' speed.
The decisions are the product's own code; the rest is a model of delays and servers.
"""

import argparse
import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from sequoiapoint.coordination import server_choice, waiting
from sequoiapoint.coordination.slot_allocator import (
    Engine,
    SlotAllocator,
    plain_slots,
)
from sequoiapoint.protocol.gateway import ServerEntry, ServerState
from sequoiapoint.protocol.slots import (
    SlotOutcome,
    SlotQuality,
    SlotRelease,
    SlotRequest,
)
from sequoiapoint.state.server_speed import ServerSpeeds, add_samples

SLOTS, QUEUE = 6, 24
WORK_S = (0.030, 0.045)
GOALS_S, DEADLINES_S = (0.130, 0.205), (1.0, 1.5)
SLOWED, SLOWED_S = 2.5, 0.6
FILLED = 1.5
"""Factor on the time of work at a server that slows down when it is nearly full."""
NEAR_S, FAR_S = 0.0005, 0.003
"""One-way delays within a zone and between zones."""
DIGEST_S = 0.5
"""Interval of digests; a count passes through one relay, so it is 0.5 to 1 s old."""
CHECK_S = 0.1
"""Longest pause between two looks of a waiting request at the servers."""
MAX_ATTEMPTS = 2
RULES = ("counts", "random", "granted_by_zone", "granted")


@dataclass(eq=False)
class Server:
    """A server with slots and a queue.

    :param speed: Its usual time for work, as a multiple of the fastest server's.
    :param slows_when_filled: Whether work takes longer there when it is nearly full.
    :param slowed_until: Time until which it is slowed.
    """

    entry: ServerEntry
    speed: float
    slows_when_filled: bool = False
    slowed_until: float = 0.0
    slowed_factor: float = SLOWED
    running: int = 0
    queue: deque = field(default_factory=deque)

    def slowness(self, now: float) -> float:
        """Return what the server states."""
        is_filled = self.slows_when_filled and self.running >= SLOTS - 1
        return (self.slowed_factor if now < self.slowed_until else 1.0) * (
            FILLED if is_filled else 1.0
        )


@dataclass(eq=False)
class Request:
    """A request and what became of it."""

    number: int
    host: int
    arrived_at: float
    goal_s: float
    deadline: float
    priority: int
    work_s: float
    search_until: float = 0.0
    wait_s: float = math.inf
    predicted_s: float = 0.0
    is_second_call: bool = False
    attempts: int = 0
    asked: list = field(default_factory=list)
    grant: object = None
    tried: set = field(default_factory=set)
    result: str = ""
    server: Server | None = None
    ended_at: float = 0.0


@dataclass
class Load:
    """The load of a replay.

    :param rate: Requests a second of all hosts.
    :param burst: Factor on the rate for a second in every five.
    :param speeds: The usual times of the servers, relative to the fastest.
    :param slowed_share: Share of its time for which each server is slowed.
    :param slowed_factor: How long work takes then, as a multiple of the usual time.
    """

    hosts: int = 74
    zones: int = 3
    rate: float = 170.0
    burst: float = 1.0
    speeds: tuple[float, ...] = (1.0, 1.6, 2.7)
    slowed_share: float = 0.15
    slowed_factor: float = SLOWED
    slows_when_filled: bool = False
    duration_s: float = 55.0


class Replay:
    """One replay.

    :param rule: How hosts share servers, one of ``RULES``: by counts; at random; by
        slots that an allocator in each server's zone grants, or one for the service.
    :param are_speeds_used: Whether servers state their slowness, and it is used.
    """

    def __init__(self, load: Load, rule: str, are_speeds_used: bool, seed: int) -> None:
        self.load, self.rng = load, random.Random(seed)
        self.load_rng = random.Random(seed + 1)
        self.slow_rngs = {f"s-{n}": random.Random(f"{seed}-{n}") for n in range(99)}
        self.rule, self.is_single = rule, rule == "granted"
        self.are_granted = rule.startswith("granted")
        self.are_speeds_used = are_speeds_used
        self.now, self._events, self._order = 0.0, [], itertools.count()
        self.servers = [
            Server(
                ServerEntry(
                    *(f"s-{n}", "web", "10.0.0.1:1", f"z{n % load.zones}"),
                    *(ServerState.READY, 1, SLOTS),
                ),
                speed,
                load.slows_when_filled,
                slowed_factor=load.slowed_factor,
            )
            for n, speed in enumerate(load.speeds)
        ]
        self.by_name = {s.entry.server: s for s in self.servers}
        self.requests, self.turned_away = [], 0
        self.local = [Counter() for _ in range(load.hosts)]
        self.remote = [Counter() for _ in range(load.hosts)]
        self.waiting = [[] for _ in range(load.hosts)]
        self.speeds = [ServerSpeeds() for _ in range(load.hosts)]
        self.totals = (Counter(), {})
        zones = sorted({s.entry.zone for s in self.servers})
        self.allocators, self.allocator_speeds = {}, {}
        for zone in zones[:1] if self.is_single else zones:
            speeds = ServerSpeeds()
            allocator = SlotAllocator(speeds)
            members = [
                s for s in self.servers if self.is_single or s.entry.zone == zone
            ]
            allocator.set_engines(
                [Engine(s.entry.incarnation, plain_slots(SLOTS)) for s in members], 0.0
            )
            self.allocators[zone], self.allocator_speeds[zone] = allocator, speeds
        self.messages = 0

    # Virtual time

    def at(self, delay_s: float, function: Callable, *arguments: object) -> None:
        """Call a function later."""
        heapq.heappush(
            self._events,
            (self.now + delay_s, next(self._order), function, arguments),
        )

    def run(self) -> None:
        """Run to the end of the load and of its requests."""
        self.at(0.0, self._arrive)
        self.at(DIGEST_S, self._collect)
        for host in range(self.load.hosts):
            self.at(self.rng.uniform(0.0, DIGEST_S), self._receive, host)
        for server in self.servers:
            self.at(0.0, self._slow, server)
        if self.are_granted:
            self.at(0.1, self._refresh)
        while self._events:
            self.now, _, function, arguments = heapq.heappop(self._events)
            if self.now > self.load.duration_s + 3.0:
                return
            function(*arguments)

    def _slow(self, server: Server) -> None:
        share = self.load.slowed_share
        if share:
            server.slowed_until = self.now + SLOWED_S
            pause_s = SLOWED_S * (1 - share) / share
            self.at(
                SLOWED_S + self.slow_rngs[server.entry.server].expovariate(1 / pause_s),
                self._slow,
                server,
            )

    def _delay(self, host: int, zone: str) -> float:
        is_near = zone == f"z{host % self.load.zones}"
        return (NEAR_S if is_near else FAR_S) * self.rng.uniform(0.8, 1.5)

    # Arrivals

    def _arrive(self) -> None:
        if self.now > self.load.duration_s:
            return
        rate = self.load.rate * (self.load.burst if self.now % 5.0 < 1.0 else 1.0)
        self.at(self.load_rng.expovariate(rate), self._arrive)
        rng = self.load_rng
        request = Request(
            len(self.requests),
            rng.randrange(self.load.hosts),
            self.now,
            rng.uniform(*GOALS_S),
            self.now + rng.uniform(*DEADLINES_S),
            rng.choice((0, 1)),
            rng.uniform(*WORK_S),
        )
        self.requests.append(request)
        self._begin(request)

    def _begin(self, request: Request) -> None:
        remaining_s = request.deadline - self.now
        limit_s = min(
            remaining_s, max(request.goal_s, waiting.WAIT_SHARE * remaining_s)
        )
        request.search_until = self.now + limit_s
        self._search(request)

    def _search(self, request: Request) -> None:
        if self.are_granted:
            self._ask(request, self._zones(request))
        else:
            self._choose(request)

    def _reject(self, request: Request, retry_after_s: float) -> None:
        """Tell the caller to come back, which it does once."""
        if request.result:
            return
        remaining_s = request.deadline - self.now
        if request.is_second_call or retry_after_s > remaining_s / 3:
            request.result, request.ended_at = "rejected", self.now
            return
        request.is_second_call = True
        request.tried.clear()
        request.attempts = 0
        request.host = self.rng.randrange(self.load.hosts)
        self.at(retry_after_s, self._begin, request)

    # Choice by counts

    def _relative(self, host: int) -> dict:
        if not self.are_speeds_used:
            return {}
        return self.speeds[host].relative_times(
            (s.entry.incarnation for s in self.servers), self.now
        )

    def _choose(self, request: Request) -> None:
        if request.deadline - self.now < 0.02:
            request.result, request.ended_at = "rejected", self.now
            return
        host = request.host
        times = self._relative(host)
        untried = [s for s in self.servers if s.entry.server not in request.tried]
        if self.rule == "random":
            entries = [s.entry for s in untried or self.servers]
            drawn = server_choice.draw_by_speed(entries, times, self.rng.random)
            self._send(request, self.by_name[drawn.server])
            return
        candidates = []
        for server in untried or self.servers:
            name = server.entry.server
            running = self.local[host][name] + self.remote[host][name]
            time = times.get(server.entry.incarnation)
            if not waiting.is_full(running, SLOTS, False, time):
                candidates.append(
                    server_choice.Candidate(server.entry, running, 0.0, False, time)
                )
        chosen = server_choice.choose(
            candidates,
            f"z{host % self.load.zones}",
            self.rng.random,
            self.load.hosts,
        )
        if chosen is not None:
            self._send(request, self.by_name[chosen.entry.server])
        elif self.now > request.search_until:
            self._reject(request, waiting.retry_after_s(True, self.rng.random()))
        else:
            self.waiting[host].append(request)
            self.at(CHECK_S, self._wake, request)

    def _wake(self, request: Request) -> None:
        if request in self.waiting[request.host]:
            self.waiting[request.host].remove(request)
            self._choose(request)

    # Slots granted by allocators

    def _zones(self, request: Request) -> list[str]:
        if self.is_single:
            return ["z0"]
        host = request.host
        running = {
            s.entry.server: float(
                self.local[host][s.entry.server] + self.remote[host][s.entry.server]
            )
            for s in self.servers
        }
        return server_choice.zones_by_load(
            [s.entry for s in self.servers],
            running,
            f"z{host % self.load.zones}",
            self._relative(host),
        )

    def _ask(self, request: Request, zones: list[str]) -> None:
        if request.grant is not None or request.result or not zones:
            return
        zone, delay_s = zones[0], self._delay(request.host, zones[0])
        self.messages += 1
        self.at(delay_s, self._allocate, request, zone, zones[1:])

    def _allocate(self, request: Request, zone: str, others: list[str]) -> None:
        candidates = tuple(
            s.entry.server
            for s in self.servers
            if self.is_single or s.entry.zone == zone
        )
        slot_request = SlotRequest(
            *(f"h-{request.host}", request.number, candidates, request.priority),
            *(request.deadline - self.now,),
            max(0.0, request.arrived_at + request.goal_s - self.now),
        )
        reply = self.allocators[zone].request(slot_request, self.now)
        self.messages += 1
        self.at(self._delay(request.host, zone), self._replied, reply, zone, others)

    def _replied(self, reply: object, zone: str, others: list[str]) -> None:
        request = self.requests[reply.number]
        if reply.outcome is SlotOutcome.GRANTED:
            if request.grant is not None or request.result:
                self._release(request, zone, reply.engine, SlotQuality.UNUSED)
                return
            request.grant = (zone, reply.engine)
            for other in request.asked:
                if other != zone:
                    self._release(request, other, ("", 0), SlotQuality.UNUSED)
            request.asked = []
            self._send(request, self.by_name[reply.engine[0]])
            return
        if request.grant is not None or request.result:
            return
        request.asked.append(zone)
        request.wait_s = min(request.wait_s, reply.wait_s or math.inf)
        if others:
            self._ask(request, others)
            return
        request.predicted_s = 0.0 if math.isinf(request.wait_s) else request.wait_s
        request.wait_s = math.inf
        wait_s = request.predicted_s
        if waiting.is_too_late(wait_s, request.deadline - self.now):
            self._give_up(request, self._retry_after_s(request))
        else:
            self.at(max(0.0, request.search_until - self.now), self._timed_out, request)
            self.at(0.5, self._ask_again, request)

    def _ask_again(self, request: Request) -> None:
        if request.grant is None and not request.result and request.asked:
            for zone in self._zones(request):
                self.at(
                    self._delay(request.host, zone), self._allocate, request, zone, ()
                )

    def _timed_out(self, request: Request) -> None:
        if request.grant is None and not request.result and request.asked:
            self._give_up(request, self._retry_after_s(request))

    def _retry_after_s(self, request: Request) -> float:
        return waiting.retry_after_s(True, self.rng.random(), request.predicted_s)

    def _give_up(self, request: Request, retry_after_s: float) -> None:
        for zone in request.asked:
            self._release(request, zone, ("", 0), SlotQuality.UNUSED)
        request.asked = []
        self._reject(request, retry_after_s)

    def _release(
        self,
        request: Request,
        zone: str,
        engine: tuple[str, int],
        quality: SlotQuality,
        *speed: float | None,
    ) -> None:
        self.messages += 1
        release = SlotRelease(
            f"h-{request.host}", request.number, engine, quality, *speed
        )
        self.at(self._delay(request.host, zone), self._released, release, zone)

    def _released(self, release: SlotRelease, zone: str) -> None:
        self._send_grants(self.allocators[zone].release(release, self.now), zone)

    def _send_grants(self, grants: list, zone: str) -> None:
        for grant in grants:
            host = self.requests[grant.number].host
            self.messages += 1
            self.at(self._delay(host, zone), self._replied, grant, zone, [])

    def _refresh(self) -> None:
        self.at(0.1, self._refresh)
        for zone, allocator in self.allocators.items():
            allocator.expire(self.now)
            self._send_grants(allocator.grant_queued(self.now), zone)

    # Servers

    def _send(self, request: Request, server: Server) -> None:
        request.attempts += 1
        self.local[request.host][server.entry.server] += 1
        self.at(
            self._delay(request.host, server.entry.zone), self._take, request, server
        )

    def _take(self, request: Request, server: Server) -> None:
        if server.running < SLOTS:
            self._work(request, server)
        elif len(server.queue) < QUEUE:
            server.queue.append((request, self.now))
        else:
            self.turned_away += 1
            delay_s = self._delay(request.host, server.entry.zone)
            self.at(delay_s, self._answered, request, server, False)

    def _work(self, request: Request, server: Server) -> None:
        server.running += 1
        seconds = request.work_s * server.speed * server.slowness(self.now)
        self.at(seconds, self._finish, request, server, seconds)

    def _finish(self, request: Request, server: Server, seconds: float) -> None:
        server.running -= 1
        delay_s = self._delay(request.host, server.entry.zone)
        self.at(delay_s, self._answered, request, server, True, seconds)
        if server.queue:
            self._work(server.queue.popleft()[0], server)

    def _answered(
        self, request: Request, server: Server, is_served: bool, seconds: float = 0.0
    ) -> None:
        host, incarnation = request.host, server.entry.incarnation
        self.local[host][server.entry.server] -= 1
        if self.are_speeds_used:
            speeds = self.speeds[host]
            speeds.note_slowness(incarnation, server.slowness(self.now), self.now)
            if is_served:
                speeds.note_work(incarnation, seconds / request.goal_s, self.now)
        if request.grant is not None:
            zone, engine = request.grant
            quality = SlotQuality.ON_TIME if is_served else SlotQuality.REJECTED
            speed = (None, None)
            if self.are_speeds_used:
                relative_time = seconds / request.goal_s if is_served else None
                speed = (server.slowness(self.now), relative_time)
            self._release(request, zone, engine, quality, *speed)
            request.grant = None
        if is_served:
            request.server, request.ended_at = server, self.now
            request.result = "served" if self.now < request.deadline else "expired"
        else:
            request.tried.add(server.entry.server)
            has_time = waiting.may_send_again(request.deadline - self.now)
            if request.attempts < MAX_ATTEMPTS and has_time:
                self._begin(request)
            else:
                self._reject(request, waiting.retry_after_s(True, self.rng.random()))
        waiters, self.waiting[host] = self.waiting[host], []
        for waiter in sorted(
            waiters,
            key=lambda r: waiting.urgency(
                r.priority, r.arrived_at + r.goal_s, r.deadline, self.now
            ),
        ):
            self._choose(waiter)

    # Digests

    def _collect(self) -> None:
        """Collect what the hosts have told their aggregators."""
        self.at(DIGEST_S, self._collect)
        counts = Counter()
        for local in self.local:
            counts.update(local)
        samples = {}
        if self.are_speeds_used:
            samples = add_samples(s.own_samples(self.now) for s in self.speeds)
        self.at(DIGEST_S / 2, setattr, self, "totals", (counts, samples))
        self.shared = [Counter(local) for local in self.local]

    def _receive(self, host: int) -> None:
        self.at(DIGEST_S, self._receive, host)
        counts, samples = self.totals
        self.remote[host] = Counter(counts)
        if counts:
            self.remote[host].subtract(self.shared[host])
        self.remote[host] = +self.remote[host]
        if samples:
            self.speeds[host].merge(samples, self.now - DIGEST_S / 2)
            for zone, speeds in self.allocator_speeds.items():
                if host == int(zone[1:]):
                    speeds.merge(samples, self.now - DIGEST_S / 2)


def summary(replay: Replay) -> dict[str, float]:
    """Return the figures of a replay."""
    ended = [r for r in replay.requests if r.result]
    served = [r for r in ended if r.result == "served"]
    times = sorted(r.ended_at - r.arrived_at for r in served)
    on_time = [r for r in served if r.ended_at - r.arrived_at <= r.goal_s]
    figures = {
        "requests": len(replay.requests),
        "on_time": len(on_time) / len(replay.requests),
        "served": len(served) / len(replay.requests),
        "p99_ms": 1000 * times[int(0.99 * len(times))] if times else 0.0,
        "turned_away": replay.turned_away,
        "messages": replay.messages / len(replay.requests),
    }
    for priority in (0, 1):
        members = [r for r in replay.requests if r.priority == priority]
        good = sum(r.priority == priority for r in on_time)
        figures[f"on_time_p{priority}"] = good / max(1, len(members))
    for server in replay.servers:
        here = [r for r in served if r.server is server]
        good = [r for r in here if r.ended_at - r.arrived_at <= r.goal_s]
        share = len(good) / len(here) if here else 0.0
        figures[f"of_{server.speed}"] = share
        figures[f"share_{server.speed}"] = len(here) / len(replay.requests)
    return figures


def main() -> None:
    """Print one line for each rule and load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=55.0)
    parser.add_argument("--load", help="only this load")
    arguments = parser.parse_args()
    loads = {
        "calm": Load(),
        "equal": Load(speeds=(2.0, 2.0, 2.0)),
        "burst": Load(burst=3.0),
        "heavy": Load(rate=300.0),
        "over": Load(rate=420.0),
        "filled": Load(slows_when_filled=True),
        "few_hosts": Load(hosts=10),
    }
    for name, load in loads.items():
        if arguments.load not in (None, name):
            continue
        load.duration_s = arguments.seconds
        for rule, are_speeds_used in itertools.product(RULES, (False, True)):
            replay = Replay(load, rule, are_speeds_used, arguments.seed)
            replay.run()
            rule += "+speed" if are_speeds_used else ""
            figures = " ".join(
                f"{key}={value:.3g}" if isinstance(value, float) else f"{key}={value}"
                for key, value in summary(replay).items()
            )
            print(f"load={name} rule={rule} {figures}")


if __name__ == "__main__":
    main()

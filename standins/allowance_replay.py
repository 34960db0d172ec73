"""Replays requests of organisations at many hosts in virtual time.

Runs the decisions of all hosts and allocators without a network, with delayed and lost
messages and with what hosts know of each other under faults.  ``python -m
standins.allowance_replay`` prints the figures of ``docs/design/allowances.md``.
"""

import argparse
import bisect
import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from sequoiapoint.coordination.allowance_allocator import (
    AllowanceAllocator,
    Tolerance,
    allocating_zone,
)
from sequoiapoint.coordination.allowance_client import RESEND_S, AllowanceClient
from sequoiapoint.coordination.allowance_credit import Denied
from sequoiapoint.protocol.allowances import (
    AllowanceOutcome,
    AllowanceReply,
    AllowanceRequest,
    Charge,
)
from sequoiapoint.protocol.gateway import Allowance

WINDOW_S, OVER_SHARE, SLACK = 8.0, 0.1, 7_400.0
TOLERANCE = Tolerance(WINDOW_S, OVER_SHARE, SLACK)
TICK_S = 0.25
ALLOCATION_DELAY_S = 1.5
"""Time after its start from which a host allocates."""
DIGEST_S = 0.5
AGGREGATOR_LOST_S = 1.2
ZONE_LOST_S = 1.6
START_S = 2.0
"""Time without requests at the start of a run."""
MAX_WAITS_S = (0.7, 1.3, 2.7)
"""Times after which callers come back at most: a third of what they have left."""


@dataclass
class Demand:
    """The requests of one organisation.

    :param requests_per_s: By the time since the start.
    :param weights: The weights of the hosts by that time, None for equal ones.
    """

    name: str
    allowance: Allowance
    cost: float
    requests_per_s: Callable[[float], float]
    weights: Callable[[float], list[float]] | None = None


@dataclass
class Faults:
    """What fails during a run; each is a host or zone with its begin and end."""

    down: dict[int, tuple[float, float]] = field(default_factory=dict)
    is_pause: bool = False
    cut_zones: dict[int, tuple[float, float]] = field(default_factory=dict)
    loss: float = 0.0


@dataclass
class Outcome:
    """What became of one organisation's requests."""

    admitted: list[tuple[float, float]] = field(default_factory=list)
    arrived: list[tuple[float, float]] = field(default_factory=list)
    rejected: list[tuple[float, float]] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    came_back: int = 0
    served_again: int = 0

    def worst(self, window_s: float = WINDOW_S) -> float:
        """Return the largest cost that ran within a window."""
        times = [at for at, _ in self.admitted]
        sums = [0.0, *itertools.accumulate(cost for _, cost in self.admitted)]
        ends = (bisect.bisect_left(times, at + window_s) for at in times)
        return max((sums[end] - sums[n] for n, end in enumerate(ends)), default=0.0)

    def rejected_within(self, allowance: Allowance) -> int:
        """Count the rejections of what a bucket at one place would have admitted.

        The bucket is charged what has run in fact.  A quarter of it does not count if
        the organisation has exceeded its allowance: a part is reserved for callers that
        come back, or held by hosts.
        """
        events = sorted(
            [(at, cost, True) for at, cost in self.admitted]
            + [(at, cost, False) for at, cost in self.rejected]
        )
        asked = sum(cost for at, cost in self.arrived if at >= BURST_FROM_S)
        period_s = BURST_TO_S - BURST_FROM_S
        is_over = asked > allowance.burst + 2.0 * period_s * allowance.rate_per_s
        kept = 0.25 * allowance.burst if is_over else 0.0
        tokens, last, count = min(allowance.burst, SLACK / 4), 0.0, 0
        for at, cost, is_admitted in events:
            gained = allowance.rate_per_s * (at - last)
            tokens, last = min(allowance.burst, tokens + gained), at
            if is_admitted:
                tokens -= cost
            else:
                count += tokens >= cost + kept
        return count

    def used(self, begin: float, end: float) -> float:
        """Return the cost of what ran in a period."""
        return sum(cost for at, cost in self.admitted if begin <= at < end)


class Replay:
    """One run.

    :ivar outcomes: By organisation.
    :ivar datagrams: Sent and received, by host.
    """

    def __init__(
        self,
        hosts: int,
        zones: int,
        demands: list[Demand],
        faults: Faults | None = None,
        seed: int = 1,
        start_s: float = START_S,
    ) -> None:
        self.hosts, self.zones, self.start_s = hosts, zones, start_s
        self.demands = {demand.name: demand for demand in demands}
        self.faults = faults or Faults()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.outcomes: dict[str, Outcome] = defaultdict(Outcome)
        self.datagrams: Counter[int] = Counter()
        self.allocators = [AllowanceAllocator() for _ in range(hosts)]
        self.delays = [self.rng.uniform(0.0, DIGEST_S) for _ in range(hosts)]
        self._views: dict[tuple[int, str], tuple[float, int | None]] = {}
        self._numbers = [itertools.count(1) for _ in range(hosts)]
        self._clients: dict[tuple[int, str], AllowanceClient] = {}
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = itertools.count()
        self._callers = itertools.count(1)

    def at(
        self, when: float, function: Callable[..., None], *arguments: object
    ) -> None:
        """Call a function at a time."""
        heapq.heappush(self._events, (when, next(self._order), function, arguments))

    def run(self, until: float) -> None:
        """Run the requests until a time."""
        for demand in self.demands.values():
            self.at(self.start_s, self._generate, demand)
        for host in range(self.hosts):
            self.at(self.rng.uniform(0.0, TICK_S), self._tick, host)
        while self._events and self._events[0][0] < until:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    # What hosts know of each other

    def _is_down(self, host: int, at: float) -> bool:
        begin, end = self.faults.down.get(host, (0.0, 0.0))
        return begin <= at < end

    def _is_split(self, zone: int, other: int, at: float) -> bool:
        if zone == other:
            return False
        periods = (self.faults.cut_zones.get(z, (0.0, 0.0)) for z in (zone, other))
        return any(begin <= at < end for begin, end in periods)

    def _knows_lost(
        self, host: int, period: tuple[float, float], lost_s: float
    ) -> bool:
        """Tell whether a host knows that something is lost in a period."""
        begin, end = period
        delay = self.delays[host]
        return begin + lost_s + delay <= self.now < end + delay

    def _aggregator(self, host: int, zone: int) -> int | None:
        for candidate in range(zone, self.hosts, self.zones):
            period = self.faults.down.get(candidate)
            if candidate == host or period is None:
                return candidate
            is_other_zone = zone != host % self.zones
            lost_s = AGGREGATOR_LOST_S + DIGEST_S * is_other_zone
            if not self._knows_lost(host, period, lost_s):
                return candidate
        return None

    def _live_zones(self, host: int) -> list[str]:
        own = host % self.zones
        cut = self.faults.cut_zones
        is_own_cut = own in cut and self._knows_lost(host, cut[own], ZONE_LOST_S)
        return [
            f"z{zone}"
            for zone in range(self.zones)
            if zone == own
            or not (
                is_own_cut
                or (zone in cut and self._knows_lost(host, cut[zone], ZONE_LOST_S))
            )
        ]

    def _allocator_of(self, host: int, organisation: str) -> int | None:
        known = self._views.get((host, organisation))
        if known is not None and self.now - known[0] < 0.02:
            return known[1]
        zone = allocating_zone(organisation, self._live_zones(host))
        allocator = self._aggregator(host, int(zone[1:]))
        self._views[(host, organisation)] = (self.now, allocator)
        return allocator

    def _visible_hosts(self, host: int) -> int:
        zones = {int(zone[1:]) for zone in self._live_zones(host)}
        return sum(h % self.zones in zones for h in range(self.hosts))

    # Requests

    def _generate(self, demand: Demand) -> None:
        rate = demand.requests_per_s(self.now)
        if rate <= 0.0:
            self.at(self.now + 0.05, self._generate, demand)
            return
        weights = demand.weights(self.now) if demand.weights else None
        host = self.rng.choices(range(self.hosts), weights)[0]
        if not self._is_down(host, self.now):
            cost = demand.cost * self.rng.uniform(0.5, 1.5)
            charge = Charge(cost, next(self._callers), self.rng.choice(MAX_WAITS_S))
            self.outcomes[demand.name].arrived.append((self.now, cost))
            self._submit(demand, host, charge, True)
        self.at(self.now + self.rng.expovariate(rate), self._generate, demand)

    def _client(self, host: int, demand: Demand) -> AllowanceClient:
        client = self._clients.get((host, demand.name))
        if client is None:
            client = self._clients[(host, demand.name)] = AllowanceClient(
                f"h{host}",
                demand.name,
                demand.allowance,
                self._numbers[host],
                self.rng.random,
            )
        return client

    def _submit(
        self, demand: Demand, host: int, charge: Charge, is_first: bool
    ) -> None:
        client = self._client(host, demand)
        client.credit.set_allowance(demand.allowance)
        waiter = (demand, charge, is_first, self.now)
        decision = client.submit(charge, waiter, self.now)
        if decision is not None:
            self._finish([(waiter, decision)])
        self._pump(host, demand)

    def _finish(self, decided: list) -> None:
        for (demand, charge, is_first, since), decision in decided:
            outcome = self.outcomes[demand.name]
            if is_first:
                outcome.waits.append(self.now - since)
            if not isinstance(decision, Denied):
                outcome.admitted.append((self.now, charge.cost))
                outcome.served_again += not is_first
                continue
            if not is_first:
                continue
            outcome.rejected.append((self.now, charge.cost))
            wait_s = round(decision.wait_s, 2)
            if wait_s <= charge.max_wait_s:
                at = self.now + wait_s + self.rng.uniform(0.0, 0.01)
                self.at(at, self._come_back, demand, charge)

    def _come_back(self, demand: Demand, charge: Charge) -> None:
        weights = demand.weights(self.now) if demand.weights else None
        host = self.rng.choices(range(self.hosts), weights)[0]
        if not self._is_down(host, self.now):
            self.outcomes[demand.name].came_back += 1
            self._submit(demand, host, charge, False)

    # Messages

    def _pump(self, host: int, demand: Demand) -> None:
        client = self._client(host, demand)
        request = client.next_message(1, self.now)
        if request is not None:
            self._send_request(host, demand, request)
            self.at(self.now + RESEND_S, self._time_out, host, demand, request.number)

    def _send_request(
        self, host: int, demand: Demand, request: AllowanceRequest
    ) -> None:
        allocator = self._allocator_of(host, demand.name)
        if allocator is None:
            client = self._client(host, demand)
            self._finish(client.note_silent(TOLERANCE, self.hosts, self.now))
        elif allocator == host:
            self._receive_reply(host, demand, self._allocate(host, request))
        else:
            self._transmit(host, allocator, self._receive_request, demand, request)

    def _time_out(self, host: int, demand: Demand, number: int) -> None:
        client = self._client(host, demand)
        resend, decided = client.time_out(number, TOLERANCE, self.hosts, self.now)
        self._finish(decided)
        if resend is not None:
            self._send_request(host, demand, resend)
            self.at(self.now + RESEND_S, self._time_out, host, demand, number)

    def _transmit(
        self, sender: int, receiver: int, function: Callable[..., None], *rest: object
    ) -> None:
        self.datagrams[sender] += 1
        is_split = self._is_split(sender % self.zones, receiver % self.zones, self.now)
        if is_split or self.rng.random() < self.faults.loss:
            return
        near = sender % self.zones == receiver % self.zones
        delay = (
            self.rng.uniform(0.0003, 0.001) if near else self.rng.uniform(0.001, 0.004)
        )
        self.at(self.now + delay, self._deliver, receiver, function, sender, rest)

    def _deliver(
        self, receiver: int, function: Callable[..., None], sender: int, rest: tuple
    ) -> None:
        if self._is_down(receiver, self.now):
            if self.faults.is_pause:
                # The datagrams of a suspended process are read when it goes on.
                end = self.faults.down[receiver][1] + self.rng.uniform(0.0, 0.01)
                self.at(end, self._deliver, receiver, function, sender, rest)
            return
        self.datagrams[receiver] += 1
        function(receiver, *rest, sender)

    def _receive_request(
        self, allocator: int, demand: Demand, request: AllowanceRequest, sender: int
    ) -> None:
        reply = self._allocate(allocator, request)
        self._transmit(allocator, sender, self._receive_reply, demand, reply)

    def _allocate(self, host: int, request: AllowanceRequest) -> AllowanceReply:
        is_new = self.now < ALLOCATION_DELAY_S
        if is_new or self._allocator_of(host, request.organisation) != host:
            self.allocators[host].forget(request.organisation)
            outcome = AllowanceOutcome.UNAVAILABLE
            return AllowanceReply(request.host, request.number, outcome)
        allocator = self.allocators[host]
        allocator.note_alive(self.now)
        visible = self._visible_hosts(host)
        return allocator.request(
            request, TOLERANCE, visible, self.hosts, self.now, self.rng.random()
        )

    def _receive_reply(
        self, host: int, demand: Demand, reply: AllowanceReply, _: int = 0
    ) -> None:
        client = self._client(host, demand)
        self._finish(client.receive(reply, TOLERANCE, self.hosts, self.now))
        self._pump(host, demand)

    def _tick(self, host: int) -> None:
        if not self._is_down(host, self.now) and self.now >= ALLOCATION_DELAY_S:
            allocator = self.allocators[host]
            allocator.note_alive(self.now)
            if host < 2 * self.zones:
                assigned = {
                    name: demand.allowance
                    for name, demand in self.demands.items()
                    if self._allocator_of(host, name) == host
                }
                allocator.assign(assigned, 1, TOLERANCE, self.now)
        self.at(self.now + TICK_S, self._tick, host)


# Loads

LARGE = Allowance(226_719.0, 226_719.0, True, 200.0)
TINY = Allowance(1_900.0, 1_900.0, True, 200.0)
COST = 800.0
BURST_FROM_S, BURST_TO_S, END_S = 8.0, 14.0, 22.0


def steady(allowance: Allowance, share: float) -> Callable[[float], float]:
    """Return demand at a share of an allowance, in requests a second."""
    return lambda now: share * allowance.rate_per_s / COST


def surge(
    allowance: Allowance, usual: float, factor: float
) -> Callable[[float], float]:
    """Return usual demand that is multiplied for six seconds."""

    def rate(now: float) -> float:
        is_surge = BURST_FROM_S <= now < BURST_TO_S
        return usual * (factor if is_surge else 1.0) * allowance.rate_per_s / COST

    return rate


def moving(hosts: int, zones: int) -> Callable[[float], list[float]]:
    """Return weights by which demand moves from zone to zone every three seconds."""
    by_zone = [
        [1.0 if host % zones == zone else 0.02 for host in range(hosts)]
        for zone in range(zones)
    ]
    return lambda now: by_zone[int(now / 3.0) % zones]


def only(hosts: int, host: int) -> Callable[[float], list[float]]:
    """Return weights by which all requests arrive at one host."""
    weights = [float(number == host) for number in range(hosts)]
    return lambda now: weights


def background(scale: float) -> list[Demand]:
    """Return organisations that stay below their allowances, a few of them large."""
    rates = [max(8_000.0, scale * 120_000.0 / (rank + 1)) for rank in range(12)]
    allowances = [Allowance(rate, rate, True, 200.0) for rate in rates]
    return [
        Demand(f"calm-{n}", allowance, COST, steady(allowance, 1 / 1.8))
        for n, allowance in enumerate(allowances)
    ]


SCENARIOS = (
    "calm",
    "surge",
    "moving",
    "one_host",
    "lossy",
    "cut_off",
    "killed",
    "paused",
    "succeeded",
    "cold_start",
)


def build(
    scenario: str, hosts: int, seed: int = 1, names: Container[str] | None = None
) -> Replay:
    """Return a run of a scenario.

    :param names: The organisations that send requests, None for all.
    """
    zones = min(hosts // 2, 4 if hosts <= 100 else 24 if hosts >= 400 else 12)
    probe = Replay(hosts, zones, [])
    allocators = [probe._allocator_of(0, name) for name in ("large", "tiny")]
    surging = 0.5 if scenario == "calm" else 7.0
    weights = None
    if scenario == "moving":
        weights = moving(hosts, zones)
    elif scenario == "one_host":
        weights = only(hosts, hosts - 1)
    demands = [
        Demand("large", LARGE, COST, surge(LARGE, 1 / 1.8, surging), weights),
        Demand("tiny", TINY, COST, surge(TINY, 1 / 1.8, surging), weights),
        *background(max(0.05, hosts / 400)),
    ]
    demands = [d for d in demands if names is None or d.name in names]
    faults = Faults()
    if scenario == "lossy":
        faults.loss = 0.02
    elif scenario == "cut_off":
        faults.cut_zones = {allocators[0] % zones: (9.0, 15.0)}
    elif scenario == "killed":
        faults.down = dict.fromkeys(allocators, (10.0, 99.0))
    elif scenario == "paused":
        faults.down = dict.fromkeys(allocators, (10.0, 12.0))
        faults.is_pause = True
    elif scenario == "succeeded":
        faults.down = dict.fromkeys(allocators, (9.0, 12.5))
        for a in allocators:
            faults.down.setdefault(a + zones, (12.0, 99.0))
    start_s = 0.0 if scenario == "cold_start" else START_S
    return Replay(hosts, zones, demands, faults, seed, start_s)


def bound(allowance: Allowance) -> float:
    """Return the cost that may run in a window."""
    full = allowance.rate_per_s * WINDOW_S + allowance.burst
    return full * (1.0 + OVER_SHARE) + SLACK


def figures(replay: Replay) -> dict[str, dict[str, float]]:
    """Return the figures of a run by organisation, and of the datagrams."""
    result: dict[str, dict[str, float]] = {}
    for name, demand in replay.demands.items():
        outcome = replay.outcomes[name]
        begin, end = BURST_FROM_S + 1.0, BURST_TO_S
        full = demand.allowance.rate_per_s * (end - begin)
        asked = sum(cost for at, cost in outcome.arrived if begin <= at < end)
        result[name] = {
            "worst": outcome.worst() / bound(demand.allowance),
            "used": outcome.used(begin, end) / min(full, asked) if asked else 1.0,
            "requests": len(outcome.arrived),
            "rejected_within": outcome.rejected_within(demand.allowance),
            "rejected": len(outcome.rejected),
            "came_back": outcome.came_back,
            "served_again": outcome.served_again,
            "max_wait_ms": 1000 * max(outcome.waits, default=0.0),
            "mean_wait_ms": 1000 * sum(outcome.waits) / max(1, len(outcome.waits)),
        }
    counts = sorted(replay.datagrams.values()) or [0]
    result["datagrams_per_s"] = {
        "median": counts[len(counts) // 2] / END_S,
        "most": counts[-1] / END_S,
    }
    return result


def run(
    scenario: str, hosts: int, seed: int = 1, names: Container[str] | None = None
) -> dict[str, dict[str, float]]:
    """Run a scenario and return its figures."""
    replay = build(scenario, hosts, seed, names)
    replay.run(END_S)
    return figures(replay)


def main() -> None:
    """Print the figures of all scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[6, 62, 195, 400])
    parser.add_argument("--scenarios", nargs="+", default=SCENARIOS)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for hosts in arguments.hosts:
        for scenario in arguments.scenarios:
            result = run(scenario, hosts, arguments.seed)
            calm = [f for name, f in result.items() if name.startswith("calm-")]
            line = {"hosts": hosts, "scenario": scenario}
            for name in ("large", "tiny"):
                f = result[name]
                line |= {
                    f"{name}_worst": round(f["worst"], 2),
                    f"{name}_used": round(f["used"], 2),
                    f"{name}_within": "{:.0f}/{:.0f}".format(
                        f["rejected_within"], f["requests"]
                    ),
                    f"{name}_back": "{:.0f}/{:.0f}".format(
                        f["served_again"], f["came_back"]
                    ),
                }
            line |= {
                "calm_worst": round(max(f["worst"] for f in calm), 2),
                "calm_within": "{:.0f}/{:.0f}".format(
                    sum(f["rejected_within"] for f in calm),
                    sum(f["requests"] for f in calm),
                ),
                "calm_wait_ms": round(max(f["max_wait_ms"] for f in calm), 1),
                "host_per_s": round(result["datagrams_per_s"]["median"], 1),
                "most_per_s": round(result["datagrams_per_s"]["most"], 1),
            }
            print(" ".join(f"{key}={value}" for key, value in line.items()), flush=True)


if __name__ == "__main__":
    main()

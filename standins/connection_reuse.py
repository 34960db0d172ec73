"""Counts the connections that hosts open to servers, in virtual time.

Replays the rules of the hosts' connection pools and of the choice of servers at the
size of a deployment: many hosts with a few requests a second each, most of them to
engines whose slots an allocator grants.  Nothing is sent; the run is the same each
time.
"""

import argparse
import heapq
import random
import sys
from collections import Counter
from dataclasses import dataclass, field

from sequoiapoint.coordination import server_choice
from sequoiapoint.coordination.slot_allocator import Engine, SlotAllocator, released
from sequoiapoint.node.gateway_state import KEPT_SHARE
from sequoiapoint.protocol.gateway import ServerEntry, ServerState
from sequoiapoint.protocol.slots import SlotOutcome, SlotQuality, SlotRequest

ZONES = 4
HOUSEKEEPING_S = 0.5
REQUESTS_PER_HOST_S = 7.0
ENGINE_SHARE = 0.55
"""Share of the requests that need an engine."""
ENGINE_S, PLAIN_S = (0.4, 1.6), (0.03, 0.12)
"""Shortest and longest duration of a request, in seconds."""
ENGINE_SLOTS, PLAIN_SLOTS = 12, 6
ENGINE_CONNECTIONS, PLAIN_CONNECTIONS = 360, 96
"""Connections that a server accepts, as in a sample configuration."""
MODELS, COPIES_PER_ENGINE = 126, 6


@dataclass
class Policy:
    """How hosts use connections.

    :param idle_s: Time for which an idle connection is kept.
    :param is_shared: Whether the kept connections of all hosts are limited.
    :param prefers_idle: Whether a server with an idle connection is preferred.
    """

    idle_s: float
    is_shared: bool = False
    prefers_idle: bool = False


@dataclass
class Result:
    """What a run has counted.

    :param open_most: The most connections open at a server, as a share of its limit.
    """

    requests: int = 0
    opened: int = 0
    open_most: float = 0.0
    by_kind: Counter = field(default_factory=Counter)


class Replay:
    """One run: requests, the choice of servers, and the hosts' pools."""

    def __init__(self, policy: Policy, hosts: int, engines: int, plain: int) -> None:
        self._policy = policy
        self._rng = random.Random(1)
        self._hosts = hosts
        self._now = 0.0
        self._engines = [self._entry(n, "lm", ENGINE_SLOTS) for n in range(engines)]
        self._plain = [self._entry(n, "web", PLAIN_SLOTS) for n in range(plain)]
        self._entries = {e.server: e for e in self._engines + self._plain}
        self._used: Counter[str] = Counter()
        # By host and server: the times since when connections have been idle.
        self._idle: dict[tuple[int, str], list[float]] = {}
        self._open: Counter[tuple[int, str]] = Counter()
        self._open_at: Counter[str] = Counter()
        self._rounding = {
            (host, server): self._rng.random()
            for host in range(hosts)
            for server in self._entries
        }
        self._allocators = {f"z{zone}": SlotAllocator() for zone in range(ZONES)}
        for zone, allocator in self._allocators.items():
            allocator.set_engines(
                [
                    Engine(e.incarnation, e.slots)
                    for e in self._engines
                    if e.zone == zone
                ],
                0.0,
            )
        self._holders = self._place_models()
        self.result = Result()

    def _entry(self, number: int, service: str, slots: int) -> ServerEntry:
        zone, name = f"z{number % ZONES}", f"{service}-{number}"
        return ServerEntry(name, service, "", zone, ServerState.READY, 1, slots)

    def _place_models(self) -> list[list[ServerEntry]]:
        """Return the engines by model; the most requested ones have most copies."""
        holders: list[list[ServerEntry]] = [[] for _ in range(MODELS)]
        weights = [1.0 / (rank + 1) for rank in range(MODELS)]
        slots = [e for e in self._engines for _ in range(COPIES_PER_ENGINE)]
        self._rng.shuffle(slots)
        for model, entry in enumerate(slots[:MODELS]):
            holders[model].append(entry)
        for entry in slots[MODELS:]:
            model = self._rng.choices(range(MODELS), weights)[0]
            if entry not in holders[model]:
                holders[model].append(entry)
        return holders

    def run(self, seconds: float, warm_up_s: float) -> Result:
        """Run for a time and count after the warm-up."""
        weights = [1.0 / (rank + 1) for rank in range(MODELS)]
        ends: list[tuple[float, int, tuple]] = []
        checked_at, number = 0.0, 0
        while self._now < seconds:
            rate = REQUESTS_PER_HOST_S * self._hosts
            self._now += self._rng.expovariate(rate)
            while ends and ends[0][0] <= self._now:
                self._end(*heapq.heappop(ends)[2])
            if self._now - checked_at >= HOUSEKEEPING_S:
                checked_at = self._now
                self._close_idle()
                self._count_open(warm_up_s)
            number += 1
            host = self._rng.randrange(self._hosts)
            is_engine = self._rng.random() < ENGINE_SHARE
            grant = None
            if is_engine:
                model = self._rng.choices(range(MODELS), weights)[0]
                server, grant = self._ask(host, number, model)
            else:
                server = self._choose(host)
            if server is None:
                continue
            is_new = self._take(host, server)
            if self._now > warm_up_s:
                self.result.requests += 1
                self.result.opened += is_new
                self.result.by_kind["engine" if is_engine else "plain", is_new] += 1
            lasts_s = self._rng.uniform(*(ENGINE_S if is_engine else PLAIN_S))
            item = (self._now + lasts_s, number, (host, server, grant))
            heapq.heappush(ends, item)
        return self.result

    def _has_idle(self, host: int, server: str) -> bool:
        if not self._policy.prefers_idle:
            return False
        return any(
            self._now - since < self._policy.idle_s
            for since in self._idle.get((host, server), ())
        )

    def _ask(self, host: int, number: int, model: int) -> tuple[str | None, tuple]:
        zone = f"z{host % ZONES}"
        zones = sorted(
            {e.zone for e in self._holders[model]}, key=lambda z: (z != zone, z)
        )
        for asked in zones:
            servers = [e.server for e in self._holders[model] if e.zone == asked]
            self._rng.shuffle(servers)
            servers.sort(key=lambda s: not self._has_idle(host, s))
            request = SlotRequest(f"h{host}", number, tuple(servers), 1, 4.0, 0.3)
            reply = self._allocators[asked].request(request, self._now)
            if reply.outcome is SlotOutcome.GRANTED:
                return reply.engine[0], (asked, reply)
            withdrawal = released(reply, SlotQuality.UNUSED)
            self._allocators[asked].release(withdrawal, self._now)
        return None, ()

    def _choose(self, host: int) -> str | None:
        candidates = [
            server_choice.Candidate(e, self._used[e.server], 0.0, False)
            for e in self._plain
        ]
        chosen = server_choice.choose(
            candidates, f"z{host % ZONES}", self._rng.random, self._hosts
        )
        return None if chosen is None else chosen.entry.server

    def _take(self, host: int, server: str) -> bool:
        """Take a connection; return whether it is a new one."""
        self._used[server] += 1
        idle = self._idle.setdefault((host, server), [])
        while idle:
            if self._now - idle.pop() < self._policy.idle_s:
                return False
            self._drop(host, server)
        self._open[host, server] += 1
        self._open_at[server] += 1
        return True

    def _drop(self, host: int, server: str) -> None:
        self._open[host, server] -= 1
        self._open_at[server] -= 1

    def _end(self, host: int, server: str, grant: tuple | None) -> None:
        self._used[server] -= 1
        self._idle[host, server].append(self._now)
        if grant:
            zone, reply = grant
            release = released(reply, SlotQuality.ON_TIME)
            self._allocators[zone].release(release, self._now)

    def _limit(self, server: str) -> int:
        is_engine = self._entries[server].service == "lm"
        return ENGINE_CONNECTIONS if is_engine else PLAIN_CONNECTIONS

    def _close_idle(self) -> None:
        for (host, server), idle in self._idle.items():
            share = KEPT_SHARE * self._limit(server) / self._hosts
            most = int(share + self._rounding[host, server])
            for since in list(idle):
                idle_s = self._now - since
                is_surplus = (
                    self._policy.is_shared
                    and self._open[host, server] > most
                    and idle_s >= 1.5
                )
                if is_surplus or idle_s >= self._policy.idle_s:
                    idle.remove(since)
                    self._drop(host, server)

    def _count_open(self, warm_up_s: float) -> None:
        if self._now > warm_up_s:
            most = max(self._open_at[s] / self._limit(s) for s in self._entries)
            self.result.open_most = max(self.result.open_most, most)


def main() -> int:
    """Print the new connections per request under each policy."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, default=79)
    parser.add_argument("--engines", type=int, default=45)
    parser.add_argument("--plain", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args()
    print("idle s  shared  prefers  new/request  engine  plain  most open")
    for idle_s in (0.4, 1.5, 4.0, 9.0):
        for is_new_rule in (False, True):
            policy = Policy(idle_s, is_new_rule, is_new_rule)
            replay = Replay(policy, options.hosts, options.engines, options.plain)
            result = replay.run(options.seconds, options.seconds / 4)
            print(_row(policy, result))
    return 0


def _row(policy: Policy, result: Result) -> str:
    kinds = [
        result.by_kind[kind, True]
        / max(1, result.by_kind[kind, True] + result.by_kind[kind, False])
        for kind in ("engine", "plain")
    ]
    return (
        f"{policy.idle_s:6.1f}  {policy.is_shared!s:>6}  {policy.prefers_idle!s:>7}  "
        f"{result.opened / result.requests:11.3f}  {kinds[0]:6.3f}  {kinds[1]:5.3f}  "
        f"{result.open_most:9.2f}"
    )


if __name__ == "__main__":
    sys.exit(main())

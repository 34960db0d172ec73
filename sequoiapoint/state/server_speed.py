"""Estimates of how long work takes at each server process at the moment.

Answers servers of one service that differ in speed, and that are slowed for half a
second at a time.  A server states in its responses how long work takes compared with
its usual time, which is the newest evidence there is, but not how its usual time
compares with that of other servers.  That is learned from the times which hosts
observe, each divided by what the server stated with it.  A host sends a server a
request or two a second, so hosts exchange their sums.

All of it is forgotten within seconds: a server that gets no requests counts as an
ordinary one again.  Without a statement from any server there are no estimates.
"""

import math
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from sequoiapoint.protocol.digests import SpeedSample
from sequoiapoint.protocol.gateway import Incarnation

LEVEL_S = 0.05
"""Time constant by which a server's statements are smoothed."""
MEAN_S = 2.0
"""Time constant of the mean to which the newest statement returns as it gets older."""
STATEMENT_HALF_LIFE_S = 0.4
"""Age at which a statement has half its weight: slowdowns last half a second or so."""
FORGET_HALF_LIFE_S = 1.0
"""Half-life of observed times, and of the mean of a server that states nothing."""
PRIOR_SAMPLES = 4.0
"""Number of observations of the typical server that each one is taken to have had, so
that a few odd ones do not count as its speed."""
RETENTION_S = 30.0
"""Time without observations of a process after which it is removed."""
MIN_SLOWNESS, MAX_SLOWNESS = 0.1, 20.0
"""Bounds of a statement; beyond them it shifts the choice of servers no further."""
MAX_RELATIVE_TIME = 100.0
"""Bound of an observed time, as a multiple of the time expected of its request."""

_Key = TypeVar("_Key", bound=Hashable)


@dataclass
class _Sums:
    work: float = 0.0
    samples: float = 0.0
    at: float = -math.inf

    def decayed(self, now: float) -> tuple[float, float]:
        """Return the sum of the observed times, and their number."""
        weight = math.exp2(min(0.0, (self.at - now) / FORGET_HALF_LIFE_S))
        return self.work * weight, self.samples * weight

    def add(self, work: float, samples: float, now: float) -> None:
        """Add observations."""
        known_work, known_samples = self.decayed(now)
        self.work, self.samples = known_work + work, known_samples + samples
        self.at = max(self.at, now)


class _Speed:
    """What is known of one process."""

    def __init__(self) -> None:
        self.level = self.mean = 1.0
        self.stated_at = -math.inf
        self.own, self.others = _Sums(), _Sums()
        self.heard_at = -math.inf

    def note_slowness(self, slowness: float, at: float) -> None:
        """Merge a statement; one that is older than the newest is dropped."""
        elapsed_s = at - self.stated_at
        if elapsed_s <= 0.0:
            return
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        if math.isinf(elapsed_s):
            self.level = self.mean = slowness
        else:
            self.mean = self._remembered_mean(at)
            self.level += -math.expm1(-elapsed_s / LEVEL_S) * (slowness - self.level)
            self.mean += -math.expm1(-elapsed_s / MEAN_S) * (slowness - self.mean)
        self.stated_at = at
        self.heard_at = max(self.heard_at, at)

    def _remembered_mean(self, now: float) -> float:
        age_s = max(0.0, now - self.stated_at)
        return 1.0 + (self.mean - 1.0) * math.exp2(-age_s / FORGET_HALF_LIFE_S)

    def slowness(self, now: float) -> float:
        """Return the expected slowness: the newest statement, or what is usual."""
        age_s = max(0.0, now - self.stated_at)
        mean = self._remembered_mean(now)
        return mean + (self.level - mean) * math.exp2(-age_s / STATEMENT_HALF_LIFE_S)

    def work(self, now: float) -> tuple[float, float]:
        """Return the sum of all observed times, and their number."""
        own, others = self.own.decayed(now), self.others.decayed(now)
        return own[0] + others[0], own[1] + others[1]


class ServerSpeeds:
    """The speeds of all servers, by process.  A new process starts anew."""

    def __init__(self) -> None:
        self._speeds: dict[Incarnation, _Speed] = {}

    def note_slowness(self, server: Incarnation, slowness: float, at: float) -> None:
        """Record what a response states.

        :param slowness: How long work takes, as a multiple of the usual time.
        :param at: When the response arrived at a host, in seconds.
        """
        speed = self._speeds.get(server)
        if speed is None:
            speed = self._speeds[server] = _Speed()
        speed.note_slowness(slowness, at)

    def note_work(self, server: Incarnation, relative_time: float, now: float) -> None:
        """Record how long a request took, if the server states its slowness.

        :param relative_time: The time as a multiple of the one expected of the request.
        """
        speed = self._speeds.get(server)
        if speed is None or not 0.0 < relative_time < math.inf:
            return
        relative_time = min(MAX_RELATIVE_TIME, relative_time)
        speed.own.add(relative_time / speed.slowness(now), 1.0, now)

    def slowness(self, server: Incarnation, now: float) -> float | None:
        """Return what a server is expected to state now, None if it states nothing."""
        speed = self._speeds.get(server)
        return None if speed is None else speed.slowness(now)

    def relative_times(
        self, servers: Iterable[Incarnation], now: float
    ) -> Mapping[Incarnation, float]:
        """Return how long work takes at each server, relative to the fastest one.

        A server that states nothing, as it is new, counts as a typical one.

        :return: Nothing if none of the servers states how long work takes.
        """
        servers = list(servers)
        known = {s: speed for s in servers if (speed := self._speeds.get(s))}
        if not known:
            return {}
        sums = {server: speed.work(now) for server, speed in known.items()}
        means = sorted(work / n for work, n in sums.values() if n >= PRIOR_SAMPLES)
        typical = means[len(means) // 2] if means else 1.0
        times = dict.fromkeys(servers, typical)
        for server, speed in known.items():
            work, samples = sums[server]
            usual = (work + PRIOR_SAMPLES * typical) / (samples + PRIOR_SAMPLES)
            times[server] = usual * speed.slowness(now)
        fastest = min(times.values())
        return {server: time / fastest for server, time in times.items()}

    # Exchange with other hosts

    def own_samples(self, now: float) -> Mapping[Incarnation, SpeedSample]:
        """Return what this host has observed, and the newest statements it knows."""
        self._speeds = {
            server: speed
            for server, speed in self._speeds.items()
            if now - speed.heard_at < RETENTION_S
        }
        samples = {}
        for server, speed in self._speeds.items():
            work, count = speed.own.decayed(now)
            age_s = max(0.0, now - speed.stated_at)
            mean_work = work / count if count else 0.0
            samples[server] = SpeedSample(speed.level, age_s, mean_work, count)
        return samples

    def merge(self, samples: Mapping[Incarnation, SpeedSample], now: float) -> None:
        """Take over the sums of other hosts, which replace their earlier ones."""
        for server, sample in samples.items():
            self.note_slowness(server, sample.slowness, now - sample.age_s)
            others = self._speeds[server].others
            others.work = sample.mean_work * sample.samples
            others.samples, others.at = sample.samples, max(others.at, now)


def add_samples(
    parts: Iterable[Mapping[_Key, SpeedSample]],
) -> dict[_Key, SpeedSample]:
    """Return the sums of several hosts' or zones' samples, by server process."""
    totals: dict[_Key, SpeedSample] = {}
    for part in parts:
        for server, sample in part.items():
            known = totals.get(server)
            totals[server] = sample if known is None else _add(known, sample)
    return totals


def _add(first: SpeedSample, second: SpeedSample) -> SpeedSample:
    newest = min(first, second, key=lambda sample: sample.age_s)
    count = first.samples + second.samples
    work = first.mean_work * first.samples + second.mean_work * second.samples
    return SpeedSample(
        newest.slowness, newest.age_s, work / count if count else 0.0, count
    )

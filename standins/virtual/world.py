"""The virtual clock, the network between the fakes, and the faults of both."""

import collections
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field


class Clock:
    """Runs events in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count()

    def schedule_at(self, time: float, event: Callable[[], None]) -> None:
        """Run an event at a time, in seconds."""
        heapq.heappush(self._heap, (time, next(self._ids), event))

    def schedule_after(self, delay: float, event: Callable[[], None]) -> None:
        """Run an event after a delay, in seconds."""
        self.schedule_at(self.now + delay, event)

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, event = heapq.heappop(self._heap)
            event()
        self.now = end


@dataclass
class Faults:
    """How likely each fault is.

    :param loss: The share of messages that is lost.
    :param long_delay: The share of orders that arrives up to a minute late.
    """

    loss: float = 0.05
    duplicate: float = 0.05
    long_delay: float = 0.1
    lost_response: float = 0.1


@dataclass
class World:
    """What all fakes share.

    :param violations: What must always hold and did not.
    :param counts: Faults by kind, and other numbers for the table.
    :param copy_lost_at: When a server last died with a copy of a name.
    """

    rng: random.Random
    faults: Faults = field(default_factory=Faults)
    clock: Clock = field(default_factory=Clock)
    violations: list[str] = field(default_factory=list)
    counts: collections.Counter = field(default_factory=collections.Counter)
    partitioned_pairs: set[frozenset[str]] = field(default_factory=set)
    zones_without_platform: set[str] = field(default_factory=set)
    copy_lost_at: dict[str, float] = field(default_factory=dict)

    def record_violation(self, point: str, detail: str) -> None:
        """Note that something did not hold."""
        self.violations.append(f"{point}: t={self.clock.now:.1f} {detail}")

    def is_partitioned(self, zone: str, other: str) -> bool:
        """Tell whether two zones are cut off from each other."""
        return frozenset((zone, other)) in self.partitioned_pairs

    def send(self, zone: str, other: str, deliver: Callable[[], None]) -> None:
        """Deliver a message between hosts: late, twice, out of order, or never."""
        copies = 1 + int(self.rng.random() < self.faults.duplicate)
        for _ in range(copies):
            if self.is_partitioned(zone, other) or self.rng.random() < self.faults.loss:
                self.counts["messages lost"] += 1
                continue
            self.clock.schedule_after(self.rng.expovariate(1 / 0.01), deliver)
        self.counts["messages repeated"] += copies - 1

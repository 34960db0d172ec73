"""The virtual clock, the simulated network, and the probabilities of faults."""

import collections
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field


class Clock:
    """A discrete-event clock: runs scheduled events in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count()

    def schedule_at(self, time: float, event: Callable[[], None]) -> None:
        """Schedule an event for a time, in seconds."""
        heapq.heappush(self._heap, (time, next(self._ids), event))

    def schedule_after(self, delay: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay, in seconds."""
        self.schedule_at(self.now + delay, event)

    def run_until(self, end: float) -> None:
        """Run all events that are due by a time, in seconds."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, event = heapq.heappop(self._heap)
            event()
        self.now = end


@dataclass
class Faults:
    """The probability of each fault, from 0 to 1.

    :param loss: Loss of a message.
    :param duplicate: Duplication of a message between hosts.
    :param long_delay: Late arrival of an order, by up to 90 s, or of an append to the
        log, by up to 10 s.
    :param lost_response: Loss of the response to an order, append or service request.
    """

    loss: float = 0.05
    duplicate: float = 0.05
    long_delay: float = 0.1
    lost_response: float = 0.1


@dataclass
class World:
    """State that all fakes of a run share.

    :param violations: Violations of the properties that must always hold.
    :param counts: Faults by kind, and other figures for the summary table.
    :param partitioned_pairs: The pairs of zones that cannot reach each other.
    :param zones_without_platform: The zones that cannot reach the platform's log.
    :param copy_lost_at: For each artifact name, when an engine last crashed that had a
        resident copy of it.
    """

    rng: random.Random
    faults: Faults = field(default_factory=Faults)
    clock: Clock = field(default_factory=Clock)
    violations: list[str] = field(default_factory=list)
    counts: collections.Counter = field(default_factory=collections.Counter)
    partitioned_pairs: set[frozenset[str]] = field(default_factory=set)
    zones_without_platform: set[str] = field(default_factory=set)
    copy_lost_at: dict[str, float] = field(default_factory=dict)

    def record_violation(self, property_name: str, detail: str) -> None:
        """Record that a property did not hold."""
        self.violations.append(f"{property_name}: t={self.clock.now:.1f} {detail}")

    def is_partitioned(self, zone: str, other: str) -> bool:
        """Tell whether the network between two zones is partitioned."""
        return frozenset((zone, other)) in self.partitioned_pairs

    def send(self, zone: str, other: str, deliver: Callable[[], None]) -> None:
        """Deliver a message between hosts: late, twice, out of order, or not at all."""
        delivery_count = 1 + int(self.rng.random() < self.faults.duplicate)
        for _ in range(delivery_count):
            if self.is_partitioned(zone, other) or self.rng.random() < self.faults.loss:
                self.counts["messages lost"] += 1
                continue
            self.clock.schedule_after(self.rng.expovariate(1 / 0.01), deliver)
        self.counts["messages repeated"] += delivery_count - 1

"""Fakes of backend servers: engines that check memory, services that count runs."""

import collections
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from sequoiapoint.protocol import artifacts
from sequoiapoint.protocol.engine import Order, Report, ReportedHolding
from standins.virtual.world import World

LOAD_S = 3.0
MAX_REPORT_LAG_S = 1.5
RESTART_S = 8.0
MAX_ORDER_DELAY_S = 90.0

_incarnations = itertools.count(1)


@dataclass
class Copy:
    """A copy of an artifact that is resident or loading.

    :param resident_at: The time at which its load is complete.
    """

    artifact: str
    mb: int
    resident_at: float


class FakeEngine:
    """A model engine, which loads and unloads copies of artifacts.

    :param memory_mb: The accelerator memory, in megabytes.
    :param older_mb: The memory that the older system uses, within its reserved share.
    :param checks_fencing: Whether it rejects orders with an outdated fencing token.
    :param is_last_copy: Tells, for a copy's id and artifact, whether callers need the
        copy and no other is resident.
    """

    def __init__(
        self,
        world: World,
        name: str,
        zone: str,
        memory_mb: int,
        older_mb: int,
        checks_fencing: bool,
        is_last_copy: Callable[[str, str], bool],
    ) -> None:
        self._world = world
        self.name = name
        self.zone = zone
        self.memory_mb = memory_mb
        self.older_mb = older_mb
        self._checks_fencing = checks_fencing
        self._is_last_copy = is_last_copy
        self.is_alive = True
        self._start()

    def _start(self) -> None:
        self.is_alive = True
        self.incarnation = f"{self.name}-{next(_incarnations)}"
        self.copies: dict[str, Copy] = {}
        self._highest_fence = 0
        self._sequence = 0
        self._history: collections.deque = collections.deque(maxlen=64)

    def crash(self) -> None:
        """Crash with the loss of all copies, and restart after ``RESTART_S``."""
        for _, copy in self.resident_copies():
            name = artifacts.artifact_name(copy.artifact)
            self._world.copy_lost_at[name] = self._world.clock.now
        self.is_alive = False
        self._world.counts["engines killed"] += 1
        self._world.clock.schedule_after(RESTART_S, self._start)

    def used_mb(self) -> int:
        """Return the memory in use, the older system's included, in megabytes."""
        return self.older_mb + sum(c.mb for c in self.copies.values())

    def resident_copies(self) -> list[tuple[str, Copy]]:
        """Return the resident copies, which can serve requests, with their ids."""
        now = self._world.clock.now
        if not self.is_alive:
            return []
        return [(i, c) for i, c in self.copies.items() if c.resident_at <= now]

    def send_order(self, order: Order, on_response: Callable[[str], None]) -> None:
        """Deliver an order over the network: it may be lost or arrive very late.

        :param on_response: Called with ``accepted``, ``refused``, ``not_sent`` or
            ``unknown``.
        """
        world = self._world
        rng = world.rng
        incarnation = self.incarnation
        if not self.is_alive:
            world.clock.schedule_after(0.1, lambda: on_response("not_sent"))
            return
        self._check_unload(order)
        if rng.random() < world.faults.loss:
            world.counts["orders lost"] += 1
            world.clock.schedule_after(2.0, lambda: on_response("unknown"))
            return
        if rng.random() < world.faults.long_delay:
            world.counts["orders late"] += 1
            late_s = rng.uniform(1.0, MAX_ORDER_DELAY_S)
            world.clock.schedule_after(late_s, lambda: self._apply(order, incarnation))
            world.clock.schedule_after(2.0, lambda: on_response("unknown"))
            return
        is_response_lost = rng.random() < world.faults.lost_response

        def deliver() -> None:
            result = self._apply(order, incarnation)
            on_response("unknown" if is_response_lost else result)

        world.counts["order answers lost"] += int(is_response_lost)
        world.clock.schedule_after(rng.expovariate(1 / 0.02), deliver)

    def _apply(self, order: Order, incarnation: str) -> str:
        """Apply an order that was sent to one incarnation of the process."""
        if not self.is_alive or incarnation != self.incarnation:
            return "unknown"
        if self._checks_fencing and order.fence < self._highest_fence:
            self._world.counts["orders fenced"] += 1
            return "refused"
        self._highest_fence = max(self._highest_fence, order.fence)
        if order.action == "load" and order.holding not in self.copies:
            resident_at = self._world.clock.now + LOAD_S
            self.copies[order.holding] = Copy(order.artifact, order.mb, resident_at)
            self._world.counts["loads"] += 1
            if self.used_mb() > self.memory_mb:
                detail = f"{self.name} {self.used_mb()} of {self.memory_mb}"
                self._world.record_violation("memory", detail)
        elif order.action == "unload":
            self._unload(order)
        return "accepted"

    def _check_unload(self, order: Order) -> None:
        """Check an unload when it is sent: it cannot be cancelled after that."""
        copy = self.copies.get(order.holding)
        if order.action != "unload" or copy is None:
            return
        is_resident = copy.resident_at <= self._world.clock.now
        if is_resident and self._is_last_copy(order.holding, copy.artifact):
            detail = f"order to unload the last copy of {copy.artifact}"
            self._world.record_violation("reachable", detail)

    def _unload(self, order: Order) -> None:
        if order.holding not in self.copies:
            return
        del self.copies[order.holding]
        self._world.counts["unloads"] += 1

    def report(self) -> Report | None:
        """Return a report that may be out of date, None while the process is down."""
        if not self.is_alive:
            return None
        now = self._world.clock.now
        self._sequence += 1
        holdings = [
            ReportedHolding(
                holding=name,
                artifact=copy.artifact,
                mb=copy.mb,
                state="resident" if copy.resident_at <= now else "loading",
            )
            for name, copy in self.copies.items()
        ]
        report = Report(
            incarnation=self.incarnation,
            sequence=self._sequence,
            running=0,
            queued=0,
            leaving=False,
            highest_fence=self._highest_fence,
            used_mb=self.used_mb(),
            holdings=holdings,
        )
        self._history.append((now, report))
        lag = self._world.rng.uniform(0, MAX_REPORT_LAG_S)
        old = [r for at, r in self._history if at <= now - lag]
        return old[-1] if old else self._history[0][1]


class FakeService:
    """A plain service that counts the runs of each idempotency key."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.runs: collections.Counter = collections.Counter()
        self.runs_by_attempt: collections.Counter = collections.Counter()

    def run(self, key: str, attempt_id: str, on_outcome: Callable[[str], None]) -> None:
        """Run a request; its response may be lost after the run."""
        rng, clock = self._world.rng, self._world.clock
        if rng.random() < self._world.faults.loss:
            clock.schedule_after(0.01, lambda: on_outcome("not_run"))
            return
        self.runs[key] += 1
        self.runs_by_attempt[attempt_id] += 1
        if self.runs[key] > 1:
            self._world.record_violation(
                "at most once", f"key {key} ran {self.runs[key]} times"
            )
        is_lost = rng.random() < self._world.faults.lost_response
        self._world.counts["service answers lost"] += int(is_lost)
        outcome = "unknown" if is_lost else "done"
        clock.schedule_after(rng.expovariate(1 / 0.05), lambda: on_outcome(outcome))

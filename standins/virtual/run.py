"""One long seeded run: hosts, engines, callers and operators under random faults."""

import copy
import random
from collections.abc import Callable
from dataclasses import dataclass

from sequoiapoint.protocol import artifacts
from sequoiapoint.protocol.document import Document
from standins.virtual.backends import FakeEngine, FakeService
from standins.virtual.host import IdempotentAttempt, VirtualHost
from standins.virtual.log import FakeLog
from standins.virtual.mutations import Mutation, Mutations
from standins.virtual.world import World

ZONES = ("north", "south", "west")
HOSTS_PER_ZONE = 2
ENGINE_MB = 100
OLDER_SHARE_MB = 20
DURATION_S = 240.0
RECOVERY_S = 90.0
"""The end of a run, without new faults, in which the system has to recover."""
FAULT_PERIODS_S = (1.5, 4.0, 12.0)
DETECTION_S = 6.0
"""Time after an engine's crash in which hosts may still count on its copies."""
CONFIGURATION_IN_FORCE_TIMEOUT_S = 16.0
"""Time within which an accepted version must be in force."""
CHECK_INTERVAL_S = 1.0


@dataclass
class Result:
    """The result of a run.

    :param longest_unreachable_s: The longest time that a model had no resident copy
        although its zone could have loaded one.
    :param slowest_in_force_s: The longest time from the acceptance of a version until
        all hosts that could read the log had it.
    :param steps: The number of heartbeats of all hosts.
    """

    seed: int
    violations: list[str]
    counts: dict[str, int]
    longest_unreachable_s: float
    slowest_in_force_s: float
    steps: int


def document() -> dict:
    """Return the operators' document that all runs start with."""
    servers = [
        {
            "name": f"engine-{i}",
            "address": f"127.0.0.1:{9000 + i}",
            "zone": ZONES[i % len(ZONES)],
            "accelerators": 4,
            "memory_mb": ENGINE_MB,
            "checks_fencing": i % 2 == 0,
        }
        for i in range(6)
    ]
    return {
        "zones": list(ZONES),
        "servers": servers,
        "models": [
            {"name": f"m{i}", "memory_mb": 24 + 4 * (i % 3), "home_zone": ZONES[i % 3]}
            for i in range(7)
        ],
        "adapters": [
            {"name": f"a{i}", "model": f"m{i}", "memory_mb": 2} for i in range(4)
        ],
        "promises": [{"name": "interactive", "deadline_ms": 10_000}],
        "weight_store": {"loads_per_s": 6, "concurrent": 9},
        "older_system": {"memory_mb_per_server": OLDER_SHARE_MB},
    }


class Run:
    """One run.

    :param seed: The seed of all random numbers in it.
    :param mutation: The mechanism that is disabled.
    :param duration_s: How long faults are injected, in seconds of virtual time.
    """

    def __init__(
        self,
        seed: int,
        mutation: Mutation = Mutation.NONE,
        duration_s: float = DURATION_S,
    ) -> None:
        self._seed = seed
        self._duration_s = duration_s
        self._rng = random.Random(seed)
        self._world = World(random.Random(seed + 1))
        self._mutations = Mutations(mutation)
        self._log = FakeLog(self._world)
        self._service = FakeService(self._world)
        self._engines: dict[str, FakeEngine] = {}
        self._hosts: dict[str, VirtualHost] = {}
        self._document = document()
        self._accepted: list[tuple[float, int]] = []
        self._outcomes_by_attempt: dict[str, set[str]] = {}
        self._unreachable_since: dict[str, float] = {}
        self._longest_unreachable_s = 0.0
        self._slowest_in_force_s = 0.0
        self._readable_since: dict[VirtualHost, float] = {}
        self._accepted_bases: list[tuple[int, int]] = []
        self._incarnation_count = 0

    def result(self) -> Result:
        """Run to the end and return the result."""
        self._build()
        clock = self._world.clock
        self._schedule_every(CHECK_INTERVAL_S, self._check)
        fault_period_s = self._rng.choice(FAULT_PERIODS_S)
        self._schedule_every(fault_period_s, self._inject_fault, until=self._duration_s)
        self._schedule_every(0.5, self._send_request, until=self._duration_s)
        self._schedule_every(12.0, self._change_document, until=self._duration_s)
        clock.schedule_after(3.0, lambda: self._submit(self._document, 0))
        clock.run_until(self._duration_s)
        self._end_faults()
        clock.run_until(self._duration_s + RECOVERY_S)
        self._check_after_faults()
        return Result(
            seed=self._seed,
            violations=self._world.violations,
            counts=dict(self._world.counts),
            longest_unreachable_s=self._longest_unreachable_s,
            slowest_in_force_s=self._slowest_in_force_s,
            steps=sum(
                h.membership.local_member.heartbeat for h in self._hosts.values()
            ),
        )

    def _schedule_every(
        self, period_s: float, event: Callable[[], None], until: float = 1e9
    ) -> None:
        def run() -> None:
            if self._world.clock.now < until:
                event()
                delay = period_s * self._rng.uniform(0.5, 1.5)
                self._world.clock.schedule_after(delay, run)

        self._world.clock.schedule_after(period_s, run)

    def _build(self) -> None:
        for server in self._document["servers"]:
            self._engines[server["name"]] = FakeEngine(
                world=self._world,
                name=server["name"],
                zone=server["zone"],
                memory_mb=server["memory_mb"],
                older_mb=self._rng.randrange(OLDER_SHARE_MB + 1),
                checks_fencing=server["checks_fencing"],
                is_last_copy=self._is_last_copy,
            )
        for zone in ZONES:
            for number in range(HOSTS_PER_ZONE):
                self._hosts[f"{zone}-{number}"] = None
        for name in self._hosts:
            self._start_host(name)

    def _start_host(self, name: str) -> None:
        self._incarnation_count += 1
        self._hosts[name] = VirtualHost(
            world=self._world,
            log=self._log,
            engines=self._engines,
            service=self._service,
            peers=self._hosts,
            name=name,
            zone=name.partition("-")[0],
            incarnation=self._incarnation_count,
            mutations=self._mutations,
        )

    # Faults

    def _inject_fault(self) -> None:
        """Inject one random fault."""
        faults = (
            self._pause_host,
            self._pause_host,
            self._kill_host,
            self._crash_engine,
            self._partition_zones,
            self._isolate_from_platform,
            self._start_log_outage,
            self._change_older_system_memory,
        )
        self._rng.choice(faults)()

    def _live_hosts(self) -> list[VirtualHost]:
        return [h for h in self._hosts.values() if h.is_alive]

    def _pause_host(self) -> None:
        self._rng.choice(self._live_hosts()).pause(self._rng.choice((0.5, 3, 12, 40)))

    def _kill_host(self) -> None:
        if self._rng.random() > 0.4 or len(self._live_hosts()) < 4:
            return
        host = self._rng.choice(self._live_hosts())
        host.kill()
        delay = self._rng.uniform(1, 15)
        self._world.clock.schedule_after(delay, lambda: self._start_host(host.name))

    def _crash_engine(self) -> None:
        if self._rng.random() > 0.25:
            return
        engine = self._rng.choice(list(self._engines.values()))
        if engine.is_alive:
            engine.crash()

    def _partition_zones(self) -> None:
        pair = frozenset(self._rng.sample(ZONES, 2))
        self._world.partitioned_pairs.add(pair)
        self._world.counts["zones cut"] += 1
        delay = self._rng.uniform(2, 25)
        self._world.clock.schedule_after(
            delay, lambda: self._world.partitioned_pairs.discard(pair)
        )

    def _isolate_from_platform(self) -> None:
        zone = self._rng.choice(ZONES)
        self._world.zones_without_platform.add(zone)
        self._world.counts["zones cut from the platform"] += 1
        delay = self._rng.uniform(2, 25)
        self._world.clock.schedule_after(
            delay, lambda: self._world.zones_without_platform.discard(zone)
        )

    def _start_log_outage(self) -> None:
        if self._rng.random() > 0.4 or self._log.is_down:
            return
        self._log.is_down = True
        self._world.counts["log outages"] += 1
        self._world.clock.schedule_after(self._rng.uniform(1, 30), self._end_log_outage)

    def _end_log_outage(self) -> None:
        self._log.is_down = False

    def _change_older_system_memory(self) -> None:
        engine = self._rng.choice(list(self._engines.values()))
        engine.older_mb = self._rng.randrange(OLDER_SHARE_MB + 1)
        if engine.is_alive and engine.used_mb() > engine.memory_mb:
            detail = f"{engine.name} {engine.used_mb()} with the older system"
            self._world.record_violation("memory", detail)

    def _end_faults(self) -> None:
        """End all faults, so that the system must recover in the rest of the run."""
        self._world.partitioned_pairs.clear()
        self._world.zones_without_platform.clear()
        self._world.faults.loss = 0.0
        self._world.faults.long_delay = 0.0
        self._world.faults.lost_response = 0.0
        if self._log.is_down:
            self._end_log_outage()

    # Callers and operators

    def _send_request(self) -> None:
        """Send one to three attempts of a request that may run at most once.

        Each attempt picks a random live host, perhaps the same one again; it is dropped
        if that host is paused.
        """
        self._world.counts["keyed requests"] += 1
        key = f"k{self._world.counts['keyed requests']}"
        home = self._rng.choice(ZONES)
        for number in range(self._rng.choice((1, 1, 2, 3))):
            delay = self._rng.choice((0.0, 0.01, 0.3, 2.0, 8.0))
            self._world.clock.schedule_after(
                delay, lambda n=number: self._send_attempt(key, f"{key}/{n}", home)
            )

    def _send_attempt(self, key: str, attempt_id: str, home: str) -> None:
        host = self._rng.choice(self._live_hosts())
        if host.is_paused:
            return
        self._world.counts["tries"] += 1

        def on_outcome(outcome: str) -> None:
            self._world.counts[f"told {outcome}"] += 1
            self._outcomes_by_attempt.setdefault(attempt_id, set()).add(outcome)

        host.run_idempotent(IdempotentAttempt(key, attempt_id, home, on_outcome))

    def _change_document(self) -> None:
        """Have one or two operators change the document at the same time."""
        for _ in range(self._rng.choice((1, 2))):
            host = self._rng.choice(self._live_hosts())
            configuration = host.control.state.configuration
            if host.is_paused or configuration.document is None:
                continue
            changed = copy.deepcopy(configuration.document.model_dump())
            model = self._rng.choice(changed["models"])
            model["version"] = str(int(model["version"]) + 1)
            self._submit(changed, configuration.version, host)

    def _submit(
        self, changed: dict, base: int, host: VirtualHost | None = None
    ) -> None:
        self._world.counts["submissions"] += 1

        def on_result(result: str, version: int) -> None:
            self._world.counts[f"submissions {result}"] += 1
            if result != "accepted":
                return
            if any(base == known for _, known in self._accepted_bases):
                detail = f"two submissions on {base} were accepted"
                self._world.record_violation("configuration", detail)
            self._accepted_bases.append((version, base))
            self._accepted.append((self._world.clock.now, version))

        (host or next(iter(self._hosts.values()))).submit_document(
            changed, base, on_result
        )

    # Checks

    def _newest_document(self) -> Document | None:
        newest = max(self._live_hosts(), key=lambda h: h.version, default=None)
        return newest.control.state.configuration.document if newest else None

    def _has_copy(self, name: str, excluded: str = "") -> bool:
        """Tell whether some engine has a resident copy of an artifact name.

        :param excluded: The id of a copy to ignore.
        """
        return any(
            artifacts.artifact_name(copy.artifact) == name
            for engine in self._engines.values()
            for holding, copy in engine.resident_copies()
            if holding != excluded
        )

    def _is_last_copy(self, holding: str, artifact: str) -> bool:
        """Tell whether callers need a copy and no other is resident.

        A copy lost in a crash within ``DETECTION_S`` still counts, as hosts may not
        know of the crash yet.
        """
        current = self._newest_document()
        name = artifacts.artifact_name(artifact)
        if current is None or name not in artifacts.current_artifacts(current):
            return False
        lost_at = self._world.copy_lost_at.get(name, float("-inf"))
        if self._world.clock.now - lost_at < DETECTION_S:
            return False
        return not self._has_copy(name, holding)

    def _check(self) -> None:
        """Check the properties that must always hold."""
        for engine in self._engines.values():
            if engine.is_alive and engine.used_mb() > engine.memory_mb:
                detail = f"{engine.name} {engine.used_mb()} of {engine.memory_mb}"
                self._world.record_violation("memory", detail)
        self._check_reachable()
        self._check_in_force()

    def _check_reachable(self) -> None:
        """Measure how long models lack a resident copy that could be loaded."""
        now = self._world.clock.now
        current = self._newest_document()
        if current is None:
            return
        for model in current.models:
            if self._has_copy(model.name) or not self._could_load(model, current):
                self._unreachable_since.pop(model.name, None)
                continue
            since = self._unreachable_since.setdefault(model.name, now)
            self._longest_unreachable_s = max(self._longest_unreachable_s, now - since)

    def _could_load(self, model: object, current: Document) -> bool:
        """Tell whether the home zone has free memory, a running host and the log."""
        zone = model.home_zone
        hosts = [h for h in self._live_hosts() if h.zone == zone and not h.is_paused]
        if not hosts or self._log.is_down or zone in self._world.zones_without_platform:
            return False
        ledger = hosts[0].control.state.ledger
        limit = ENGINE_MB - OLDER_SHARE_MB
        return any(
            e.is_alive and limit - ledger.committed_mb(e.name) >= model.memory_mb
            for e in self._engines.values()
            if e.zone == zone
        )

    def _check_in_force(self) -> None:
        """Check that accepted versions reach every host that can read the log.

        The time counts from the acceptance or from when the host became able to read
        the log, whichever is later.
        """
        now = self._world.clock.now
        for host in self._live_hosts():
            if not self._can_read(host):
                self._readable_since.pop(host, None)
                continue
            readable_since = self._readable_since.setdefault(host, now)
            for at, version in self._accepted[-5:]:
                if host.version >= version:
                    continue
                late_s = now - max(at, readable_since)
                self._slowest_in_force_s = max(self._slowest_in_force_s, late_s)
                if late_s > CONFIGURATION_IN_FORCE_TIMEOUT_S:
                    detail = f"{version} not in force at {host.name}"
                    self._world.record_violation("configuration", detail)

    def _can_read(self, host: VirtualHost) -> bool:
        is_isolated = host.zone in self._world.zones_without_platform
        return not (host.is_paused or self._log.is_down or is_isolated)

    def _check_after_faults(self) -> None:
        """Check the properties that must hold after the faults have ended."""
        for attempt_id, outcomes in self._outcomes_by_attempt.items():
            ran = self._service.runs_by_attempt[attempt_id]
            if "refused" in outcomes and ran:
                self._world.record_violation("told not run", f"{attempt_id} ran")
            if len(outcomes) > 1:
                self._world.record_violation(
                    "told not run", f"{attempt_id} was told {outcomes}"
                )
        versions = {h.version for h in self._live_hosts()}
        if len(versions) != 1:
            self._world.record_violation(
                "configuration", f"versions differ: {versions}"
            )
        current = self._newest_document()
        for model in current.models if current else ():
            if not self._has_copy(model.name):
                self._world.record_violation(
                    "reachable", f"{model.name} has no copy at the end"
                )
        states = {str(h.control.state.ledger.to_json()) for h in self._live_hosts()}
        if len(states) != 1:
            self._world.record_violation("memory", "hosts disagree on the ledger")

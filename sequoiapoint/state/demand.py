"""Demand for models and adapters, from this host and from all hosts.

Each host counts its own requests; the leader adds up the counts that hosts report.
"""

import math
from collections import Counter
from collections.abc import Hashable, Iterable, Mapping, Set
from dataclasses import dataclass, field

from sequoiapoint.protocol.gateway import ModelDemand

UNSERVED_MEMORY_S = 8.0
"""Time after its last waiting request for which a model that was not served is
remembered, so that callers who come back later do not start to wait anew."""
REPORT_TTL_S = 2.5
"""Maximum age of a report in the totals; allows for a few consecutive lost digests."""


class UnservedTimes:
    """Times since which requests have waited with none of them being served.

    A pause between two callers, or between a refusal and the retry, does not end such a
    time.  The keys are those of models or of adapters.
    """

    def __init__(self) -> None:
        self._since: dict[Hashable, float] = {}
        self._last_waited_at: dict[Hashable, float] = {}
        self._served_at: dict[Hashable, float] = {}

    def note_waiting(self, key: Hashable, now: float, unserved_s: float = 0.0) -> None:
        """Record that a request waits.

        :param unserved_s: Time for which requests are said to have waited before, by
            a host that may not know that others were served meanwhile.
        """
        since = max(now - unserved_s, self._served_at.get(key, -math.inf))
        if now - self._last_waited_at.get(key, now) <= UNSERVED_MEMORY_S:
            since = min(since, self._since.get(key, since))
        self._since[key] = since
        self._last_waited_at[key] = now

    def note_served(self, key: Hashable, now: float) -> None:
        """Record that a request was sent to a server."""
        self._since.pop(key, None)
        self._served_at[key] = now

    def elapsed_s(self, key: Hashable, now: float) -> float:
        """Return the time for which a key's requests have not been served."""
        return now - self._since.get(key, now)


class LocalDemand:
    """The demand of this host's requests."""

    def __init__(self) -> None:
        self._unserved = UnservedTimes()
        self._running: Counter[tuple[str, str, str]] = Counter()
        self._waiting: Counter[tuple[str, str, str]] = Counter()
        self._urgency: dict[tuple[str, str, str], tuple[float, int]] = {}
        self._changed_keys: set[tuple[str, str, str]] = set()

    def note_request(
        self, key: tuple[str, str, str], goal_s: float, priority: int
    ) -> None:
        """Record a request, with the latency goal and the priority of its route.

        The shortest goal and the most urgent priority of the key's requests are kept.

        :param key: The service, model and adapter.
        :param goal_s: The latency goal, in seconds.
        :param priority: The priority; 0 is the most urgent.
        """
        known_goal_s, known_priority = self._urgency.get(key, (goal_s, priority))
        self._urgency[key] = (min(goal_s, known_goal_s), min(priority, known_priority))
        self._changed_keys.add(key)

    def adjust(
        self, key: tuple[str, str, str], now: float, running: int = 0, waiting: int = 0
    ) -> None:
        """Add to the request counts of a service, model and adapter."""
        if waiting > 0:
            self._unserved.note_waiting(key, now)
        if running > 0:
            self._unserved.note_served(key, now)
        self._running[key] += running
        self._waiting[key] += waiting
        self._changed_keys.add(key)

    def report(self, now: float) -> list[ModelDemand]:
        """Return the demand of all keys in use now or since the last report."""
        keys = self._changed_keys | {k for k, n in self._running.items() if n}
        keys |= {k for k, n in self._waiting.items() if n}
        self._changed_keys = set()
        return [
            ModelDemand(
                *key,
                self._running[key],
                self._waiting[key],
                *self._urgency.get(key, (0.0, 0)),
                self._unserved.elapsed_s(key, now) if self._waiting[key] else 0.0,
            )
            for key in keys
        ]

    def waiting(self) -> Mapping[tuple[str, str, str], int]:
        """Return the number of waiting requests by service, model and adapter."""
        return {key: n for key, n in self._waiting.items() if n}


@dataclass
class ClusterDemand:
    """The latest demand report of each host."""

    _reports: dict[str, tuple[float, tuple[ModelDemand, ...]]] = field(
        default_factory=dict
    )

    def set_report(self, host: str, report: Iterable[ModelDemand], now: float) -> None:
        """Replace a host's report."""
        self._reports[host] = (now, tuple(report))

    def waiting(self, now: float) -> Mapping[str, Set[tuple[str, str]]]:
        """Return, by host, the models and adapters with waiting requests."""
        return {
            host: {(d.model, d.adapter) for d in report if d.waiting}
            for host, (at, report) in self._reports.items()
            if now - at <= REPORT_TTL_S and any(d.waiting for d in report)
        }

    def total(self, now: float) -> list[ModelDemand]:
        """Return the total demand of all hosts with a recent report.

        A total has the shortest goal, the most urgent, thus smallest, priority and the
        longest time without service of its reports.
        """
        running: Counter[tuple[str, str, str]] = Counter()
        waiting: Counter[tuple[str, str, str]] = Counter()
        urgency: dict[tuple[str, str, str], tuple[float, int]] = {}
        unserved_s: dict[tuple[str, str, str], float] = {}
        for at, report in self._reports.values():
            if now - at > REPORT_TTL_S:
                continue
            for demand in report:
                key = (demand.service, demand.model, demand.adapter)
                unserved_s[key] = max(demand.unserved_s, unserved_s.get(key, 0.0))
                running[key] += demand.running
                waiting[key] += demand.waiting
                goal_s, priority = urgency.get(key, (demand.goal_s, demand.priority))
                urgency[key] = (
                    min(goal_s, demand.goal_s),
                    min(priority, demand.priority),
                )
        return [
            ModelDemand(
                *key, running[key], waiting[key], *urgency[key], unserved_s[key]
            )
            for key in running
        ]

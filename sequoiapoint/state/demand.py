"""Demand for models and adapters, from this host and from all hosts.

Each host counts its own requests; the leader adds up the counts that hosts report.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

from sequoiapoint.protocol.gateway import ModelDemand

REPORT_TTL_S = 2.5
"""Maximum age of a report in the totals; allows for a few consecutive lost digests."""


class LocalDemand:
    """The demand of this host's requests."""

    def __init__(self) -> None:
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
        self, key: tuple[str, str, str], running: int = 0, waiting: int = 0
    ) -> None:
        """Add to the request counts of a service, model and adapter."""
        self._running[key] += running
        self._waiting[key] += waiting
        self._changed_keys.add(key)

    def report(self) -> list[ModelDemand]:
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

        A total has the shortest goal and the most urgent, thus smallest, priority of
        its reports.
        """
        running: Counter[tuple[str, str, str]] = Counter()
        waiting: Counter[tuple[str, str, str]] = Counter()
        urgency: dict[tuple[str, str, str], tuple[float, int]] = {}
        for at, report in self._reports.values():
            if now - at > REPORT_TTL_S:
                continue
            for demand in report:
                key = (demand.service, demand.model, demand.adapter)
                running[key] += demand.running
                waiting[key] += demand.waiting
                goal_s, priority = urgency.get(key, (demand.goal_s, demand.priority))
                urgency[key] = (
                    min(goal_s, demand.goal_s),
                    min(priority, demand.priority),
                )
        return [
            ModelDemand(*key, running[key], waiting[key], *urgency[key])
            for key in running
        ]

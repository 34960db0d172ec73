"""Demand for models and adapters, from this host and from all hosts.

Each host counts its own requests; the host that gives orders adds up what it hears.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

from sequoiapoint.protocol.gateway import ModelDemand

REPORT_AGE_S = 2.5
"""Age up to which a host's demand counts: a few digests lost in a row."""


class LocalDemand:
    """Counts this host's requests for models."""

    def __init__(self) -> None:
        self._in_work: Counter[tuple[str, str, str]] = Counter()
        self._waiting: Counter[tuple[str, str, str]] = Counter()
        self._urgency: dict[tuple[str, str, str], tuple[float, int]] = {}
        self._touched: set[tuple[str, str, str]] = set()

    def note_request(
        self, key: tuple[str, str, str], goal_s: float, priority: int
    ) -> None:
        """Note a request for a service, model and adapter, by its route."""
        known_goal_s, known_priority = self._urgency.get(key, (goal_s, priority))
        self._urgency[key] = (min(goal_s, known_goal_s), min(priority, known_priority))
        self._touched.add(key)

    def adjust(
        self, key: tuple[str, str, str], in_work: int = 0, waiting: int = 0
    ) -> None:
        """Add to the counts of a service, model and adapter."""
        self._in_work[key] += in_work
        self._waiting[key] += waiting
        self._touched.add(key)

    def report(self) -> list[ModelDemand]:
        """Return the demand now, and all that was touched since the last report."""
        keys = self._touched | {k for k, n in self._in_work.items() if n}
        keys |= {k for k, n in self._waiting.items() if n}
        self._touched = set()
        return [
            ModelDemand(
                *key,
                self._in_work[key],
                self._waiting[key],
                *self._urgency.get(key, (0.0, 0)),
            )
            for key in keys
        ]

    def waiting(self) -> Mapping[tuple[str, str, str], int]:
        """Return the requests that wait, by service, model and adapter."""
        return {key: n for key, n in self._waiting.items() if n}


@dataclass
class ClusterDemand:
    """The newest demand that each host reported."""

    _reports: dict[str, tuple[float, tuple[ModelDemand, ...]]] = field(
        default_factory=dict
    )

    def merge(self, host: str, report: Iterable[ModelDemand], now: float) -> None:
        """Take in a host's report."""
        self._reports[host] = (now, tuple(report))

    def waiting(self, now: float) -> Mapping[str, Set[tuple[str, str]]]:
        """Return the models and adapters that requests wait for, by host."""
        return {
            host: {(d.model, d.adapter) for d in report if d.waiting}
            for host, (at, report) in self._reports.items()
            if now - at <= REPORT_AGE_S and any(d.waiting for d in report)
        }

    def total(self, now: float) -> list[ModelDemand]:
        """Return the sums over all hosts that reported lately."""
        in_work: Counter[tuple[str, str, str]] = Counter()
        waiting: Counter[tuple[str, str, str]] = Counter()
        urgency: dict[tuple[str, str, str], tuple[float, int]] = {}
        for at, report in self._reports.values():
            if now - at > REPORT_AGE_S:
                continue
            for demand in report:
                key = (demand.service, demand.model, demand.adapter)
                in_work[key] += demand.running
                waiting[key] += demand.waiting
                goal_s, priority = urgency.get(key, (demand.goal_s, demand.priority))
                urgency[key] = (
                    min(goal_s, demand.goal_s),
                    min(priority, demand.priority),
                )
        return [
            ModelDemand(*key, in_work[key], waiting[key], *urgency[key])
            for key in in_work
        ]

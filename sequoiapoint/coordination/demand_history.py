"""Demand over time, as the leader aggregates it.

Every host reports its demand twice a second.  The number of running requests is
smoothed, so that model copies follow demand rather than noise, and the time of the last
request is kept after the request has ended.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass

from sequoiapoint.coordination.model_placement import DemandStats
from sequoiapoint.protocol.gateway import ModelDemand

SMOOTHING_S = 1.0
"""Time constant of the smoothing, and so the time in which a shift of demand shows."""
UNPLACED_AFTER_S = 0.5
"""Time for which requests have to wait for a model or adapter that no engine holds
before it is reported; most adapters load within milliseconds."""
UNSERVED_MEMORY_S = 8.0
"""Time after its last request for which a model that was not served is remembered, so
that callers who come back later do not start to wait anew."""
ADAPTER_RECENT_S = 5.0
"""Time after its last request for which an adapter counts as recently requested."""


@dataclass(frozen=True)
class UnplacedDemand:
    """Requests that wait for a model or adapter that no engine holds.

    :param adapter: The adapter, "" if the requests need the model alone.
    :param waiting: Number of waiting requests in the latest reports.
    :param waiting_s: Time since which there have been such requests, in seconds.
    :param model_copies: Number of engines that hold the model.
    """

    model: str
    adapter: str
    waiting: int
    waiting_s: float
    model_copies: int


class DemandHistory:
    """Past and current demand by service and model.

    :param started_at: When tracking started; a model that has not been requested
        since counts as idle from then.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._updated_at = 0.0
        self._running: dict[tuple[str, str], float] = {}
        self._waiting: Counter[tuple[str, str]] = Counter()
        self._last_requested_at: dict[tuple[str, str], float] = {}
        self._min_goals: dict[tuple[str, str], float] = {}
        self._min_priorities: dict[tuple[str, str], int] = {}
        self._adapter_last_requested_at: dict[tuple[str, str, str], float] = {}
        self._adapters_waiting: dict[str, dict[tuple[str, str], int]] = {}
        self._adapters_in_use: dict[str, set[tuple[str, str]]] = {}
        self._unserved_since: dict[tuple[str, str], float] = {}
        self._waiting_since: dict[tuple[str, str, str], tuple[float, int]] = {}

    def update(self, total: Iterable[ModelDemand], now: float) -> None:
        """Update the history with the demand summed over all hosts."""
        weight = 1.0 - math.exp(-(now - self._updated_at) / SMOOTHING_S)
        self._updated_at = now
        running_totals: Counter[tuple[str, str]] = Counter()
        self._waiting.clear()
        self._adapters_waiting = {}
        self._adapters_in_use = {}
        waited_before, self._waiting_since = self._waiting_since, {}
        for demand in total:
            key = (demand.service, demand.model)
            running_totals[key] += demand.running
            self._waiting[key] += demand.waiting
            self._last_requested_at[key] = now
            self._min_goals[key] = min(
                demand.goal_s, self._min_goals.get(key, demand.goal_s)
            )
            self._min_priorities[key] = min(
                demand.priority, self._min_priorities.get(key, demand.priority)
            )
            if demand.adapter:
                self._update_adapter(demand, now)
            if demand.waiting:
                key = (demand.service, demand.model, demand.adapter)
                since, _ = waited_before.get(key, (now, 0))
                self._waiting_since[key] = (since, demand.waiting)
        self._update_unserved(running_totals, now)
        for key in self._running.keys() | running_totals.keys():
            smoothed = self._running.get(key, 0.0)
            self._running[key] = smoothed + weight * (running_totals[key] - smoothed)

    def _update_unserved(
        self, running_totals: Mapping[tuple[str, str], int], now: float
    ) -> None:
        """Track since when a model's requests have waited with none being served.

        A pause between two callers, or between a refusal and the retry, does not end
        this time.
        """
        for key, waiting in self._waiting.items():
            if waiting:
                self._unserved_since.setdefault(key, now)
        for key in list(self._unserved_since):
            idle_s = now - self._last_requested_at[key]
            if running_totals.get(key) or idle_s > UNSERVED_MEMORY_S:
                del self._unserved_since[key]

    def _update_adapter(self, demand: ModelDemand, now: float) -> None:
        model_and_adapter = (demand.model, demand.adapter)
        self._adapter_last_requested_at[(demand.service, *model_and_adapter)] = now
        if demand.waiting:
            self._adapters_waiting.setdefault(demand.service, {})[model_and_adapter] = (
                demand.waiting
            )
        if demand.running:
            self._adapters_in_use.setdefault(demand.service, set()).add(
                model_and_adapter
            )

    def running(self, service: str, model: str) -> float:
        """Return the smoothed number of a model's running requests."""
        return self._running.get((service, model), 0.0)

    def adapters_waiting(self, service: str) -> Mapping[tuple[str, str], int]:
        """Return the number of waiting requests by model and adapter."""
        return self._adapters_waiting.get(service, {})

    def adapters_in_use(self, service: str) -> Set[tuple[str, str]]:
        """Return the adapters with running requests, as pairs of model and adapter."""
        return self._adapters_in_use.get(service, set())

    def unplaced(
        self, service: str, held: Sequence[Mapping[str, Set[str]]], now: float
    ) -> list[UnplacedDemand]:
        """Return what requests wait for and no engine holds, the longest wait first.

        :param held: For each engine, its resident models with their adapters.
        """
        unplaced = []
        for (name, model, adapter), (since, waiting) in self._waiting_since.items():
            if name != service or now - since < UNPLACED_AFTER_S:
                continue
            copies = [adapters[model] for adapters in held if model in adapters]
            if not copies or (adapter and not any(adapter in c for c in copies)):
                unplaced.append(
                    UnplacedDemand(model, adapter, waiting, now - since, len(copies))
                )
        return sorted(unplaced, key=lambda demand: -demand.waiting_s)

    def adapters_in_latest_reports(self, service: str) -> list[tuple[str, str]]:
        """Return the adapters in the latest reports, as pairs of model and adapter."""
        return [
            (model, adapter)
            for (name, model, adapter), at in self._adapter_last_requested_at.items()
            if name == service and at == self._updated_at
        ]

    def demand_by_model(
        self, service: str, models: Iterable[str], least_urgent: int, now: float
    ) -> dict[str, DemandStats]:
        """Return the demand by model.

        :param least_urgent: Priority of the service's least urgent requests.
        """
        adapters = Counter(
            model
            for (name, model, _), at in self._adapter_last_requested_at.items()
            if name == service and now - at < ADAPTER_RECENT_S
        )
        return {
            model: DemandStats(
                self.running(service, model),
                self._waiting[(service, model)],
                now - self._last_requested_at.get((service, model), self._started_at),
                adapters[model],
                self._min_goals.get((service, model)),
                self._min_priorities.get((service, model), 0) == least_urgent,
                now - self._unserved_since.get((service, model), now),
            )
            for model in models
        }

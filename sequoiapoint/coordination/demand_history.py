"""Demand over time, as the leader aggregates it.

Every host reports its demand twice a second.  The number of running requests is
smoothed, so that model copies follow demand rather than noise, and the time of the last
request is kept after the request has ended.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass

from sequoiapoint.coordination.adapter_placement import AdapterDemand
from sequoiapoint.coordination.model_placement import DemandStats
from sequoiapoint.protocol.gateway import ModelDemand
from sequoiapoint.state.demand import UnservedTimes

SMOOTHING_S = 1.0
"""Time constant of the smoothing, and so the time in which a shift of demand shows."""
TREND_SMOOTHING_S = 3.0
"""Time constant of a second smoothing.  Of demand that rises steadily, the difference
of both smoothed numbers is the increase in the difference of their time constants."""
MIN_GROWTH_SHARE = 0.25
"""Difference of both, as a share of the slower one, that is attributed to chance."""
MIN_GROWTH_REQUESTS = 1.0
"""The same as a number of requests."""
UNPLACED_AFTER_S = 0.5
"""Time for which requests have to wait for a model or adapter that no engine holds
before it is reported; most adapters load within milliseconds."""
SETTLING_S = 2.5
"""Time from the first requests to a service until it is known which copies of models
are surplus.  Before, models in high demand seem to need none: their first requests have
not been reported yet, and fewer run at a time than later."""
QUIET_S = 5.0
"""Time without requests to a service after which its demand has to settle again."""
ADAPTER_RECENT_S = 5.0
"""Time after its last request for which an adapter counts as recently requested."""


@dataclass(frozen=True)
class UnplacedDemand:
    """Requests that wait for a model or adapter that no engine holds.

    :param adapter: The adapter, "" if the requests need the model alone.
    :param waiting: Number of waiting requests in the latest reports.
    :param unserved_s: Time since which there have been such requests, in seconds.
    :param model_copies: Number of engines that hold the model.
    """

    model: str
    adapter: str
    waiting: int
    unserved_s: float
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
        self._trend: dict[tuple[str, str], float] = {}
        self._waiting: Counter[tuple[str, str]] = Counter()
        self._last_requested_at: dict[tuple[str, str], float] = {}
        self._active: dict[str, tuple[float, float]] = {}
        self._min_goals: dict[tuple[str, str], float] = {}
        self._min_priorities: dict[tuple[str, str], int] = {}
        self._adapter_last_requested_at: dict[tuple[str, str, str], float] = {}
        self._adapters_in_use: dict[str, set[tuple[str, str]]] = {}
        self._pairs_waiting: dict[tuple[str, str, str], int] = {}
        self._unserved_models = UnservedTimes()
        self._unserved_pairs = UnservedTimes()

    def update(self, total: Iterable[ModelDemand], now: float) -> None:
        """Update the history with the demand summed over all hosts."""
        elapsed_s = now - self._updated_at
        weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
        trend_weight = 1.0 - math.exp(-elapsed_s / TREND_SMOOTHING_S)
        self._updated_at = now
        running_totals: Counter[tuple[str, str]] = Counter()
        self._waiting.clear()
        self._adapters_in_use = {}
        self._pairs_waiting = {}
        for demand in total:
            key = (demand.service, demand.model)
            self._note_active(demand.service, now)
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
            self._update_unserved(demand, now)
        for key, running in running_totals.items():
            if running:
                self._unserved_models.note_served(key, now)
        for key in self._running.keys() | running_totals.keys():
            smoothed = self._running.get(key, 0.0)
            self._running[key] = smoothed + weight * (running_totals[key] - smoothed)
            trend = self._trend.get(key, 0.0)
            self._trend[key] = trend + trend_weight * (running_totals[key] - trend)

    def growth_per_s(self, service: str, model: str) -> float:
        """Return by how many requests a second the demand for a model rises.

        Answers demand that moves to another model within seconds, less than it takes to
        load its further copies.

        :return: 0 if it does not rise by more than chance.
        """
        key = (service, model)
        trend = self._trend.get(key, 0.0)
        rise = self._running.get(key, 0.0) - trend
        if rise < MIN_GROWTH_SHARE * trend + MIN_GROWTH_REQUESTS:
            return 0.0
        return rise / (TREND_SMOOTHING_S - SMOOTHING_S)

    def _note_active(self, service: str, now: float) -> None:
        """Record since when and until when a service has had requests."""
        since, until = self._active.get(service, (now, now))
        self._active[service] = (now if now - until > QUIET_S else since, now)

    def is_settled(self, service: str, now: float) -> bool:
        """Tell whether requests have come for long enough to tell surplus copies.

        Answers traffic that begins at full rate: for the first seconds, no model seems
        to be in demand, and those with the most copies would lose them first.
        """
        since, until = self._active.get(service, (now, now))
        return now - until <= QUIET_S and now - since >= SETTLING_S

    def _update_unserved(self, demand: ModelDemand, now: float) -> None:
        """Track since when requests have waited with none being served.

        Hosts report these times too, so that they outlast a change of the leader.
        """
        pair = (demand.service, demand.model, demand.adapter)
        if demand.waiting:
            self._pairs_waiting[pair] = demand.waiting
            self._unserved_pairs.note_waiting(pair, now, demand.unserved_s)
            self._unserved_models.note_waiting(pair[:2], now, demand.unserved_s)
        if demand.running:
            self._unserved_pairs.note_served(pair, now)

    def _update_adapter(self, demand: ModelDemand, now: float) -> None:
        model_and_adapter = (demand.model, demand.adapter)
        self._adapter_last_requested_at[(demand.service, *model_and_adapter)] = now
        if demand.running:
            self._adapters_in_use.setdefault(demand.service, set()).add(
                model_and_adapter
            )

    def running(self, service: str, model: str) -> float:
        """Return the smoothed number of a model's running requests."""
        return self._running.get((service, model), 0.0)

    def adapters_waiting(
        self, service: str, now: float
    ) -> Mapping[tuple[str, str], AdapterDemand]:
        """Return the waiting requests by model and adapter."""
        return {
            (model, adapter): AdapterDemand(
                waiting, self._unserved_pairs.elapsed_s((name, model, adapter), now)
            )
            for (name, model, adapter), waiting in self._pairs_waiting.items()
            if name == service and adapter
        }

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
        for (name, model, adapter), waiting in self._pairs_waiting.items():
            unserved_s = self._unserved_pairs.elapsed_s((name, model, adapter), now)
            if name != service or unserved_s < UNPLACED_AFTER_S:
                continue
            copies = [adapters[model] for adapters in held if model in adapters]
            if not copies or (adapter and not any(adapter in c for c in copies)):
                unplaced.append(
                    UnplacedDemand(model, adapter, waiting, unserved_s, len(copies))
                )
        return sorted(unplaced, key=lambda demand: -demand.unserved_s)

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
        is_settled = self.is_settled(service, now)
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
                self._unserved_models.elapsed_s((service, model), now),
                self.growth_per_s(service, model) if is_settled else 0.0,
            )
            for model in models
        }

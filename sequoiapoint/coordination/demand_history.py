"""Demand over time, as the giver of orders sees it.

Answers reports that come twice a second from every host: the requests at servers are
smoothed, so that copies follow the demand and not its noise, and what was asked for
lately is remembered beyond the requests themselves.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Set

from sequoiapoint.coordination.model_placement import DemandStats
from sequoiapoint.protocol.gateway import ModelDemand

SMOOTHING_S = 1.0
"""Time constant of the demand that copies follow: a shift of demand shows within it."""
ADAPTER_RECENT_S = 5.0
"""Time after its last request for which an adapter counts as asked for."""


class DemandHistory:
    """What has been asked for, by service and model.

    :param started_at: When tracking started; a model that has not been requested
        since counts as idle from then.
    """

    def __init__(self, started_at: float) -> None:
        self._began_at = started_at
        self._followed_at = 0.0
        self._in_work: dict[tuple[str, str], float] = {}
        self._waiting: Counter[tuple[str, str]] = Counter()
        self._asked_at: dict[tuple[str, str], float] = {}
        self._goals: dict[tuple[str, str], float] = {}
        self._priorities: dict[tuple[str, str], int] = {}
        self._adapter_asked_at: dict[tuple[str, str, str], float] = {}
        self._adapters_waiting: dict[str, dict[tuple[str, str], int]] = {}
        self._adapters_in_use: dict[str, set[tuple[str, str]]] = {}

    def update(self, total: Iterable[ModelDemand], now: float) -> None:
        """Take in the sums over all hosts."""
        weight = 1.0 - math.exp(-(now - self._followed_at) / SMOOTHING_S)
        self._followed_at = now
        in_work: Counter[tuple[str, str]] = Counter()
        self._waiting.clear()
        self._adapters_waiting = {}
        self._adapters_in_use = {}
        for demand in total:
            key = (demand.service, demand.model)
            in_work[key] += demand.running
            self._waiting[key] += demand.waiting
            self._asked_at[key] = now
            self._goals[key] = min(demand.goal_s, self._goals.get(key, demand.goal_s))
            self._priorities[key] = min(
                demand.priority, self._priorities.get(key, demand.priority)
            )
            if demand.adapter:
                self._follow_adapter(demand, now)
        for key in self._in_work.keys() | in_work.keys():
            value = self._in_work.get(key, 0.0)
            self._in_work[key] = value + weight * (in_work[key] - value)

    def _follow_adapter(self, demand: ModelDemand, now: float) -> None:
        pair = (demand.model, demand.adapter)
        self._adapter_asked_at[(demand.service, *pair)] = now
        if demand.waiting:
            self._adapters_waiting.setdefault(demand.service, {})[pair] = demand.waiting
        if demand.running:
            self._adapters_in_use.setdefault(demand.service, set()).add(pair)

    def running(self, service: str, model: str) -> float:
        """Return a model's requests at servers, smoothed."""
        return self._in_work.get((service, model), 0.0)

    def adapters_waiting(self, service: str) -> Mapping[tuple[str, str], int]:
        """Return the requests that wait, by model and adapter."""
        return self._adapters_waiting.get(service, {})

    def adapters_in_use(self, service: str) -> Set[tuple[str, str]]:
        """Return the adapters that requests use, as pairs of model and adapter."""
        return self._adapters_in_use.get(service, set())

    def adapters_in_latest_reports(self, service: str) -> list[tuple[str, str]]:
        """Return the adapters of the newest reports, as pairs of model and adapter."""
        return [
            (model, adapter)
            for (name, model, adapter), at in self._adapter_asked_at.items()
            if name == service and at == self._followed_at
        ]

    def demand_by_model(
        self, service: str, models: Iterable[str], least_urgent: int, now: float
    ) -> dict[str, DemandStats]:
        """Return the demand by model.

        :param least_urgent: The rank of the service's least urgent requests.
        """
        adapters = Counter(
            model
            for (name, model, _), at in self._adapter_asked_at.items()
            if name == service and now - at < ADAPTER_RECENT_S
        )
        return {
            model: DemandStats(
                self.running(service, model),
                self._waiting[(service, model)],
                now - self._asked_at.get((service, model), self._began_at),
                adapters[model],
                self._goals.get((service, model)),
                self._priorities.get((service, model), 0) == least_urgent,
            )
            for model in models
        }

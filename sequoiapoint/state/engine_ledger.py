"""The leader's record of each engine's state.

Each order is conditional on the engine's count of accepted orders, so an order that
arrives late has no effect.  While the count is unknown, the engine receives no orders;
its next report provides the count.
"""

import math
from dataclasses import dataclass, field

from sequoiapoint.protocol.gateway import EngineReport, EngineSpec, ServerEntry

REPORT_LAG_S = 0.4
"""Maximum age of the resident models and adapters in a report: twice the usual lag of
engines' reports.  The order count of the same report may be newer than these."""


@dataclass
class EngineRecord:
    """The leader's record of one engine process.

    :param order_count: The number of orders that it has accepted; None if unknown.
    :param held: Models with their adapters, including those that are being loaded.
    :param loading_model: The model that is being loaded, "" for none.
    :param evicting_model: The model that is being evicted, "" for none.
    :param busy_until: The time at which the order in progress should be complete.
    :param next_poll_at: The earliest time at which to poll for the next report.
    :param in_host_memory: Models with a copy in the engine's host memory.
    :param on_disk: Models with a copy on the engine's disk.
    :param adapter_last_requested: The time of the last request for each adapter.
    :param adapter_load_accepted_at: The time at which the engine last accepted an order
        to load each adapter.
    :param has_order_in_flight: Whether a call to the engine is in progress.
    :param is_eviction_immediate: Whether the eviction in progress has no requests to
        wait for.
    :param recently_loaded_models: Models that were loaded a short time ago.
    :param loading_adapters: Adapters that are being loaded, as pairs of model and
        adapter.
    :param evicting_adapters: Evicted adapters that keep their slots until their
        requests end.
    """

    entry: ServerEntry
    order_count: int | None = None
    held: dict[str, set[str]] = field(default_factory=dict)
    loading_model: str = ""
    evicting_model: str = ""
    busy_until: float = 0.0
    next_poll_at: float = 0.0
    in_host_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    adapter_last_requested: dict[tuple[str, str], float] = field(default_factory=dict)
    adapter_load_accepted_at: dict[tuple[str, str], float] = field(default_factory=dict)
    has_order_in_flight: bool = False
    is_eviction_immediate: bool = False
    recently_loaded_models: set[str] = field(default_factory=set)
    loading_adapters: set[tuple[str, str]] = field(default_factory=set)
    evicting_adapters: set[tuple[str, str]] = field(default_factory=set)

    @property
    def is_order_count_unknown(self) -> bool:
        """Tell whether a report is needed before the next order."""
        return self.order_count is None

    @property
    def is_busy(self) -> bool:
        """Tell whether a load or an eviction of a model is in progress."""
        return bool(self.loading_model or self.evicting_model)

    @property
    def adapter_count(self) -> int:
        """Return the number of used adapter slots."""
        held = sum(len(adapters) for adapters in self.held.values())
        return held + len(self.evicting_adapters)

    def unconfigured_models(self, spec: EngineSpec) -> list[str]:
        """Return the held models that the configuration does not name, in order."""
        return sorted(name for name in self.held if name not in spec.models)

    def used_mb(self, spec: EngineSpec) -> float:
        """Return the memory used by models and adapters, in MB.

        :return: Infinity if the engine holds a model that the configuration does not
            name, as its size is not known.
        """
        total = 0.0
        for name, adapters in self.held.items():
            model = spec.models.get(name)
            if model is None:
                return math.inf
            total += model.size_mb + len(adapters) * model.adapter_mb
        return total

    def usable(self) -> dict[str, frozenset[str]]:
        """Return the models and adapters for which requests can be sent."""
        return {
            model: frozenset(
                a for a in names if (model, a) not in self.loading_adapters
            )
            for model, names in self.held.items()
            if model not in (self.loading_model, self.evicting_model)
        }

    def mark_order_count_unknown(self, now: float) -> None:
        """Record that an order may or may not have been accepted."""
        self.order_count = None
        self.next_poll_at = now + REPORT_LAG_S

    def mark_order_unconfirmed(self, now: float) -> None:
        """Record an unconfirmed order: the model it was to evict counts as held."""
        self.evicting_model = ""
        self.mark_order_count_unknown(now)

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Apply a report that is newer than the last order."""
        self.order_count = report.order_count
        self.evicting_adapters.clear()
        self.in_host_memory = report.in_host_memory
        self.on_disk = report.on_disk
        held = {model.name: set(model.adapters) for model in report.models}
        for model, adapter in report.loading_adapters:
            held.setdefault(model, set()).add(adapter)
        for (model, adapter), at in self.adapter_load_accepted_at.items():
            if model in held and now - at < REPORT_LAG_S:
                held[model].add(adapter)
        if report.is_busy:
            # A load or an eviction is in progress, perhaps one from an earlier leader.
            if self.loading_model:
                held.setdefault(self.loading_model, set())
            self.busy_until = now + REPORT_LAG_S
            self.next_poll_at = self.busy_until
            self.order_count = None
        else:
            self.loading_model = self.evicting_model = ""
        self.held = held

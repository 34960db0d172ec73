"""What the giver of orders knows of each engine.

The count of accepted orders makes each order conditional, so that one which arrives
late changes nothing.  An engine whose count is in doubt gets no order until its report
has settled it.
"""

from dataclasses import dataclass, field

from sequoiapoint.protocol.gateway import EngineReport, EngineSpec, ServerEntry

REPORT_LAG_S = 0.4
"""Age of what a report may say; twice the usual lag of engines' reports.  Its count of
orders may be newer than what it says that the engine holds."""


@dataclass
class EngineRecord:
    """One process of an engine.

    :param order_count: Orders that it has accepted; None while in doubt.
    :param held: Models with their adapters, those on their way included.
    :param loading_model: The model that is being loaded, "" for none.
    :param evicting_model: The model that is being evicted, "" for none.
    :param busy_until: When the order in progress should be done.
    :param next_poll_at: When a report is worth asking for.
    :param is_eviction_immediate: Whether the eviction in progress has no requests to
        wait for.
    :param recently_loaded_models: Models that were loaded a short time ago.
    :param loading_adapters: Adapters on their way, as pairs of model and adapter.
    :param evicting_adapters: Adapters that keep their place until their requests end.
    :param adapter_last_requested: When each adapter was last asked for.
    :param adapter_load_accepted_at: When each adapter was last ordered to be loaded.
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
        """Tell whether an order about a model is in progress."""
        return bool(self.loading_model or self.evicting_model)

    @property
    def adapter_count(self) -> int:
        """Return how many adapter places are taken."""
        held = sum(len(adapters) for adapters in self.held.values())
        return held + len(self.evicting_adapters)

    def used_mb(self, spec: EngineSpec) -> float:
        """Return the memory taken by models and adapters, in MB."""
        total = 0.0
        for name, adapters in self.held.items():
            model = spec.models.get(name)
            if model is not None:
                total += model.size_mb + len(adapters) * model.adapter_mb
        return total

    def usable(self) -> dict[str, frozenset[str]]:
        """Return what requests can be sent for."""
        return {
            model: frozenset(
                a for a in names if (model, a) not in self.loading_adapters
            )
            for model, names in self.held.items()
            if model not in (self.loading_model, self.evicting_model)
        }

    def mark_order_count_unknown(self, now: float) -> None:
        """Note that an order may or may not have been accepted."""
        self.order_count = None
        self.next_poll_at = now + REPORT_LAG_S

    def mark_order_unconfirmed(self, now: float) -> None:
        """Note that an order was not accepted: what it was to evict is still there."""
        self.evicting_model = ""
        self.mark_order_count_unknown(now)

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Take in a report that is newer than the last order."""
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
            # Either a load or an eviction goes on, perhaps one of an earlier holder.
            if self.loading_model:
                held.setdefault(self.loading_model, set())
            self.busy_until = now + REPORT_LAG_S
            self.next_poll_at = self.busy_until
            self.order_count = None
        else:
            self.loading_model = self.evicting_model = ""
        self.held = held

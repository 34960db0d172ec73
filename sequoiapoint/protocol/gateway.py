"""Typed values that the gateway's decisions work on.

Adapters decode a deployment's wire formats into these once, at the border; nothing
past the adapter sees a wire name.  All durations are in seconds, all sizes in the
unit that the field's name says.
"""

import enum
import functools
from collections.abc import Mapping
from dataclasses import dataclass, field

Incarnation = tuple[str, int]
"""One process of a server: the server's id and the Unix time of the process's start."""


class Repeatability(enum.Enum):
    """What may be done again when an outcome is not known."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclass(frozen=True)
class ModelSpec:
    """A model that a service's engines can hold.

    :param size_mb: Memory for its weights.
    :param load_s: Time to load it from the weight store.
    :param host_load_s: Time to load it from the engine's host memory.
    :param disk_load_s: Time to load it from the engine's disk.
    :param adapters: The names of its adapters.
    :param adapter_mb: Memory for each adapter.
    """

    name: str
    size_mb: float
    load_s: float
    host_load_s: float
    disk_load_s: float
    adapters: tuple[str, ...] = ()
    adapter_mb: float = 0.0


@dataclass(frozen=True)
class EngineSpec:
    """What all engines of a service have in common.

    :param slots: Requests in a batch.
    :param memory_mb: Memory for weights and adapters.
    :param adapter_places: How many adapters fit.
    :param store_loads_per_s: The weight store's rate over all engines.
    """

    slots: int
    memory_mb: float
    adapter_slots: int
    store_loads_per_s: float
    models: Mapping[str, ModelSpec]


@dataclass(frozen=True)
class ServiceSpec:
    """A service and the limits of each of its servers.

    :param max_connections: Connections that a server accepts from all hosts.
    :param engine: The engines' limits, None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class Route:
    """What operators promise for the requests under a host name and a prefix.

    :param targets: Services with their weights.
    :param is_stream: Whether answers are event streams.
    :param is_resumable: Whether a stream may go on at another server.
    :param timeout_s: The longest time that a caller may be kept waiting.
    :param goal_s: The time within which an answer counts in full.
    :param event_gap_s: The longest pause between events that counts as on time.
    :param attempts: The most servers to which one request may be sent.
    :param priority: Its rank; 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[tuple[str, float], ...]
    repeatability: Repeatability
    is_stream: bool
    is_resumable: bool
    timeout_s: float
    goal_s: float
    max_event_gap_s: float
    attempts: int
    priority: int

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request with an unknown outcome may be sent again."""
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    :param header_timeout_s: Time for a request's head, and between parts of its body.
    :param idle_timeout_s: How long a kept connection may stay unused.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class GatewayConfiguration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits

    def least_urgent_priority(self, service: str) -> int:
        """Return the rank of a service's least urgent requests; 0 is the first."""
        return self._least_urgent.get(service, 0)

    @functools.cached_property
    def _least_urgent(self) -> Mapping[str, int]:
        ranks: dict[str, int] = {}
        for route in self.routes:
            for service, _ in route.targets:
                ranks[service] = max(ranks.get(service, 0), route.priority)
        return ranks


class ServerState(enum.Enum):
    """Whether a server takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class HeldModel:
    """A model in an engine's memory, with the adapters that came with it."""

    name: str
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True)
class ServerEntry:
    """What a server says of itself in the platform's store.

    :param server: Its id.
    :param started_ms: The Unix time of its start; a new one is a new process.
    :param slots: Requests that it runs at once.
    :param models: What it holds, None where it does not say.
    """

    server: str
    service: str
    address: str
    zone: str
    state: ServerState
    started_ms: int
    slots: int
    models: tuple[HeldModel, ...] | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Return what tells one process of the server from the next."""
        return (self.server, self.started_ms)


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, read whole.

    :param request_id: The caller's id of this attempt.
    :param target: Path and query, as sent.
    :param headers: Headers to pass on, without those of one connection and without
        those that only the gateway sets.
    :param budget_s: How long the caller waits, None where it does not say.
    :param model: The model that it asks for, "" for a plain service.
    :param adapter: The adapter of that model, "" for none.
    :param prompt_tokens: Size of the prompt.
    :param last_event_id: Where a stream goes on, "" from its start.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    budget_s: float | None = None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    last_event_id: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class LoadReport:
    """A server's own count of its work.

    :param running: Requests that it runs.
    :param waiting: Requests in its queue.
    :param slots: Requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class ResponseHead:
    """The head of a server's answer.

    :param request_id: The request that it answers, "" where it does not say.
    :param was_not_run: Whether the server says that it did not run the request.
    :param is_signed: Whether it bears the signature of a server that ran the request.
    :param is_encoded: Whether the body went through a content coding.
    :param is_wrong_server: Whether another server has the address, or the server
        does not hold what was asked for.
    :param headers: Headers to pass on to the caller.
    """

    status: int
    request_id: str
    was_not_run: bool
    is_signed: bool
    is_encoded: bool
    is_wrong_server: bool
    load: LoadReport | None
    headers: tuple[tuple[bytes, bytes], ...]


class OrderAction(enum.Enum):
    """What an engine is told to do."""

    LOAD = "load"
    EVICT = "evict"


@dataclass(frozen=True)
class Order:
    """An order to an engine about a model, or about one adapter of it.

    :param adapter: The adapter, "" for the model itself.
    :param expected_count: How many orders the engine has accepted before this one.
    :param holder: The host that gives orders.
    :param fence: The holder's number, higher than that of every holder before it.
    """

    action: OrderAction
    model: str
    adapter: str
    expected_count: int
    holder: str
    fence: int


class OrderResult(enum.Enum):
    """What an engine made of an order."""

    STARTED = "started"
    ALREADY_DONE = "already_so"
    CONFLICT = "conflict"
    FENCED = "fenced"
    INVALID = "invalid"
    WRONG_SERVER = "wrong_server"
    UNANSWERED = "unanswered"


@dataclass(frozen=True)
class EngineReport:
    """An engine's report of itself.

    :param order_count: How many orders it has accepted since its start.
    :param is_busy: Whether it carries out an order about a model.
    :param coming: Adapters on their way, as pairs of model and adapter.
    :param in_host_memory: Models with a copy in the engine's host memory.
    :param on_disk: Models with a copy on the engine's disk.
    """

    models: tuple[HeldModel, ...]
    order_count: int
    is_busy: bool
    running: int
    waiting: int
    loading_adapters: tuple[tuple[str, str], ...] = ()
    in_host_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclass(frozen=True)
class StoreRecord:
    """A keyed record of the platform's store.

    :param value: What is kept under the key, None where the key was dropped.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True)
class Unreadable:
    """A record that names nothing to use, and why."""

    key: str
    reason: str


@dataclass(frozen=True)
class GroupMembership:
    """What a host holds of a group.

    :param generation: A number that rises whenever a partition changes hands.
    :param partitions: The partitions that this host holds.
    """

    generation: int
    partitions: frozenset[int] = field(default_factory=frozenset)


@dataclass(frozen=True)
class ModelDemand:
    """Requests for a model of a service, or for one adapter of it.

    :param in_work: Requests at servers.
    :param waiting: Requests that wait at hosts for a server.
    :param goal_s: The shortest goal of the routes that they came by, in seconds.
    :param priority: The most urgent rank of those routes; 0 is the first.
    """

    service: str
    model: str
    adapter: str
    running: int
    waiting: int
    goal_s: float = 0.0
    priority: int = 0

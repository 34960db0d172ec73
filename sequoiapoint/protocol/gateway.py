"""The gateway's data model, independent of a deployment's wire formats.

Deployment adapters decode wire formats into these types at the system boundary; no
other code sees a wire name.  Durations are in seconds and sizes in the unit that the
field's name gives.
"""

import enum
import functools
import http
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from sequoiapoint.protocol.priorities import PriorityRanks

Incarnation = tuple[str, int]
"""One process of a server: the server id and the Unix time of its start, in ms."""


class Repeatability(enum.Enum):
    """Whether a request may be sent again if its outcome is unknown."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclass(frozen=True)
class ModelSpec:
    """A model that a service's engines can load.

    :param size_mb: The memory for its weights.
    :param load_s: The time to load it from the weight store.
    :param host_load_s: The time to load it from the engine's host memory.
    :param disk_load_s: The time to load it from the engine's disk.
    :param adapters: The names of its adapters.
    :param adapter_mb: The memory for each adapter.
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
    """The properties shared by all engines of a service.

    :param slots: The maximum number of requests in a batch.
    :param memory_mb: The memory for weights and adapters.
    :param adapter_slots: The maximum number of loaded adapters.
    :param store_loads_per_s: The weight store's load rate, in total for all engines.
    :param models: The models by name.
    """

    slots: int
    memory_mb: float
    adapter_slots: int
    store_loads_per_s: float
    models: Mapping[str, ModelSpec]


@dataclass(frozen=True)
class ServiceSpec:
    """A service and the limits of each of its servers.

    :param max_connections: The number of connections that a server accepts from all
        hosts together.
    :param engine: The properties of its engines; None for a service without models.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class Route:
    """The service guarantees for requests with a given host name and path prefix.

    :param targets: Services with their weights.
    :param is_stream: Whether responses are event streams.
    :param is_resumable: Whether a stream may be resumed at another server.
    :param timeout_s: The maximum time that a caller may wait.
    :param goal_s: The latency goal: a later response no longer counts in full.
    :param max_event_gap_s: The maximum pause between events that counts as on time.
    :param attempts: The maximum number of servers to which one request may be sent.
    :param priority: The urgency; 0 is the most urgent.
    :param is_public: Whether requests need no key although there are organisations.
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
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may be sent again if its outcome is unknown."""
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    :param header_timeout_s: The time limit for each pause between received parts of a
        request, in its head as well as in its body.
    :param idle_timeout_s: The time after which an unused connection is closed.
    :param request_timeout_s: The time limit for receiving a whole request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    request_timeout_s: float = math.inf


@dataclass(frozen=True)
class Allowance:
    """What an organisation may ask for, over all hosts.

    :param rate_per_s: Units a second.
    :param burst: Units that may be asked for at once, beyond the rate.
    :param counts_tokens: Whether the units are tokens instead of requests.
    :param plain_cost: The units that a request without tokens costs.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    plain_cost: float = 1.0


@dataclass(frozen=True)
class Organisation:
    """An organisation whose callers send a key with their requests.

    :param priority: Precedes the priority of the route; None if only the route's holds.
    :param allowance: None if the organisation has no limit.
    """

    name: str
    priority: int | None = None
    allowance: Allowance | None = None


@dataclass(frozen=True)
class GatewayConfiguration:
    """One version of the operators' configuration.

    :param organisations: The organisation of each key, by the digest of the key (see
        ``protocol.api_keys``); None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits
    organisations: Mapping[bytes, Organisation] | None = None

    def priority(self, route: Route, organisation: str | None) -> int:
        """Return how urgent a request is; 0 is the most urgent.

        :param organisation: The organisation for which it was admitted, "" or None
            without one.
        """
        first = self._priorities.get(organisation or "")
        return self._ranks.rank(first, route.priority)

    def sent_priority(self, priority: int) -> int:
        """Return the priority that servers are told for one that ``priority`` gives."""
        return self._ranks.sent(priority)

    def least_urgent_priority(self, service: str) -> int:
        """Return the least urgent priority of a service's requests."""
        return self._least_urgent.get(service, 0)

    @functools.cached_property
    def _priorities(self) -> Mapping[str, int | None]:
        organisations = (self.organisations or {}).values()
        return {
            organisation.name: organisation.priority for organisation in organisations
        }

    @functools.cached_property
    def _ranks(self) -> PriorityRanks:
        routes = {route.priority for route in self.routes}
        return PriorityRanks(self._priorities.values(), routes)

    @functools.cached_property
    def organisation_weights(self) -> Mapping[str, float]:
        """Return the weights by which organisations share what is short.

        It is the requests a second of their allowances; those without one are left out.
        """
        weights: dict[str, float] = {}
        for organisation in (self.organisations or {}).values():
            allowance = organisation.allowance
            if allowance is None or allowance.rate_per_s <= 0.0:
                continue
            cost = max(1.0, allowance.plain_cost) if allowance.counts_tokens else 1.0
            weights[organisation.name] = allowance.rate_per_s / cost
        return weights

    @functools.cached_property
    def _least_urgent(self) -> Mapping[str, int]:
        priorities: dict[str, int] = {}
        for route in self.routes:
            holders = [""] if route.is_public else [*self._priorities] or [""]
            least_urgent = max(self.priority(route, holder) for holder in holders)
            for service, _ in route.targets:
                priorities[service] = max(priorities.get(service, 0), least_urgent)
        return priorities


class ServerState(enum.Enum):
    """Whether a server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class HeldModel:
    """A model in an engine's memory and its loaded adapters."""

    name: str
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True)
class ServerEntry:
    """The entry in the platform's store with which a server registers itself.

    :param server: The server id.
    :param started_ms: The Unix time of its start, in milliseconds; a new value means a
        new process.
    :param slots: The number of requests that it runs concurrently.
    :param models: The resident models; None if the entry does not list them.
    :param report_count: How many reports the process has written; an older entry has
        a lower number.
    :param version: The version of its software.
    """

    server: str
    service: str
    address: str
    zone: str
    state: ServerState
    started_ms: int
    slots: int
    models: tuple[HeldModel, ...] | None = None
    report_count: int = 0
    version: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Return the identity of the server's process."""
        return (self.server, self.started_ms)


@dataclass(frozen=True)
class CallerRequest:
    """A completely received request from a caller.

    :param request_id: The caller's id for this attempt.
    :param target: The path and query, as sent.
    :param headers: The headers to forward, without hop-by-hop headers and without those
        that only the gateway sets.
    :param budget_s: The time that the caller waits; None if not given.
    :param model: The requested model; "" for a service without models.
    :param adapter: The requested adapter of that model; "" for none.
    :param prompt_tokens: The size of the prompt.
    :param last_event_id: The event id after which a stream resumes; "" for its start.
    :param shared_parts: The ids of the parts of its prompt that other requests may
        have too, in order.
    :param resumes: The id of the caller's attempt that received the first event of the
        stream that this one resumes; "" for none.
    :param tokens: The tokens that it may take, of the prompt and of the output; None if
        the request does not state them.
    :param key_digest: The digest of the caller's key; b"" without a valid one.
    :param organisation: The organisation for which the request was admitted; "" for
        none, None if the configuration in force has no organisations.
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
    shared_parts: tuple[str, ...] = ()
    resumes: str = ""
    tokens: int | None = None
    key_digest: bytes = b""
    organisation: str | None = None

    @property
    def max_output_tokens(self) -> int | None:
        """Return how many tokens the response may hold, None if it is not stated."""
        return max(0, (self.tokens or 0) - self.prompt_tokens) or None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def caller(self) -> bytes:
        """Return what identifies the caller: the organisation, else the key.

        It is empty if the caller has sent neither.
        """
        return self.organisation.encode() if self.organisation else self.key_digest


@dataclass(frozen=True)
class LoadReport:
    """The load that a server reports.

    :param running: The number of running requests.
    :param waiting: The number of queued requests.
    :param slots: The number of requests that it can run concurrently; None if the
        server does not state it.
    :param slowness: How long work takes at the moment, as a multiple of the usual time;
        None if the server does not state it.
    """

    running: int
    waiting: int = 0
    slots: int | None = None
    slowness: float | None = None


@dataclass(frozen=True)
class ResponseHead:
    """The head of a server's response.

    :param request_id: The id of the answered request; "" if not given.
    :param was_not_run: Whether the server states that it did not run the request.
    :param is_signed: Whether it carries the signature of a server that ran the request.
    :param is_encoded: Whether a content coding was applied to the body.
    :param is_wrong_server: Whether another server now has the address, or the server
        does not hold the requested model or adapter.
    :param load: The server's load; None if not given.
    :param headers: The headers to forward to the caller.
    :param is_leaving: Whether the server announces that it stops soon.
    :param retry_after_s: The time for which the server wants no requests, if it has
        turned this one away; None if not given.
    :param limit_per_s: The requests a second that the server takes from all hosts
        together; None if it names no limit, ``Unreadable`` if the value was not valid.
    :param brittle_per_s: The requests a second that the server can turn away for want
        of room before it falls over; None if it does not say that it is brittle,
        ``Unreadable`` if the value was not valid.
    :param unreadable: The names of headers whose values were not valid.
    """

    status: int
    request_id: str
    was_not_run: bool
    is_signed: bool
    is_encoded: bool
    is_wrong_server: bool
    load: LoadReport | None
    headers: tuple[tuple[bytes, bytes], ...]
    is_leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: "float | None | Unreadable" = None
    brittle_per_s: "float | None | Unreadable" = None
    unreadable: tuple[str, ...] = ()

    @property
    def lacks_model(self) -> bool:
        """Tell whether an engine turned a request away for its model or adapter.

        An engine that has room turns away what is being evicted.
        """
        if self.is_wrong_server or not self.was_not_run:
            return self.is_wrong_server
        has_room = (
            self.load is not None
            and self.load.slots is not None
            and not self.load.waiting
            and self.load.running < self.load.slots
        )
        return has_room and self.status == http.HTTPStatus.SERVICE_UNAVAILABLE


class OrderAction(enum.Enum):
    """The action of an order."""

    LOAD = "load"
    EVICT = "evict"


@dataclass(frozen=True)
class Order:
    """A command to an engine to load or evict a model or one of its adapters.

    :param adapter: The adapter; "" for the model itself.
    :param expected_count: The number of orders that the engine has accepted before this
        one.
    :param holder: The leader, that is the host that sends the orders.
    :param fence: The leader's fencing token, higher than that of any earlier leader.
    """

    action: OrderAction
    model: str
    adapter: str
    expected_count: int
    holder: str
    fence: int


class OrderResult(enum.Enum):
    """The result of an order to an engine."""

    STARTED = "started"
    ALREADY_DONE = "already_so"
    CONFLICT = "conflict"
    FENCED = "fenced"
    INVALID = "invalid"
    WRONG_SERVER = "wrong_server"
    UNANSWERED = "unanswered"


@dataclass(frozen=True)
class EngineReport:
    """The state that an engine reports.

    :param models: The resident models.
    :param order_count: The number of orders accepted since its start.
    :param is_busy: Whether it is loading or evicting a model.
    :param running: The number of running requests.
    :param waiting: The number of queued requests.
    :param loading_adapters: The adapters being loaded, as pairs of model and adapter.
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

    :param offset: Its position in the topic, across eras of the store.
    :param value: The value of the key; None if the key was deleted.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True)
class Unreadable:
    """A record or report that cannot be decoded, and the reason."""

    key: str
    reason: str


@dataclass(frozen=True)
class GroupMembership:
    """A host's membership in a consumer group of the platform's store.

    :param generation: A number that increases with each reassignment of a partition,
        within an era of the store.
    :param partitions: The partitions assigned to this host.
    :param era: The era of the store.
    """

    generation: int
    partitions: frozenset[int] = field(default_factory=frozenset)
    era: int = 0


@dataclass(frozen=True)
class ModelDemand:
    """The current requests for a model of a service, or for one of its adapters.

    :param running: Requests in progress at servers.
    :param waiting: Requests queued at hosts until a server is available.
    :param goal_s: The shortest latency goal of their routes, in seconds.
    :param priority: The most urgent priority of their routes; 0 is the most urgent.
    :param unserved_s: Time since which requests have waited while none was sent to a
        server, in seconds.
    """

    service: str
    model: str
    adapter: str
    running: int
    waiting: int
    goal_s: float = 0.0
    priority: int = 0
    unserved_s: float = 0.0

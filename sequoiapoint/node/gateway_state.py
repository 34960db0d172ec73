"""State shared by the components of one gateway host."""

import asyncio
import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import xxhash

from sequoiapoint.coordination import waiting
from sequoiapoint.coordination.fair_share import FairShare
from sequoiapoint.coordination.planned_stop import PlannedStop
from sequoiapoint.coordination.prompt_quarantine import (
    PromptQuarantine,
    process_number,
)
from sequoiapoint.coordination.quarantine import Quarantine
from sequoiapoint.coordination.retry_window import RetryWindow
from sequoiapoint.node.host_capacity import ConnectionLimits, connection_limits
from sequoiapoint.protocol.api_keys import key_labels
from sequoiapoint.protocol.gateway import (
    GatewayConfiguration,
    Incarnation,
    ServerEntry,
    Unreadable,
)
from sequoiapoint.protocol.gateway_settings import GatewaySettings
from sequoiapoint.protocol.ports import DeploymentAdapter
from sequoiapoint.state.brittle_servers import BrittleServers
from sequoiapoint.state.demand import LocalDemand
from sequoiapoint.state.fleet import Fleet
from sequoiapoint.state.reachability import Reachability
from sequoiapoint.state.route_table import RouteTable
from sequoiapoint.state.server_limits import LimitNotice, ServerLimits
from sequoiapoint.state.server_load import ServerLoads
from sequoiapoint.state.server_speed import ServerSpeeds
from sequoiapoint.state.stated_times import StatedTimes
from sequoiapoint.transport.async_http_client import ConnectionPool
from sequoiapoint.transport.caller_budget import CallerBudget
from sequoiapoint.transport.clock import monotonic_s
from sequoiapoint.transport.decision_log import DecisionLog
from sequoiapoint.transport.metrics import Metrics

CRASH_THRESHOLD = 3
"""Server processes that must have crashed while running a request before it is
quarantined, which is also the most that one request may take down."""

KEPT_SHARE = 0.8
"""Part of the connections that a server accepts which all hosts together may keep open
for later requests; the rest is for hosts that need another one."""


def crash_name(server: Incarnation) -> str:
    """Return the name of a server process in the quarantine of whole requests."""
    return "{}@{}".format(*server)


@dataclass(frozen=True)
class _WaitingRequest:
    """What is known of a waiting request; see ``WaitQueue.wait``."""

    priority: int
    goal_at: float
    deadline: float
    organisation: str
    service: str
    model: str
    needs_capacity: bool


class WaitQueue:
    """Requests that wait for a server, woken in the order of their urgency.

    Those that are equally urgent, up to their deadlines, are woken in an order that is
    fair between organisations.

    :ivar shares: What the organisations have been served at this host.
    :ivar change_count: Number of notifications so far, except those about capacity.
        A request that was not waiting can tell by it whether it has missed one.
    """

    def __init__(self) -> None:
        self.shares = FairShare()
        self.change_count = 0
        self._waiting: dict[asyncio.Future[None], _WaitingRequest] = {}
        self._by_number: dict[int, asyncio.Future[None]] = {}

    async def wait(
        self,
        priority: int,
        goal_at: float,
        deadline: float,
        timeout_s: float,
        number: int = 0,
        organisation: str = "",
        *,
        service: str = "",
        model: str = "",
        needs_capacity: bool = True,
    ) -> None:
        """Wait for the next notification, or until the timeout in seconds expires.

        The priority and the times are those of ``coordination.waiting.urgency``.

        :param number: Identifies the request for ``wake``; 0 for none.
        :param service: The service that should run the request; "" if any may.
        :param model: The model that it needs; "" for none.
        :param needs_capacity: Whether this host chooses a server as soon as one has
            capacity; otherwise the request waits for a grant or for a model.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._waiting[future] = _WaitingRequest(
            priority, goal_at, deadline, organisation, service, model, needs_capacity
        )
        if number:
            self._by_number[number] = future
        # asyncio.timeout costs several times as much as a timer on the future.
        timer = loop.call_later(timeout_s, _finish, future)
        try:
            await future
        finally:
            timer.cancel()
            self._waiting.pop(future, None)
            if number:
                del self._by_number[number]

    def wake(self, number: int) -> None:
        """Wake one request if it waits."""
        future = self._by_number.get(number)
        if future is not None:
            _finish(future)

    def notify(self) -> None:
        """Wake all waiting requests, the most urgent first."""
        self.change_count += 1
        self._wake(list(self._waiting))

    def notify_capacity(self, service: str) -> None:
        """Wake the requests for which a service's servers may have capacity now."""
        self._wake(
            [
                future
                for future, request in self._waiting.items()
                if request.needs_capacity and request.service in ("", service)
            ]
        )

    def notify_servers(self, service: str, models: Collection[str] | None) -> None:
        """Wake the requests that are concerned by a change of a service's servers.

        :param models: The models that are held or not any more; None if the change
            concerns all requests for the service.
        """
        self.change_count += 1
        self._wake(
            [
                future
                for future, request in self._waiting.items()
                if request.service in ("", service)
                and (models is None or request.model in models)
            ]
        )

    def _wake(self, futures: list[asyncio.Future[None]]) -> None:
        if not futures:
            return
        now = monotonic_s()
        entries = {future: self._waiting.pop(future) for future in futures}
        keys = {
            future: waiting.urgency(
                request.priority, request.goal_at, request.deadline, now
            )
            for future, request in entries.items()
        }
        for future in self.shares.ordered(
            entries,
            lambda future: entries[future].organisation,
            lambda future: keys[future],
            lambda future: keys[future][:2],
        ):
            _finish(future)


def _finish(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class ServerPools:
    """Connection pools, one per server process."""

    def __init__(self) -> None:
        self._pools: dict[Incarnation, ConnectionPool] = {}

    def get_or_create(self, entry: ServerEntry) -> ConnectionPool:
        """Return the connection pool of a server process."""
        pool = self._pools.get(entry.incarnation)
        if pool is None:
            pool = self._pools[entry.incarnation] = ConnectionPool(entry.address)
        return pool

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Drop the pools of all other processes, except those still in use."""
        for incarnation in [i for i in self._pools if i not in incarnations]:
            if not self._pools[incarnation].size:
                del self._pools[incarnation]

    def has_idle(self, entry: ServerEntry, now: float) -> bool:
        """Tell whether there is an idle connection to a server process."""
        pool = self._pools.get(entry.incarnation)
        return pool is not None and pool.has_idle(now)

    def close_idle(self, now: float, share: Callable[[Incarnation], float]) -> None:
        """Close the idle connections that their servers may close soon.

        :param share: Returns how many connections of a server this host may keep.
        """
        for incarnation, pool in self._pools.items():
            if pool.size:
                pool.close_idle(now, share(incarnation))


@dataclass
class GatewayState:
    """State shared by the components of one gateway host.

    :param started_ms: Start time of the process, in Unix milliseconds.
    :param host_count: Number of live hosts, this one included.
    :param recent_max_host_count: Number of hosts that may share a budget, including
        hosts that are unreachable at the moment.
    :param stop: The planned stop in progress, None if there is none.
    :param replan_requested: Set when the placement of models should be planned again.
    :param shared_state_changed: Called when the other hosts should learn of a
        change at once.
    :param configuration_age_s: Returns the time since which the configuration may lack
        a newer version, in seconds; 0 if that is not bounded, infinity if nothing is
        known.
    :param caller_budget: The memory for what arrives at any of the host's addresses.
    :param connection_limits: The numbers of connections that these accept.
    """

    settings: GatewaySettings
    adapter: DeploymentAdapter
    metrics: Metrics
    log: DecisionLog
    started_ms: int
    rng: random.Random = field(default_factory=random.Random)
    fleet: Fleet = field(default_factory=Fleet)
    loads: ServerLoads = field(default_factory=ServerLoads)
    speeds: ServerSpeeds = field(default_factory=ServerSpeeds)
    stated_times: StatedTimes = field(default_factory=StatedTimes)
    limits: ServerLimits = field(default_factory=ServerLimits)
    reachability: Reachability = field(default_factory=Reachability)
    brittle: BrittleServers = field(default_factory=BrittleServers)
    pools: ServerPools = field(default_factory=ServerPools)
    demand: LocalDemand = field(default_factory=LocalDemand)
    wait_queue: WaitQueue = field(default_factory=WaitQueue)
    quarantine: Quarantine = field(default_factory=lambda: Quarantine(CRASH_THRESHOLD))
    prompt_quarantine: PromptQuarantine = field(default_factory=PromptQuarantine)
    configuration: GatewayConfiguration | None = None
    routes: RouteTable | None = None
    host_count: int = 1
    recent_max_host_count: int = 1
    stop: PlannedStop | None = None
    replan_requested: asyncio.Event = field(default_factory=asyncio.Event)
    shared_state_changed: Callable[[], None] = lambda: None
    configuration_age_s: Callable[[], float] = lambda: 0.0
    caller_budget: CallerBudget = field(default_factory=lambda: CallerBudget(math.inf))
    connection_limits: ConnectionLimits = field(
        default_factory=lambda: connection_limits(None)
    )
    _retry_windows: dict[str, RetryWindow] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Let waiting requests learn of changes of the servers."""
        self.fleet.on_change = self.wait_queue.notify_servers

    @property
    def is_draining(self) -> bool:
        """Tell whether the host has been told to stop."""
        return self.stop is not None

    @property
    def queue_deadline(self) -> float:
        """Return the time after which requests no longer wait for a server."""
        return math.inf if self.stop is None else self.stop.queue_deadline

    def retry_window(self, service: str) -> RetryWindow:
        """Return the retry budget of a service."""
        window = self._retry_windows.get(service)
        if window is None:
            bounds = self.settings.bounds
            window = self._retry_windows[service] = RetryWindow(
                bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s
            )
        return window

    def set_configuration(self, configuration: GatewayConfiguration) -> bool:
        """Apply a configuration unless the current one is as new.

        :return: Whether the configuration was applied.
        """
        known = self.configuration
        if known is not None and known.version >= configuration.version:
            return False
        self.configuration = configuration
        self.routes = RouteTable(configuration)
        self._log_key_changes(known, configuration)
        return True

    def _log_key_changes(
        self, known: GatewayConfiguration | None, current: GatewayConfiguration
    ) -> None:
        """Log which keys a configuration adds and removes, by their labels."""
        before = set((known.organisations if known else None) or ())
        after = set(current.organisations or ())
        if before == after:
            return
        self.log.event(
            "keys_changed",
            version=current.version,
            keys=len(after),
            added=key_labels(after - before),
            removed=key_labels(before - after),
        )

    def connection_share(self, server: Incarnation) -> int:
        """Return how many connections of a server this host may keep open."""
        entry = self.fleet.entries.get(server[0])
        spec = None
        if entry is not None and self.configuration is not None:
            spec = self.configuration.services.get(entry.service)
        if spec is None:
            return 0
        share = KEPT_SHARE * spec.max_connections / self.recent_max_host_count
        return math.floor(share + self._share_rounding(server))

    def _share_rounding(self, server: Incarnation) -> float:
        """Return what to add to a share of connections before it is rounded down.

        It differs between hosts, so that the rounded shares add up to the whole.
        """
        name = f"{self.settings.host} {server[0]}".encode()
        return xxhash.xxh32_intdigest(name) / 2**32

    def note_server_leaving(self, entry: ServerEntry, source: str, now: float) -> None:
        """Note that a server leaves, and tell the other hosts with the next digest.

        :param source: What announced it: the kind of response, or a host.
        """
        if not self.fleet.note_leaving(entry.incarnation, now):
            return
        self.metrics.event("server_leaving")
        self.log.event("server_leaving", server=entry.server, source=source)
        self.replan_requested.set()
        self.wait_queue.notify()

    def note_server_limit(
        self,
        server: Incarnation,
        limit_per_s: float | None | Unreadable,
        source: str,
        heard_at: float,
    ) -> None:
        """Note what a response of a server says of its limit; tell the other hosts.

        :param source: What received it: the kind of response, or a host.
        :param heard_at: When it was received, in seconds.
        """
        if isinstance(limit_per_s, Unreadable):
            return
        if not self.limits.note(LimitNotice(server, limit_per_s, heard_at)):
            return
        self.metrics.event("server_limit")
        self.log.event(
            "server_limit",
            "ended" if limit_per_s is None else "in_force",
            server=server[0],
            per_s=limit_per_s,
            source=source,
        )
        self.shared_state_changed()
        self.replan_requested.set()
        self.wait_queue.notify()

    def note_server_brittle(
        self,
        server: Incarnation,
        brittle_per_s: float | None | Unreadable,
        source: str,
        heard_at: float,
    ) -> None:
        """Note what a response says of a server's brittleness; tell the other hosts.

        :param brittle_per_s: The requests a second that it can turn away.
        :param source: What received it: the kind of response, or a host.
        :param heard_at: When it was received, in seconds.
        """
        if isinstance(brittle_per_s, Unreadable):
            return
        entry = self.fleet.entries.get(server[0])
        service = "" if entry is None else entry.service
        notice = LimitNotice(server, brittle_per_s, heard_at)
        if not self.brittle.note(notice, service):
            return
        self.metrics.event("server_brittle")
        self.log.event(
            "server_brittle",
            "ended" if brittle_per_s is None else "in_force",
            server=server[0],
            per_s=brittle_per_s,
            source=source,
        )
        self.shared_state_changed()
        self.wait_queue.notify()

    def has_fallen(self, entry: ServerEntry, now: float) -> bool:
        """Tell whether a server that has crashed fell over for want of room.

        The other hosts are told, so that its end is not attributed to what it ran.
        """
        running = self.loads.get_or_create(entry.incarnation).running(now)
        if not self.brittle.has_fallen(entry, running, now):
            return False
        self.note_fall(entry.incarnation, self.settings.host, now)
        return True

    def note_turned_away(self, server: Incarnation, at: float, now: float) -> None:
        """Note that a server had no room for a request, and tell the other hosts.

        :param at: The time at which it has turned the request away, in seconds.
        """
        if self.brittle.note_turned_away(server, at):
            self.shared_state_changed()
        if self.brittle.has_crashed_full(server):
            self.note_fall(server, self.settings.host, now)

    def note_fall(self, server: Incarnation, source: str, now: float) -> None:
        """Note that a server fell over for want of room.

        :param source: The host that has seen it.
        """
        if not self.brittle.note_fall(server, now):
            return
        self.metrics.event("server_fell")
        self.log.event(
            "server_fell", server=server[0], started_ms=server[1], source=source
        )
        self.quarantine.excuse(crash_name(server))
        known = self.prompt_quarantine.rejected
        self.prompt_quarantine.excuse(process_number(server))
        if self.prompt_quarantine.rejected != known:
            self.apply_rejected_parts(source)
        self.shared_state_changed()

    def apply_rejected_parts(self, source: str) -> None:
        """Wake the waiting requests after a change of the rejected parts, and log it.

        :param source: The host that the change comes from.
        """
        self.wait_queue.notify()
        self.metrics.event("rejected_parts_changed")
        self.log.event(
            "rejected_parts",
            parts=",".join(sorted(self.prompt_quarantine.rejected)),
            source=source,
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether the host can serve callers."""
        return (
            self.configuration is not None
            and bool(self.fleet.entries)
            and not self.is_draining
        )

"""The gateway host process: start-up, signals, configuration reload and shutdown."""

import asyncio
import http
import signal
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from sequoiapoint.coordination.planned_stop import PlannedStop
from sequoiapoint.node.detour_server import DetourServer
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.host_capacity import caller_memory_bytes, connection_limits
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.placement_controller import PlacementController
from sequoiapoint.node.reachability_monitor import ReachabilityMonitor
from sequoiapoint.node.request_handler import RequestHandler
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.protocol.detours import DETOUR_PATH, ORGANISATION_DETOUR_PATH
from sequoiapoint.protocol.gateway_settings import (
    GatewaySettings,
    load_gateway_settings,
)
from sequoiapoint.protocol.ports import DeploymentAdapter
from sequoiapoint.transport.async_http_server import (
    AsyncHttpServer,
    Handler,
    InboundRequest,
    Responder,
)
from sequoiapoint.transport.caller_budget import CallerBudget
from sequoiapoint.transport.clock import monotonic_s, pause_to_tick_s, wall_ms
from sequoiapoint.transport.decision_log import DecisionLog
from sequoiapoint.transport.metrics import CONTENT_TYPE, Metrics
from sequoiapoint.transport.store_client import StoreClient

HOUSEKEEPING_INTERVAL_S = 0.5
"""Interval at which idle connections are closed and limits updated."""
SETTINGS_POLL_INTERVAL_S = 2.0
"""Interval at which the settings file is read, as it may change without a signal."""
RESTART_DELAY_S = 1.0
"""Delay before a failed component is restarted."""
MAX_TRACE_ENTRIES = 4
"""Number of trailing entries of a failure's traceback that are logged."""
DRAIN_POLL_INTERVAL_S = 0.05
"""Interval at which a drain checks whether the last request has completed."""
EXPLAIN_PATH = "/explain"
"""Path of explanations on the metrics address, which callers cannot reach."""


class GatewayHost:
    """Runs the components of one gateway host until a signal stops the process.

    :param settings_path: The settings file, which is reloaded when it changes.
    """

    def __init__(
        self, settings: GatewaySettings, settings_path: str, adapter: DeploymentAdapter
    ) -> None:
        self._settings_path = settings_path
        self._settings_text = Path(settings_path).read_text(encoding="utf-8")
        self._adapter = adapter
        self._settings = settings
        self._stop_requested = asyncio.Event()

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain."""
        log = DecisionLog(
            self._settings.log_level,
            self._settings.log_lines_per_s,
            {"host": self._settings.host},
        )
        with log:
            asyncio.run(self._run(log))

    async def _run(self, log: DecisionLog) -> None:
        settings = self._settings
        metrics = Metrics()
        self._state = state = GatewayState(
            settings,
            self._adapter,
            metrics,
            log,
            wall_ms(),
            caller_budget=CallerBudget(caller_memory_bytes(settings.memory_mb)),
            connection_limits=connection_limits(settings.max_descriptors),
        )
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_task_failure)
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload_signal)
        log.event("host_start", zone=settings.zone, store=settings.store)
        store = StoreClient(settings.store, self._adapter.store, metrics, log)
        watch = StoreWatch(state, store)
        self._exchange = exchange = PeerExchange(state, store, watch)
        placement = PlacementController(state, store, exchange)
        self._detour_server = DetourServer(state, exchange)
        for path in (DETOUR_PATH, ORGANISATION_DETOUR_PATH):
            exchange.server.add_handler(path, self._detour_server.handle)
        limits = state.connection_limits
        handle = RequestHandler(state, exchange).handle
        self._caller_server = self._build_server(handle, limits.callers)
        readiness_server = self._build_server(self._serve_readiness, limits.checks)
        metrics_server = self._build_server(self._serve_metrics, limits.checks)
        await self._caller_server.start(settings.caller_address)
        await readiness_server.start(settings.readiness_address)
        await metrics_server.start(settings.metrics_address)
        await exchange.start()
        components = (
            watch.run,
            exchange.run,
            placement.run,
            ReachabilityMonitor(state).run,
            self._run_housekeeping,
            self._poll_settings,
        )
        tasks = [
            loop.create_task(self._run_with_restart(component))
            for component in components
        ]
        await self._stop_requested.wait()
        await self._drain(placement)
        for task in tasks:
            task.cancel()
        await exchange.stop()
        for server in (self._caller_server, readiness_server, metrics_server):
            await server.stop()
        log.event(
            "host_stop",
            dropped_lines=log.dropped,
            unanswered=self._caller_server.unanswered,
        )

    def _build_server(self, handler: Handler, max_connections: int) -> AsyncHttpServer:
        """Return a server whose callers share the host's budget."""
        return AsyncHttpServer(
            handler, self._log_rejected, self._state.caller_budget, max_connections
        )

    async def _run_with_restart(self, component: Callable[[], Awaitable[None]]) -> None:
        """Run a component and restart it after a failure; requests are still served."""
        while True:
            try:
                await component()
                return
            except Exception as error:
                self._log_failure(component.__qualname__, error)
            await asyncio.sleep(RESTART_DELAY_S)

    def _log_failure(self, name: str, error: BaseException) -> None:
        self._state.metrics.event("part_failed")
        trace = "".join(traceback.format_exception(error)[-MAX_TRACE_ENTRIES:])
        self._state.log.event("part_failed", name, error=repr(error), trace=trace)

    def _log_task_failure(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log the failure of a task or callback that no other task awaits."""
        error = context.get("exception") or RuntimeError(context["message"])
        task = context.get("task") or context.get("future")
        coroutine = task.get_coro() if isinstance(task, asyncio.Task) else None
        self._log_failure(getattr(coroutine, "__qualname__", "callback"), error)

    @property
    def _busy_count(self) -> int:
        """Return the number of requests in progress, of callers and other hosts.

        Responses of which not all has been sent count as well.
        """
        of_others = self._detour_server.busy_count + self._exchange.server.unsent_count
        return self._caller_server.busy_count + of_others

    async def _drain(self, placement: PlacementController) -> None:
        """Complete the requests in progress and release the lease.

        Meanwhile the load balancer moves new connections to other hosts.
        """
        stop = PlannedStop(monotonic_s(), self._settings.bounds.drain_timeout_s)
        self._state.stop = stop
        self._caller_server.is_draining = True
        self._state.log.event("host_draining", busy=self._busy_count)
        release_task = asyncio.get_running_loop().create_task(placement.release())
        while monotonic_s() < stop.requests_end_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            if monotonic_s() < stop.listens_until:
                continue
            if not self._caller_server.is_closed:
                self._caller_server.stop_accepting()
                # Connections accepted at the last moment are counted from now on.
                continue
            if not self._busy_count:
                break
        release_task.cancel()
        await self._end_requests(stop)

    async def _end_requests(self, stop: PlannedStop) -> None:
        """Answer the requests that are still in progress, and send what is unsent.

        Those that begin meanwhile, behind another one, may wait to be admitted.
        """
        if not self._caller_server.is_closed:
            self._caller_server.stop_accepting()
        while True:
            self._caller_server.end_requests()
            self._detour_server.end_requests()
            if not self._busy_count or monotonic_s() >= stop.connections_end_at:
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _on_reload_signal(self) -> None:
        """Reload the settings after a signal."""
        self._state.log.event("host_reload", "signal")
        self._reload_settings()

    def _reload_settings(self) -> None:
        """Apply changed settings, except those that need a restart."""
        try:
            text = Path(self._settings_path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            self._state.log.event("host_reload", "unreadable", error=error)
            return
        if text == self._settings_text:
            return
        self._settings_text = text
        loaded = load_gateway_settings(self._settings_path)
        if loaded.errors:
            self._state.log.event("host_reload", "invalid", error=loaded.errors[0])
            return
        self._settings = self._state.settings = loaded.value
        self._state.log.event("host_reload", "in_force")

    async def _poll_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            self._reload_settings()

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(pause_to_tick_s(HOUSEKEEPING_INTERVAL_S))
            self._state.pools.close_idle(monotonic_s(), self._state.connection_share)
            if self._state.configuration is not None:
                self._caller_server.limits = self._state.configuration.limits
            if self._caller_server.idle_closed:
                self._state.log.event(
                    "connections_idle",
                    "closed",
                    count=self._caller_server.idle_closed,
                    idle_timeout_s=self._caller_server.limits.idle_timeout_s,
                )
                self._caller_server.idle_closed = 0
            if self._caller_server.excess_closed:
                self._state.log.event(
                    "connections_excess",
                    "closed",
                    count=self._caller_server.excess_closed,
                    limit=self._state.connection_limits.callers,
                )
                self._caller_server.excess_closed = 0

    def _log_rejected(self, status: int) -> None:
        """Log a request that does not reach its handler."""
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            self._state.metrics.refusal("caller_memory")
            self._state.log.event(
                "request_rejected",
                "caller_memory",
                held_bytes=self._state.caller_budget.held_bytes,
            )
            return
        self._state.metrics.refusal(f"malformed_{status}")
        self._state.log.event("request_malformed", str(status))

    async def _serve_readiness(
        self, request: InboundRequest, responder: Responder
    ) -> None:
        is_ready = (
            request.target.partition("?")[0] == self._adapter.callers.readiness_path()
            and self._state.is_ready
        )
        status = http.HTTPStatus.OK if is_ready else http.HTTPStatus.SERVICE_UNAVAILABLE
        responder.send_response(int(status), [])

    async def _serve_metrics(
        self, request: InboundRequest, responder: Responder
    ) -> None:
        if request.target.partition("?")[0] == EXPLAIN_PATH:
            # Imported here, as few processes are asked: the import takes 14 ms.
            from sequoiapoint.node.explanation import Explainer

            await Explainer(self._state, self._exchange).serve(request, responder)
            return
        headers = [(b"Content-Type", CONTENT_TYPE.encode())]
        responder.send_response(200, headers, self._state.metrics.exposition())

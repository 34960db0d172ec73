"""One gateway host: its parts, its signals, its start and its planned stop."""

import asyncio
import http
import signal
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.placement_controller import PlacementController
from sequoiapoint.node.request_handler import RequestHandler
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.protocol.gateway_settings import (
    GatewaySettings,
    load_gateway_settings,
)
from sequoiapoint.protocol.ports import DeploymentAdapter
from sequoiapoint.transport.async_http_server import (
    AsyncHttpServer,
    InboundRequest,
    Responder,
)
from sequoiapoint.transport.clock import monotonic_s, wall_ms
from sequoiapoint.transport.decision_log import DecisionLog
from sequoiapoint.transport.metrics import CONTENT_TYPE, Metrics
from sequoiapoint.transport.store_client import StoreClient

HOUSEKEEPING_INTERVAL_S = 0.5
"""Time between looks at idle connections and limits."""
SETTINGS_INTERVAL_S = 2.0
"""Time between looks at the settings file, which may change without a signal."""
ROTATION_S = 3.0
"""Time after the order to stop until the balancer sends no new connections: it asks
each second, and two misses in a row count."""
LAST_WAIT_S = 2.0
"""Time after the order to stop until requests that still wait for a server are refused,
so that they can come back to another host."""
STOP_MARGIN_S = 0.6
"""Part of the time to stop that is kept for the last bytes."""
PART_RESTART_S = 1.0
"""Pause before a part that failed starts again."""
TRACE_LINES = 4
"""Lines of a failed part's trace that are logged."""
STOP_POLL_S = 0.05
"""Time between looks at whether the last request has ended."""


class GatewayHost:
    """Runs one gateway host until it is told to stop.

    :param settings_path: The file that is read again when it changes.
    """

    def __init__(
        self, settings: GatewaySettings, settings_path: str, adapter: DeploymentAdapter
    ) -> None:
        self._settings_path = settings_path
        self._settings_text = Path(settings_path).read_text(encoding="utf-8")
        self._adapter = adapter
        self._settings = settings
        self._stop = asyncio.Event()

    def run(self) -> None:
        """Run until the process is told to stop."""
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
            settings, self._adapter, metrics, log, wall_ms()
        )
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._note_task_failure)
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log.event("host_start", zone=settings.zone, store=settings.store)
        store = StoreClient(settings.store, self._adapter.store, metrics)
        watch = StoreWatch(state, store)
        exchange = PeerExchange(state, store, watch)
        orders = PlacementController(state, store, exchange)
        self._callers = AsyncHttpServer(
            RequestHandler(state).handle, self._note_malformed
        )
        readiness = AsyncHttpServer(self._answer_readiness, self._note_malformed)
        scrapes = AsyncHttpServer(self._answer_scrape, self._note_malformed)
        await self._callers.start(settings.caller_address)
        await readiness.start(settings.readiness_address)
        await scrapes.start(settings.metrics_address)
        await exchange.start()
        parts = (
            watch.run,
            exchange.run,
            orders.run,
            self._keep_house,
            self._watch_settings,
        )
        tasks = [loop.create_task(self._keep_running(part)) for part in parts]
        await self._stop.wait()
        await self._drain(orders)
        for task in tasks:
            task.cancel()
        await exchange.stop()
        for server in (self._callers, readiness, scrapes):
            await server.stop()
        log.event("host_stop", dropped_lines=log.dropped)

    async def _keep_running(self, part: Callable[[], Awaitable[None]]) -> None:
        """Run a part; one that fails starts again, and requests go on meanwhile."""
        while True:
            try:
                await part()
                return
            except Exception as error:
                self._note_failure(part.__qualname__, error)
            await asyncio.sleep(PART_RESTART_S)

    def _note_failure(self, name: str, error: BaseException) -> None:
        self._state.metrics.event("part_failed")
        trace = "".join(traceback.format_exception(error)[-TRACE_LINES:])
        self._state.log.event("part_failed", name, error=repr(error), trace=trace)

    def _note_task_failure(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log what a task or callback failed of that nothing waits for."""
        error = context.get("exception") or RuntimeError(context["message"])
        task = context.get("task") or context.get("future")
        work = task.get_coro() if isinstance(task, asyncio.Task) else None
        self._note_failure(getattr(work, "__qualname__", "callback"), error)

    async def _drain(self, orders: PlacementController) -> None:
        """Finish the requests in work while the balancer turns to other hosts."""
        began = monotonic_s()
        limit_s = self._settings.bounds.drain_timeout_s - STOP_MARGIN_S
        self._state.is_draining = True
        self._state.queue_deadline = began + LAST_WAIT_S
        self._callers.is_draining = True
        self._state.log.event("host_draining", busy=self._callers.busy_count)
        leaving = asyncio.get_running_loop().create_task(orders.release())
        while monotonic_s() - began < limit_s:
            await asyncio.sleep(STOP_POLL_S)
            waited_s = monotonic_s() - began
            if waited_s < ROTATION_S:
                continue
            if not self._callers.is_closed:
                self._callers.stop_accepting()
            if not self._callers.busy_count:
                break
        leaving.cancel()

    def _reload(self) -> None:
        """Read the settings again after a signal."""
        self._state.log.event("host_reload", "signal")
        self._read_settings()

    def _read_settings(self) -> None:
        """Put changed settings in force, as far as that needs no restart."""
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

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            self._read_settings()

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._state.pools.close_idle(monotonic_s())
            if self._state.configuration is not None:
                self._callers.limits = self._state.configuration.limits

    def _note_malformed(self, status: int) -> None:
        self._state.metrics.refusal(f"malformed_{status}")
        self._state.log.event("request_malformed", str(status))

    async def _answer_readiness(
        self, request: InboundRequest, responder: Responder
    ) -> None:
        is_ready = (
            request.target.partition("?")[0] == self._adapter.callers.readiness_path()
            and self._state.is_ready
        )
        status = http.HTTPStatus.OK if is_ready else http.HTTPStatus.SERVICE_UNAVAILABLE
        responder.send_response(int(status), [])

    async def _answer_scrape(
        self, request: InboundRequest, responder: Responder
    ) -> None:
        headers = [(b"Content-Type", CONTENT_TYPE.encode())]
        responder.send_response(200, headers, self._state.metrics.exposition())

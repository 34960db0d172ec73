"""The deployment of a soak: all links except those between gateways are proxies."""

import math
import signal
import threading
import time
from dataclasses import dataclass
from functools import partial
from typing import Any

from standins.site.backends import Backend
from standins.site.deployment import (
    Gateway,
    SiteDeployment,
    configuration,
    free_port,
    route,
)
from standins.soak.link import Cut, Link
from standins.soak.plan import CONTINUATION_KINDS, Fault

GATEWAYS = 4
STOP_TIMEOUT_S = 10.0
"""Time for a gateway to exit after SIGTERM: its own limit of 8 s and a margin."""
LINK_DELAY_S = 0.25
"""Delay of each chunk on a delayed link."""


RESTART_S = 0.2
"""Time until a server that has left is started again."""
LIMITS_PER_S = (0.5, 1.0, 2.0)
"""The limits that servers name."""


@dataclass
class LimitPeriod:
    """A time in which a server's process named a limit.

    :param born: Identifies the process.
    :param ended_at: When it ended; never if the process was restarted meanwhile.
    """

    backend: Backend
    per_s: float
    started_at: float
    born: int
    ended_at: float = -math.inf


class SoakSite(SiteDeployment):
    """A deployment into whose parts faults can be injected.

    :ivar caller_ports: The ports at which callers reach the gateways, by name.
    :ivar limit_periods: The times in which servers named limits.
    :ivar exit_codes: Exit codes of the gateways that were told to stop.
    """

    def __init__(self) -> None:
        super().__init__(gateways=GATEWAYS, engines=3, plain=3)
        self._links: list[Link] = []
        self._caller_links: list[Link] = []
        self._store_links: list[Link] = []
        self._server_links: list[Link] = []
        self._interrupted: set[str] = set()
        self._end_timers: list[threading.Timer] = []
        self._version = 1
        self._configuration = configuration()
        self._lock = threading.Lock()
        self.caller_ports: dict[str, int] = {}
        self.limit_periods: list[LimitPeriod] = []
        self.exit_codes: list[int | None] = []

    def _start_link(self, target: str) -> Link:
        async def start() -> Link:
            link = Link(f"127.0.0.1:{free_port()}", target)
            await link.start()
            return link

        link = self.run(start())
        self._links.append(link)
        return link

    def add_gateway(self, name: str, zone: str, store: str = "") -> Gateway:
        """Start one more gateway, behind its own links to callers and store."""
        if not self._server_links:
            self._server_links = [self._start_server_link(b) for b in self.backends]
        self._store_links.append(self._start_link(self.store_address))
        gateway = super().add_gateway(name, zone, self._store_links[-1].address)
        link = self._start_link(f"127.0.0.1:{gateway.ports['front']}")
        self._caller_links.append(link)
        self.caller_ports[name] = int(link.address.rpartition(":")[2])
        return gateway

    def _start_server_link(self, backend: Any) -> Link:
        link = self._start_link(backend.address)
        backend.public_address = link.address
        self.call(backend.register)
        return link

    async def _stop_platform(self) -> None:
        for link in self._links:
            await link.stop()
        await super()._stop_platform()

    # Faults

    def inject(self, fault: Fault) -> None:
        """Start a fault, and schedule its end."""
        with self._lock:
            end = getattr(self, f"_{fault.part}")(fault)
        if end is not None:
            timer = threading.Timer(fault.duration_s, self._end_fault, [end])
            self._end_timers.append(timer)
            timer.start()

    def _end_fault(self, end: Any) -> None:
        with self._lock:
            end()

    def wait_for_faults(self) -> None:
        """Wait until all faults have ended."""
        for timer in self._end_timers:
            timer.join()

    def _cut_off(self, fault: Fault) -> Any:
        """Cut gateways off from all servers: one, or all but one."""
        first = fault.target % len(self.gateways)
        count = 1 if fault.target < len(self.gateways) else len(self.gateways) - 1
        cut_off = (self.gateways + self.gateways)[first : first + count]
        processes = {gateway.process.pid for gateway in cut_off}
        for link in self._server_links:
            self.call(link.cut_off, processes, Cut(fault.kind.removeprefix("cut_")))
        return self._end_cut

    def _end_cut(self) -> None:
        for link in self._server_links:
            self.call(link.end_cut)

    def _gateway(self, fault: Fault) -> Any:
        if fault.kind.startswith("cut_"):
            return self._cut_off(fault)
        gateway = self.gateways[fault.target % len(self.gateways)]
        if gateway.name in self._interrupted:
            return None
        handles_signals = len(gateway.events("host_start")) == gateway.starts
        if fault.kind == "reload":
            if not handles_signals:
                # The interpreter may not be running yet: the signal would end it.
                return None
            gateway.settings.write_text(gateway.settings.read_text() + "\n")
            gateway.signal(signal.SIGHUP)
            return None
        self._interrupted.add(gateway.name)
        if fault.kind == "kill":
            gateway.kill()
        elif fault.kind == "freeze":
            gateway.signal(signal.SIGSTOP)
        else:
            gateway.signal(signal.SIGTERM)
            return partial(self._restart_after_stop, gateway, handles_signals)
        return partial(self._resume, gateway, fault.kind)

    def _resume(self, gateway: Gateway, how: str) -> None:
        if how == "freeze":
            gateway.signal(signal.SIGCONT)
        else:
            gateway.start()
        self._interrupted.discard(gateway.name)

    def _restart_after_stop(self, gateway: Gateway, handles_signals: bool) -> None:
        code = gateway.process.wait(STOP_TIMEOUT_S)
        if handles_signals:
            # A process that has no signal handler yet is ended by the signal itself; it
            # has no request to finish.
            self.exit_codes.append(code)
        self._resume(gateway, "terminate")

    def _inject_link_fault(self, links: list[Link], fault: Fault) -> Any:
        link = links[fault.target % len(links)]
        directions = {"cut_in": ["in"], "cut_out": ["out"], "silence": ["in", "out"]}
        if fault.kind == "reset":
            self.call(link.reset)
            return None
        if fault.kind == "delay":
            self.call(link.delay, LINK_DELAY_S)
        else:
            self.call(link.block, *directions[fault.kind])
        return partial(self.call, link.heal)

    def _callers(self, fault: Fault) -> Any:
        return self._inject_link_fault(self._caller_links, fault)

    def _server(self, fault: Fault) -> Any:
        return self._inject_link_fault(self._server_links, fault)

    def _store_link(self, fault: Fault) -> Any:
        return self._inject_link_fault(self._store_links, fault)

    def _store(self, fault: Fault) -> Any:
        if fault.kind == "forget":
            for topic in ("keyed.op", "keyed.servers"):
                self.call(self.store.truncate, topic)
            return None
        if fault.kind == "reassign":
            if "engine-orders" in self.store.groups:
                member = self.gateways[fault.target % len(self.gateways)].name
                self.call(self.store.reassign, "engine-orders", member)
            return None
        if fault.kind == "older":
            self.call(self.store.go_back, fault.duration_s)
            return self._write_again
        self.store.outage = fault.kind
        return partial(setattr, self.store, "outage", "")

    def _backend(self, fault: Fault) -> Any:
        backend = self.backends[fault.target % len(self.backends)]
        if fault.kind == "crash":
            self._crash(backend, fault.duration_s)
        elif fault.kind == "limit":
            if backend.limit_per_s:
                return None
            return self._limit(backend, LIMITS_PER_S[fault.target % len(LIMITS_PER_S)])
        elif fault.kind == "upgrade":
            self._upgrade(backend)
        elif fault.kind == "turn_away":
            backend.faults.turn_away_s = fault.duration_s
        elif fault.kind == "leave":
            backend.is_leaving = True
            return partial(self._crash, backend, RESTART_S)
        elif fault.kind == "lose_answers":
            backend.faults.reset_next = 2
        elif fault.kind == "fail":
            backend.faults.fail_next = 2
        elif ("backend", fault.kind) in CONTINUATION_KINDS:
            for engine in self.engines:
                engine.faults.continuation = fault.kind
            engine = self.engines[fault.target % len(self.engines)]
            engine.faults.cut_stream_after = 2
        elif fault.kind == "cut_streams":
            backend.faults.cut_stream_after = 2
        else:
            backend.state = "draining"
            self.call(backend.register)
            return partial(self._end_drain, backend)
        return None

    def _crash(self, backend: Any, down_s: float) -> None:
        if not backend.is_down:
            coroutine = backend.crash(down_s)
            threading.Thread(target=self.run, args=[coroutine], daemon=True).start()

    def _limit(self, backend: Any, per_s: float) -> Any:
        backend.limit_per_s = str(per_s)
        period = LimitPeriod(backend, per_s, time.monotonic(), backend.born)
        self.limit_periods.append(period)
        return partial(self._end_limit, period)

    def _end_limit(self, period: LimitPeriod) -> None:
        """End a limit, unless the server has restarted without one."""
        if period.backend.born == period.born:
            period.backend.limit_per_s = ""
            period.ended_at = time.monotonic()

    def _upgrade(self, backend: Any) -> None:
        if not backend.is_down:
            version = "v2" if backend.version == "v1" else "v1"
            coroutine = backend.restart_as(version)
            threading.Thread(target=self.run, args=[coroutine], daemon=True).start()

    def _end_drain(self, backend: Any) -> None:
        backend.state = "ready"
        self.call(backend.register)

    def _operator(self, fault: Fault) -> None:
        self.change_configuration()

    def _write_again(self) -> None:
        """Write what the operator and the servers wrote, after the store went back."""
        self.call(self.store.write, "keyed.op", "config", self._configuration)
        for backend in self.backends:
            self.call(backend.register)

    def change_configuration(self) -> str:
        """Write the next configuration to the store and return its new route's name."""
        self._version += 1
        changed = configuration(self._version)
        name = f"new{self._version}"
        changed["routes"].append(route(name, "idempotent", "web"))
        self._configuration = changed
        self.call(self.store.write, "keyed.op", "config", changed)
        return name

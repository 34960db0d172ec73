"""Notices when this host loses and regains its way to servers.

While it is cut off, it sends its requests through other hosts, so a probe of its own
finds the end of the cut.
"""

import asyncio
import math

from sequoiapoint.coordination import probe_choice
from sequoiapoint.coordination.probe_choice import PROBED_SERVERS
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.gateway import ServerEntry
from sequoiapoint.state.reachability import ReachabilityChange, ServiceReachability
from sequoiapoint.transport.async_http_client import ConnectionPool, call
from sequoiapoint.transport.clock import monotonic_s, pause_to_tick_s

CHECK_INTERVAL_S = 0.1
"""Interval at which the evidence is examined."""
PROBE_INTERVAL_S = 0.5
"""Interval of probes while the host is cut off, whatever the number of services."""
PROBE_TIMEOUT_S = 0.4
"""Timeout of a probe, which needs no slot of a server."""
MAX_LOGGED_SERVERS = 5
"""Number of failed servers that are logged."""


class ReachabilityMonitor:
    """Examines the evidence about servers, and probes while the host is cut off."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._probe_requested = asyncio.Event()
        self._probed_at = -math.inf
        # By service: the number of rounds of probes in a row that have failed.
        self._failed_rounds: dict[str, int] = {}

    async def run(self) -> None:
        """Watch until the process stops."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_checks())
            tasks.create_task(self._run_probes())

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(pause_to_tick_s(CHECK_INTERVAL_S))
            for name in self._state.reachability.services():
                self.check(name)

    def check(self, name: str) -> None:
        """Determine whether a service's servers can be reached; log a change."""
        state, now = self._state, monotonic_s()
        service = state.reachability.service(name)
        is_watched = service.is_cut_off or service.is_suspected
        if not is_watched and not service.has_failures(now):
            return
        servers = {e.incarnation for e in state.fleet.ready_servers(name)}
        was_suspected = service.is_suspected
        change = service.update(servers, now)
        is_due = now - self._probed_at >= PROBE_INTERVAL_S
        is_unclear = is_due and service.is_unclear(servers, now)
        if is_unclear or (service.is_suspected and not was_suspected):
            self._probe_requested.set()
        if change is None:
            return
        state.metrics.event(f"servers_{change.value}")
        state.log.event(
            "servers_reached",
            change.value,
            service=name,
            servers=len(servers),
            **self._inputs(service, servers, change, now),
        )
        state.wait_queue.notify()
        if change is ReachabilityChange.LOST:
            self._probe_requested.set()

    def _inputs(
        self,
        service: ServiceReachability,
        servers: set[tuple[str, int]],
        change: ReachabilityChange,
        now: float,
    ) -> dict[str, object]:
        """Return what a change was concluded from, for the log."""
        fields: dict[str, object] = {
            "data_age_ms": round(min(now - service.data_at, 1e6) * 1000)
        }
        if change is ReachabilityChange.LOST:
            failures = service.failures(servers, now)
            fields["failed"] = len(failures)
            fields["failures"] = ",".join(
                f"{server}:{count}"
                for (server, _), count in list(failures.items())[:MAX_LOGGED_SERVERS]
            )
        return fields

    async def _run_probes(self) -> None:
        """Probe at once when a service's servers are lost, then at intervals."""
        while True:
            try:
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    await self._probe_requested.wait()
            except TimeoutError:
                pass
            self._probe_requested.clear()
            self._probed_at = monotonic_s()
            self._discard_stopped_processes()
            services = self._state.reachability.services()
            for name, service in services.items():
                if not (service.is_cut_off or service.is_suspected):
                    await self._probe_others(name, service)
                    continue
                if not await self._probe_some(name, service):
                    service.note_probes_failed()
                    self.check(name)
                    break

    def _discard_stopped_processes(self) -> None:
        entries = self._state.fleet.entries.values()
        self._state.reachability.retain({entry.incarnation for entry in entries})

    async def _probe_others(self, name: str, service: ServiceReachability) -> None:
        """Probe servers beside the one that has failed, if no other one is in use.

        Those that fail as well are evidence that this host is cut off.
        """
        entries, now = self._state.fleet.ready_servers(name), monotonic_s()
        servers = {entry.incarnation for entry in entries}
        if not service.is_unclear(servers, now):
            return
        failed = service.failures(servers, now)
        others = [entry for entry in entries if entry.incarnation not in failed]
        chosen = self._state.rng.sample(others, min(PROBED_SERVERS, len(others)))
        probes = (self._probe(name, service, entry) for entry in chosen)
        have_responded = await asyncio.gather(*probes)
        if any(have_responded):
            return
        for entry in chosen:
            service.note_connect_failure(entry.incarnation, monotonic_s())
        self.check(name)

    async def _probe_some(self, name: str, service: ServiceReachability) -> bool:
        """Probe several servers of a service, those first that have not failed.

        :return: Whether any of them has responded, or there is none.
        """
        entries = self._state.fleet.ready_servers(name)
        if not entries:
            return True
        servers = {entry.incarnation for entry in entries}
        failed = service.failures(servers, monotonic_s())
        failed_rounds = self._failed_rounds.pop(name, 0)
        sample = self._state.rng.sample
        chosen = probe_choice.choose(entries, failed, failed_rounds, sample)
        probes = [self._probe(name, service, entry) for entry in chosen]
        have_responded = await asyncio.gather(*probes)
        if any(have_responded):
            return True
        for entry in chosen:
            service.note_connect_failure(entry.incarnation, monotonic_s())
        self._failed_rounds[name] = failed_rounds + 1
        return False

    async def _probe(
        self, name: str, service: ServiceReachability, entry: ServerEntry
    ) -> bool:
        """Open a connection to a server and request data over it.

        :return: Whether the server has responded.
        """
        state = self._state
        pool = ConnectionPool(entry.address)
        started_at = monotonic_s()
        request = state.adapter.servers.report_call(entry)
        try:
            response = await call(pool, entry.address, request, PROBE_TIMEOUT_S)
        finally:
            pool.close()
        if isinstance(response, Failure):
            state.metrics.event("probe_failed")
            return False
        now = monotonic_s()
        service.note_received(entry.incarnation, started_at, now)
        self.check(name)
        return True

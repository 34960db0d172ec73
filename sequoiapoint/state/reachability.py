"""Whether this host reaches the servers of a service, from its own observations.

A host may lose its way to all servers while callers and other hosts still reach it.
Connections to servers then cannot be opened, are reset before the first byte, or open
and stay silent; connections that were open before may go on.  So received data alone
shows that a way exists, and only data on a new connection shows that new connections
have one.
"""

import enum
import math
from collections.abc import Collection
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.state.server_load import SILENCE_TIMEOUT_S

MIN_FAILED_SERVERS = 3
"""Number of distinct servers that fail when a host is cut off; all, if a service has
fewer."""
MIN_FAILURES = 3
"""Number of failures of these servers together; a single server may restart."""
CONFIRM_DATA_AGE_S = 0.5
"""Age of data from any server up to which only failed probes show that a host is cut
off: a few servers that crash or reset connections fail in the same way."""
FAILURE_TTL_S = 5.0
"""Time after which a failure to connect says nothing of the present."""


@dataclass
class _Evidence:
    """What shows whether one server process can be reached.

    :param connect_failures: Failures to connect since the last proof of a connection.
    :param failed_at: When the last of them occurred, in seconds.
    :param running: The number of requests that wait for data.
    :param waiting_since: Since when they have waited without data.
    :param waited_s: Time without data in which earlier requests waited.
    :param waited_at: When that time ended.
    """

    connect_failures: int = 0
    failed_at: float = -math.inf
    running: int = 0
    waiting_since: float = math.inf
    waited_s: float = 0.0
    waited_at: float = -math.inf

    def silent_s(self, data_at: float, now: float) -> float:
        """Return for how long requests have waited without data from any server.

        :param data_at: When data last arrived from any server of the service.
        """
        earlier_s = self.waited_s if self.waited_at > data_at else 0.0
        if not self.running:
            return earlier_s
        return earlier_s + max(0.0, now - max(self.waiting_since, data_at))


class ReachabilityChange(enum.Enum):
    """A change of whether the servers of a service can be reached."""

    LOST = "lost"
    REGAINED = "regained"


class ServiceReachability:
    """Whether this host reaches the servers of one service.

    :ivar is_cut_off: Whether it reaches none of them, as far as is known.
    :ivar is_suspected: Whether several servers have failed while others still send
        data, so that probes must show whether the host is cut off.
    :ivar is_confirmed: Whether probes have failed since the servers failed.
    :ivar changed_at: When that last changed, in seconds.
    :ivar data_at: When data last arrived from any of them, in seconds.
    """

    def __init__(self) -> None:
        self._evidence: dict[Incarnation, _Evidence] = {}
        # When the newest connection that has delivered data was opened.
        self._connected_at = -math.inf
        self.is_cut_off = False
        self.is_suspected = False
        self.is_confirmed = False
        self.changed_at = -math.inf
        self.data_at = -math.inf

    def _get_or_create(self, server: Incarnation) -> _Evidence:
        evidence = self._evidence.get(server)
        if evidence is None:
            evidence = self._evidence[server] = _Evidence()
        return evidence

    def note_sent(self, server: Incarnation, now: float) -> None:
        """Record that a request was sent to a server."""
        evidence = self._get_or_create(server)
        if not evidence.running:
            evidence.waiting_since = now
        evidence.running += 1

    def note_ended(self, server: Incarnation, now: float) -> None:
        """Record that a request no longer waits for data of a server."""
        evidence = self._get_or_create(server)
        if evidence.running == 1:
            evidence.waited_s = evidence.silent_s(self.data_at, now)
            evidence.waited_at = now
        evidence.running = max(0, evidence.running - 1)

    def note_received(
        self, server: Incarnation, connected_at: float, now: float
    ) -> None:
        """Record data from a server.

        :param connected_at: When the connection that carried it was opened, in seconds.
        """
        self.data_at = now
        if connected_at > self._connected_at:
            self._connected_at = connected_at
        evidence = self._evidence.get(server)
        if evidence is not None:
            evidence.waiting_since = now

    def note_connect_failure(self, server: Incarnation, now: float) -> None:
        """Record that a connection could not be opened, or carried no byte."""
        evidence = self._get_or_create(server)
        if evidence.failed_at <= self._connected_at:
            evidence.connect_failures = 0
        evidence.connect_failures += 1
        evidence.failed_at = now

    def _connect_failures(self, evidence: _Evidence, now: float) -> int:
        has_failed = evidence.failed_at > self._connected_at
        if has_failed and now - evidence.failed_at < FAILURE_TTL_S:
            return evidence.connect_failures
        return 0

    def _failures(self, evidence: _Evidence, now: float) -> int:
        count = int(evidence.silent_s(self.data_at, now) / SILENCE_TIMEOUT_S)
        return count + self._connect_failures(evidence, now)

    def is_unclear(self, servers: Collection[Incarnation], now: float) -> bool:
        """Tell whether other servers must be probed to tell a crash from a cut.

        A server has failed, and no other one is in use: a model may be held by one
        engine alone.

        :param servers: The processes that accept requests.
        """
        if self.is_cut_off or now - self.data_at < CONFIRM_DATA_AGE_S:
            return False
        return any(
            self._connect_failures(evidence, now)
            for server, evidence in self._evidence.items()
            if server in servers
        )

    def has_failures(self, now: float) -> bool:
        """Tell whether a failure of any process is not refuted by later data."""
        return any(self._failures(e, now) for e in self._evidence.values())

    def failures(
        self, servers: Collection[Incarnation], now: float
    ) -> dict[Incarnation, int]:
        """Return the number of failures that no later data refutes, by server."""
        counts = {
            server: self._failures(evidence, now)
            for server, evidence in self._evidence.items()
            if server in servers
        }
        return {server: count for server, count in counts.items() if count}

    def update(
        self, servers: Collection[Incarnation], now: float
    ) -> ReachabilityChange | None:
        """Determine whether this host is cut off from a service's servers.

        :param servers: The processes that accept requests.
        """
        if self.is_cut_off:
            if self._connected_at <= self.changed_at and servers:
                return None
            self.is_cut_off, self.changed_at = False, now
            self.is_confirmed = False
            return ReachabilityChange.REGAINED
        failures = self.failures(servers, now)
        is_lost = (
            bool(failures)
            and len(failures) >= min(MIN_FAILED_SERVERS, len(servers))
            and sum(failures.values()) >= MIN_FAILURES
        )
        if not is_lost:
            self.is_suspected = self.is_confirmed = False
            return None
        if now - self.data_at < CONFIRM_DATA_AGE_S and not self.is_confirmed:
            self.is_suspected = True
            return None
        self.is_suspected = False
        self.is_cut_off, self.changed_at = True, now
        return ReachabilityChange.LOST

    def note_probes_failed(self) -> None:
        """Record that no server has responded to probes."""
        self.is_confirmed = self.is_cut_off or self.is_suspected

    def retain(self, servers: Collection[Incarnation]) -> None:
        """Remove the evidence about all other processes, except those in use."""
        self._evidence = {
            server: evidence
            for server, evidence in self._evidence.items()
            if server in servers or evidence.running
        }


class Reachability:
    """Whether this host reaches the servers, by service."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceReachability] = {}

    def service(self, name: str) -> ServiceReachability:
        """Return what is known of a service's servers."""
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceReachability()
        return service

    def services(self) -> dict[str, ServiceReachability]:
        """Return what is known, by service."""
        return dict(self._services)

    def retain(self, servers: Collection[Incarnation]) -> None:
        """Remove the evidence about all other processes, except those in use."""
        for service in self._services.values():
            service.retain(servers)

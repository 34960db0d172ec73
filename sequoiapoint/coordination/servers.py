"""A host's view of the backend servers: load, failures and which are leaving."""

from collections.abc import Iterable
from dataclasses import dataclass, field

REPORT_HALF_LIFE_S = 5.0
"""Time in which the weight of a load report halves."""
EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 1.0
EJECT_MAX_S = 30.0
MAX_EJECTED_SHARE = 0.34
"""Maximum share of a set of servers that may be ejected at the same time."""
SIGNAL_TTL_S = {
    "platform": float("inf"),
    "report": float("inf"),
    "refusal": 10.0,
    "peer": 12.0,
}
"""Time for which a signal that a server is leaving is valid, by source, in seconds.

The platform and the server withdraw their signals explicitly; peers repeat theirs while
they apply.
"""


@dataclass
class ServerView:
    """The state of one server as known to this host."""

    in_flight: int = 0
    reported: int = 0
    reported_at: float = float("-inf")
    dispatched_since: int = 0
    failures: int = 0
    ejected_until: float = float("-inf")
    leaving: dict[str, float] = field(default_factory=dict)


class ServerTable:
    """The states of all servers as known to this host."""

    def __init__(self) -> None:
        self._views: dict[str, ServerView] = {}

    def _view(self, server: str) -> ServerView:
        return self._views.setdefault(server, ServerView())

    def note_load(self, server: str, load: int, now: float) -> None:
        """Record a load report.

        :param load: Number of requests that run or wait on the server.
        """
        view = self._view(server)
        view.reported = load
        view.reported_at = now
        view.dispatched_since = 0

    def record_dispatch(self, server: str) -> None:
        """Record that this host sends a request to a server."""
        view = self._view(server)
        view.in_flight += 1
        view.dispatched_since += 1

    def record_completion(self, server: str) -> None:
        """Record the end of a request on a server."""
        self._view(server).in_flight -= 1

    def in_flight(self, server: str) -> int:
        """Return the number of this host's requests that a server runs."""
        return self._view(server).in_flight

    def load(self, server: str, now: float) -> float:
        """Estimate the number of requests on a server.

        A report does not include requests sent after it, and its weight decreases with
        age.  The number of this host's own requests is known exactly.
        """
        view = self._view(server)
        age = now - view.reported_at
        weight = 0.5 ** (age / REPORT_HALF_LIFE_S)
        reported = view.reported * weight + view.dispatched_since
        return max(reported, float(view.in_flight))

    def record_failure(self, server: str, now: float) -> None:
        """Record a connection or server error."""
        view = self._view(server)
        view.failures += 1
        excess_failures = view.failures - EJECT_AFTER_FAILURES
        if excess_failures >= 0:
            backoff = min(EJECT_MAX_S, EJECT_BASE_S * 2.0 ** min(excess_failures, 16))
            view.ejected_until = now + backoff

    def record_success(self, server: str) -> None:
        """Record a request to which the server responded."""
        view = self._view(server)
        view.failures = 0
        view.ejected_until = float("-inf")

    def set_leaving(
        self, server: str, signal: str, is_leaving: bool, now: float
    ) -> None:
        """Record whether a server is leaving according to one source.

        :param signal: The source: platform, report, refusal or peer.
        """
        view = self._view(server)
        if is_leaving:
            view.leaving[signal] = now
        else:
            view.leaving.pop(signal, None)

    def is_leaving(self, server: str, now: float) -> bool:
        """Tell whether any source has signalled that a server is leaving."""
        return any(
            now - at < SIGNAL_TTL_S[signal]
            for signal, at in self._view(server).leaving.items()
        )

    def has_direct_leaving_signal(self, server: str, now: float) -> bool:
        """Tell whether a source other than a peer signals that a server is leaving."""
        return any(
            signal != "peer" and now - at < SIGNAL_TTL_S[signal]
            for signal, at in self._view(server).leaving.items()
        )

    def leaving_servers(self, now: float) -> tuple[str, ...]:
        """Return the leaving servers to announce to peers."""
        return tuple(s for s in self._views if self.has_direct_leaving_signal(s, now))

    def usable(self, servers: Iterable[str], now: float) -> list[str]:
        """Return the servers that may be sent requests.

        Only a limited share of failing servers is ejected: if most servers seem to
        fail, the cause is more likely on this host's side.
        """
        present = [s for s in servers if not self.is_leaving(s, now)]
        ejected = [s for s in present if self._view(s).ejected_until > now]
        allowed = int(len(present) * MAX_EJECTED_SHARE)
        if len(ejected) > allowed:
            ejected.sort(key=lambda s: self._view(s).failures, reverse=True)
            ejected = ejected[:allowed]
        return [s for s in present if s not in ejected]

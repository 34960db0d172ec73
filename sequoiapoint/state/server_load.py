"""Estimates of each server's load and health, from this host's observations.

A server reports its own load with its responses, so the report is already old when it
arrives; the totals of the other hosts' counts arrive a few times a second.  Either
estimate is added to this host's own requests, which are known exactly.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from sequoiapoint.protocol.gateway import Incarnation, LoadReport

REPORT_HALF_LIFE_S = 0.5
"""Age at which a load report has half its initial weight."""
REMOTE_COUNT_TTL_S = 1.5
"""Maximum age at which the other hosts' count is used: three digest intervals."""
SILENCE_TIMEOUT_S = 0.8
"""Time without data after which a server with running requests is avoided: twice the
time of a slow first event at a full engine."""
CONNECT_BACKOFF_S = 0.5
"""Backoff after the first failure to connect; it doubles with each further failure."""
MAX_DOUBLINGS = 8
MAX_CONNECT_BACKOFF_S = 4.0
"""Maximum backoff after failures to connect, about the time of a server's restart."""
MIN_BROKEN = 3
"""Number of requests in a row whose connections broke before a response from which on a
server is avoided; a single response may be lost."""
OUTCOME_WEIGHT = 0.15
"""Weight of the newest outcome in the moving average of the failure rate, which covers
about the last dozen outcomes."""


@dataclass
class ServerLoad:
    """The load of one server process, as observed by this host.

    :param local_running: The number of this host's running requests.
    :param pending_prompt_tokens: Prompt tokens by request number, for requests without
        a first event: the engine still has to process them.
    :param sent_at: The time at which each running request was sent, by request number.
    :param local_at_report: The number of this host's running requests when the last
        report arrived.
    :param connect_failed_at: When a connection to it last failed to open, in seconds.
    :param broken_count: The number of connections in a row that broke before a
        response.
    :param avoid_until: The time until which other servers are preferred.
    :param back_off_until: The time until which it wants nothing from this host.
    :param failure_rate: The moving average of the share of failures among outcomes.
    :param reported_remote_running: The other hosts' running requests, from digests.
    :param last_shared_running: The number of this host's requests in its last digest.
    :param unreadable_headers: Headers of its responses that could not be read.
    """

    local_running: int = 0
    pending_prompt_tokens: dict[int, int] = field(default_factory=dict)
    sent_at: dict[int, float] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_at: float = 0.0
    local_at_report: int = 0
    last_received_at: float = 0.0
    connect_failures: int = 0
    connect_failed_at: float = -math.inf
    broken_count: int = 0
    avoid_until: float = 0.0
    back_off_until: float = 0.0
    failure_rate: float = 0.0
    reported_remote_running: int = 0
    remote_reported_at: float = -math.inf
    last_shared_running: int = 0
    unreadable_headers: set[str] = field(default_factory=set)

    def note_sent(self, number: int, now: float, prompt_tokens: int = 0) -> None:
        """Record that a request was sent."""
        self.local_running += 1
        self.note_prompt(number, prompt_tokens)
        self.sent_at[number] = now

    def withhold_prompt(self, number: int) -> None:
        """Record that a request is not sent yet, so the engine need not read it."""
        self.pending_prompt_tokens.pop(number, None)

    def note_prompt(self, number: int, prompt_tokens: int) -> None:
        """Record that a request that was withheld is sent now."""
        if prompt_tokens:
            self.pending_prompt_tokens[number] = prompt_tokens

    def note_first_event(self, number: int) -> bool:
        """Record that a request's first event arrived, so its prompt was processed.

        :return: Whether the request's prompt tokens were still pending.
        """
        return self.pending_prompt_tokens.pop(number, None) is not None

    def note_finished(self, number: int) -> None:
        """Record the end of a request."""
        self.pending_prompt_tokens.pop(number, None)
        if self.sent_at.pop(number, None) is not None:
            self.local_running -= 1

    def note_received(self, now: float) -> None:
        """Record that data arrived from the server."""
        self.last_received_at = now
        self.connect_failures = 0

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Store the server's own load report."""
        self.report = report
        self.reported_at = now
        self.local_at_report = self.local_running

    def set_remote_running(self, count: int, now: float) -> None:
        """Set the number of the other hosts' requests at the server."""
        self.reported_remote_running, self.remote_reported_at = max(0, count), now

    def note_back_off(self, until: float) -> None:
        """Record that the server wants nothing from this host for some time."""
        self.back_off_until = max(self.back_off_until, until)

    def note_unreadable(self, header: str) -> bool:
        """Record a header that could not be read; return whether it is the first."""
        is_first = header not in self.unreadable_headers
        self.unreadable_headers.add(header)
        return is_first

    def note_connect_failure(self, now: float) -> None:
        """Avoid the server for a time that grows exponentially with each failure."""
        self._avoid(self.connect_failures, now)
        self.connect_failures += 1
        self.connect_failed_at = now

    def is_unreachable(self, now: float) -> bool:
        """Tell whether a connection has just failed to open.

        Unlike an avoided server, it is not even worth trying while all others are full.
        """
        return now - self.connect_failed_at < CONNECT_BACKOFF_S

    def note_broken(self, now: float) -> None:
        """Avoid the server if connections to it break time and again."""
        self.broken_count += 1
        if self.broken_count >= MIN_BROKEN:
            self._avoid(self.broken_count - MIN_BROKEN, now)

    def _avoid(self, failures: int, now: float) -> None:
        backoff_s = CONNECT_BACKOFF_S * 2.0 ** min(failures, MAX_DOUBLINGS)
        self.avoid_until = now + min(MAX_CONNECT_BACKOFF_S, backoff_s)

    def note_outcome(self, is_failure: bool) -> None:
        """Update the failure rate with the outcome of a request that was sent."""
        if not is_failure:
            self.broken_count = 0
        self.failure_rate += OUTCOME_WEIGHT * (float(is_failure) - self.failure_rate)

    def is_silent(self, now: float) -> bool:
        """Tell whether requests are running and no data arrived within the timeout."""
        if not self.sent_at:
            return False
        since = max(self.last_received_at, min(self.sent_at.values()))
        return now - since > SILENCE_TIMEOUT_S

    def is_avoided(self, now: float) -> bool:
        """Tell whether other servers are preferred."""
        return now < self.avoid_until or self.is_silent(now)

    def remote_running(self, now: float) -> float:
        """Estimate the number of the other hosts' requests at the server."""
        if now - self.remote_reported_at < REMOTE_COUNT_TTL_S:
            return float(self.reported_remote_running)
        if self.report is None:
            return 0.0
        reported = self.report.running + self.report.waiting
        age = now - self.reported_at
        decay = math.exp2(-age / REPORT_HALF_LIFE_S)
        return max(0.0, reported - self.local_at_report) * decay

    def running(self, now: float) -> float:
        """Estimate the number of all requests at the server, running and queued."""
        return self.local_running + self.remote_running(now)


class ServerLoads:
    """The loads of all servers, by server process."""

    def __init__(self) -> None:
        self._loads: dict[Incarnation, ServerLoad] = {}
        self._connect_failed_at = -math.inf

    def note_connect_failure(self, incarnation: Incarnation, now: float) -> None:
        """Record that no connection to a process could be opened."""
        self._connect_failed_at = now
        self.get_or_create(incarnation).note_connect_failure(now)

    def are_all_reachable(self, now: float) -> bool:
        """Tell whether no connection to any process has just failed to open."""
        return now - self._connect_failed_at >= CONNECT_BACKOFF_S

    def get_or_create(self, incarnation: Incarnation) -> ServerLoad:
        """Return the load of a process; it is created empty if unknown."""
        load = self._loads.get(incarnation)
        if load is None:
            load = self._loads[incarnation] = ServerLoad()
        return load

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Remove all other processes, except those with running requests."""
        self._loads = {
            i: load
            for i, load in self._loads.items()
            if i in incarnations or load.local_running
        }

    def local_counts(self) -> Mapping[Incarnation, int]:
        """Return the number of this host's running requests by process."""
        return {i: load.local_running for i, load in self._loads.items()}

    def report(self) -> Mapping[Incarnation, int]:
        """Return the non-zero counts of this host's requests, for its next digest.

        The counts are remembered, so that they can be subtracted from cluster totals.
        """
        for load in self._loads.values():
            load.last_shared_running = load.local_running
        return {i: n for i, n in self.local_counts().items() if n}

    def set_remote_running(self, counts: Mapping[Incarnation, int], now: float) -> None:
        """Set the other hosts' request counts; a missing count means 0."""
        for incarnation in self._loads.keys() | counts.keys():
            self.get_or_create(incarnation).set_remote_running(
                counts.get(incarnation, 0), now
            )

    def set_cluster_running(
        self, counts: Mapping[Incarnation, int], now: float
    ) -> None:
        """Set the other hosts' request counts from the totals of all hosts.

        The totals include the counts that this host last shared, so these are
        subtracted.

        :param counts: The totals by process; a missing total means 0.
        """
        for incarnation in self._loads.keys() | counts.keys():
            load = self.get_or_create(incarnation)
            load.set_remote_running(
                counts.get(incarnation, 0) - load.last_shared_running, now
            )

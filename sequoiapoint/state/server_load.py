"""What is believed of each server's load and health, from what this host has seen.

A server's own count comes with its answers and is old when it comes; the sums of the
other hosts' counts come a few times a second.  Both are added to this host's own
requests, which are known.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from sequoiapoint.protocol.gateway import Incarnation, LoadReport

REPORT_HALF_LIFE_S = 0.5
"""Age at which half of a reported load is believed to be still there."""
REMOTE_COUNT_TTL_S = 1.5
"""Age up to which the other hosts' count is used: three digests."""
SILENCE_TIMEOUT_S = 0.8
"""Silence with requests in work that makes a server suspect: twice a slow first event
at a full engine."""
CONNECT_BACKOFF_S = 0.5
"""Pause after the first failure to connect; doubles with each further one."""
MAX_CONNECT_BACKOFF_S = 4.0
"""Longest pause after failures to connect, of the order of a server's restart."""
OUTCOME_WEIGHT = 0.15
"""Weight of the newest outcome in the failure rate: about the last dozen count."""


@dataclass
class ServerLoad:
    """One process of a server, as seen from this host.

    :param pending_prompt_tokens: Prompt tokens of each request without a first event,
        by its number: the engine still has to read them.
    :param started: When each request in work here was sent, by its number.
    :param failure_rate: Share of the last outcomes that were failures.
    :param reported_remote_running: Requests of the other hosts, by their digests.
    :param last_shared_running: This host's requests when it last reported them.
    """

    local_running: int = 0
    pending_prompt_tokens: dict[int, int] = field(default_factory=dict)
    started: dict[int, float] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_at: float = 0.0
    own_at_report: int = 0
    heard_at: float = 0.0
    connect_failures: int = 0
    avoid_until: float = 0.0
    failure_rate: float = 0.0
    reported_remote_running: int = 0
    others_at: float = -math.inf
    last_shared_running: int = 0

    def note_sent(self, number: int, now: float, prompt_tokens: int = 0) -> None:
        """Note a request that is sent."""
        self.local_running += 1
        if prompt_tokens:
            self.pending_prompt_tokens[number] = prompt_tokens
        self.started[number] = now

    def note_first_event(self, number: int) -> bool:
        """Note that the engine has read a request's prompt; tell if that is news."""
        return self.pending_prompt_tokens.pop(number, None) is not None

    def note_finished(self, number: int) -> None:
        """Note the end of a request."""
        self.pending_prompt_tokens.pop(number, None)
        if self.started.pop(number, None) is not None:
            self.local_running -= 1

    def note_received(self, now: float) -> None:
        """Note that bytes came from the server."""
        self.heard_at = now
        self.connect_failures = 0

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Take in the server's own count."""
        self.report = report
        self.reported_at = now
        self.own_at_report = self.local_running

    def set_remote_running(self, count: int, now: float) -> None:
        """Take in how many requests the other hosts have at the server."""
        self.reported_remote_running, self.others_at = max(0, count), now

    def note_connect_failure(self, now: float) -> None:
        """Avoid the server for a while, longer each time."""
        pause = min(
            MAX_CONNECT_BACKOFF_S, CONNECT_BACKOFF_S * 2.0**self.connect_failures
        )
        self.connect_failures += 1
        self.avoid_until = now + pause

    def note_outcome(self, is_failure: bool) -> None:
        """Take in whether a request that was sent came to a good end."""
        self.failure_rate += OUTCOME_WEIGHT * (float(is_failure) - self.failure_rate)

    def is_silent(self, now: float) -> bool:
        """Tell whether requests are in work and nothing has come for too long."""
        if not self.started:
            return False
        since = max(self.heard_at, min(self.started.values()))
        return now - since > SILENCE_TIMEOUT_S

    def is_avoided(self, now: float) -> bool:
        """Tell whether other servers go first."""
        return now < self.avoid_until or self.is_silent(now)

    def remote_running(self, now: float) -> float:
        """Estimate the requests that other hosts have at the server."""
        if now - self.others_at < REMOTE_COUNT_TTL_S:
            return float(self.reported_remote_running)
        if self.report is None:
            return 0.0
        reported = self.report.running + self.report.waiting
        age = now - self.reported_at
        left = math.exp2(-age / REPORT_HALF_LIFE_S)
        return max(0.0, reported - self.own_at_report) * left

    def running(self, now: float) -> float:
        """Estimate all requests at the server, in work and in its queue."""
        return self.local_running + self.remote_running(now)


class ServerLoads:
    """The loads by process of a server."""

    def __init__(self) -> None:
        self._loads: dict[Incarnation, ServerLoad] = {}

    def get_or_create(self, incarnation: Incarnation) -> ServerLoad:
        """Return the load of a process, which starts empty."""
        load = self._loads.get(incarnation)
        if load is None:
            load = self._loads[incarnation] = ServerLoad()
        return load

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Forget all other processes, unless requests are still in work there."""
        self._loads = {
            i: load
            for i, load in self._loads.items()
            if i in incarnations or load.local_running
        }

    def own_counts(self) -> Mapping[Incarnation, int]:
        """Return this host's requests at each process where there are some."""
        return {i: load.local_running for i, load in self._loads.items()}

    def report(self) -> Mapping[Incarnation, int]:
        """Return this host's requests where there are some, to tell the other hosts."""
        for load in self._loads.values():
            load.last_shared_running = load.local_running
        return {i: n for i, n in self.own_counts().items() if n}

    def set_remote_running(self, counts: Mapping[Incarnation, int], now: float) -> None:
        """Take in the other hosts' requests; a server without a count has none."""
        for incarnation in self._loads.keys() | counts.keys():
            self.get_or_create(incarnation).set_remote_running(
                counts.get(incarnation, 0), now
            )

    def set_cluster_running(
        self, counts: Mapping[Incarnation, int], now: float
    ) -> None:
        """Take in all hosts' requests, those that this one reported included."""
        for incarnation in self._loads.keys() | counts.keys():
            load = self.get_or_create(incarnation)
            load.set_remote_running(
                counts.get(incarnation, 0) - load.last_shared_running, now
            )

"""What a host that is told to stop still begins.

Callers send requests to a stopping host until the load balancer has moved them away,
and on kept connections also later: the last byte of a body, or a request behind another
one.  The process is killed after the drain timeout, whatever it is doing.  A request
that is sent to a server only to be cut is lost, and one that may run once cannot be
repeated; if it is refused instead, its caller sends it to another host.
"""

from dataclasses import dataclass

LISTENING_S = 2.7
"""Time after the stop signal in which any request is begun.  The load balancer checks
readiness every second and removes a host after two failed checks in a row.  It ends
before the three seconds from which on a request that is taken must not be cut."""
QUEUE_S = 2.0
"""Time after the stop signal until requests that still wait for a server are rejected,
so that callers can retry them at another host."""
ANSWER_MARGIN_S = 0.6
"""Part of the drain timeout in which the last responses are sent; those to requests
that are still in progress tell that the host has stopped."""
EXIT_MARGIN_S = 0.2
"""Part of the drain timeout in which the process ends."""
RETRY_AFTER_S = 0.02
"""Time after which callers should try another host: a round trip."""
STOPPING_REASON = "draining"
"""Why a request is refused.  Hosts that are cut off from servers ask another helper."""


@dataclass(frozen=True)
class PlannedStop:
    """The times of one stop, in seconds on the monotonic clock.

    :param started_at: When the stop signal was handled.
    :param drain_timeout_s: The time from the signal to the kill of the process.
    """

    started_at: float
    drain_timeout_s: float

    @property
    def listens_until(self) -> float:
        """Return when new connections and requests are no longer accepted."""
        return min(self.started_at + LISTENING_S, self.requests_end_at)

    @property
    def queue_deadline(self) -> float:
        """Return when requests no longer wait for a server."""
        return self.started_at + QUEUE_S

    @property
    def requests_end_at(self) -> float:
        """Return when requests that are still in progress are ended."""
        return self.started_at + max(0.0, self.drain_timeout_s - ANSWER_MARGIN_S)

    @property
    def connections_end_at(self) -> float:
        """Return when connections are closed, sent or not."""
        return self.started_at + self.drain_timeout_s - EXIT_MARGIN_S

    def may_begin(self, now: float, deadline: float) -> bool:
        """Tell whether a request that has not run may be sent to a server.

        Answers requests that come late in a stop: later than ``listens_until`` only one
        whose caller waits no longer than the process lives is certain to be answered.

        :param deadline: The time until which its caller waits.
        """
        return now < self.listens_until or deadline <= self.requests_end_at

"""How long a request waits at a host, and when a refused caller should come back.

Answers the moments in which every server that could run a request is full, away or
still loading: a short wait is better for a caller than a refusal that brings it back to
the same queue, but a wait that eats up its time leaves it without a second chance.
"""

from sequoiapoint.protocol.gateway import Route

WAIT_SHARE = 0.4
"""Part of the time left that a request may wait; the rest is for running it."""
LEAST_PATIENCE_S = 2.0
"""Silence after which the least patient callers abandon a stream."""
FIRST_EVENT_SHARE = 0.6
"""Part of that silence that a stream may wait before it is sent."""
ENGINE_FILL = 1.25
"""Requests at an engine, against its places, from which a host sends no more; the ones
beyond the places keep its batch full until the hosts' next look."""
PLAIN_FILL = 2.0
"""The same for a plain service, whose requests are short."""
RETURN_AFTER_S = 0.4
"""Middle of the spread of refused callers' returns: about the time in which a full
server finishes a batch."""
LONG_RETURN_AFTER_S = 1.0
"""The same where no server can run the request at the moment."""


def wait_limit_s(route: Route, remaining_s: float) -> float:
    """Return how long a request may wait for a server, in seconds.

    :param remaining_s: What is left of the time that its caller waits.
    """
    limit_s = WAIT_SHARE * remaining_s
    if route.is_stream:
        limit_s = min(limit_s, FIRST_EVENT_SHARE * patience_s(route))
    return min(remaining_s, max(route.goal_s, limit_s))


def patience_s(route: Route) -> float:
    """Return how long callers wait for an event of a stream, in seconds."""
    return max(LEAST_PATIENCE_S, 4 * route.goal_s, 8 * route.event_gap_s)


def retry_after_s(has_servers: bool, chance: float) -> float:
    """Return when a refused caller should come back, in seconds.

    The returns are spread so that callers who were refused together do not come back
    together.

    :param has_servers: Whether any server could run the request were it not full.
    :param chance: A random number from 0 to 1.
    """
    middle = RETURN_AFTER_S if has_servers else LONG_RETURN_AFTER_S
    return middle * (0.5 + chance)


def is_full(load: float, slots: int, is_engine: bool) -> bool:
    """Tell whether a server has as many requests as it should be sent.

    :param load: Requests believed to be there.
    """
    return load >= slots * (ENGINE_FILL if is_engine else PLAIN_FILL)

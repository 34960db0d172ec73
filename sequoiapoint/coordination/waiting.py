"""How long a request waits at a host, and when a refused caller should come back.

Answers the moments in which every server that could run a request is full, away or
still loading: a short wait is better for a caller than a refusal that brings it back to
the same queue, but a wait that eats up its time leaves it without a second chance.
"""

from sequoiapoint.protocol.gateway import Route

WAIT_SHARE = 0.4
"""Part of the time left that a request may wait; the rest is for running it."""
LOAD_TOLERANT_GOAL_S = 2.0
"""Goal from which a request can wait for its model to be loaded."""
LOAD_TOLERANT_WAIT_SHARE = 0.75
"""Part of its caller's time and patience that such a request may wait: models that are
asked for now and then take turns in memory."""
MIN_EVENT_TIMEOUT_S = 2.0
"""Silence after which the least patient callers abandon a stream."""
FIRST_EVENT_SHARE = 0.6
"""Part of that silence that a stream may wait before it is sent."""
ENGINE_FILL = 1.25
"""Requests at an engine, against its places, from which a host sends no more; those
beyond the places keep its batch full until the hosts' next look."""
PLAIN_FILL = 2.0
"""The same for a plain service, whose requests are short."""
MAX_PENDING_PROMPT_TOKENS = 4_000
"""Prompt tokens that an engine should have before it at once, from all hosts: it reads
them in a tenth of a second, in which the streams that it runs make no progress."""
RETRY_AFTER_S = 0.4
"""Middle of the spread of refused callers' returns: about the time in which a full
server finishes a batch."""
LONG_RETRY_AFTER_S = 1.0
"""The same where no server can run the request at the moment."""


def wait_limit_s(route: Route, remaining_s: float) -> float:
    """Return how long a request may wait for a server, in seconds.

    :param remaining_s: What is left of the time that its caller waits.
    """
    if not route.is_stream:
        return min(remaining_s, max(route.goal_s, WAIT_SHARE * remaining_s))
    limit_s = min(WAIT_SHARE * remaining_s, FIRST_EVENT_SHARE * event_timeout_s(route))
    if route.goal_s >= LOAD_TOLERANT_GOAL_S:
        limit_s = LOAD_TOLERANT_WAIT_SHARE * min(remaining_s, event_timeout_s(route))
    return min(remaining_s, max(route.goal_s, limit_s))


def event_timeout_s(route: Route) -> float:
    """Return how long callers wait for an event of a stream, in seconds."""
    return max(MIN_EVENT_TIMEOUT_S, 4 * route.goal_s, 8 * route.max_event_gap_s)


def retry_after_s(has_servers: bool, jitter: float) -> float:
    """Return when a refused caller should come back, in seconds.

    The returns are spread so that callers who were refused together do not come back
    together.

    :param has_servers: Whether any server could run the request were it not full.
    :param jitter: A random number from 0 to 1.
    """
    middle = RETRY_AFTER_S if has_servers else LONG_RETRY_AFTER_S
    return middle * (0.5 + jitter)


def is_full(load: float, slots: int, is_engine: bool) -> bool:
    """Tell whether a server has as many requests as it should be sent.

    :param load: Requests believed to be there.
    """
    return load >= slots * (ENGINE_FILL if is_engine else PLAIN_FILL)


def may_send_prompt(unread_tokens: int, prompt_tokens: int, hosts: int) -> bool:
    """Tell whether an engine should be sent another prompt by this host.

    Answers a burst of prompts: sent at once, they hold up every stream of the engine;
    sent as the ones before them are read, they wait at the hosts by urgency.

    :param unread_tokens: Tokens that this host has sent and the engine has not read.
    :param hosts: How many hosts send to the engine.
    """
    share = MAX_PENDING_PROMPT_TOKENS / max(1, hosts)
    return unread_tokens == 0 or unread_tokens + prompt_tokens <= share

"""Limits on how long a request is queued at a host, and retry delays for callers.

They apply while every server that can run a request is full, unavailable or loading a
model.  A short wait is better for a caller than a rejection after which it retries into
the same queue, but a wait that uses up its time leaves none for a retry.
"""

import math
from collections.abc import Iterable

from sequoiapoint.protocol.gateway import Route

WAIT_SHARE = 0.4
"""Share of the remaining time that a request may wait; the rest is for running it."""
LOAD_TOLERANT_GOAL_S = 2.0
"""Latency goal from which a request can wait for its model to be loaded."""
LOAD_TOLERANT_WAIT_SHARE = 0.75
"""Share of the remaining time or the event timeout that such a request may wait, while
rarely requested models replace each other in memory."""
RETURN_WAIT_SHARE = 0.75
"""Share of the remaining time or the event timeout that the request of a caller which
has come back may wait."""
MIN_EVENT_TIMEOUT_S = 2.0
"""Time without an event after which the first callers abandon a stream."""
EVENT_TIMEOUT_SHARE = 0.6
"""Share of the event timeout that a stream may wait before it is sent to a server."""
MAX_ENGINE_UTILISATION = 1.25
"""Requests at an engine, relative to its batch slots, from which a host sends no more.
Requests beyond the slots keep the batch full until hosts next check the load."""
MAX_PLAIN_UTILISATION = 2.0
"""The same for a service without engines, whose requests are short."""
MAX_PENDING_PROMPT_TOKENS = 4_000
"""Maximum number of unprocessed prompt tokens at an engine, from all hosts.  It
processes them in a tenth of a second, during which its streams make no progress."""
MIN_RETRY_TIME_S = 0.25
"""Minimum remaining time for which a request is sent again: a slow link's queue and a
quick response."""
MIN_FIRST_EVENT_S = 0.03
"""Time from the choice of a server with a free slot to the first event."""
RETRY_AFTER_S = 0.4
"""Mean retry delay of rejected callers: about the time in which a full server completes
a batch."""
LONG_RETRY_AFTER_S = 1.0
"""The same if no server can run the request at the moment."""
MIN_RETRY_AFTER_S = 0.02
"""Shortest time that a caller is told to wait: a round trip."""
RETRY_SPREAD = 0.25
"""Share by which a predicted time is extended at random, so that callers that are
rejected together do not come back together."""
PREDICTION_TTL_S = 1.0
"""Age from which an allocator's prediction no longer counts: two of the intervals at
which queued requests ask again."""


def wait_limit_s(route: Route, remaining_s: float, is_return: bool = False) -> float:
    """Return how long a request may wait for a server, in seconds.

    :param remaining_s: Time until its caller's deadline.
    :param is_return: Whether its caller was rejected before.  It does not come back
        again, so no time has to remain for another attempt.
    """
    share = RETURN_WAIT_SHARE if is_return else WAIT_SHARE
    if not route.is_stream:
        return min(remaining_s, max(route.goal_s, share * remaining_s))
    timeout_s = event_timeout_s(route)
    limit_s = min(WAIT_SHARE * remaining_s, EVENT_TIMEOUT_SHARE * timeout_s)
    if is_return:
        limit_s = RETURN_WAIT_SHARE * min(remaining_s, timeout_s)
    if route.goal_s >= LOAD_TOLERANT_GOAL_S:
        limit_s = LOAD_TOLERANT_WAIT_SHARE * min(remaining_s, timeout_s)
    return min(remaining_s, max(route.goal_s, limit_s))


def event_timeout_s(route: Route) -> float:
    """Return the time that callers wait for an event of a stream, in seconds."""
    return max(MIN_EVENT_TIMEOUT_S, 4 * route.goal_s, 8 * route.max_event_gap_s)


def retry_after_s(
    has_servers: bool, jitter: float, predicted_wait_s: float = 0.0
) -> float:
    """Return the time after which a rejected caller should retry, in seconds.

    The delays are spread so that callers rejected together do not retry together.

    :param has_servers: Whether any server could run the request if it were not full.
    :param jitter: A random number from 0 to 1.
    :param predicted_wait_s: The time until the queue for servers that are full reaches
        such a request, in seconds; 0 if it is not known.
    """
    if has_servers and predicted_wait_s > 0.0:
        return max(MIN_RETRY_AFTER_S, predicted_wait_s) * (1.0 + RETRY_SPREAD * jitter)
    mean_s = RETRY_AFTER_S if has_servers else LONG_RETRY_AFTER_S
    return mean_s * (0.5 + jitter)


def back_off_s(until: Iterable[float], now: float) -> float | None:
    """Return the time until the first of several servers accepts requests again.

    Answers servers that turn requests away and name a time.  If all of them do, a
    request cannot be run before the first of these times, and its caller is told so.

    :param until: For each server, the time until which it wants no requests.
    :return: The time in seconds; None if a server accepts requests now, or if there is
        none.
    """
    first = min(until, default=now)
    return first - now if first > now else None


def urgency(
    priority: int, goal_at: float, deadline: float, now: float
) -> tuple[int, bool, float]:
    """Return a key that sorts the most urgent waiting request first.

    Answers a queue that is longer than the latency goal.  Served by deadline alone,
    every request would be served just after it has become late; so among requests of
    the same priority, those that can still be on time precede those that are late.

    :param priority: The priority of the request's route; 0 is the most urgent.
    :param goal_at: The time until which its first event is on time, in seconds.
    :param deadline: The time until which its caller waits, in seconds.
    """
    return (priority, goal_at - now < MIN_FIRST_EVENT_S, deadline)


def may_send_again(remaining_s: float) -> bool:
    """Tell whether a request may be sent to a second server.

    Answers callers that leave at their deadline while servers fail: a request that is
    sent again just before it reaches the second server after its caller has left.

    :param remaining_s: Time until its caller's deadline.
    """
    return remaining_s >= MIN_RETRY_TIME_S


def may_leave_silent_server(remaining_s: float, search_interval_s: float) -> bool:
    """Tell whether a stream that has begun may be taken from a silent server.

    Answers servers that turn away what they are to take over: the silent one has lost
    the stream by then, so that it is cut off if no other one can be tried.

    :param remaining_s: Time until its caller's deadline.
    :param search_interval_s: Pause between two searches for a server, in seconds.
    """
    return may_send_again(remaining_s - MIN_RETRY_TIME_S - search_interval_s)


def is_too_late(predicted_wait_s: float, remaining_s: float) -> bool:
    """Tell whether a request should be rejected at once, rather than wait for a slot.

    Answers a queue that is longer than the time that callers have left: they learn at
    once when to come back, and do not lengthen the queue of those that can be served.

    :param predicted_wait_s: The expected wait, in seconds; not positive if it is not
        known.
    :param remaining_s: Time until its caller's deadline.
    """
    return predicted_wait_s > remaining_s


def predicted_wait_s(predictions: Iterable[tuple[float, float]], now: float) -> float:
    """Return the expected wait of a request that several allocators have queued.

    Answers a model whose engines are in zones with queues of different length: the
    request gets the first slot that any of them grants.

    :param predictions: For each of these allocators, the wait that it has predicted, 0
        if it has predicted none, and when it did so, in seconds.
    :return: The time in seconds; 0 if an allocator has predicted nothing lately, so
        that its slot may be granted at any moment.
    """
    expected_at = math.inf
    for wait_s, made_at in predictions:
        if not wait_s or now - made_at > PREDICTION_TTL_S:
            return 0.0
        expected_at = min(expected_at, made_at + wait_s)
    return max(0.0, expected_at - now) if expected_at < math.inf else 0.0


def is_engine_queue_too_long(
    predicted_s: float, limit_s: float, remaining_s: float, route: Route
) -> bool:
    """Tell whether a request should be rejected at once, rather than wait for engines.

    Answers an overload of engines, in which a quarter of the urgent requests waited for
    1.2 s, were rejected then, and came back at random: they learn at once when to come
    back.  Hosts do not know which models are being loaded, so a request of a route that
    leaves time for a load waits for another copy of its model.

    :param predicted_s: The expected wait, in seconds; 0 if it is not known.
    :param limit_s: How long the request may still wait, in seconds.
    :param remaining_s: Time until its caller's deadline.
    """
    if route.goal_s >= LOAD_TOLERANT_GOAL_S:
        return False
    return is_too_late(predicted_s, min(limit_s, remaining_s))


def is_full(
    load: float, slots: int, is_engine: bool, relative_time: float | None = None
) -> bool:
    """Tell whether a server should be sent no more requests.

    Requests beyond its slots take time from each other, so that a slow server gets
    fewer of them.

    :param load: Estimated number of requests there.
    :param relative_time: How long work takes there, as a multiple of the time at the
        fastest server; None if no server states it.
    """
    limit = MAX_ENGINE_UTILISATION if is_engine else MAX_PLAIN_UTILISATION
    if relative_time is not None:
        limit = 1.0 + (limit - 1.0) / max(1.0, relative_time)
    return load >= slots * limit


def may_send_prompt(pending_tokens: int, prompt_tokens: int, hosts: int) -> bool:
    """Tell whether this host may send another prompt to an engine.

    A burst of prompts sent at once would stall every stream of the engine.  If they are
    sent only as earlier ones are processed, they queue at the hosts by priority.

    :param pending_tokens: Tokens sent by this host that the engine has not processed.
    :param hosts: Number of hosts that send to the engine.
    """
    share = MAX_PENDING_PROMPT_TOKENS / max(1, hosts)
    return pending_tokens == 0 or pending_tokens + prompt_tokens <= share

"""Choice of the server for one attempt of a request.

Balances load across servers although hosts choose independently, with load counts that
are a few hundred milliseconds old: if all of them picked the least loaded server, they
would overload it.  With few hosts, each picks the server of lowest cost or, if there
are many servers, the better of two random ones.  With many hosts, each picks a server
at random, weighted by free capacity.  The cost of a server is its load, plus a penalty
if it fails more often than its peers or is in another zone.  If servers state how long
work takes, the cost is the expected completion in place of the load.
"""

import bisect
import itertools
import math
import types
from collections.abc import Callable, Mapping, Sequence, Set
from dataclasses import dataclass

from sequoiapoint.coordination import rendezvous
from sequoiapoint.protocol.gateway import Incarnation, ServerEntry

REMOTE_ZONE_PENALTY = 0.06
"""Share of its slots by which a server in another zone counts as more loaded.  This
reduces traffic between zones while keeping load balanced across them."""
FAILURE_WEIGHT = 4.0
"""Load, in full batches, added to that of a server that fails all its requests."""
FAILURE_TOLERANCE = 0.1
"""Failure rate above the candidates' median that is attributed to chance."""
MAX_COMPARED_CANDIDATES = 6
"""Number of candidates up to which all are compared; otherwise two random ones are."""
MAX_LOCAL_VIEW_HOSTS = 16
"""Number of hosts up to which each knows the load well enough from its own requests."""
FREE_SHARE_EXPONENT = 2.0
"""Exponent of a server's free share in its weight: twice the free capacity attracts
four times as many requests."""
LOCAL_ZONE_FACTOR = 2.0
"""Factor on the weight of a server in the host's own zone."""
MIN_FREE_SHARE = 0.02
"""Free share assumed for a full server, so that its weight stays above zero."""

PROBE_SHARE = 0.02
"""Share of the choices that ignore how long work takes, so that a slow server gets a
request now and then and can show that it has become faster."""
OWN_ZONE_TIME = 1.15
"""Expected time in the own zone, relative to the best, up to which it is first."""
LEAVING_USE_SHARE = 0.5
"""Share of the drain time in which a leaving server is used if no other can run the
request; the rest is a margin for slow links."""


@dataclass(frozen=True)
class Candidate:
    """A server that can run the request.

    :param load: Estimated number of requests there, running and waiting.
    :param is_last_resort: Whether it is used only if there is no other candidate.
    :param relative_time: How long work takes there at the moment, as a multiple of the
        time at the fastest server; None if no server states it.
    """

    entry: ServerEntry
    load: float
    failure_rate: float
    is_last_resort: bool
    relative_time: float | None = None


def choose(
    candidates: Sequence[Candidate],
    own_zone: str,
    random: Callable[[], float],
    host_count: int = 1,
) -> Candidate | None:
    """Return the server to send to, or None if there is no candidate.

    :param random: Returns random numbers from 0 to 1.
    :param host_count: Number of hosts that choose among these servers.
    """
    eligible = [c for c in candidates if not c.is_last_resort] or list(candidates)
    if not eligible:
        return None
    if host_count > MAX_LOCAL_VIEW_HOSTS:
        return _draw_by_free_capacity(eligible, own_zone, random)
    if len(eligible) > MAX_COMPARED_CANDIDATES:
        first = int(random() * len(eligible))
        second = (first + 1 + int(random() * (len(eligible) - 1))) % len(eligible)
        eligible = [eligible[first], eligible[second]]
    median = _median_failure_rate(candidates)
    uses_times = _are_times_known(eligible) and random() >= PROBE_SHARE
    return min(
        eligible, key=lambda c: (_cost(c, own_zone, median, uses_times), random())
    )


def draw_by_speed(
    servers: Sequence[ServerEntry],
    relative_times: Mapping[Incarnation, float],
    random: Callable[[], float],
) -> ServerEntry | None:
    """Return a random server, a fast one more often; None if there is none.

    Answers many hosts before a few plain servers whose allocator does not reply: by
    counts that are too old all of them would choose the same server.

    :param relative_times: How long work takes at each server, nothing if that is not
        known.
    :param random: Returns random numbers from 0 to 1.
    """
    if not servers:
        return None
    weights = (1.0 / relative_times.get(e.incarnation, 1.0) for e in servers)
    cumulative = list(itertools.accumulate(weights))
    index = bisect.bisect_right(cumulative, random() * cumulative[-1])
    return servers[min(index, len(servers) - 1)]


def without_leaving(
    servers: Sequence[ServerEntry],
    leaving_s: Callable[[ServerEntry], float | None],
    drain_s: float,
) -> list[ServerEntry]:
    """Return the servers to use while some of them leave.

    Answers servers that are replaced one after the other: those that leave get nothing
    as soon as this is known, unless no other holds the requested model.

    :param leaving_s: Returns since when a server leaves, None if it stays.
    :param drain_s: Time after which a leaving server must get no requests.
    """
    ages = [(entry, leaving_s(entry)) for entry in servers]
    staying = [entry for entry, age_s in ages if age_s is None]
    if staying:
        return staying
    return [entry for entry, age_s in ages if age_s < LEAVING_USE_SHARE * drain_s]


def without_unreachable(
    servers: Sequence[ServerEntry],
    is_unreachable: Callable[[ServerEntry], bool],
    has_failed: bool,
) -> list[ServerEntry]:
    """Return the servers to use while connections to some of them fail.

    Answers engines that are lost while the store still lists them: they have no load,
    so that requests tried them time and again and were rejected, rather than wait for
    the engines that took over what the lost ones had run.  If all that hold a model are
    lost, another one may be loading it.

    :param has_failed: Whether the request itself has failed to reach a server.
    :return: The servers that can be reached.  If none can, all for a request that may
        still show that this has changed, and none for others.
    """
    reachable = [e for e in servers if not is_unreachable(e)]
    return reachable or ([] if has_failed else list(servers))


def without_limited(
    servers: Sequence[ServerEntry], has_limit: Callable[[ServerEntry], bool]
) -> list[ServerEntry]:
    """Return the servers to use while some of them name a limit on their requests.

    :return: The servers without a limit, or all if each has one.
    """
    return [entry for entry in servers if not has_limit(entry)] or list(servers)


def only_for_suspect(
    servers: Sequence[ServerEntry], part: str, is_usable: Callable[[ServerEntry], bool]
) -> list[ServerEntry]:
    """Return the server for requests with a part of prompts that may crash engines.

    All hosts choose the same one without exchanging messages, so that such requests do
    not crash several at once.

    :param part: The suspect part's id.
    :param is_usable: Whether a server may be expected to respond to the request.
    """
    usable = [entry for entry in servers if is_usable(entry)] or servers
    chosen = rendezvous.highest(part, (entry.server for entry in usable))
    return [entry for entry in usable if entry.server == chosen]


def zones_by_load(
    servers: Sequence[ServerEntry],
    running: Mapping[str, float],
    own_zone: str,
    relative_times: Mapping[Incarnation, float] = types.MappingProxyType({}),
) -> list[str]:
    """Return the zones with suitable servers, in the order in which to ask for a slot.

    The own zone comes first, as traffic between zones has a price, then the zones with
    the least loaded servers.

    If servers state how long work takes, the zones are sorted by the earliest expected
    completion.  The own zone comes first only if it is about as fast as any other.

    :param running: Estimated number of requests by server.
    :param relative_times: How long work takes at each server, if that is known.
    """
    lowest: dict[str, float] = {}
    for entry in servers:
        cost = running[entry.server] / entry.slots
        if relative_times:
            time = relative_times[entry.incarnation]
            cost = expected_completion(running[entry.server], entry.slots, time)
        lowest[entry.zone] = min(cost, lowest.get(entry.zone, cost))
    if not relative_times:
        return sorted(lowest, key=lambda zone: (zone != own_zone, lowest[zone]))
    is_near = lowest.get(own_zone, math.inf) <= OWN_ZONE_TIME * min(lowest.values())
    return sorted(lowest, key=lambda z: (not (is_near and z == own_zone), lowest[z]))


def expected_completion(load: float, slots: int, relative_time: float) -> float:
    """Return when a request sent now is expected to end.

    A fast server's queue may beat a free slot of a slow one.  Requests in free slots
    count as well as those that queue, as some servers slow down before they are full,
    and as counts are old.

    :param load: Estimated number of requests there.
    :param relative_time: How long work takes there, relative to the fastest server.
    :return: The time, in times of one request at the fastest server.
    """
    return relative_time * (1.0 + load / slots)


def zones_to_choose_alone(
    silent_zones: Set[str], is_queued: bool, own_zone: str
) -> Set[str]:
    """Return the zones in which a host chooses an engine without a grant.

    Answers an availability zone that is cut off: its allocator is silent and its
    engines are out of reach, and a request that waits in another zone's queue should
    not try them for a second each.

    :param silent_zones: Zones whose allocators cannot be reached.
    :param is_queued: Whether an allocator of another zone has queued the request.
    """
    return silent_zones & {own_zone} if is_queued else silent_zones


def _draw_by_free_capacity(
    eligible: Sequence[Candidate], own_zone: str, random: Callable[[], float]
) -> Candidate:
    """Return a random server, weighted by free capacity."""
    median = _median_failure_rate(eligible)
    free_shares = [
        max(MIN_FREE_SHARE, 1.0 - _cost(c, own_zone, median)) for c in eligible
    ]
    are_times_known = _are_times_known(eligible)
    scaled_shares = (
        share**FREE_SHARE_EXPONENT
        / (c.relative_time if are_times_known else 1.0)
        * (LOCAL_ZONE_FACTOR if c.entry.zone == own_zone else 1.0)
        for share, c in zip(free_shares, eligible, strict=True)
    )
    cumulative_weights = list(itertools.accumulate(scaled_shares))
    index = bisect.bisect_right(cumulative_weights, random() * cumulative_weights[-1])
    return eligible[min(index, len(eligible) - 1)]


def _median_failure_rate(candidates: Sequence[Candidate]) -> float:
    sorted_rates = sorted(c.failure_rate for c in candidates)
    return sorted_rates[(len(sorted_rates) - 1) // 2]


def _are_times_known(candidates: Sequence[Candidate]) -> bool:
    return all(c.relative_time is not None for c in candidates)


def _cost(
    candidate: Candidate,
    own_zone: str,
    median_failure_rate: float,
    uses_times: bool = False,
) -> float:
    entry = candidate.entry
    excess = candidate.failure_rate - median_failure_rate - FAILURE_TOLERANCE
    cost = candidate.load / entry.slots
    if uses_times:
        cost = expected_completion(candidate.load, entry.slots, candidate.relative_time)
    cost += FAILURE_WEIGHT * max(0.0, excess)
    if entry.zone != own_zone:
        cost += REMOTE_ZONE_PENALTY
    return cost

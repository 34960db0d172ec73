"""Allocates the batch slots of a zone's engines to the requests of all hosts.

Answers a load of hundreds of hosts before servers with few slots.  Each host runs a few
requests at a time, so none of them knows the load of an engine from its own requests,
and counts that are exchanged twice a second are too old: when every host chooses by
them, some engines get more requests than slots, and stop streams for more urgent ones,
while others have free slots.  Here one host of the zone, the allocator, counts the
requests at each engine as it grants slots.  No engine gets more requests than slots,
and a slot that becomes free goes to the most urgent request that waits at any host; of
those that are equally urgent, to an organisation that has had little for its weight.

The counts are corrected by the hosts' regular reports, so lost messages, requests sent
without a grant and a change of the allocator have no lasting effect.
"""

import itertools
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sequoiapoint.coordination import server_choice
from sequoiapoint.coordination.fair_share import FairShare
from sequoiapoint.coordination.slot_queue import SlotQueue
from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.protocol.slots import (
    NO_SERVER,
    SlotOutcome,
    SlotQuality,
    SlotRelease,
    SlotReply,
    SlotRequest,
)
from sequoiapoint.state.server_speed import ServerSpeeds

QUEUE_TTL_S = 1.2
"""Time for which a request stays queued after its host has last asked."""
GRANT_IN_FLIGHT_S = 1.0
"""Age from which a grant that its host does not report counts as ended.  A host that is
slow may use a grant long after it was sent."""
REPORT_TTL_S = 2.5
"""Age from which a host's report, and its grants with it, no longer count."""
QUALITY_WEIGHT = 0.1
"""Weight of the newest request in the moving average of an engine's penalty."""
PENALTIES = {
    SlotQuality.ON_TIME: 0.0,
    SlotQuality.LATE: 0.3,
    SlotQuality.REJECTED: 0.3,
    SlotQuality.FAILED: 1.0,
    SlotQuality.UNREACHABLE: 1.0,
    SlotQuality.BROKEN: 1.0,
}
"""Penalty of one request by how the engine ran it."""
PENALTY_TOLERANCE = 0.1
"""Penalty above the median of the zone's engines that is attributed to chance."""
PENALTY_COST = 4.0
"""Cost, in full batches, of an engine that fails all its requests."""
MIN_BROKEN = 3
"""Number of requests in a row whose connections broke before a response from which on
an engine is avoided.  Its slots are always free, so it would get most requests; a
single response may be lost."""
FIRST_AVOIDANCE_S = 0.5
"""Time for which an unreachable engine is avoided; it doubles with each failure."""
BRITTLE_PAUSE_S = 0.5
"""Time for which a brittle server gets nothing after it has turned a request away or
may have fallen, and when it begins to be brittle, until the hosts have reported what
runs there."""
BRITTLE_PAUSE_QUALITIES = frozenset(
    {SlotQuality.REJECTED, SlotQuality.FAILED, SlotQuality.BROKEN}
)
MAX_DOUBLINGS = 8
MAX_AVOIDANCE_S = 4.0
"""Maximum time for which an unreachable engine is avoided."""
PLAIN_SLOTS_FACTOR = 4 / 3
"""Requests granted to a plain server at a time, relative to its slots.  Its requests
take tens of milliseconds, so that slots would be idle while a grant is on its way."""
PROBE_INTERVAL = 50
"""Number of choices of which one ignores how long work takes, so that a slow server
gets a request now and then and can show that it has become faster."""
TIME_STEP = 0.1
"""Difference of expected completions, in times of the fastest server, up to which they
are equal: estimates are not more exact, and a connection that is open counts more."""
USE_WEIGHT = 0.1
"""Weight of the newest request in the moving average of the time that slots are used,
from which waits are predicted."""
RECENT_END_S = 10.0
"""Time since the last end of a request at an engine for which its rate counts in
predictions: the longest streams, and an idle time before a burst."""


@dataclass
class Engine:
    """An engine of the zone.

    :param used: Number of requests there, of all hosts.
    :param is_brittle: Whether it falls over if it has to turn too many away.
    :param penalty: Moving average of the penalties of its requests.
    :param unreachable_count: Number of failures to connect in a row.
    :param broken_count: Number of connections in a row that broke before a response.
    :param mean_use_s: Moving average of the time from a grant to its release.
    :param ended_at: When a request last ended there, in seconds.
    """

    incarnation: Incarnation
    slots: int
    used: int = 0
    is_brittle: bool = False
    penalty: float = 0.0
    unreachable_count: int = 0
    broken_count: int = 0
    avoided_until: float = -math.inf
    mean_use_s: float | None = None
    ended_at: float = -math.inf

    @property
    def server(self) -> str:
        """Return the engine's server id."""
        return self.incarnation[0]

    def has_free_slot(self, now: float) -> bool:
        """Tell whether a request may be sent to the engine."""
        return self.used < self.slots and self.avoided_until <= now

    def end_rate(self, now: float) -> float:
        """Return the rate at which requests end if all slots are used, a second.

        :return: 0 if none has ended lately.
        """
        if not self.mean_use_s or now - self.ended_at > RECENT_END_S:
            return 0.0
        return self.slots / self.mean_use_s

    def record_use(self, seconds: float, now: float) -> None:
        """Record for how long a slot was used that is free now."""
        self.ended_at = now
        if self.mean_use_s is None:
            self.mean_use_s = seconds
        self.mean_use_s += USE_WEIGHT * (seconds - self.mean_use_s)

    def record_quality(self, quality: SlotQuality, now: float) -> None:
        """Update what is known of the engine's health with the end of a request."""
        if quality is SlotQuality.UNUSED:
            return
        if self.is_brittle and quality in BRITTLE_PAUSE_QUALITIES:
            self.avoided_until = max(self.avoided_until, now + BRITTLE_PAUSE_S)
        self.penalty += QUALITY_WEIGHT * (PENALTIES[quality] - self.penalty)
        self._record_connection(quality, now)

    def _record_connection(self, quality: SlotQuality, now: float) -> None:
        """Avoid an engine that cannot be reached, or that breaks connections."""
        self.broken_count = (
            self.broken_count + 1 if quality is SlotQuality.BROKEN else 0
        )
        if self.broken_count >= MIN_BROKEN:
            self._avoid(self.broken_count - MIN_BROKEN, now)
        if quality is not SlotQuality.UNREACHABLE:
            self.unreachable_count = 0
            return
        self._avoid(self.unreachable_count, now)
        self.unreachable_count += 1

    def _avoid(self, failures: int, now: float) -> None:
        """Grant no slot for a time that doubles with each failure before."""
        backoff_s = FIRST_AVOIDANCE_S * 2.0 ** min(failures, MAX_DOUBLINGS)
        self.avoided_until = now + min(MAX_AVOIDANCE_S, backoff_s)


@dataclass(frozen=True)
class _Grant:
    engine: Incarnation
    granted_at: float


@dataclass
class _Host:
    """What is known of one host's requests.

    :param heard_at: When it last reported or requested a slot, in seconds.
    :param unallocated: Requests by engine that it runs without a grant.
    :param grants: Its grants by number.
    """

    heard_at: float
    unallocated: dict[Incarnation, int] = field(default_factory=dict)
    grants: dict[int, _Grant] = field(default_factory=dict)


class SlotAllocator:
    """The slots of a zone's engines, and the requests that wait for one.

    :param speeds: Estimates of how long work takes at each engine.
    """

    def __init__(self, speeds: ServerSpeeds | None = None) -> None:
        self._speeds = ServerSpeeds() if speeds is None else speeds
        self._engines: dict[Incarnation, Engine] = {}
        self._by_server: dict[str, Engine] = {}
        self._hosts: dict[str, _Host] = {}
        self._counts: Counter[Incarnation] = Counter()
        self._changed: set[Incarnation] = set()
        self._shares = FairShare()
        self._queue = SlotQueue(self._shares, QUEUE_TTL_S)
        self._choices = itertools.count(1)

    @property
    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights by which organisations share the slots that are short."""
        self._shares.set_weights(weights)

    # Engines and counts

    def allocates(self, incarnation: Incarnation) -> bool:
        """Tell whether the slots of an engine are allocated here."""
        return incarnation in self._engines

    def set_engines(self, engines: Iterable[Engine], now: float) -> None:
        """Set the engines that accept requests; what is known of each is kept.

        One that begins to be brittle gets nothing until the hosts have reported what
        runs there.
        """
        updated: dict[Incarnation, Engine] = {}
        for engine in engines:
            known = self._engines.get(engine.incarnation)
            if engine.is_brittle and (known is None or not known.is_brittle):
                until = now + BRITTLE_PAUSE_S
                (known or engine).avoided_until = until
            if known is not None:
                known.slots, known.is_brittle = engine.slots, engine.is_brittle
                engine = known
            else:
                self._changed.add(engine.incarnation)
            updated[engine.incarnation] = engine
        self._engines = updated
        self._by_server = {engine.server: engine for engine in updated.values()}
        self._recount()

    def set_report(
        self, host: str, counts: Mapping[Incarnation, int], now: float
    ) -> None:
        """Set the number of a host's running requests by engine."""
        known = self._hear(host, now)
        granted: Counter[Incarnation] = Counter()
        for number, grant in sorted(
            known.grants.items(), key=lambda item: -item[1].granted_at
        ):
            is_reported = granted[grant.engine] < counts.get(grant.engine, 0)
            if not is_reported and now - grant.granted_at > GRANT_IN_FLIGHT_S:
                del known.grants[number]
                self._add(grant.engine, -1)
                continue
            granted[grant.engine] += 1
        unallocated = {
            engine: count - granted[engine]
            for engine, count in counts.items()
            if engine in self._engines and count > granted[engine]
        }
        for engine in unallocated.keys() | known.unallocated.keys():
            before = known.unallocated.get(engine, 0)
            self._add(engine, unallocated.get(engine, 0) - before)
        known.unallocated = unallocated

    def _hear(self, name: str, now: float) -> _Host:
        """Return a host that has sent a message; the last heard of is the last."""
        host = self._hosts.pop(name, None) or _Host(now)
        host.heard_at = now
        self._hosts[name] = host
        return host

    def expire(self, now: float) -> None:
        """Drop silent hosts and requests whose hosts no longer ask; count again."""
        while self._hosts:
            name, host = next(iter(self._hosts.items()))
            if now - host.heard_at <= REPORT_TTL_S:
                break
            del self._hosts[name]
            for incarnation, count in host.unallocated.items():
                self._add(incarnation, -count)
            for grant in host.grants.values():
                self._add(grant.engine, -1)
        self._queue.advance(now)
        self._recount()

    def _add(self, engine: Incarnation, count: int) -> None:
        """Change the count of an engine's requests as of the next recount.

        Slots that become free are granted after a recount, so that no request that
        arrives before it precedes more urgent ones in the queue.
        """
        if count:
            self._counts[engine] += count
            self._changed.add(engine)

    def _recount(self) -> None:
        for incarnation in self._changed:
            engine = self._engines.get(incarnation)
            if engine is not None:
                engine.used = self._counts[incarnation]
            if not self._counts[incarnation]:
                del self._counts[incarnation]
        self._changed.clear()

    # Requests

    def request(self, request: SlotRequest, now: float) -> SlotReply:
        """Grant a slot, or queue the request.

        A request that was granted a slot before, whose reply may be lost, is granted
        the same slot again, unless it asks for other servers now.
        """
        host = self._hear(request.host, now)
        grant = host.grants.get(request.number)
        if grant is not None and grant.engine[0] in request.candidates:
            return SlotReply(
                request.host, request.number, SlotOutcome.GRANTED, grant.engine
            )
        if grant is not None:
            self._end_grant(host, request.number)
        self._queue.advance(now)
        known = self._queue.pop(request.host, request.number)
        engine = self._best_engine(request, now)
        if engine is not None:
            return self._grant(engine, request, now)
        order = None if known is None else known.order
        rates = self._end_rates(request.candidates, now)
        queued = self._queue.add(request, self._parts(rates), now, order)
        rate = sum(rates.values())
        wait_s = self._queue.ahead(queued) / rate if rate else 0.0
        return SlotReply(
            request.host, request.number, SlotOutcome.QUEUED, wait_s=wait_s
        )

    def expected_wait_s(self, request: SlotRequest, now: float) -> float | None:
        """Return the wait that a request would have; it is neither granted nor queued.

        Queued requests count until ``expire`` drops them.

        :return: 0 if a slot is free, None if nothing has ended there lately.
        """
        servers = request.candidates
        engines = [e for server in servers if (e := self._by_server.get(server))]
        if any(engine.has_free_slot(now) for engine in engines):
            return 0.0
        rates = self._end_rates(servers, now)
        rate = sum(rates.values())
        if not rate:
            return None
        return self._queue.ahead_of_new(request, self._parts(rates), now) / rate

    def _end_rates(self, servers: Iterable[str], now: float) -> dict[str, float]:
        """Return the rate at which the slots of each server become free, a second."""
        engines = self._by_server
        return {
            server: engines[server].end_rate(now) if server in engines else 0.0
            for server in servers
        }

    def _parts(self, rates: Mapping[str, float]) -> dict[str, float]:
        """Return the probability that a request is run by each of its servers."""
        weights = rates
        total = sum(rates.values())
        if not total:
            weights = {
                server: engine.slots if (engine := self._by_server.get(server)) else 0
                for server in rates
            }
            total = sum(weights.values()) or 1.0
        return {server: weight / total for server, weight in weights.items()}

    def release(self, release: SlotRelease, now: float) -> list[SlotReply]:
        """Record the end of a request, and return the grants that this allows."""
        is_withdrawal = release.engine == NO_SERVER
        if is_withdrawal:
            self._queue.pop(release.host, release.number)
        engine = self._engines.get(release.engine)
        if engine is not None:
            engine.record_quality(release.quality, now)
            self._record_speed(release, now)
        host = self._hosts.get(release.host)
        grant = None if host is None else host.grants.get(release.number)
        if grant is None or not (is_withdrawal or grant.engine == release.engine):
            return []
        freed = self._end_grant(host, release.number)
        if freed is None:
            return []
        if release.quality is not SlotQuality.UNUSED:
            freed.record_use(now - grant.granted_at, now)
        return self._grant_queued([freed], now)

    def _end_grant(self, host: _Host, number: int) -> Engine | None:
        """End a grant; return the engine that it was for, None if it has left."""
        grant = host.grants.pop(number)
        self._counts[grant.engine] -= 1
        engine = self._engines.get(grant.engine)
        if engine is not None:
            engine.used -= 1
        return engine

    def _record_speed(self, release: SlotRelease, now: float) -> None:
        """Learn how long work takes at an engine, from the requests of all hosts."""
        if release.slowness is None:
            return
        self._speeds.note_slowness(release.engine, release.slowness, now)
        if release.relative_time is not None:
            self._speeds.note_work(release.engine, release.relative_time, now)

    def grant_queued(self, now: float) -> list[SlotReply]:
        """Return the grants that are possible since engines or counts have changed."""
        return self._grant_queued(self._engines.values(), now)

    def _grant_queued(self, engines: Iterable[Engine], now: float) -> list[SlotReply]:
        self._queue.advance(now)
        if not self._queue:
            return []
        replies = []
        for engine in engines:
            while engine.has_free_slot(now):
                queued = self._queue.most_urgent(engine.server)
                if queued is None:
                    break
                self._queue.pop(*queued.identity)
                replies.append(self._grant(engine, queued.request, now))
        return replies

    def _grant(self, engine: Engine, request: SlotRequest, now: float) -> SlotReply:
        engine.used += 1
        self._counts[engine.incarnation] += 1
        self._shares.note_served(request.organisation)
        host = self._hosts.setdefault(request.host, _Host(now))
        host.grants[request.number] = _Grant(engine.incarnation, now)
        return SlotReply(
            request.host, request.number, SlotOutcome.GRANTED, engine.incarnation
        )

    def _best_engine(self, request: SlotRequest, now: float) -> Engine | None:
        """Return the engine with the lowest cost that has a free slot.

        Among equals it is the first candidate of the request; penalties that differ by
        less than chance are equal.
        """
        candidates = [
            engine
            for server in request.candidates
            if (engine := self._by_server.get(server)) and engine.has_free_slot(now)
        ]
        if not candidates:
            return None
        penalties = sorted(engine.penalty for engine in self._engines.values())
        tolerated = penalties[(len(penalties) - 1) // 2] + PENALTY_TOLERANCE
        servers = (engine.incarnation for engine in candidates)
        times = self._speeds.relative_times(servers, now)
        if times:
            round_number, step = divmod(next(self._choices), PROBE_INTERVAL)
            probed = candidates[round_number % len(candidates)]
            if step == 0 and probed.penalty <= tolerated:
                return probed

        def cost(engine: Engine) -> tuple[float, float]:
            load_cost = engine.used / engine.slots
            if times:
                time = times[engine.incarnation]
                completion = server_choice.expected_completion(
                    engine.used, engine.slots, time
                )
                load_cost = TIME_STEP * round(completion / TIME_STEP)
            excess = max(0.0, engine.penalty - tolerated)
            cost = load_cost + PENALTY_COST * excess
            return cost, int(engine.penalty / PENALTY_TOLERANCE)

        return min(candidates, key=cost)


def plain_slots(slots: int) -> int:
    """Return how many requests to grant at a time to a server with a queue.

    :param slots: The number of requests that it runs at a time.
    """
    return math.ceil(PLAIN_SLOTS_FACTOR * slots)


def released(
    grant: SlotReply,
    quality: SlotQuality,
    slowness: float | None = None,
    relative_time: float | None = None,
) -> SlotRelease:
    """Return the release of a granted slot, see ``SlotRelease``."""
    return SlotRelease(
        grant.host, grant.number, grant.engine, quality, slowness, relative_time
    )


def withdrawn(host: str, number: int) -> SlotRelease:
    """Return the withdrawal of a queued request."""
    return SlotRelease(host, number, NO_SERVER, SlotQuality.UNUSED)

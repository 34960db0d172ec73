"""Queue of the requests that wait for a slot at an allocator, indexed by server.

Answers a burst in which hundreds of requests are queued: an allocator that examines all
of them for each slot replies too late, and hosts then select servers by themselves.
Here the requests that a server can run are kept by priority and lateness, and within
these by organisation in order of their deadlines.  All requests of an organisation have
the same position in ``FairShare``, so the request to be granted a slot next is the
first of one of the organisations.  The cost of an operation depends on the number of a
request's servers and of the organisations, and hardly on the number of requests.
"""

import heapq
import itertools
import math
import sys
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from sequoiapoint.coordination import waiting
from sequoiapoint.coordination.fair_share import FairShare
from sequoiapoint.protocol.slots import SlotRequest

MIN_COMPACTED_EVENTS = 64
"""Number of events from which those of removed requests are dropped."""

_Identity = tuple[str, int]
_LevelKey = tuple[int, bool]


@dataclass(eq=False, slots=True)
class Queued:
    """A request that waits for a slot.

    :param parts: For each server that can run it, the probability that it does.
    :param asked_at: When its host has last asked, in seconds.
    :param order: The number of requests queued before it; kept when a host asks again.
    """

    request: SlotRequest
    parts: Mapping[str, float]
    asked_at: float
    deadline: float
    goal_at: float
    order: int
    is_late: bool = False
    is_queued: bool = True

    @property
    def identity(self) -> _Identity:
        """Return the host, and the number that identifies the request there."""
        return (self.request.host, self.request.number)

    @property
    def level(self) -> _LevelKey:
        """Return priority and lateness; all requests of a lower level come first."""
        return (self.request.priority, self.is_late)

    @property
    def entry(self) -> tuple[float, int, "Queued"]:
        """Return the key that sorts the requests of an organisation."""
        return (self.deadline, self.order, self)


_Entries = list[tuple[float, int, Queued]]


@dataclass(slots=True)
class _Level:
    """The requests of one priority and lateness that a server can run.

    :param by_organisation: Requests in order of deadline; no list is empty.
    :param expected: The number of them that the server is expected to run, as some of
        them can be run by other servers as well.
    """

    by_organisation: dict[str, _Entries] = field(default_factory=dict)
    expected: float = 0.0

    def copy(self) -> "_Level":
        """Return a level to which requests may be added."""
        lists = self.by_organisation.items()
        return _Level({name: entries.copy() for name, entries in lists}, self.expected)


class SlotQueue:
    """The requests that wait for a slot.

    :param shares: What organisations have been served.
    :param ttl_s: Time for which a request stays queued after its host has last asked.
    """

    def __init__(self, shares: FairShare, ttl_s: float) -> None:
        self._shares = shares
        self._ttl_s = ttl_s
        self._queued: dict[_Identity, Queued] = {}
        self._levels: dict[str, dict[_LevelKey, _Level]] = defaultdict(dict)
        self._goals: list[tuple[float, int, Queued]] = []
        self._deadlines: list[tuple[float, int, Queued]] = []
        self._order, self._events = itertools.count(), itertools.count()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def __iter__(self) -> Iterator[Queued]:
        """Iterate over the queued requests; the one asked for longest ago is first."""
        return iter(self._queued.values())

    def add(
        self,
        request: SlotRequest,
        parts: Mapping[str, float],
        now: float,
        order: int | None = None,
    ) -> Queued:
        """Queue a request that is not queued, see ``Queued``."""
        queued = Queued(
            request,
            parts,
            now,
            now + request.remaining_s,
            now + request.goal_s,
            next(self._order) if order is None else order,
        )
        queued.is_late = _is_late(queued, now)
        self._queued[queued.identity] = queued
        self._insert(queued)
        self._push(self._deadlines, queued.deadline, queued)
        if not queued.is_late:
            self._push(self._goals, queued.goal_at, queued)
        return queued

    def pop(self, host: str, number: int) -> Queued | None:
        """Remove and return a request, None if it is not queued."""
        queued = self._queued.pop((host, number), None)
        if queued is not None:
            queued.is_queued = False
            self._delete(queued)
        return queued

    def advance(self, now: float) -> None:
        """Drop requests that are no longer asked for; note which have become late."""
        while self._queued:
            queued = next(iter(self._queued.values()))
            if now - queued.asked_at <= self._ttl_s:
                break
            self.pop(*queued.identity)
        deadlines, goals = self._deadlines, self._goals
        while deadlines and deadlines[0][0] <= now:
            queued = heapq.heappop(deadlines)[2]
            if queued.is_queued:
                self.pop(*queued.identity)
        while goals and _is_late(goals[0][2], now):
            queued = heapq.heappop(goals)[2]
            if queued.is_queued:
                self._delete(queued)
                queued.is_late = True
                self._insert(queued)

    def most_urgent(self, server: str) -> Queued | None:
        """Return the request to which a free slot of a server is granted.

        It is the first by priority, lateness, position of its organisation, deadline,
        and order, as of the last call of ``advance``.
        """
        levels = self._levels.get(server)
        if not levels:
            return None
        by_organisation = levels[min(levels)].by_organisation
        heads = (entries[0] for entries in by_organisation.values())
        positions = self._shares.positions(by_organisation)
        return min(zip(positions, heads, strict=True))[1][2]

    def ahead(self, queued: Queued) -> float:
        """Return the expected number of requests up to a queued one, which it includes.

        These are the requests that its servers run before it if no others are queued.
        Those of its own level are compared at the server that is expected to run the
        most of them; the cost does not depend on the number of requests.
        """
        key = queued.level
        before = same = 0.0
        busiest: _Level | None = None
        for server in queued.parts:
            for other_key, level in self._levels[server].items():
                if other_key < key:
                    before += level.expected
                elif other_key == key:
                    same += level.expected
                    if busiest is None or level.expected > busiest.expected:
                        busiest = level
        if busiest is None:
            return 0.0
        return before + same * self._share_ahead(queued, busiest)

    def ahead_of_new(
        self, request: SlotRequest, parts: Mapping[str, float], now: float
    ) -> float:
        """Return what ``ahead`` would if a request were queued; it is not.

        The cost grows with the number of requests that its servers can run.

        :param parts: Those of ``Queued``.
        """
        view = SlotQueue(self._shares, self._ttl_s)
        for server in parts:
            for key, level in self._levels.get(server, {}).items():
                view._levels[server][key] = level.copy()
        return view.ahead(view.add(request, parts, now, order=sys.maxsize))

    def _share_ahead(self, queued: Queued, level: _Level) -> float:
        """Return the share of a level's requests up to one of them, included."""
        organisation, entry = queued.request.organisation, queued.entry
        entries = level.by_organisation[organisation]
        own = bisect_left(entries, entry)
        position = self._shares.position(organisation, own)
        by_organisation = level.by_organisation
        served = self._shares.served_before(by_organisation, position)
        ahead, total = own + 1, 0
        for others, served_count in zip(by_organisation.values(), served, strict=True):
            total += len(others)
            if others is entries or served_count < 0.0:
                continue
            count = math.ceil(served_count)
            if count >= len(others):
                ahead += len(others)
            else:
                is_tie = count == served_count and others[count] < entry
                ahead += count + is_tie
        return ahead / total

    # Index

    def _insert(self, queued: Queued) -> None:
        organisation, entry = queued.request.organisation, queued.entry
        key = queued.level
        for server, part in queued.parts.items():
            levels = self._levels[server]
            level = levels.get(key)
            if level is None:
                level = levels[key] = _Level()
            level.expected += part
            entries = level.by_organisation.get(organisation)
            if entries is None:
                level.by_organisation[organisation] = [entry]
            else:
                insort(entries, entry)

    def _delete(self, queued: Queued) -> None:
        organisation, entry = queued.request.organisation, queued.entry
        key = queued.level
        for server, part in queued.parts.items():
            levels = self._levels[server]
            level = levels[key]
            level.expected -= part
            entries = level.by_organisation[organisation]
            del entries[bisect_left(entries, entry)]
            if entries:
                continue
            del level.by_organisation[organisation]
            if not level.by_organisation:
                del levels[key]
                if not levels:
                    del self._levels[server]

    def _push(
        self, heap: list[tuple[float, int, Queued]], at: float, queued: Queued
    ) -> None:
        """Add an event; drop those of removed requests if they are the most."""
        if len(heap) > max(MIN_COMPACTED_EVENTS, 2 * len(self._queued)):
            heap[:] = [event for event in heap if event[2].is_queued]
            heapq.heapify(heap)
        heapq.heappush(heap, (at, next(self._events), queued))


def _is_late(queued: Queued, now: float) -> bool:
    priority = queued.request.priority
    return waiting.urgency(priority, queued.goal_at, queued.deadline, now)[1]

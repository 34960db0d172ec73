"""Allocates the allowance of an organisation to the requests of all hosts.

Answers organisations whose requests arrive at any host, at hundreds of them or at one,
and that send several times their allowance for some seconds.  No host knows what the
others admit, so one host, the allocator, holds the organisation's token bucket and is
asked for the cost of each request.  Far from the limit it also grants credit for
requests to come, so that they need no message; near the limit each unit is counted.

Whatever a host holds as credit is missing in the bucket, whose capacity is lower by
that amount.  The requests of any time window therefore cost at most the burst and the
refill of that window, however late the credit is used.

Callers that are told to come back find what they were promised: a part of the refill is
reserved for them.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from sequoiapoint.coordination import rendezvous
from sequoiapoint.protocol.allowances import (
    AllowanceOutcome,
    AllowanceReply,
    AllowanceRequest,
    Charge,
    caller_mark,
)
from sequoiapoint.protocol.gateway import Allowance

CREDIT_TTL_S = 1.0
"""Time for which a host may use credit."""
CREDIT_FROM_FILL = 0.5
"""Part of the bucket that must be full for credit to be granted."""
MAX_CREDIT_SHARE = 0.1
"""Part of what is above that level that one host gets as credit at a time."""
RETURN_SHARE = 0.2
"""Part of the refill that is reserved for callers that were told a time."""
RETURN_GRACE_S = 0.25
"""Time for which their units are kept for callers that do not come back."""
BEYOND_MAX_WAIT = 1.1
"""Factor on the time that a caller can wait at most, if it is promised nothing."""
RETURN_EARLY_S = 0.02
"""Time by which a caller may come back early, as stated times are rounded."""
MAX_PROMISED_SHARE = 0.5
"""Part of the capacity that one caller is promised at most; the rest remains for new
requests, which may cost a large part of a small bucket."""
RESERVE_LEAD_S = 0.02
"""Time before a caller is due at which its units must be reserved."""
MAX_PROMISES = 200
"""Number of callers of an organisation that are promised units at the same time."""
MIN_DENY_S = 0.02
"""Shortest time for which a host is denied further requests: some round trips."""
MAX_DENY_S = 0.5
"""Longest time for which a host is denied, with up to 200 hosts that ask.  After an
overload that long, requests are still denied that the bucket could serve."""
DENY_S_PER_HOST = 0.0025
"""Time for which a host is denied at most, for each host that has been denied lately:
an allocator is then asked at most 800 times a second by hosts that were denied."""
FEW_HOSTS_DENY_S = 0.1
"""The same while few hosts are denied: what costs less may be served earlier."""
PRESSURE_TTL_S = 1.0
"""Time for which a denied host counts as one that will ask again."""
MAX_WAIT_S = 60.0
"""Longest time that a caller is told to wait."""
INITIAL_SLACK_SHARE = 0.25
"""Part of the tolerated slack with which a new allocator begins."""
PARTITION_SHARE = 0.5
"""Part of the tolerated excess that hosts use who do not hear all others; the rest is
for the time until they notice it."""
MAX_PAUSE_S = 0.7
"""Time without a sign of life after which an allocator counts as suspended."""
SPREAD = 0.618
"""Difference of the random numbers of several requests in one message, modulo 1."""
_EPSILON = 1e-6


@dataclass(frozen=True)
class Tolerance:
    """By how much an organisation may exceed its allowance in a time window.

    :param window_s: The length of the window, in seconds.
    :param over_share: The tolerated share of what the window allows.
    :param slack: Further units that are tolerated.
    """

    window_s: float = 8.0
    over_share: float = 0.0
    slack: float = 0.0

    def excess(self, rate_per_s: float, burst: float) -> float:
        """Return the units that are tolerated beyond an allowance in a window."""
        return self.over_share * (rate_per_s * self.window_s + burst) + self.slack


@dataclass(frozen=True)
class BucketSize:
    """The refill and capacity of an organisation's bucket at one allocator.

    :param rate_per_s: Units a second.
    :param initial: The units in a new bucket.
    :param max_debt: The units by which one request may cost more than the capacity.
    """

    rate_per_s: float
    capacity: float
    initial: float
    max_debt: float


def bucket_size(
    rate_per_s: float,
    burst: float,
    tolerance: Tolerance,
    visible_hosts: int,
    known_hosts: int,
) -> BucketSize:
    """Return the size of an allocator's bucket.

    Answers parts of a divided deployment that each have an allocator: each part grants
    in proportion to its hosts.  Half of the tolerated excess is added to that, so that
    a few hosts that are down cost nothing.

    :param visible_hosts: Number of hosts that are in contact with the allocator.
    :param known_hosts: Number of hosts that may send requests of the organisation.
    """
    share = min(1.0, visible_hosts / max(1, known_hosts))
    excess = tolerance.excess(rate_per_s, burst)
    added = PARTITION_SHARE * excess / tolerance.window_s
    return BucketSize(
        min(rate_per_s, share * (rate_per_s + added)),
        share * burst,
        min(share * burst, share * INITIAL_SLACK_SHARE * tolerance.slack),
        share * excess,
    )


def allocating_zone(organisation: str, live_zones: Sequence[str]) -> str | None:
    """Return the availability zone whose aggregator allocates an allowance.

    :return: None if there is no live zone.
    """
    return rendezvous.highest(organisation, live_zones)


@dataclass(frozen=True)
class _Promise:
    due_at: float
    cost: float
    reserved_from: float


@dataclass
class _Bucket:
    """The units of one organisation.

    :param tokens: Units that may be granted now, those reserved included.
    :param reserved: The part that is kept for callers that come back.
    :param promised_until: The time until which the part of the refill that is for
        callers that come back has been promised.
    :param held: Credit by host, with the time at which it expires, the oldest first.
    :param denied: The time at which each host was last denied, the oldest first.
    :param replies: The last request's number and reply by host.
    """

    tokens: float
    updated_at: float
    reserved: float = 0.0
    promised_until: float = -math.inf
    promises: dict[int, _Promise] = field(default_factory=dict)
    held: OrderedDict[str, tuple[float, float]] = field(default_factory=OrderedDict)
    held_total: float = 0.0
    denied: OrderedDict[str, float] = field(default_factory=OrderedDict)
    replies: dict[str, AllowanceReply] = field(default_factory=dict)

    def update(self, size: BucketSize, now: float) -> None:
        """Add the refill since the last update; drop what has expired."""
        while self.held and next(iter(self.held.values()))[1] <= now:
            self.held_total -= self.held.popitem(last=False)[1][0]
        while self.denied and next(iter(self.denied.values())) + PRESSURE_TTL_S <= now:
            self.denied.popitem(last=False)
        expired = [
            caller
            for caller, promise in self.promises.items()
            if promise.due_at + RETURN_GRACE_S < now
        ]
        for caller in expired:
            del self.promises[caller]
        gained = size.rate_per_s * max(0.0, now - self.updated_at)
        self.updated_at = now
        room = max(0.0, size.capacity - self.held_total)
        self.tokens = min(self.tokens + gained, room)
        goal = sum(p.cost for p in self.promises.values() if p.reserved_from <= now)
        reserved = min(goal, self.reserved + RETURN_SHARE * gained)
        self.reserved = max(0.0, min(reserved, self.tokens))

    def hold(self, host: str, credit: float, now: float) -> None:
        """Record the credit that a host holds."""
        self.held_total -= self.held.pop(host, (0.0, 0.0))[0]
        if credit > 0.0:
            self.held[host] = (credit, now + CREDIT_TTL_S)
            self.held_total += credit

    def take(self, charge: Charge, size: BucketSize, now: float) -> bool:
        """Take the units of a request if they are available for it."""
        promise = self.promises.get(charge.caller)
        is_due = promise is not None and promise.due_at - RETURN_EARLY_S <= now
        needed = min(charge.cost, size.capacity)
        is_oversized = charge.cost > size.capacity
        if charge.cost > size.capacity + size.max_debt:
            return False
        usable = self.tokens if is_due or is_oversized else self.tokens - self.reserved
        if usable < needed - _EPSILON:
            return False
        self.tokens -= charge.cost
        if is_due:
            del self.promises[charge.caller]
            self.reserved = max(0.0, self.reserved - charge.cost)
        self.reserved = max(0.0, min(self.reserved, self.tokens))
        return True

    def missing_s(self, charge: Charge, size: BucketSize) -> float:
        """Return the time until the units of a new request are there, in seconds."""
        if charge.cost > size.capacity + size.max_debt:
            return MAX_WAIT_S
        missing = min(charge.cost, size.capacity) + self.reserved - self.tokens
        return _duration_s(missing, (1.0 - RETURN_SHARE) * size.rate_per_s)

    def promise(
        self,
        charge: Charge,
        size: BucketSize,
        min_wait_s: float,
        now: float,
        draw: float,
    ) -> float:
        """Promise units to a caller if it can wait long enough for them.

        :param min_wait_s: The shortest time that a caller is told, in seconds.
        :param draw: A random number from 0 to 1, which spreads the times of callers
            that are promised nothing.
        :return: The time after which it should come back, in seconds.
        """
        known = self.promises.get(charge.caller)
        if known is not None:
            return max(known.due_at - now, MIN_DENY_S)
        refill_s = _duration_s(charge.cost, RETURN_SHARE * size.rate_per_s)
        wait_s = max(
            self.next_promise_s(now) + refill_s + RESERVE_LEAD_S,
            min_wait_s,
            self.missing_s(charge, size),
        )
        if (
            charge.caller
            and wait_s <= charge.max_wait_s
            and charge.cost <= MAX_PROMISED_SHARE * size.capacity
            and len(self.promises) < MAX_PROMISES
        ):
            self.promised_until = now + wait_s - RESERVE_LEAD_S
            self.promises[charge.caller] = _Promise(
                now + wait_s, charge.cost, self.promised_until - refill_s
            )
            return wait_s
        return unpromised_wait_s(charge, wait_s, draw)

    def next_promise_s(self, now: float) -> float:
        """Return the time until the refill is not promised to others, in seconds."""
        return max(0.0, self.promised_until - now)


def unpromised_wait_s(charge: Charge, wait_s: float, draw: float) -> float:
    """Return the time that a caller is told who is promised nothing, in seconds.

    It is longer than the caller can wait: if it came back earlier, it would be denied
    again.

    :param wait_s: The time after which the next caller can be served, in seconds.
    :param draw: A random number from 0 to 1, which spreads the times.
    """
    wait_s = max(wait_s, BEYOND_MAX_WAIT * charge.max_wait_s, MIN_DENY_S)
    return min(MAX_WAIT_S, wait_s * (1.0 + draw))


def _duration_s(units: float, rate_per_s: float) -> float:
    """Return how long a rate takes for a number of units, at most ``MAX_WAIT_S``."""
    if units <= 0.0:
        return 0.0
    return MAX_WAIT_S if units >= MAX_WAIT_S * rate_per_s else units / rate_per_s


class AllowanceAllocator:
    """The buckets of the organisations that one host allocates.

    A new allocator does not know what its predecessor has granted.  It begins with a
    small part of the tolerated slack.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._allowances: dict[str, tuple[int, float, float]] = {}
        self._alive_at = -math.inf

    def note_alive(self, now: float) -> bool:
        """Note that the process runs; empty all buckets if it was suspended.

        Meanwhile the hosts have gone on without the allocator, or with another one, and
        have used the refill of that time.

        :return: Whether it was suspended.
        """
        was_suspended = now - self._alive_at > MAX_PAUSE_S and bool(self._buckets)
        self._alive_at = now
        if was_suspended:
            self._buckets = {
                name: _Bucket(min(0.0, bucket.tokens), now)
                for name, bucket in self._buckets.items()
            }
        return was_suspended

    def assign(
        self,
        allowances: Mapping[str, Allowance],
        version: int,
        tolerance: Tolerance,
        now: float,
    ) -> None:
        """Set the organisations that this host allocates, and forget all others.

        Their buckets fill from now on, also before the first request.
        """
        self._buckets = {n: b for n, b in self._buckets.items() if n in allowances}
        self._allowances = {
            n: stated for n, stated in self._allowances.items() if n in allowances
        }
        for name, allowance in allowances.items():
            stated = (version, allowance.rate_per_s, allowance.burst)
            self._note_allowance(name, stated)
            if name not in self._buckets:
                size = bucket_size(*stated[1:], tolerance, 1, 1)
                self._buckets[name] = _Bucket(size.initial, now)

    def forget(self, organisation: str) -> None:
        """Forget an organisation that this host does not allocate."""
        self._buckets.pop(organisation, None)
        self._allowances.pop(organisation, None)

    def _note_allowance(
        self, organisation: str, stated: tuple[int, float, float]
    ) -> tuple[int, float, float]:
        known = self._allowances.get(organisation)
        if known is None or known[0] <= stated[0]:
            self._allowances[organisation] = known = stated
        return known

    def request(
        self,
        request: AllowanceRequest,
        tolerance: Tolerance,
        visible_hosts: int,
        known_hosts: int,
        now: float,
        draw: float,
    ) -> AllowanceReply:
        """Grant what a host asks for, or say when it should ask again.

        A request that is received a second time gets the same reply as before.

        :param visible_hosts: Number of hosts that are in contact with this one.
        :param known_hosts: Number of hosts that may send requests.
        :param draw: A random number from 0 to 1.
        """
        name, host = request.organisation, request.host
        stated = (request.version, request.rate_per_s, request.burst)
        _, rate_per_s, burst = self._note_allowance(name, stated)
        size = bucket_size(rate_per_s, burst, tolerance, visible_hosts, known_hosts)
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(size.initial, now)
        last = bucket.replies.get(host)
        if last is not None and last.number == request.number:
            return last
        bucket.update(size, now)
        bucket.hold(host, request.left, now)
        room = max(0.0, size.capacity - bucket.held_total)
        bucket.tokens = min(bucket.tokens + request.returned, room)
        granted = [bucket.take(charge, size, now) for charge in request.charges]
        if all(granted):
            waits_s = (0.0,) * len(granted)
            credit = self._credit(bucket, request, size)
            bucket.tokens -= credit
            bucket.hold(host, request.left + credit, now)
            bucket.denied.pop(host, None)
            reply = AllowanceReply(host, request.number, waits_s=waits_s, credit=credit)
        else:
            reply = self._deny(bucket, request, size, granted, now, draw)
        bucket.replies[host] = reply
        return reply

    @staticmethod
    def _credit(bucket: _Bucket, request: AllowanceRequest, size: BucketSize) -> float:
        if bucket.denied:
            return 0.0
        free = bucket.tokens - bucket.reserved - CREDIT_FROM_FILL * size.capacity
        return max(0.0, min(request.ahead - request.left, MAX_CREDIT_SHARE * free))

    @staticmethod
    def _deny(
        bucket: _Bucket,
        request: AllowanceRequest,
        size: BucketSize,
        granted: list[bool],
        now: float,
        draw: float,
    ) -> AllowanceReply:
        """Return a reply that denies some of the charges of a request."""
        bucket.denied.pop(request.host, None)
        bucket.denied[request.host] = now
        hosts = len(bucket.denied)
        max_wait_s = max(MAX_DENY_S, DENY_S_PER_HOST * hosts)
        max_deny_s = min(max_wait_s, FEW_HOSTS_DENY_S * hosts)
        pairs = list(zip(request.charges, granted, strict=True))
        denied = [charge for charge, is_granted in pairs if not is_granted]
        smallest = min(denied, key=lambda charge: charge.cost)
        missing_s = bucket.missing_s(smallest, size)
        pressure_s = _duration_s((hosts - 1) * smallest.cost, size.rate_per_s)
        deny_s = min(max(missing_s, pressure_s * (0.5 + 0.5 * draw)), max_deny_s)
        deny_s = max(deny_s, MIN_DENY_S)
        # Each host knows the callers that are due while it denies all others, as none
        # is promised a time that is earlier than the end of the longest denial.
        due = tuple(
            caller_mark(caller)
            for caller, promise in bucket.promises.items()
            if promise.due_at <= now + deny_s + RETURN_EARLY_S
        )
        waits_s = tuple(
            0.0
            if is_granted
            else bucket.promise(charge, size, max_wait_s, now, (draw + SPREAD * n) % 1)
            for n, (charge, is_granted) in enumerate(pairs)
        )
        return AllowanceReply(
            request.host,
            request.number,
            AllowanceOutcome.DECIDED,
            waits_s,
            0.0,
            deny_s,
            max(deny_s, bucket.next_promise_s(now)),
            due,
        )

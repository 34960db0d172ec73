"""What one host may admit of an organisation's requests without asking.

Answers organisations that are far below their allowance, whose requests should not wait
for a message each, and those that are far above it, whose requests should cost nothing
to other hosts.  A host holds a little credit, asks for more before it is used up, and
after a denial rejects the organisation's requests by itself until the stated time.

While the allocator is silent, the host goes on at the rate at which the organisation
was served here before.  Even a host with a small part of that rate admits requests: it
begins at a random level, so that many hosts together admit as much as before.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from sequoiapoint.coordination.allowance_allocator import (
    CREDIT_TTL_S,
    MAX_WAIT_S,
    PRESSURE_TTL_S,
    Tolerance,
    unpromised_wait_s,
)
from sequoiapoint.protocol.allowances import AllowanceReply, Charge, caller_mark
from sequoiapoint.protocol.gateway import Allowance

RATE_TIME_S = 2.0
"""Time constant of the average of what was admitted."""
AHEAD_S = 0.5
"""Time for which a host wants to hold credit at its present rate."""
REFILL_INTERVAL_S = 0.1
"""Shortest time between two messages that ask for credit only."""
REFUSED_REFILL_INTERVAL_S = 0.5
"""The same if there was no credit: the organisation is not far from its limit."""
REFILL_BELOW = 0.5
"""Part of that credit below which a host asks for more."""
SILENCE_SLACK_SHARE = 0.25
"""Part of the tolerated slack that all hosts use together when the allocator falls
silent, for organisations whose requests are too few for an average."""
SILENCE_BURST_S = 0.5
"""Time of the former rate that may be admitted at once in the meantime."""
OVER_LIMIT_FACTOR = 0.6
"""Factor on the former rate of an organisation that was over its allowance as the
allocator fell silent: the allocator may go on to grant all of it to others."""
SILENCE_WAIT_S = 1.0
"""Mean time that callers are told meanwhile: until another host has taken over."""


def request_cost(allowance: Allowance, tokens: int | None) -> float:
    """Return the units that a request costs.

    :param tokens: The tokens that it may take; None if it does not state them.
    """
    if not allowance.counts_tokens:
        return 1.0
    return allowance.plain_cost if tokens is None else float(max(0, tokens))


@dataclass(frozen=True)
class Granted:
    """A request is admitted, and its cost is charged."""


@dataclass(frozen=True)
class Denied:
    """A request is over the allowance of its organisation.

    :param wait_s: The time after which its caller should come back, in seconds.
    """

    wait_s: float


GRANTED = Granted()
Decision = Granted | Denied


@dataclass
class _Silence:
    """The requests of one organisation while the allocator is silent.

    :param rate_per_s: The units a second that were admitted here before.
    :param added: This host's part of the tolerated slack.
    :param is_over_limit: Whether the organisation was over its allowance.
    :param tokens: Units that may be admitted now, None before the first request.
    """

    rate_per_s: float
    added: float
    is_over_limit: bool
    updated_at: float
    tokens: float | None = None

    def admit(self, charge: Charge, now: float, draw: float) -> Decision:
        """Admit a request at the former rate."""
        cost = charge.cost
        gained = self.rate_per_s * max(0.0, now - self.updated_at)
        self.updated_at = now
        if self.tokens is None:
            self.tokens = draw * cost + self.added
        most = max(cost, SILENCE_BURST_S * self.rate_per_s) + self.added
        self.tokens = min(most, self.tokens + gained)
        if self.tokens >= cost:
            self.tokens -= cost
            return GRANTED
        missing = cost - self.tokens
        wait_s = SILENCE_WAIT_S
        if missing < MAX_WAIT_S * self.rate_per_s:
            wait_s = max(wait_s, missing / self.rate_per_s)
        if self.is_over_limit:
            return Denied(unpromised_wait_s(charge, wait_s, draw))
        return Denied(wait_s * (0.5 + draw))


class AllowanceCredit:
    """One organisation's credit at one host.

    :ivar allowance: The allowance in force.
    :ivar refunded: Units that are to be given back with the next message.
    """

    def __init__(self, allowance: Allowance) -> None:
        self.allowance = allowance
        self.refunded = 0.0
        self._credit = 0.0
        self._expires_at = -math.inf
        self._denied_until = -math.inf
        self._told_until = -math.inf
        self._refill_from = -math.inf
        self._due: frozenset[int] = frozenset()
        self._admitted = 0.0
        self._admitted_at = 0.0
        self._silence: _Silence | None = None
        self._slack_used_at = -math.inf
        self._was_served = False

    @property
    def is_silent(self) -> bool:
        """Tell whether the allocator is silent."""
        return self._silence is not None

    def held(self, now: float) -> float:
        """Return the units that may be used without asking."""
        return self._credit if now < self._expires_at else 0.0

    def ahead(self, now: float) -> float:
        """Return the units that the host wants to hold."""
        return AHEAD_S * self.rate_per_s(now)

    def rate_per_s(self, now: float) -> float:
        """Return the units a second that were admitted lately."""
        age_s = max(0.0, now - self._admitted_at)
        return self._admitted * math.exp(-age_s / RATE_TIME_S) / RATE_TIME_S

    def set_allowance(self, allowance: Allowance) -> None:
        """Apply a changed allowance: credit and denials of the former one end."""
        if allowance != self.allowance:
            self.allowance = allowance
            self._credit = 0.0
            self._denied_until = -math.inf

    # Requests

    def decide(self, charge: Charge, now: float, draw: float) -> Decision | None:
        """Admit or deny a request, None if the allocator must be asked.

        :param draw: A random number from 0 to 1.
        """
        held = self.held(now)
        if held >= charge.cost:
            self._credit = held - charge.cost
            self._note_admitted(charge.cost, now)
            return GRANTED
        if self._silence is not None:
            decision = self._silence.admit(charge, now, draw)
            if isinstance(decision, Granted):
                self._note_admitted(charge.cost, now)
            return decision
        if now < self._denied_until and caller_mark(charge.caller) not in self._due:
            return Denied(unpromised_wait_s(charge, self._told_until - now, draw))
        return None

    def wants_credit(self, now: float) -> bool:
        """Tell whether to ask for credit before the next request needs it."""
        ahead = self.ahead(now)
        is_frequent = ahead >= self.allowance.plain_cost
        is_denied = now < self._denied_until or self._silence is not None
        if is_denied or now < self._refill_from:
            return False
        return is_frequent and self.held(now) < REFILL_BELOW * ahead

    def _note_admitted(self, cost: float, now: float) -> None:
        self._admitted = RATE_TIME_S * self.rate_per_s(now) + cost
        self._admitted_at = now

    def refund(self, cost: float) -> None:
        """Give back what a request was charged that has certainly not run."""
        self.refunded += cost

    def take_back(self, now: float) -> float:
        """Return what is given back before a message that asks for requests.

        The credit is less than the first of them costs, so that it is of no use here.
        """
        returned = self.refunded + self.held(now)
        self.refunded = self._credit = 0.0
        return returned

    def take_refunds(self) -> float:
        """Return what is given back with a message that asks for credit only."""
        returned, self.refunded = self.refunded, 0.0
        return returned

    def apply(
        self,
        reply: AllowanceReply,
        charges: Sequence[Charge],
        sent_at: float,
        now: float,
    ) -> list[Decision]:
        """Apply an allocator's reply; return what it says to each charge.

        :param sent_at: The time at which the host has asked.  Credit is valid from then
            on, so that it ends here before it ends at the allocator.
        """
        self._silence = None
        self._was_served = True
        self._credit = self.held(now) + reply.credit
        self._expires_at = sent_at + CREDIT_TTL_S
        self._refill_from = now + (
            REFILL_INTERVAL_S if reply.credit > 0.0 else REFUSED_REFILL_INTERVAL_S
        )
        if reply.deny_s > 0.0:
            self._denied_until = now + reply.deny_s
            self._told_until = now + reply.wait_s
            self._due = frozenset(reply.due)
        else:
            self._denied_until = -math.inf
        decisions: list[Decision] = []
        for charge, wait_s in zip(charges, reply.waits_s, strict=False):
            if wait_s > 0.0:
                decisions.append(Denied(wait_s))
            else:
                self._note_admitted(charge.cost, now)
                decisions.append(GRANTED)
        missing = len(charges) - len(decisions)
        return decisions + [Denied(SILENCE_WAIT_S)] * missing

    def begin_silence(self, tolerance: Tolerance, known_hosts: int, now: float) -> None:
        """Go on at the former rate, as the allocator does not reply.

        A host that has had no reply so far uses its share of the allowance.  The
        tolerated slack is used once in a window, also if the allocator falls silent
        several times.

        :param known_hosts: Number of hosts that may do the same.
        """
        if self._silence is None:
            allowance, added = self.allowance, 0.0
            if now - self._slack_used_at > tolerance.window_s:
                added = SILENCE_SLACK_SHARE * tolerance.slack / max(1, known_hosts)
                self._slack_used_at = now
            rate_per_s = self.rate_per_s(now)
            if not self._was_served:
                share = allowance.rate_per_s / max(1, known_hosts)
                rate_per_s = max(rate_per_s, share)
            is_over_limit = now < self._denied_until + PRESSURE_TTL_S
            if is_over_limit:
                rate_per_s *= OVER_LIMIT_FACTOR
            self._silence = _Silence(rate_per_s, added, is_over_limit, now)

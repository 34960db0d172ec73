"""The messages of one host to the allowance allocator of one organisation.

Answers many requests of an organisation at one host: they share messages, as one
message at a time is under way and asks for all that wait.  It is sent once more if no
reply comes; after that the host decides by itself, and asks again later without letting
requests wait for it.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from sequoiapoint.coordination.allowance_allocator import Tolerance
from sequoiapoint.coordination.allowance_credit import (
    AllowanceCredit,
    Decision,
    Denied,
    Granted,
)
from sequoiapoint.protocol.allowances import (
    MAX_CHARGES,
    AllowanceOutcome,
    AllowanceReply,
    AllowanceRequest,
    Charge,
)
from sequoiapoint.protocol.gateway import Allowance

RESEND_S = 0.03
"""Time without a reply after which a message is sent once more, and the same time after
which the allocator counts as silent: five round trips."""
ALLOCATOR_BACKOFF_S = 0.5
"""Time for which a silent allocator is not asked: a digest interval, after which
another one may have taken over."""

Waiter = Any
"""What the caller of ``submit`` gets back with the decision."""
Decided = list[tuple[Waiter, Decision]]


@dataclass
class _Sent:
    """A message under way.

    :param decisions: What was decided without the reply, after the time-out.
    """

    request: AllowanceRequest
    waiters: list[Waiter]
    sent_at: float
    is_resent: bool = False
    decisions: list[Decision] | None = None


class AllowanceClient:
    """One organisation's requests at one host.

    :param numbers: The numbers of this host's messages.
    :param draw: Returns random numbers from 0 to 1.
    :ivar organisation: Its name.
    :ivar credit: What may be admitted without asking.
    """

    def __init__(
        self,
        host: str,
        organisation: str,
        allowance: Allowance,
        numbers: Iterator[int],
        draw: Callable[[], float],
    ) -> None:
        self.organisation = organisation
        self._host = host
        self._numbers = numbers
        self._draw = draw
        self._waiting: list[tuple[Charge, Waiter]] = []
        self._sent: _Sent | None = None
        self._timed_out: _Sent | None = None
        self._ask_from = -math.inf
        self.credit = AllowanceCredit(allowance)

    @property
    def has_waiting(self) -> bool:
        """Tell whether requests wait for a reply."""
        return bool(self._waiting or (self._sent and self._sent.waiters))

    def is_under_way(self, number: int) -> bool:
        """Tell whether a message has neither been answered nor timed out."""
        return self._sent is not None and self._sent.request.number == number

    def expects(self, number: int) -> bool:
        """Tell whether a reply to a message matters, be it late."""
        late = self._timed_out
        is_late = late is not None and late.request.number == number
        return is_late or self.is_under_way(number)

    def submit(self, charge: Charge, waiter: Waiter, now: float) -> Decision | None:
        """Decide about a request; None if it waits for the allocator."""
        decision = self.credit.decide(charge, now, self._draw())
        if decision is None:
            self._waiting.append((charge, waiter))
        return decision

    def withdraw(self, waiter: Waiter) -> None:
        """Forget a request whose caller has gone; what it is granted is refunded."""
        self._waiting = [item for item in self._waiting if item[1] is not waiter]
        if self._sent is not None:
            self._sent.waiters = [
                None if known is waiter else known for known in self._sent.waiters
            ]

    def next_message(self, version: int, now: float) -> AllowanceRequest | None:
        """Return the message to send now, if any.

        :param version: The version of the configuration in force.
        """
        credit = self.credit
        if self._sent is not None or now < self._ask_from:
            return None
        has_reason = (
            self._waiting
            or credit.is_silent
            or credit.refunded > 0.0
            or credit.wants_credit(now)
        )
        if not has_reason:
            return None
        asked, self._waiting = self._waiting[:MAX_CHARGES], self._waiting[MAX_CHARGES:]
        returned = credit.take_back(now) if asked else credit.take_refunds()
        allowance = credit.allowance
        request = AllowanceRequest(
            self._host,
            next(self._numbers),
            self.organisation,
            version,
            allowance.rate_per_s,
            allowance.burst,
            tuple(charge for charge, _ in asked),
            credit.held(now),
            credit.ahead(now),
            returned,
        )
        self._sent = _Sent(request, [waiter for _, waiter in asked], now)
        return request

    def time_out(
        self, number: int, tolerance: Tolerance, known_hosts: int, now: float
    ) -> tuple[AllowanceRequest | None, Decided]:
        """Return what to send once more, or what is decided without a reply.

        It is called ``RESEND_S`` after a message was sent, each time.

        :param number: The number of that message.
        """
        sent = self._sent
        if sent is None or sent.request.number != number:
            return None, []
        if not sent.is_resent:
            sent.is_resent = True
            return sent.request, []
        return None, self.note_silent(tolerance, known_hosts, now)

    def note_silent(
        self, tolerance: Tolerance, known_hosts: int, now: float
    ) -> Decided:
        """Go on without the allocator; return what is decided about waiting requests.

        :param known_hosts: Number of hosts that may do the same.
        """
        credit = self.credit
        self._ask_from = now + ALLOCATOR_BACKOFF_S
        credit.begin_silence(tolerance, known_hosts, now)
        decided: Decided = []
        sent, self._sent = self._sent, None
        if sent is not None:
            sent.decisions = []
            for charge, waiter in zip(sent.request.charges, sent.waiters, strict=True):
                decision = credit.decide(charge, now, self._draw())
                sent.decisions.append(decision)
                decided.append((waiter, decision))
            self._timed_out = sent
        waiting, self._waiting = self._waiting, []
        for charge, waiter in waiting:
            decided.append((waiter, credit.decide(charge, now, self._draw())))
        return decided

    def receive(
        self, reply: AllowanceReply, tolerance: Tolerance, known_hosts: int, now: float
    ) -> Decided:
        """Handle a reply; return what is decided about waiting requests."""
        sent, late = self._sent, self._timed_out
        if late is not None and reply.number == late.request.number:
            self._receive_late(late, reply, now)
        if sent is None or reply.number != sent.request.number:
            return []
        if reply.outcome is AllowanceOutcome.UNAVAILABLE:
            return self.note_silent(tolerance, known_hosts, now)
        self._sent = self._timed_out = None
        charges = sent.request.charges
        decisions = self.credit.apply(reply, charges, sent.sent_at, now)
        decided: Decided = []
        for charge, waiter, decision in zip(
            charges, sent.waiters, decisions, strict=True
        ):
            if waiter is not None:
                decided.append((waiter, decision))
            elif isinstance(decision, Granted):
                self.credit.refund(charge.cost)
        waiting, self._waiting = self._waiting, []
        for charge, waiter in waiting:
            decision = self.submit(charge, waiter, now)
            if decision is not None:
                decided.append((waiter, decision))
        return decided

    def _receive_late(self, late: _Sent, reply: AllowanceReply, now: float) -> None:
        """Handle a reply after the time-out: the allocator is there after all.

        What it has granted to requests that were denied meanwhile is given back.
        """
        self._timed_out = None
        if reply.outcome is AllowanceOutcome.UNAVAILABLE:
            return
        self._ask_from = now
        charges = late.request.charges
        granted = [wait_s <= 0.0 for wait_s in reply.waits_s]
        unused = sum(
            charge.cost
            for charge, is_granted, decision in zip(
                charges, granted, late.decisions, strict=False
            )
            if is_granted and isinstance(decision, Denied)
        )
        self.credit.apply(reply, (), late.sent_at, now)
        if unused:
            self.credit.refund(unused)

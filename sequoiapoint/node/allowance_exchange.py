"""Exchange of allowance messages: this host's requests, and what it allocates.

The aggregator of one zone, which all hosts derive from the organisation's name,
allocates the organisation's allowance.  Times are those of the clock that runs through
a suspension of the machine: an allocator that was suspended must not grant the refill
of that time, which the hosts have used without it.
"""

import asyncio
import copy
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatchmethod

from sequoiapoint.coordination.allowance_allocator import (
    AllowanceAllocator,
    Tolerance,
    allocating_zone,
)
from sequoiapoint.coordination.allowance_client import (
    RESEND_S,
    AllowanceClient,
    Decided,
)
from sequoiapoint.coordination.allowance_credit import GRANTED, Decision, Denied
from sequoiapoint.node.datagrams import decode_datagram
from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.allowances import (
    AllowanceMessage,
    AllowanceOutcome,
    AllowanceReply,
    AllowanceRequest,
    Charge,
    decode_allowance_message,
    encode_allowance_message,
)
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.gateway import Allowance, Organisation
from sequoiapoint.protocol.message_numbers import message_numbers
from sequoiapoint.state.peers import Peers
from sequoiapoint.transport.clock import monotonic_s, since_boot_s

REFRESH_INTERVAL_S = 0.25
"""Interval at which roles, refunds and the configuration are looked at."""
ALLOCATION_DELAY_S = 1.5
"""Time after its start from which a host allocates: it must know the other hosts."""
ROLE_TTL_S = 0.05
"""Time for which the allocator of an organisation is not determined again."""
SUMMARY_INTERVAL_S = 1.0
"""Interval of the log lines on denied requests."""


@dataclass(frozen=True)
class AllowanceForecast:
    """What a request of an organisation would meet.

    :param decision: None if the allocator would be asked.
    :param held: Units that this host may charge without asking.
    :param units_per_s: Units a second that were admitted here lately.
    :param is_silent: Whether the allocator has not replied lately.
    :param allocator: The allocator's host, "" if it is not known.
    """

    decision: Decision | None
    held: float = 0.0
    units_per_s: float = 0.0
    is_silent: bool = False
    allocator: str = ""


class _Summary:
    """What was denied of one organisation since the last line in the log."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.cost = 0.0
        self.wait_s = 0.0
        self.request_id = ""


class AllowanceExchange:
    """Charges organisations for this host's requests, and allocates allowances."""

    def __init__(self, state: GatewayState, peers: Peers, sender: DigestSender) -> None:
        self._state = state
        self._peers = peers
        self._sender = sender
        bounds = state.settings.bounds
        self._tolerance = Tolerance(
            bounds.allowance_window_s,
            bounds.allowance_over_share,
            bounds.allowance_slack,
        )
        self._numbers = message_numbers(state.started_ms)
        self._clients: dict[str, AllowanceClient] = {}
        self._by_number: dict[int, AllowanceClient] = {}
        self._allocators: dict[str, tuple[float, Member | None]] = {}
        self._allocator = AllowanceAllocator()
        self._assigned: frozenset[str] = frozenset()
        self._known_hosts = 1
        self._started_at = since_boot_s()
        self._denied: dict[str, _Summary] = {}
        self._summary_at = 0.0

    # Requests of this host

    async def admit(
        self,
        organisation: Organisation,
        cost: float,
        caller: int,
        max_wait_s: float = 0.0,
        request_id: str = "",
    ) -> Decision:
        """Charge an organisation for a request, or deny it.

        :param cost: The units that the request costs.
        :param caller: Identifies the caller's request, see :class:`Charge`.
        :param max_wait_s: The longest time after which the caller can come back, in
            seconds.
        """
        allowance = organisation.allowance
        if allowance is None or allowance.rate_per_s <= 0.0:
            return GRANTED
        client = self._client(organisation.name, allowance)
        charge = Charge(cost, caller, max_wait_s)
        waiter = asyncio.get_running_loop().create_future()
        decision = client.submit(charge, waiter, since_boot_s())
        self._send_next(client)
        if decision is None:
            try:
                decision = await waiter
            except asyncio.CancelledError:
                client.withdraw(waiter)
                raise
        if isinstance(decision, Denied):
            self._note_denied(client, charge, decision, request_id)
        return decision

    def refund(self, organisation: Organisation, cost: float) -> None:
        """Give back the charge of a request that has certainly not run.

        It is sent to the allocator with the next message, within a refresh interval.
        """
        client = self._clients.get(organisation.name)
        if client is not None:
            client.credit.refund(cost)
            self._state.metrics.event("allowance_refunded")

    def _client(self, name: str, allowance: Allowance) -> AllowanceClient:
        client = self._clients.get(name)
        if client is None:
            client = self._clients[name] = AllowanceClient(
                self._own.host, name, allowance, self._numbers, self._state.rng.random
            )
        client.credit.set_allowance(allowance)
        return client

    def _send_next(self, client: AllowanceClient) -> None:
        """Send the messages of an organisation that are due."""
        configuration = self._state.configuration
        version = 0 if configuration is None else configuration.version
        while (request := client.next_message(version, since_boot_s())) is not None:
            self._by_number[request.number] = client
            # Set before the message is sent, so that no fault lets requests wait.
            loop = asyncio.get_running_loop()
            timer = loop.call_later(RESEND_S, self._time_out, client, request.number)
            if not self._send(client, request) or client.is_under_way(request.number):
                return
            timer.cancel()

    def _send(self, client: AllowanceClient, request: AllowanceRequest) -> bool:
        """Send a message to the allocator, which may be this host.

        :return: Whether there is one.
        """
        now = since_boot_s()
        member = self._allocator_of(request.organisation, now)
        if member is None:
            self._note_silent(client, "")
            return False
        if member == self._own:
            self._receive(self._allocate(request))
        else:
            self._sender.forward(encode_allowance_message(request), [member])
        return True

    def _time_out(self, client: AllowanceClient, number: int) -> None:
        if not client.is_under_way(number):
            return
        resend, decided = client.time_out(
            number, self._tolerance, self._known_hosts, since_boot_s()
        )
        self._resolve(decided)
        if resend is None:
            member = self._allocators.get(client.organisation, (0.0, None))[1]
            self._log_silent(client, "" if member is None else member.host)
        elif self._send(client, resend):
            loop = asyncio.get_running_loop()
            loop.call_later(RESEND_S, self._time_out, client, number)

    def _note_silent(self, client: AllowanceClient, peer: str) -> None:
        decided = client.note_silent(self._tolerance, self._known_hosts, since_boot_s())
        self._resolve(decided)
        self._log_silent(client, peer)

    def _log_silent(self, client: AllowanceClient, peer: str) -> None:
        self._state.metrics.event("allowance_allocator_silent")
        self._state.log.event(
            "allowance",
            "silent",
            peer=peer,
            organisation=client.organisation,
            units_per_s=round(client.credit.rate_per_s(since_boot_s())),
        )

    @staticmethod
    def _resolve(decided: Decided) -> None:
        for waiter, decision in decided:
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)

    def _receive(self, reply: AllowanceReply) -> None:
        client = self._by_number.pop(reply.number, None)
        if client is None:
            return
        now = since_boot_s()
        decided = client.receive(reply, self._tolerance, self._known_hosts, now)
        self._resolve(decided)
        if reply.outcome is AllowanceOutcome.UNAVAILABLE:
            self._log_silent(client, reply.host)

    @property
    def _own(self) -> Member:
        return self._sender.local_member

    def _allocator_of(self, organisation: str, now: float) -> Member | None:
        """Return the allocator of an organisation, None if it is not known."""
        known = self._allocators.get(organisation)
        if known is not None and 0.0 <= now - known[0] < ROLE_TTL_S:
            return known[1]
        at = monotonic_s()
        zone = allocating_zone(organisation, self._peers.live_zones(at))
        member = None if zone is None else self._peers.zone_aggregator(zone, at)
        self._allocators[organisation] = (now, member)
        return member

    # Messages

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode and handle an allowance message."""
        message = decode_datagram(
            self._state, decode_allowance_message, data, address, "allowance_message"
        )
        if message is None:
            return
        self._handle(message, Member(message.host, "", "{}:{}".format(*address)))

    @singledispatchmethod
    def _handle(self, message: AllowanceMessage, sender: Member) -> None:
        raise TypeError(f"not an allowance message: {type(message).__name__}")

    @_handle.register
    def _(self, message: AllowanceRequest, sender: Member) -> None:
        reply = self._allocate(message)
        self._sender.forward(encode_allowance_message(reply), [sender])

    @_handle.register
    def _(self, message: AllowanceReply, sender: Member) -> None:
        client = self._by_number.get(message.number)
        self._receive(message)
        if client is not None:
            self._send_next(client)

    # Allocation

    def _allocate(self, request: AllowanceRequest) -> AllowanceReply:
        now = since_boot_s()
        if not self._may_allocate(request.organisation, now):
            self._allocator.forget(request.organisation)
            return AllowanceReply(
                self._own.host, request.number, AllowanceOutcome.UNAVAILABLE
            )
        self._note_alive(now)
        return self._allocator.request(
            request,
            self._tolerance,
            self._state.host_count,
            self._known_hosts,
            now,
            self._state.rng.random(),
        )

    def _may_allocate(self, organisation: str, now: float) -> bool:
        """Tell whether this host allocates an organisation's allowance.

        A host that drains goes on, as the others follow it until it has stopped.
        """
        is_new = now - self._started_at < ALLOCATION_DELAY_S
        is_chosen = self._allocator_of(organisation, now) == self._own
        return is_chosen and not is_new and not self._peers.is_preceded(monotonic_s())

    def _note_alive(self, now: float) -> None:
        if self._allocator.note_alive(now):
            self._state.metrics.event("allowance_allocator_suspended")
            self._state.log.event("allowance", "suspended")

    # Upkeep

    async def run(self) -> None:
        """Keep roles and credit up to date until the process stops."""
        while True:
            self.refresh()
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def refresh(self) -> None:
        """Apply the configuration and this host's role; send what is given back."""
        now = since_boot_s()
        self._note_alive(now)
        self._known_hosts = max(
            self._state.recent_max_host_count,
            len(self._peers.retained(monotonic_s())) + 1,
        )
        configuration = self._state.configuration
        version = 0 if configuration is None else configuration.version
        allowances = self._allowances()
        assigned = {
            name: allowance
            for name, allowance in allowances.items()
            if self._may_allocate(name, now)
        }
        self._allocator.assign(assigned, version, self._tolerance, now)
        if bool(assigned) != bool(self._assigned):
            outcome = "started" if assigned else "stopped"
            self._state.log.event("allowance", outcome, organisations=len(assigned))
        self._assigned = frozenset(assigned)
        for name in [name for name in self._clients if name not in allowances]:
            if not self._clients[name].has_waiting:
                del self._clients[name]
        for client in list(self._clients.values()):
            if client.organisation in allowances:
                client.credit.set_allowance(allowances[client.organisation])
            if client.credit.refunded > 0.0:
                self._send_next(client)
        self._by_number = {
            number: client
            for number, client in self._by_number.items()
            if client.expects(number)
        }
        if now - self._summary_at >= SUMMARY_INTERVAL_S:
            self._summary_at = now
            self._log_denied()

    def _allowances(self) -> Mapping[str, Allowance]:
        """Return the allowances in force by organisation."""
        configuration = self._state.configuration
        if configuration is None or configuration.organisations is None:
            return {}
        return {
            organisation.name: organisation.allowance
            for organisation in configuration.organisations.values()
            if organisation.allowance is not None
            and organisation.allowance.rate_per_s > 0.0
        }

    def _note_denied(
        self, client: AllowanceClient, charge: Charge, denied: Denied, request_id: str
    ) -> None:
        summary = self._denied.setdefault(client.organisation, _Summary())
        outcome = "silent" if client.credit.is_silent else "over_allowance"
        summary.counts[outcome] += 1
        summary.cost += charge.cost
        summary.wait_s = denied.wait_s
        summary.request_id = request_id

    def _log_denied(self) -> None:
        """Log what was denied since the last time, a line for each organisation."""
        denied, self._denied = self._denied, {}
        now = since_boot_s()
        for name, summary in denied.items():
            client = self._clients.get(name)
            member = self._allocator_of(name, now)
            self._state.log.event(
                "allowance",
                "denied",
                organisation=name,
                requests=summary.counts.total(),
                without_allocator=summary.counts["silent"],
                asked=round(summary.cost),
                held=0 if client is None else round(client.credit.held(now)),
                units_per_s=round(client.credit.rate_per_s(now)) if client else 0,
                allocator="" if member is None else member.host,
                last_wait_s=round(summary.wait_s, 2),
                last_request=summary.request_id,
            )

    # Read-only: what a request would meet

    def forecast(
        self, organisation: Organisation, charge: Charge, draw: float
    ) -> AllowanceForecast:
        """Return what ``admit`` would decide now; nothing is charged or asked.

        :param draw: A random number from 0 to 1.
        """
        allowance = organisation.allowance
        if allowance is None or allowance.rate_per_s <= 0.0:
            return AllowanceForecast(GRANTED)
        now = since_boot_s()
        member = self._allocator_of(organisation.name, now)
        allocator = "" if member is None else member.host
        client = self._clients.get(organisation.name)
        if client is None:
            return AllowanceForecast(None, allocator=allocator)
        # The decision charges the credit, so it is made with a copy.
        credit = copy.deepcopy(client.credit)
        credit.set_allowance(allowance)
        return AllowanceForecast(
            credit.decide(charge, now, draw),
            client.credit.held(now),
            client.credit.rate_per_s(now),
            client.credit.is_silent,
            allocator,
        )

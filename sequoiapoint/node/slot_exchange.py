"""Exchange of slot messages: this host's requests for slots, and its zone's allocator.

The aggregator of each zone allocates the slots of the zone's engines.  A host that
cannot reach an allocator chooses among the engines of that zone by itself for a while.
The slots of all plain servers of a service are allocated by one zone, as such a service
has few of them, and each request can be run by any.

The slots of brittle servers are allocated for any service and number of hosts, and what
is not granted is not sent: only the allocator knows what all hosts send together.
"""

import asyncio
from collections.abc import Iterator, Mapping
from functools import singledispatchmethod

from sequoiapoint.coordination import rendezvous
from sequoiapoint.coordination.permit_allocator import allocating_zone, granted_rate
from sequoiapoint.coordination.slot_allocator import (
    Engine,
    SlotAllocator,
    plain_slots,
    released,
    withdrawn,
)
from sequoiapoint.node.datagrams import decode_datagram
from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.digests import Digest, Member, Scope
from sequoiapoint.protocol.gateway import Incarnation, ServerEntry
from sequoiapoint.protocol.message_numbers import message_numbers
from sequoiapoint.protocol.slots import (
    SlotMessage,
    SlotOutcome,
    SlotQuality,
    SlotRelease,
    SlotReply,
    SlotRequest,
    decode_slot_message,
    encode_slot_message,
)
from sequoiapoint.state.peers import Peers
from sequoiapoint.transport.clock import monotonic_s, pause_to_tick_s

REPLY_TIMEOUT_S = 0.06
"""Timeout of a request for a slot: ten round trips between zones, and short against the
latency goals of streams."""
BRITTLE_REPLY_TIMEOUT_S = 0.25
"""The same for brittle servers, where the host has no choice of its own."""
ALLOCATOR_BACKOFF_S = 0.5
"""Time for which an allocator that has not replied is not asked."""
ALLOCATOR_WARM_UP_S = 0.6
"""Time after which a new allocator has the reports of the hosts of its zone."""
BRITTLE_WARM_UP_S = 1.5
"""The same for brittle servers: a report may be lost, and hosts of other zones have to
learn of the new allocator."""
MAX_REFRESH_GAP_S = 1.0
"""Time without a refresh after which an allocator begins anew: it has not run, and
another one may have granted slots meanwhile."""
MAX_GRANT_AGE_S = 2.0
"""Time since a request has last asked after which its slot at a brittle server is no
longer used: less than the time after which the allocator forgets a silent host."""
BRITTLE_REPORT_INTERVAL_S = 0.4
"""Interval of the reports to the allocators of other zones' brittle servers."""
REFRESH_INTERVAL_S = 0.1
"""Interval at which an allocator takes over changes of engines and expires requests."""
FOREIGN_REPORT_INTERVAL_S = 1.0
"""Interval of the reports to the allocators of other zones; they correct only what lost
messages have left behind."""
MIN_SHARING_HOSTS = 17
"""Number of hosts from which slots are allocated.  Fewer hosts know the load of engines
well enough from their own requests."""


class SlotTicket:
    """One request's search for a slot.

    Leaving the context withdraws the request at every allocator that may have queued
    it, except at the one that has granted a slot, and gives back an unused slot.

    :ivar is_used: Whether the granted slot is used beyond the context.
    :ivar number: Identifies the request in messages.
    :ivar wait_s: The expected wait that the allocator asked last has named, in seconds;
        0 if it has named none.
    :ivar awaited: The address of the allocator whose reply is awaited.
    :ivar candidates: The servers that were asked for, which can run the request.
    :ivar grant: The granted slot, None if there is none.
    """

    def __init__(self, exchange: "SlotExchange", number: int) -> None:
        self._exchange = exchange
        self.number = number
        self.is_used = False
        self.wait_s = 0.0
        self.grant: SlotReply | None = None
        self.granted_by: Member | None = None
        self.asked: dict[str, Member] = {}
        self.candidates: set[str] = set()
        self.asked_at = 0.0
        self.awaited = ""
        self.reply: asyncio.Future[SlotReply] | None = None

    def may_use(self, server: Incarnation, now: float) -> bool:
        """Tell whether the granted slot is at a server, and still valid."""
        return (
            self.grant is not None
            and self.grant.engine == server
            and now - self.asked_at <= MAX_GRANT_AGE_S
        )

    def may_take(self, grant: SlotReply) -> bool:
        """Tell whether the request can use a grant, and has none yet.

        An allocator of an earlier build repeats what it has granted to the same number
        in a former process of this host, so the server must be one that was asked for.
        """
        return self.grant is None and grant.engine[0] in self.candidates

    def __enter__(self) -> "SlotTicket":
        """Start to receive replies."""
        self._exchange.open(self)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop receiving replies, and withdraw the request."""
        self._exchange.close(self)


class SlotExchange:
    """Requests slots for this host, and allocates those of its zone if it is asked to.

    :ivar allocator: The slots of this zone's engines, while this host is the zone's
        aggregator.
    """

    def __init__(self, state: GatewayState, peers: Peers, sender: DigestSender) -> None:
        self._state = state
        self._peers = peers
        self._sender = sender
        self._numbers = message_numbers(state.started_ms)
        self._tickets: dict[int, SlotTicket] = {}
        self._unreachable_until: dict[str, float] = {}
        self._is_aggregator = False
        self._is_allocating = False
        self._aggregator_since = self._refreshed_at = 0.0
        self._requesting_hosts: dict[str, Member] = {}
        self._reported_at = 0.0
        self._reported_zones: set[str] = set()
        self.allocator = SlotAllocator(state.speeds)

    def is_plain(self, entry: ServerEntry) -> bool:
        """Tell whether a server is one of a service without engines."""
        configuration = self._state.configuration
        if configuration is None:
            return False
        service = configuration.services.get(entry.service)
        return service is not None and service.engine is None

    def plain_zone(self, service: str, now: float) -> str:
        """Return the zone whose allocator grants the slots of a service's servers.

        If the hosts are cut off from each other, each part has its own allocator.
        """
        zones = self._peers.live_zones(now)
        return rendezvous.highest(service, zones) or self._own.zone

    def allocating_zone(self, zone: str, now: float) -> str:
        """Return the zone whose allocator grants the slots of a zone's brittle servers.

        It is another one if no host of the zone is live.
        """
        return allocating_zone(zone, self._peers.live_zones(now)) or zone

    @property
    def is_active(self) -> bool:
        """Tell whether there are so many hosts that slots are allocated."""
        return self._state.recent_max_host_count >= MIN_SHARING_HOSTS

    async def run(self) -> None:
        """Keep the allocation up to date until the process stops."""
        while True:
            await asyncio.sleep(pause_to_tick_s(REFRESH_INTERVAL_S))
            self.refresh(monotonic_s())

    # Requests of this host

    def ticket(self) -> SlotTicket:
        """Return a ticket for one request."""
        return SlotTicket(self, next(self._numbers))

    def open(self, ticket: SlotTicket) -> None:
        """Start to receive replies for a ticket."""
        self._tickets[ticket.number] = ticket

    def close(self, ticket: SlotTicket) -> None:
        """Stop receiving replies for a ticket, and withdraw its request."""
        del self._tickets[ticket.number]
        message = withdrawn(self._own.host, ticket.number)
        for member in ticket.asked.values():
            if member != ticket.granted_by:
                self._send(message, member)
        if not ticket.is_used:
            self.release(ticket, SlotQuality.UNUSED)

    async def ask(
        self,
        ticket: SlotTicket,
        zone: str,
        request: SlotRequest,
        are_brittle: bool = False,
    ) -> SlotOutcome:
        """Ask a zone's allocator for a slot.

        :param are_brittle: Whether the slot is one of brittle servers.
        :return: ``GRANTED`` if the ticket has a grant now, perhaps from another zone;
            ``UNAVAILABLE`` if the allocator is not known or does not reply.
        """
        now = monotonic_s()
        member = self.reachable_allocator(zone, now)
        if member is None:
            return SlotOutcome.UNAVAILABLE
        ticket.asked[member.address] = member
        ticket.candidates.update(request.candidates)
        ticket.asked_at = now
        ticket.awaited, ticket.wait_s = member.address, 0.0
        ticket.reply = asyncio.get_running_loop().create_future()
        self._send(request, member)
        timeout_s = BRITTLE_REPLY_TIMEOUT_S if are_brittle else REPLY_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                reply = await ticket.reply
        except TimeoutError:
            self._unreachable_until[member.address] = now + ALLOCATOR_BACKOFF_S
            self._state.metrics.event("slot_allocator_silent")
            self._state.log.event(
                "slot_allocator", "silent", peer=member.host, zone=zone
            )
            return SlotOutcome.UNAVAILABLE
        finally:
            ticket.reply = None
        if reply.outcome is SlotOutcome.UNAVAILABLE:
            self._unreachable_until[member.address] = now + ALLOCATOR_BACKOFF_S
        ticket.wait_s = reply.wait_s
        return reply.outcome

    def release(
        self,
        ticket: SlotTicket,
        quality: SlotQuality,
        slowness: float | None = None,
        relative_time: float | None = None,
    ) -> None:
        """Release a ticket's slot; the speed is that of ``SlotRelease``."""
        if ticket.grant is not None and ticket.granted_by is not None:
            message = released(ticket.grant, quality, slowness, relative_time)
            self._send(message, ticket.granted_by)
            ticket.grant = None

    def report(self, counts: Mapping[Incarnation, int], now: float) -> None:
        """Report this host's running requests to the allocators of other zones."""
        are_brittle = self._state.brittle.has_any(now)
        if not (self.is_active or are_brittle):
            return
        interval_s = (
            BRITTLE_REPORT_INTERVAL_S if are_brittle else FOREIGN_REPORT_INTERVAL_S
        )
        if now - self._reported_at < interval_s:
            return
        self._reported_at = now
        by_zone: dict[str, dict[Incarnation, int]] = {}
        for incarnation, count in counts.items():
            entry = self._state.fleet.entries.get(incarnation[0])
            if entry is None:
                continue
            zone = entry.zone
            if are_brittle and self._state.brittle.is_brittle(entry, now):
                zone = self.allocating_zone(zone, now)
            elif self.is_active and self.is_plain(entry):
                zone = self.plain_zone(entry.service, now)
            if zone != self._own.zone:
                by_zone.setdefault(zone, {})[incarnation] = count
        for zone in by_zone.keys() | self._reported_zones:
            # The standby becomes the allocator when the first one is silent.
            members = self._peers.relays(zone, now)[: 2 if are_brittle else 1]
            report = self._sender.build_digest(
                scope=Scope.HOST, counts=tuple(by_zone.get(zone, {}).items())
            )
            self._sender.send(report, members)
        self._reported_zones = set(by_zone)

    def _allocator_of(self, zone: str, now: float) -> Member | None:
        if zone == self._own.zone:
            if self._is_aggregator:
                return self._own
            peer = self._peers.peer(self._peers.aggregator_host)
            return None if peer is None else peer.member
        return next(iter(self._peers.relays(zone, now)), None)

    @property
    def _own(self) -> Member:
        return self._sender.local_member

    # Messages

    def _send(self, message: SlotMessage, member: Member) -> None:
        if member == self._own:
            self._handle(message, member)
        else:
            self._sender.forward(encode_slot_message(message), [member])

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode and handle a slot message."""
        message = decode_datagram(
            self._state, decode_slot_message, data, address, "slot_message"
        )
        if message is None:
            return
        self._handle(message, Member(message.host, "", "{}:{}".format(*address)))

    @singledispatchmethod
    def _handle(self, message: SlotMessage, sender: Member) -> None:
        raise TypeError(f"not a slot message: {type(message).__name__}")

    @_handle.register
    def _(self, message: SlotRequest, sender: Member) -> None:
        now = monotonic_s()
        is_running = now - self._refreshed_at <= MAX_REFRESH_GAP_S
        if (
            self._is_allocating
            and is_running
            and not self._are_allocated_elsewhere(message.candidates)
        ):
            self._requesting_hosts[message.host] = sender
            reply = self.allocator.request(message, now)
        else:
            reply = SlotReply(message.host, message.number, SlotOutcome.UNAVAILABLE)
        self._reply(reply, sender)

    @_handle.register
    def _(self, message: SlotRelease, sender: Member) -> None:
        self._send_grants(self.allocator.release(message, monotonic_s()))

    @_handle.register
    def _(self, message: SlotReply, sender: Member) -> None:
        if message.outcome is not SlotOutcome.UNAVAILABLE:
            self._unreachable_until.pop(sender.address, None)
        ticket = self._tickets.get(message.number)
        if message.host != self._own.host:
            ticket = None
        is_granted = message.outcome is SlotOutcome.GRANTED
        if is_granted and (ticket is None or not ticket.may_take(message)):
            self._give_back(message, ticket, sender)
            return
        if ticket is None:
            return
        if is_granted:
            ticket.grant = message
            ticket.granted_by = ticket.asked.get(sender.address, sender)
        is_from_other = sender.address in ticket.asked.keys() - {ticket.awaited}
        if not is_granted and is_from_other:
            # Its wait is not that of the allocator that is asked now.
            return
        if ticket.reply is not None and not ticket.reply.done():
            ticket.reply.set_result(message)
        elif is_granted:
            self._state.wait_queue.wake(message.number)

    def _give_back(
        self, grant: SlotReply, ticket: SlotTicket | None, sender: Member
    ) -> None:
        """Release a slot that its ticket does not take, unless it has that slot."""
        if ticket is not None and ticket.grant == grant:
            return
        if ticket is not None and ticket.grant is None:
            self._state.log.event(
                "slot_allocator",
                "mismatched",
                peer=sender.host,
                server=grant.engine[0],
            )
        self._send(released(grant, SlotQuality.UNUSED), sender)

    def _reply(self, reply: SlotReply, member: Member) -> None:
        if member == self._own:
            self._handle(reply, self._own)
        else:
            self._sender.forward(encode_slot_message(reply), [member])

    def _are_allocated_elsewhere(self, candidates: tuple[str, ...]) -> bool:
        """Tell whether all candidates are plain servers that are not allocated here.

        Hosts may differ for a moment on which zones are live.  The requesting host then
        chooses by itself, rather than wait in a queue that grants nothing.
        """
        entries = [self._state.fleet.entries.get(server) for server in candidates]
        now = monotonic_s()
        return bool(entries) and all(
            entry is not None
            and self.is_plain(entry)
            and not self._state.brittle.is_brittle(entry, now)
            and not self.allocator.allocates(entry.incarnation)
            for entry in entries
        )

    # Allocation for this zone

    def handle_report(self, digest: Digest, now: float) -> None:
        """Take over a host's report of its running requests."""
        if self._is_aggregator and digest.scope is Scope.HOST:
            self.allocator.set_report(digest.host, dict(digest.counts), now)

    def refresh(self, now: float) -> None:
        """Take over changes of engines, and grant the slots that are free."""
        self._update_role(now)
        if not self._is_aggregator:
            return
        configuration = self._state.configuration
        if configuration is not None:
            self.allocator.set_weights(configuration.organisation_weights)
        self.allocator.set_engines(self._engines(now), now)
        self.allocator.set_report(self._own.host, self._state.loads.local_counts(), now)
        self.allocator.expire(now)
        if self._is_allocating:
            self._send_grants(self.allocator.grant_queued(now))

    def _engines(self, now: float) -> Iterator[Engine]:
        """Yield the engines of this zone, and the brittle servers allocated here."""
        fleet, own_zone = self._state.fleet, self._own.zone
        for entry in fleet.entries.values():
            if not fleet.is_staying(entry):
                continue
            if self._state.brittle.is_brittle(entry, now):
                if self.allocating_zone(entry.zone, now) == own_zone:
                    slots = self._brittle_slots(entry, now)
                    yield Engine(entry.incarnation, slots, is_brittle=True)
            elif self.is_plain(entry):
                is_here = self.plain_zone(entry.service, now) == own_zone
                if is_here and self.is_active:
                    slots = self._visible_share(plain_slots(entry.slots))
                    yield Engine(entry.incarnation, slots)
            elif entry.zone == own_zone:
                yield Engine(entry.incarnation, entry.slots)

    def _brittle_slots(self, entry: ServerEntry, now: float) -> int:
        """Return the slots of a brittle server to grant, see ``granted_rate``."""
        if now - self._aggregator_since < BRITTLE_WARM_UP_S:
            return 0
        return self._visible_share(entry.slots)

    def _visible_share(self, slots: int) -> int:
        """Return the part of a server's slots to grant, see ``granted_rate``."""
        state = self._state
        share = granted_rate(slots, state.host_count, state.recent_max_host_count)
        return max(1, int(share))

    def _update_role(self, now: float) -> None:
        """Start to allocate when this host becomes its zone's aggregator, or stop."""
        is_aggregator = not self._state.is_draining and self._peers.is_aggregator(now)
        has_paused = now - self._refreshed_at > MAX_REFRESH_GAP_S
        self._refreshed_at = now
        if is_aggregator != self._is_aggregator or (is_aggregator and has_paused):
            self._is_aggregator = is_aggregator
            self._aggregator_since = now
            self._requesting_hosts.clear()
            self.allocator = SlotAllocator(self._state.speeds)
            self._state.log.event(
                "slot_allocator", "started" if is_aggregator else "stopped"
            )
        self._is_allocating = (
            is_aggregator and now - self._aggregator_since >= ALLOCATOR_WARM_UP_S
        )

    def _send_grants(self, grants: list[SlotReply]) -> None:
        for grant in grants:
            self._reply(grant, self._requesting_hosts[grant.host])

    # Read-only: what a request would meet.  Explanations call them too.

    def reachable_allocator(self, zone: str, now: float) -> Member | None:
        """Return a zone's allocator, None if it is not known or has not replied."""
        member = self._allocator_of(zone, now)
        if member is None or now < self._unreachable_until.get(member.address, 0.0):
            return None
        return member

    def expected_wait_s(
        self, zone: str, request: SlotRequest, now: float
    ) -> float | None:
        """Return the expected wait of a request that is not sent, in seconds.

        If this host is the zone's allocator, it is that of its queue.  Otherwise it is
        what the allocator has last replied to a request that waits at this host.

        :return: None if nothing is known.
        """
        member = self.reachable_allocator(zone, now)
        if member is None:
            return None
        if member == self._own:
            if not self._is_allocating:
                return None
            return self.allocator.expected_wait_s(request, now)
        told = [
            ticket
            for ticket in self._tickets.values()
            if ticket.wait_s and ticket.awaited == member.address
        ]
        if not told:
            return None
        newest = max(told, key=lambda ticket: ticket.asked_at)
        return max(0.0, newest.asked_at + newest.wait_s - now)

"""Exchange of permit messages: this host's requests, and the servers that it allocates.

The aggregator of a server's zone allocates the permits of that server while it names a
limit.  A host that cannot reach the allocator sends nothing to the server: every other
host may be using the whole limit.
"""

import asyncio
from dataclasses import dataclass
from functools import singledispatchmethod

from sequoiapoint.coordination.permit_allocator import (
    PermitAllocator,
    allocating_zone,
    granted_rate,
)
from sequoiapoint.node.datagrams import decode_datagram
from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.gateway import Incarnation, ServerEntry
from sequoiapoint.protocol.message_numbers import message_numbers
from sequoiapoint.protocol.permits import (
    PermitMessage,
    PermitOutcome,
    PermitReply,
    PermitRequest,
    decode_permit_message,
    encode_permit_message,
)
from sequoiapoint.state.peers import Peers
from sequoiapoint.transport.clock import monotonic_s

REPLY_TIMEOUT_S = 0.06
"""Timeout of a request for a permit: ten round trips between zones."""
ALLOCATOR_BACKOFF_S = 0.5
"""Time for which an allocator that has not replied is not asked: a digest interval,
after which another one may have taken over."""
PERMIT_TTL_S = 0.4
"""Time within which a permit must be used: longer than a connection takes to open, and
short against the windows in which servers count their requests."""


@dataclass(frozen=True)
class Permit:
    """The permission to send one request to a server process.

    :param expires_at: The time until which it may be used, in seconds.
    """

    server: Incarnation
    expires_at: float


@dataclass(frozen=True)
class Denial:
    """A server with a limit can get no further request now.

    :param wait_s: The time until it can, in seconds.
    :param is_reserved: Whether the caller then gets a permit that others do not get.
    """

    wait_s: float
    is_reserved: bool = False


class PermitExchange:
    """Requests permits for this host, and allocates those of its zone's servers."""

    def __init__(self, state: GatewayState, peers: Peers, sender: DigestSender) -> None:
        self._state = state
        self._peers = peers
        self._sender = sender
        self._numbers = message_numbers(state.started_ms)
        # By number: the allocator that was asked, and its reply.
        self._replies: dict[int, tuple[Member, asyncio.Future[PermitReply]]] = {}
        self._unreachable_until: dict[str, float] = {}
        self._denied_until: dict[Incarnation, float] = {}
        self._is_allocating = False
        self._allocator = PermitAllocator()

    async def acquire(
        self,
        entry: ServerEntry,
        caller: int,
        max_wait_s: float = 0.0,
        asks_anew: bool = True,
    ) -> Permit | Denial:
        """Acquire a permit to send one request to a server with a limit.

        :param caller: Identifies the caller's request, see :class:`PermitRequest`.
        :param max_wait_s: The longest time for which to reserve a permit, in seconds.
        :param asks_anew: Whether to ask the allocator even if it has denied a permit to
            another request, and the time that it has stated is not over.
        """
        now = monotonic_s()
        server = entry.incarnation
        denial = self.known_denial(entry, now)
        if not asks_anew and denial is not None:
            return denial
        reply = await self._ask(entry, caller, max_wait_s, now)
        now = monotonic_s()
        if reply is None:
            return Denial(ALLOCATOR_BACKOFF_S)
        if reply.outcome is PermitOutcome.GRANTED:
            self._denied_until.pop(server, None)
            return Permit(server, now + PERMIT_TTL_S)
        self._denied_until[server] = now + reply.wait_s
        return Denial(reply.wait_s, reply.is_reserved)

    async def _ask(
        self, entry: ServerEntry, caller: int, max_wait_s: float, now: float
    ) -> PermitReply | None:
        """Return the allocator's reply, None if it cannot be reached."""
        member = self.reachable_allocator(entry.zone, now)
        if member is None:
            return None
        limits = self._state.limits
        request = PermitRequest(
            self._own.host,
            next(self._numbers),
            entry.incarnation,
            entry.zone,
            caller,
            max_wait_s,
            limits.per_s(entry.incarnation) or 0.0,
            limits.age_s(entry.incarnation, now),
        )
        if member == self._own:
            reply = self._allocate(request, now)
        else:
            reply = await self._call(request, member)
        if reply is None or reply.outcome is PermitOutcome.UNAVAILABLE:
            self._unreachable_until[member.address] = now + ALLOCATOR_BACKOFF_S
            self._state.metrics.event("permit_allocator_silent")
            self._state.log.event(
                "permit_allocator",
                "silent" if reply is None else "unavailable",
                peer=member.host,
                server=entry.server,
            )
            return None
        return reply

    async def _call(self, request: PermitRequest, member: Member) -> PermitReply | None:
        reply = asyncio.get_running_loop().create_future()
        self._replies[request.number] = member, reply
        self._sender.forward(encode_permit_message(request), [member])
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._replies[request.number]

    def _allocator_of(self, server_zone: str, now: float) -> Member | None:
        zone = allocating_zone(server_zone, self._peers.live_zones(now))
        return None if zone is None else self._peers.zone_aggregator(zone, now)

    @property
    def _own(self) -> Member:
        return self._sender.local_member

    # Messages

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode and handle a permit message."""
        message = decode_datagram(
            self._state, decode_permit_message, data, address, "permit_message"
        )
        if message is None:
            return
        self._handle(message, Member(message.host, "", "{}:{}".format(*address)))

    @singledispatchmethod
    def _handle(self, message: PermitMessage, sender: Member) -> None:
        raise TypeError(f"not a permit message: {type(message).__name__}")

    @_handle.register
    def _(self, message: PermitRequest, sender: Member) -> None:
        reply = self._allocate(message, monotonic_s())
        self._sender.forward(encode_permit_message(reply), [sender])

    @_handle.register
    def _(self, message: PermitReply, sender: Member) -> None:
        member, reply = self._replies.get(message.number, (None, None))
        if member is None or message.host != self._own.host:
            return
        if sender.address == member.address and not reply.done():
            reply.set_result(message)

    # Allocation

    def _allocate(self, request: PermitRequest, now: float) -> PermitReply:
        if not self._may_allocate(request.zone, now):
            outcome = PermitOutcome.UNAVAILABLE
            return PermitReply(request.host, request.number, outcome)
        state = self._state
        state.note_server_limit(
            request.server,
            request.limit_per_s,
            request.host,
            now - request.limit_age_s,
        )
        limit_per_s = state.limits.per_s(request.server)
        if limit_per_s is None:
            # It has ended since the host has last heard of it.
            return PermitReply(request.host, request.number, PermitOutcome.GRANTED)
        rate = granted_rate(limit_per_s, state.host_count, state.recent_max_host_count)
        return self._allocator.request(request, rate, now)

    def _may_allocate(self, server_zone: str, now: float) -> bool:
        """Tell whether this host allocates the permits of the servers of a zone.

        A host that drains goes on, as the others follow it until it has stopped.
        """
        is_allocating = self._peers.is_aggregator(now)
        if is_allocating != self._is_allocating:
            self._is_allocating = is_allocating
            self._allocator = PermitAllocator()
            self._state.log.event(
                "permit_allocator", "started" if is_allocating else "stopped"
            )
        zone = allocating_zone(server_zone, self._peers.live_zones(now))
        is_in_zone = zone == self._own.zone
        return is_allocating and is_in_zone and not self._peers.is_preceded(now)

    def refresh(self) -> None:
        """Forget the servers that no longer name a limit."""
        limited = self._state.limits.limited()
        self._allocator.retain(limited)
        self._denied_until = {
            server: until
            for server, until in self._denied_until.items()
            if server in limited
        }

    # Read-only: what a request would meet.  Explanations call them too.

    def known_denial(self, entry: ServerEntry, now: float) -> Denial | None:
        """Return the denial of a server's permits that still holds, if any."""
        denied_s = self._denied_until.get(entry.incarnation, 0.0) - now
        return Denial(denied_s) if denied_s > 0.0 else None

    def reachable_allocator(self, server_zone: str, now: float) -> Member | None:
        """Return the allocator of the permits of a zone's servers.

        :return: None if it is not known or has not replied lately.
        """
        member = self._allocator_of(server_zone, now)
        if member is None or now < self._unreachable_until.get(member.address, 0.0):
            return None
        return member

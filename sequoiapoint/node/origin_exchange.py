"""Tells other hosts which server began a stream, and asks them for it.

A stream may go on only at the software version that began it.  That version is known if
the process behind the connection is certain: the list of servers, as it was soon after
the connection was opened, still names the process to which it was thought to lead.  A
server that restarts under its id registers itself within that time.
"""

import asyncio
from functools import singledispatchmethod

from sequoiapoint.coordination import origin_replicas
from sequoiapoint.coordination.origin_replicas import HashRing
from sequoiapoint.node.datagrams import decode_datagram
from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.origin_store import OriginStore
from sequoiapoint.node.store_watch import StoreWatch
from sequoiapoint.node.version_history import VersionHistoryStore
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.protocol.message_numbers import message_numbers
from sequoiapoint.protocol.origins import (
    Origin,
    OriginBatch,
    OriginMessage,
    OriginQuery,
    OriginRecord,
    OriginReply,
    decode_origin_message,
    encode_origin_message,
)
from sequoiapoint.state.peers import Peers
from sequoiapoint.state.stream_origins import (
    REGISTRATION_S,
    VERSION_HISTORY_S,
    StreamOrigin,
    StreamOrigins,
)
from sequoiapoint.transport.clock import monotonic_s

REPLY_TIMEOUT_S = 0.06
"""Timeout of a query: ten round trips between zones."""
QUERY_ROUNDS = 2
"""Number of times that a stream is asked for, as datagrams may be lost."""
MAX_CONFIRMATION_S = 1.2
"""Time for which a request waits until a process is certain; below the two seconds
after which callers abandon a stream."""
REFRESH_TIMEOUT_S = 0.4
"""Timeout of a read of the servers' list for such requests."""
REFRESH_RETRY_S = 0.1
"""Pause after a read that did not bring a newer list."""
ENTRY_CHECK_INTERVAL_S = 0.1
"""Interval of the check whether a server has written another entry."""


class OriginExchange:
    """Remembers the origins of streams, with the help of other hosts.

    :ivar origins: The origins that this host remembers.
    :ivar stored: The origins in the platform's store.
    :ivar history: The versions that served before this host's start.
    """

    def __init__(
        self,
        state: GatewayState,
        watch: StoreWatch,
        peers: Peers,
        sender: DigestSender,
        stored: OriginStore,
        history: VersionHistoryStore,
    ) -> None:
        self._state = state
        self._watch = watch
        self._peers = peers
        self._sender = sender
        self._numbers = message_numbers(state.started_ms)
        # By number: the stream that was asked for, and its origin.
        self._queries: dict[int, tuple[str, asyncio.Future[Origin]]] = {}
        self._rings: dict[tuple[str, ...], HashRing] = {}
        self._refresh: asyncio.Task[object] | None = None
        self.origins = StreamOrigins()
        self.stored = stored
        self.history = history

    # Origins of streams

    def record(self, stream: str, origin: StreamOrigin) -> None:
        """Remember the origin of a stream, here and at other hosts.

        :param stream: The id of the caller's attempt that received the first event.
        """
        now = monotonic_s()
        self.origins.put(stream, origin, now)
        message = encode_origin_message(OriginRecord(stream, _encode(origin, now)))
        self._sender.forward(message, self._replica_hosts(stream, now))

    async def find(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream, from this host or another one.

        :return: None if it is not known to any host that was asked.
        """
        for _ in range(QUERY_ROUNDS):
            now = monotonic_s()
            origin = self.origins.get(stream, now)
            if origin is not None:
                return origin
            reply = await self._ask(stream, self._hosts_to_ask(stream, now))
            if reply is not None:
                now = monotonic_s()
                origin = StreamOrigin(
                    reply.version, reply.server, now - reply.connected_age_s
                )
                self.origins.put(stream, origin, now)
                return origin
        return None

    async def _ask(self, stream: str, members: list[Member]) -> Origin | None:
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._queries[number] = stream, reply
        self._sender.forward(
            encode_origin_message(OriginQuery(stream, number)), members
        )
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._queries[number]

    # Hosts that remember

    def _ring(self, names: tuple[str, ...]) -> HashRing:
        ring = self._rings.get(names)
        if ring is None:
            # One ring of hosts and one of zones is in use at a time.
            if len(self._rings) > 2:
                self._rings.clear()
            ring = self._rings[names] = HashRing(names)
        return ring

    def _zone_members(self, stream: str, count: int, now: float) -> list[Member]:
        """Return the first hosts of the own zone for a stream, without this one."""
        own = self._sender.local_member.host
        names = self._ring(self._peers.zone_host_names(now)).successors(
            stream, count + 1
        )
        members = [self._peers.member(name) for name in names if name != own]
        return [member for member in members if member is not None][:count]

    def _replica_hosts(self, stream: str, now: float) -> list[Member]:
        members = self._zone_members(stream, origin_replicas.MAX_REPLICAS_IN_ZONE, now)
        zones = origin_replicas.replica_zones(
            self._ring(self._peers.live_zones(now)),
            stream,
            self._sender.local_member.zone,
            len(members),
        )
        for zone in zones:
            relays = {member.host: member for member in self._peers.relays(zone, now)}
            relay = origin_replicas.replica_relay(list(relays), stream)
            if relay is not None:
                members.append(relays[relay])
        return members

    def _hosts_to_ask(self, stream: str, now: float) -> list[Member]:
        members = self._zone_members(stream, origin_replicas.ASKED_IN_ZONE, now)
        zones = self._ring(self._peers.live_zones(now)).successors(
            stream, origin_replicas.ASKED_ZONES
        )
        for zone in {*zones, self._sender.local_member.zone}:
            members += self._peers.relays(zone, now)
        return members

    # Messages

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode and handle a message about origins."""
        message = decode_datagram(
            self._state, decode_origin_message, data, address, "origin_message"
        )
        if message is None:
            return
        self._handle(message, Member("", "", "{}:{}".format(*address)))

    @singledispatchmethod
    def _handle(self, message: OriginMessage, sender: Member) -> None:
        raise TypeError(f"not a message about origins: {type(message).__name__}")

    @_handle.register
    def _(self, message: OriginRecord, sender: Member) -> None:
        now = monotonic_s()
        connected_at = now - message.origin.connected_age_s
        origin = StreamOrigin(
            message.origin.version, message.origin.server, connected_at
        )
        self.origins.put(message.stream, origin, now)

    @_handle.register
    def _(self, message: OriginQuery, sender: Member) -> None:
        now = monotonic_s()
        origin = self.origins.get(message.stream, now)
        if origin is None:
            return
        reply = OriginReply(message.stream, message.number, _encode(origin, now))
        self._sender.forward(encode_origin_message(reply), [sender])

    @_handle.register
    def _(self, message: OriginReply, sender: Member) -> None:
        stream, reply = self._queries.get(message.number, ("", None))
        if stream and message.stream == stream and not reply.done():
            reply.set_result(message.origin)

    @_handle.register
    def _(self, message: OriginBatch, sender: Member) -> None:
        self.stored.add(message)

    # Certainty about processes

    async def version_of(
        self, service: str, stream: str, arrived_s: float
    ) -> str | None:
        """Return the software version that began a stream.

        A stream of unknown origin goes on only if one version alone has served for as
        long as the stream can have lasted.  The store is asked last, as a call to it
        has a price.

        :param stream: The id of the caller's attempt that received the first event; ""
            if it is not known.
        :param arrived_s: When the request that resumes it arrived, in seconds.
        :return: None if it is not known.
        """
        origin = await self.find(stream) if stream else None
        if origin is not None:
            is_certain = await self.is_certain(origin.server, origin.connected_at)
            return origin.version if is_certain else None
        version = await self._sole_version(service, arrived_s)
        if version is not None or not stream:
            return version
        stored = await self.stored.find(stream, service)
        if stored is None:
            return None
        if stored.server is not None and not await self.is_certain(
            stored.server, stored.connected_at
        ):
            return None
        return stored.version

    async def _sole_version(self, service: str, arrived_s: float) -> str | None:
        """Return the version that has served alone, None if there is none."""
        fleet = self._state.fleet
        since = arrived_s - VERSION_HISTORY_S
        if len(fleet.versions(service, since)) > 1:
            return None
        earlier: frozenset[str] = frozenset()
        if fleet.known_since > since:
            version = await self.history.before_start(service)
            if version is None:
                return None
            earlier = frozenset((version,))
        if len(fleet.versions(service, since) | earlier) != 1:
            return None
        may_restart = any(entry.started_ms for entry in fleet.entries.values())
        give_up_at = monotonic_s() + MAX_CONFIRMATION_S
        if not await self._confirm(
            arrived_s + REGISTRATION_S * may_restart, give_up_at
        ):
            return None
        versions = fleet.versions(service, since) | earlier
        return next(iter(versions)) if len(versions) == 1 else None

    async def is_certain(self, server: Incarnation, connected_at: float) -> bool:
        """Tell whether a connection certainly leads to a process.

        Waits for a newer list of servers if necessary, and for a newer entry of one
        that may have restarted.  A server whose start is not stated has a new id at
        each start, which is named in each request.

        :param connected_at: When the connection was opened, in seconds.
        """
        _, started_ms = server
        if not started_ms:
            return True
        fleet = self._state.fleet
        needed_at = connected_at + REGISTRATION_S
        give_up_at = monotonic_s() + MAX_CONFIRMATION_S
        if fleet.current_until(server) < needed_at:
            await self._confirm(needed_at, give_up_at)
        await self._await_entry(server, connected_at, give_up_at)
        if fleet.may_have_restarted(server, connected_at):
            return False
        return fleet.current_until(server) >= needed_at

    async def _await_entry(
        self, server: Incarnation, connected_at: float, give_up_at: float
    ) -> None:
        """Wait for the next entry of a process that may have restarted."""
        fleet = self._state.fleet
        while fleet.may_have_restarted(server, connected_at):
            if monotonic_s() >= give_up_at or not fleet.is_listed(server):
                return
            await asyncio.sleep(ENTRY_CHECK_INTERVAL_S)

    async def _confirm(self, until: float, give_up_at: float) -> bool:
        """Wait until the list of servers contains every change up to a moment."""
        fleet = self._state.fleet
        while fleet.complete_until < until:
            now = monotonic_s()
            if now >= give_up_at:
                return False
            if now <= until:
                await asyncio.sleep(min(until, give_up_at) - now + 0.001)
                continue
            if self._refresh is None or self._refresh.done():
                refresh = self._watch.servers.refresh(REFRESH_TIMEOUT_S)
                self._refresh = asyncio.get_running_loop().create_task(refresh)
            await asyncio.wait([self._refresh], timeout=give_up_at - now)
            if fleet.complete_until < until:
                await asyncio.sleep(REFRESH_RETRY_S)
        return True


def _encode(origin: StreamOrigin, now: float) -> Origin:
    return Origin(origin.version, origin.server, now - origin.connected_at)

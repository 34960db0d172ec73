"""Sends requests through other hosts while this host is cut off from servers.

A helper that cannot be reached, or that has not run the request, is followed by another
one.  Once the request was sent to a helper, only the helper's reply tells whether it
ran; without a reply, the outcome is unknown.
"""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass, replace

from sequoiapoint.coordination.helper_choice import HelperChoice
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.detours import (
    DETOUR_PATH,
    REPLY_HEADER,
    REQUEST_HEADER,
    DetourReply,
    DetourRequest,
    RefusalReply,
    ServerReply,
    UnknownReply,
    decode_detour_reply,
    detour_path,
    encode_detour_request,
)
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.ports import Headers, HttpCall
from sequoiapoint.state.peers import Peers
from sequoiapoint.transport.async_http_client import (
    ClientConnection,
    ConnectionPool,
    Exchange,
    ExchangeOutcome,
    Response,
    call,
    encode_request_head,
)
from sequoiapoint.transport.async_http_server import HOST_STOPPED
from sequoiapoint.transport.clock import monotonic_s

MAX_HELPERS_ASKED = 4
"""Number of hosts that are asked for one request, one after the other."""
HELPER_CONNECT_TIMEOUT_S = 0.15
"""Timeout of a connection to a helper; half of a plain request's latency goal."""
REPLY_GRACE_S = 0.2
"""Time after the deadline in which a helper may still report what became of a request;
helpers themselves wait for servers half as long."""
CHECK_AFTER_S = 0.8
"""Time without data after which a helper is asked whether it still runs."""
CHECK_TIMEOUT_S = 0.4
"""Timeout of that check."""
PROVEN_HELPER_S = 2.0
"""Time since a server's response through any helper in which a request may leave a
silent server for a helper."""
HELPERS_TTL_S = 0.5
"""Time for which the list of helpers is used; hosts are heard of twice a second."""
MAX_POOLS = 64
"""Number of connection pools from which those without a connection are removed."""

UNABLE_REASONS = frozenset(
    {
        "cut_off",
        "draining",
        "no_configuration",
        "older_configuration",
        "configuration_too_old",
        "no_route",
        HOST_STOPPED,
    }
)
"""Reasons for which a helper refuses a request that another one may run."""
BROKEN_OFF_REASONS = ("helper_closed", "helper_reset")
"""Reasons for which a stream is incomplete that its helper has ended."""


class DetourOutcome(enum.Enum):
    """What became of a request on its detour; the value is written to the log."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NO_HELPER = "no_helper"
    """The request was not run, as no other host can help."""


@dataclass(frozen=True)
class DetourResult:
    """The result of a request's detour.

    :param reply: The helper's reply, None without one.
    :param body: The body of a response that is not a stream.
    :param reason: Why it was not answered.
    """

    outcome: DetourOutcome
    helper: str = ""
    reply: DetourReply | None = None
    body: bytes = b""
    reason: str = ""


StreamReceiver = Callable[[ServerReply, ClientConnection, Exchange, bytes], None]
"""Receives the parts of a stream, with the reply and the connection to the helper."""


class DetourExchange:
    """The detours of this host's requests through other hosts."""

    def __init__(self, state: GatewayState, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        self._choice = HelperChoice(state.rng.random, state.settings.zone)
        self._pools: dict[str, ConnectionPool] = {}
        self._helpers: tuple[list[Member], list[Member]] = ([], [])
        self._helpers_at = float("-inf")
        self._responded_at = float("-inf")

    def _choose(self, asked: set[str]) -> Member | None:
        now = monotonic_s()
        if now - self._helpers_at > HELPERS_TTL_S:
            self._helpers, self._helpers_at = self._peers.helpers(now), now
        return self._choice.choose(*self._helpers, asked, now)

    def has_proven_helper(self) -> bool:
        """Tell whether another host has passed on a server's response lately."""
        return monotonic_s() - self._responded_at < PROVEN_HELPER_S

    async def run(
        self,
        build_request: Callable[[], DetourRequest],
        receive_stream: StreamReceiver,
        deadline: float,
        may_leave: bool,
    ) -> DetourResult:
        """Send a request through another host, and wait for the result.

        :param build_request: Returns the request with the time that remains for it.
        :param deadline: The time until which its caller waits, in seconds.
        :param may_leave: Whether a helper that no longer runs may be left while the
            outcome is unknown.
        """
        asked: set[str] = set()
        while len(asked) < MAX_HELPERS_ASKED and monotonic_s() < deadline:
            helper = self._choose(asked)
            if helper is None:
                break
            asked.add(helper.host)
            request = build_request()
            self._choice.note_started(helper)
            try:
                result = await self._ask(
                    helper, request, receive_stream, deadline, may_leave
                )
            finally:
                self._choice.note_ended(helper)
            if result.outcome is DetourOutcome.ANSWERED:
                self._choice.note_success(helper)
            elif result.outcome is not DetourOutcome.REFUSED:
                self._choice.note_failure(helper, monotonic_s())
            if result.outcome is not DetourOutcome.ANSWERED:
                self._log_failure(request, result)
            if result.outcome is not DetourOutcome.NO_HELPER:
                return result
        return DetourResult(DetourOutcome.NO_HELPER)

    def _log_failure(self, request: DetourRequest, result: DetourResult) -> None:
        self._state.metrics.event("detour_failed")
        self._state.log.event(
            "detour_failed",
            result.outcome.value,
            request=request.request.request_id,
            peer=result.helper,
            remaining_ms=round(request.remaining_s * 1000),
            error=result.reason,
        )

    def _pool(self, address: str) -> ConnectionPool:
        if len(self._pools) > MAX_POOLS:
            self._pools = {a: pool for a, pool in self._pools.items() if pool.size}
        return self._pools.setdefault(address, ConnectionPool(address))

    async def _ask(
        self,
        helper: Member,
        request: DetourRequest,
        receive_stream: StreamReceiver,
        deadline: float,
        may_leave: bool,
    ) -> DetourResult:
        """Send a request to one helper.

        :return: ``DetourOutcome.NO_HELPER`` if another one may be asked.
        """
        remaining_s = max(0.0, deadline - monotonic_s())
        connection = await self._pool(helper.address).acquire(
            min(HELPER_CONNECT_TIMEOUT_S, remaining_s)
        )
        if isinstance(connection, Failure):
            return DetourResult(
                DetourOutcome.NO_HELPER, helper.host, reason=connection.reason
            )
        body = encode_detour_request(request)
        head = encode_request_head(
            HttpCall("POST", detour_path(request), body=body), helper.address
        )
        exchange = connection.send(head, body, lambda status, headers: True)
        waiter = _Waiter(self, helper, deadline + REPLY_GRACE_S, may_leave)
        try:
            result = await self._receive(
                helper, connection, exchange, waiter, receive_stream
            )
        finally:
            if not exchange.outcome.done():
                connection.close()
        if (
            may_leave
            and _may_have_retried(request, result)
            and monotonic_s() < deadline
        ):
            return await self._with_reported_attempts(helper, request, result)
        return result

    async def _with_reported_attempts(
        self, helper: Member, request: DetourRequest, result: DetourResult
    ) -> DetourResult:
        """Return a result with the attempts that its helper reports when asked.

        It is unchanged if the helper is gone, or is of a build that does not tell.
        """
        request_id = request.request.request_id.encode("latin-1")
        response = await self._check(helper, [(REQUEST_HEADER, request_id)])
        if isinstance(response, Failure):
            return result
        ended = _decode_reply(response.status, response.headers)
        if not isinstance(ended, UnknownReply):
            return result
        attempts = max(result.reply.attempts, ended.attempts)
        return replace(result, reply=replace(result.reply, attempts=attempts))

    async def _receive(
        self,
        helper: Member,
        connection: ClientConnection,
        exchange: Exchange,
        waiter: "_Waiter",
        receive_stream: StreamReceiver,
    ) -> DetourResult:
        if not await waiter.wait(exchange.head):
            return _unknown(helper, "helper_silent")
        head = exchange.head.result()
        if isinstance(head, ExchangeOutcome):
            return _unknown(helper, f"helper_{head.value}")
        reply = _decode_reply(*head)
        if isinstance(reply, ValueError):
            return _unknown(helper, "helper_malformed")
        if isinstance(reply, RefusalReply):
            is_unable = reply.reason in UNABLE_REASONS
            return DetourResult(
                DetourOutcome.NO_HELPER if is_unable else DetourOutcome.REFUSED,
                helper.host,
                reply,
                reason=reply.reason,
            )
        if isinstance(reply, UnknownReply):
            return _unknown(helper, reply.reason, reply)
        self._responded_at = monotonic_s()
        if reply.is_stream:

            def receive(data: bytes) -> None:
                waiter.received.set()
                receive_stream(reply, connection, exchange, data)

            exchange.on_body = receive
            buffered = exchange.take_body()
            if buffered:
                receive(buffered)
        if not await waiter.wait(exchange.outcome):
            return _unknown(helper, "helper_silent", reply)
        outcome = exchange.outcome.result()
        if outcome is not ExchangeOutcome.COMPLETE:
            return _unknown(helper, f"helper_{outcome.value}", reply)
        return DetourResult(
            DetourOutcome.ANSWERED, helper.host, reply, exchange.take_body()
        )

    async def still_runs(self, helper: Member) -> bool:
        """Ask a helper whether it still runs."""
        return not isinstance(await self._check(helper), Failure)

    async def _check(
        self, helper: Member, headers: Headers | None = None
    ) -> Response | Failure:
        """Make a call to a helper that carries no request to run."""
        pool = self._pool(helper.address)
        request = HttpCall("GET", DETOUR_PATH, headers)
        return await call(pool, helper.address, request, CHECK_TIMEOUT_S)


class _Waiter:
    """Waits for parts of a helper's response.

    :param until: When the wait ends at last, in seconds.
    :param may_leave: Whether it also ends if the helper no longer runs.
    :ivar received: Is set with each part of the response.
    """

    def __init__(
        self, exchange: DetourExchange, helper: Member, until: float, may_leave: bool
    ) -> None:
        self._exchange = exchange
        self._helper = helper
        self._until = until
        self._may_leave = may_leave
        self.received = asyncio.Event()

    async def wait(self, future: asyncio.Future) -> bool:
        """Wait for a future; return whether it is done."""
        while not future.done():
            remaining_s = self._until - monotonic_s()
            if remaining_s <= 0:
                return False
            self.received.clear()
            timeout_s = min(CHECK_AFTER_S, remaining_s)
            await asyncio.wait([future], timeout=timeout_s)
            if future.done() or self.received.is_set() or not self._may_leave:
                continue
            is_running = await self._exchange.still_runs(self._helper)
            if not is_running and not future.done() and not self.received.is_set():
                return False
        return True


def _may_have_retried(request: DetourRequest, result: DetourResult) -> bool:
    """Tell whether a helper may have made attempts after the head of a stream.

    The head of its reply does not count them.
    """
    reply = result.reply
    return (
        isinstance(reply, ServerReply)
        and reply.is_stream
        and reply.attempts < request.attempts_left
        and result.reason in BROKEN_OFF_REASONS
    )


def _decode_reply(status: int, headers: Headers) -> DetourReply | ValueError:
    """Decode a helper's reply.

    A response without one was sent before the request reached the helper's handler.
    """
    value = next((v for name, v in headers if name == REPLY_HEADER), None)
    if value is None:
        return RefusalReply(status, "cut_off", None)
    try:
        return decode_detour_reply(value)
    except ValueError as error:
        return error


def _unknown(
    helper: Member, reason: str, reply: DetourReply | None = None
) -> DetourResult:
    return DetourResult(DetourOutcome.UNKNOWN, helper.host, reply, reason=reason)

"""Forwards one caller's request to servers, with retries.

A request is reported to its caller as not run only if it certainly was not run.  After
an attempt with an unknown outcome, it is sent again only if its route allows it to run
more than once.
"""

import asyncio
import enum
import http
import itertools
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from sequoiapoint.coordination import planned_stop, prompt_quarantine, waiting
from sequoiapoint.coordination.entry import Rejected
from sequoiapoint.coordination.quarantine import Verdict
from sequoiapoint.node import admission
from sequoiapoint.node.detour_exchange import DetourOutcome, DetourResult
from sequoiapoint.node.gateway_state import GatewayState, crash_name
from sequoiapoint.node.peer_exchange import PeerExchange
from sequoiapoint.node.request_record import (
    RequestRecord,
    quarantine_key,
    reject,
    request_fingerprint,
)
from sequoiapoint.node.server_selector import (
    CAPACITY_REASONS,
    CUT_OFF_REASON,
    MIN_ATTEMPT_TIME_S,
    ServerSelector,
)
from sequoiapoint.protocol.detours import DetourRequest, ServerReply
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.event_stream import EventSplitter, is_event_stream
from sequoiapoint.protocol.gateway import (
    CallerRequest,
    Incarnation,
    ResponseHead,
    Route,
    ServerEntry,
)
from sequoiapoint.protocol.ports import Headers
from sequoiapoint.protocol.slots import SlotQuality
from sequoiapoint.state.reachability import ServiceReachability
from sequoiapoint.state.stream_origins import StreamOrigin
from sequoiapoint.transport.async_http_client import (
    CONNECT_TIMEOUT_S,
    ClientConnection,
    Exchange,
    ExchangeOutcome,
)
from sequoiapoint.transport.async_http_server import HOST_STOPPED, Responder
from sequoiapoint.transport.clock import monotonic_s

SERVER_RESPONSE_GRACE_S = 0.1
"""Time after the deadline in which a server may still report that it was exceeded."""
FIRST_ATTEMPT_SHARE = 0.5
"""Share of the request's time after which another server is searched if there is no
response; for repeatable requests without a stream."""
STREAM_IDLE_TIMEOUT_S = 1.2
"""Time without data after which another server is searched for a resumable stream.  It
is below the two seconds after which callers abandon a stream."""
SEARCH_INTERVAL_S = 0.2
"""Pause between two searches for a server that takes over from a silent one."""
MAX_UNREACHED_SERVERS = 2
"""Number of servers that one request fails to connect to before it is sent through
another host, or refused by a host that runs it for another one."""
RECENT_DATA_S = 2.5
"""Age of data from any server up to which a host without helpers tries servers itself
although it seems to be cut off: all servers may pause for a second or so."""
REFERENCE_SERVERS = 3
"""Number of other servers to which connections are opened, to tell a crash from a host
that is cut off; some of them may have crashed as well."""
ANSWERED_EVENTS = 8
"""Events of a stream after which its engine counts as having answered.  An engine that
crashes as it begins to write may have sent some of them."""
CONFIRMED_ENDS = 2
"""Number of servers that must say that a broken stream was complete, by going on with
it without an event: one may say so without knowing the stream."""
NOT_A_STREAM_REASON = "not_a_stream"
OUT_OF_ORDER_REASON = "out_of_order"
ENDED_WITHOUT_EVENT_REASON = "ended_without_event"
"""Failure reasons of servers that do not go on with a stream: a response of another
kind, events that do not follow the last one, or none."""
TOO_LONG_REASON = "too_long"
"""Failure reason of a server that sends more than the tokens that a request allows."""
PROBE_RETRY_AFTER_S = 1.0
"""Time after which callers of a request that another one probes should come back."""
LEFT_REASON = "left_before_sending"
"""Reason if the server stopped accepting requests after it was selected."""
BROKEN_REASONS = frozenset({ExchangeOutcome.CLOSED.value, ExchangeOutcome.RESET.value})
"""Failure reasons of a connection that broke."""
MISDIRECTED_REASON = f"server_said_{int(http.HTTPStatus.MISDIRECTED_REQUEST)}"
"""Failure reason if the server lacks the requested model or adapter, or is not the
addressed one."""

UNKNOWN_OUTCOME_STATUSES = frozenset(
    {http.HTTPStatus.BAD_GATEWAY, http.HTTPStatus.GATEWAY_TIMEOUT}
)
"""Statuses of an error response to a request that may have run."""

NOT_RUN_STATUSES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses by which callers know that their request was not run and never will be."""

_T = TypeVar("_T")
_attempt_numbers = itertools.count()


class _AttemptOutcome(enum.Enum):
    """Outcome of one attempt; the value is written to the log."""

    NOT_CONNECTED = "not_connected"
    """Nothing was sent, as no connection could be established."""
    SERVER_LEFT = "server_left"
    """Nothing was sent, as the server stopped accepting requests after the choice."""
    NOT_PERMITTED = "not_permitted"
    """Nothing was sent, as the server has a limit and the request has no permit."""
    NOT_ADMITTED = "not_admitted"
    """Nothing was sent, as the request's key was removed since it was admitted, or as
    the configuration has become too old to tell."""
    PROMPT_REJECTED = "prompt_rejected"
    """Nothing was sent, as a part of the prompt is rejected since the choice."""
    SUSPECT = "suspect"
    """Nothing was sent, as the request is in quarantine since the choice, or as another
    one probes whether it crashes servers."""
    ENGINE_READS = "engine_reads"
    """Nothing was sent, as the engine has got other prompts since the choice."""
    HOST_STOPPING = "host_stopping"
    """Nothing was sent, as this host stops before the response would be certain."""
    DELIVERED = "delivered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BROKEN_STREAM = "broken_stream"


@dataclass(frozen=True)
class _Successor:
    """A server that is ready to take over a request whose server is silent.

    :param attempt_number: The attempt that is counted as running there.
    :param selector: The selector that holds its slot and permit.
    :param connection: A new connection to it.
    """

    entry: ServerEntry
    attempt_number: int
    selector: ServerSelector
    connection: ClientConnection


class _StreamPace:
    """Tells whether an engine has kept a stream's latency goals.

    :param sent_at: When the request was sent to the engine, in seconds.
    """

    def __init__(self, sent_at: float, route: Route) -> None:
        self._last_event_at = self._first_event_at = sent_at
        self._event_count = 0
        self._limit_s = route.goal_s
        self._max_event_gap_s = route.max_event_gap_s
        self.is_late = False

    @property
    def relative_time(self) -> float | None:
        """Return the mean gap of events relative to its goal; None if not known."""
        gap_s = self._last_event_at - self._first_event_at
        if self._event_count < 2 or not self._max_event_gap_s:
            return None
        return gap_s / (self._event_count - 1) / self._max_event_gap_s

    @property
    def has_events(self) -> bool:
        """Tell whether an event has arrived in this attempt."""
        return self._event_count > 0

    def record_event(self, now: float) -> None:
        """Record an event of the stream."""
        self.is_late |= now - self._last_event_at > self._limit_s > 0
        if not self._event_count:
            self._first_event_at = now
        self._event_count += 1
        self._last_event_at = now
        self._limit_s = self._max_event_gap_s


def _slot_quality(
    outcome: _AttemptOutcome, reason: str, pace: _StreamPace, has_response: bool
) -> SlotQuality:
    """Return how an engine ran a request, for the zone's allocator.

    :param has_response: Whether the head of a response has arrived.
    """
    if outcome is _AttemptOutcome.NOT_RUN:
        is_misdirected = reason == MISDIRECTED_REASON
        return SlotQuality.UNUSED if is_misdirected else SlotQuality.REJECTED
    if reason in BROKEN_REASONS and not has_response:
        return SlotQuality.BROKEN
    if outcome is not _AttemptOutcome.DELIVERED or reason:
        return SlotQuality.FAILED
    return SlotQuality.LATE if pace.is_late else SlotQuality.ON_TIME


class RequestForwarder:
    """Forwards one request: its attempts, retries and final response.

    :param is_on_detour: Whether another host has sent the request through this one.
    :param is_retry: Whether that host has sent it to a server before.
    """

    def __init__(
        self,
        state: GatewayState,
        exchange: PeerExchange,
        request: CallerRequest,
        route: Route,
        arrived_s: float,
        responder: Responder,
        is_on_detour: bool = False,
        is_retry: bool = False,
    ) -> None:
        self._state = state
        self._detours = exchange.detours
        self._is_on_detour = is_on_detour
        self._is_retry = is_retry
        self._is_helper_sought = not is_on_detour
        self._has_begun_elsewhere = False
        self._ends_without_event = 0
        self._origins = exchange.origins
        self._request = request
        self._route = route
        self._responder = responder
        self._arrived_s = arrived_s
        budget_s = route.timeout_s
        if request.budget_s is not None:
            budget_s = min(budget_s, request.budget_s)
        self._deadline = arrived_s + budget_s
        self._fingerprint = request_fingerprint(request)
        self._quarantine_key = quarantine_key(self._fingerprint)
        under_way_s = 0.0
        if not is_on_detour:
            under_way_s = state.stated_times.note(
                route.name, request.budget_s, arrived_s
            )
        self._selector = ServerSelector(
            state,
            exchange,
            request,
            route,
            arrived_s,
            self._deadline,
            self._fingerprint,
            under_way_s,
        )
        self._record = RequestRecord(state, request, route, arrived_s)
        self._splitter = EventSplitter(request.last_event_id, request.max_output_tokens)
        self._origin: StreamOrigin | None = None
        self._has_unknown_outcome = False
        self._are_parts_cleared = False
        self._sent_suspects: tuple[str, ...] = ()
        self._has_reserved_retry = False
        self._attempt_number = 0
        self._slot_quality = SlotQuality.UNUSED
        self._relative_time: float | None = None
        self._head: ResponseHead | None = None
        self._successor: _Successor | None = None
        self._has_left_silent = False
        self._rejected_attempts = 0
        self._rejection: Rejected | None = None
        self._is_rejected_as_not_run = False
        self._was_sent_elsewhere = False

    @property
    def was_certainly_not_run(self) -> bool:
        """Tell whether no server has run the request, after its end.

        Either the caller was told so, or it has left before anything was sent.
        """
        was_sent = self._record.attempts > 0 or self._was_sent_elsewhere
        return self._is_rejected_as_not_run or not was_sent

    @property
    def _reachability(self) -> ServiceReachability:
        return self._state.reachability.service(self._selector.service)

    def _remaining_s(self) -> float:
        return self._deadline - monotonic_s()

    async def run(self) -> None:
        """Send the request until a response is delivered or no retry is allowed."""
        try:
            await self._run()
        finally:
            self._state.quarantine.end_probe(self._quarantine_key, self)
            self._discard_successor()

    def _discard_successor(self) -> None:
        """Give back what the server holds that was to take the request over."""
        successor, self._successor = self._successor, None
        if successor is not None:
            successor.connection.close()
            self._end_attempt(
                successor.entry,
                successor.attempt_number,
                successor.selector,
                SlotQuality.UNUSED,
            )

    def _begin_attempt(self, entry: ServerEntry, selector: ServerSelector) -> int:
        """Count an attempt as running at a server; return its number."""
        number = next(_attempt_numbers)
        load = self._state.loads.get_or_create(entry.incarnation)
        load.note_sent(number, monotonic_s(), selector.prompt_tokens)
        shares = self._state.wait_queue.shares
        shares.note_served(self._request.organisation or "")
        return number

    def _end_attempt(
        self,
        entry: ServerEntry,
        number: int,
        selector: ServerSelector,
        quality: SlotQuality,
    ) -> None:
        """Stop to count an attempt, and release its slot and permit."""
        self._state.loads.get_or_create(entry.incarnation).note_finished(number)
        is_used = selector is self._selector and quality is not SlotQuality.UNUSED
        selector.release(
            quality,
            self._record.slowness if is_used else None,
            self._relative_time if is_used else None,
        )
        self._state.wait_queue.notify_capacity(selector.service)

    async def _run(self) -> None:
        state = self._state
        if self._verdict() is not Verdict.ADMITTED:
            self._send_failure()
            return
        if not self._selector.has_model():
            self._reject_not_run("unknown_model")
            return
        if self._rejected_part() is not None:
            self._send_failure()
            return
        if self._selector.is_engine:
            state.demand.note_request(
                self._selector.demand_key, self._route.goal_s, self._selector.priority
            )
        is_resumed = self._route.is_stream and bool(self._request.last_event_id)
        while True:
            successor, self._successor = self._successor, None
            if not self._may_begin():
                self._refuse_at_stop()
                return
            if successor is None and self._is_cut_off():
                if await self._run_elsewhere():
                    return
                continue
            if successor is not None:
                self._selector = successor.selector
                entry, connection = successor.entry, successor.connection
                attempt_number = successor.attempt_number
            else:
                must_go_on = is_resumed or self._splitter.count
                if must_go_on and not await self._require_version():
                    return
                entry, connection = await self._selector.select(), None
            if entry is None:
                if self._is_cut_off() or await self._may_search_again():
                    continue
                self._send_failure()
                return
            if successor is None:
                attempt_number = self._begin_attempt(entry, self._selector)
            self._attempt_number = attempt_number
            if self._selector.is_engine:
                state.demand.adjust(self._selector.demand_key, monotonic_s(), running=1)
            self._slot_quality = SlotQuality.UNUSED
            try:
                outcome = await self._attempt(entry, connection)
            finally:
                self._end_attempt(
                    entry, attempt_number, self._selector, self._slot_quality
                )
                if self._selector.is_engine:
                    state.demand.adjust(
                        self._selector.demand_key, monotonic_s(), running=-1
                    )
            if outcome is _AttemptOutcome.DELIVERED:
                return
            if outcome is _AttemptOutcome.NOT_CONNECTED:
                self._selector.note_connect_failure(entry)
                continue
            if outcome is _AttemptOutcome.ENGINE_READS:
                self._selector.continue_wait()
                continue
            if outcome in (
                _AttemptOutcome.SERVER_LEFT,
                _AttemptOutcome.NOT_PERMITTED,
                _AttemptOutcome.HOST_STOPPING,
            ):
                continue
            if outcome in (
                _AttemptOutcome.PROMPT_REJECTED,
                _AttemptOutcome.SUSPECT,
                _AttemptOutcome.NOT_ADMITTED,
            ):
                self._send_failure()
                return
            self._selector.tried_servers.add(entry.server)
            if outcome is _AttemptOutcome.NOT_RUN and self._has_left_silent:
                self._rejected_attempts += 1
            while not self._may_retry(outcome):
                if not await self._may_search_again():
                    self._send_failure()
                    return

    # Planned stops of this host

    def _may_begin(self) -> bool:
        """Tell whether the request may be sent although this host may be stopping.

        One that may have run already is tried further: nobody else knows of it.
        """
        stop = self._state.stop
        if stop is None or self._responder.is_started or self._has_unknown_outcome:
            return True
        return stop.may_begin(monotonic_s(), self._deadline)

    def _refuse_at_stop(self) -> None:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        reason, retry_after_s = planned_stop.STOPPING_REASON, planned_stop.RETRY_AFTER_S
        self._reject(reason, status, retry_after_s)

    def end_cancelled(self, cause: str) -> None:
        """End a request whose handler is cancelled.

        Its caller has left, unless this host stops; then the caller is answered, also
        if the request has been sent and what became of it is not known.

        :param cause: Why it is cancelled.
        """
        if cause != HOST_STOPPED or self._responder.is_ended:
            self.log_end("caller_gone", cause=cause)
            return
        self._selector.reason = cause
        self._has_unknown_outcome |= not self.was_certainly_not_run
        self._send_failure()

    # Detours through other hosts

    def _is_cut_off(self) -> bool:
        """Tell whether the request must not try servers from this host."""
        if not (self._is_helper_sought or self._is_on_detour):
            return False
        has_failed = self._selector.unreached_count >= MAX_UNREACHED_SERVERS
        return has_failed or self._selector.is_cut_off()

    async def _run_elsewhere(self) -> bool:
        """Send the request through another host, as this one is cut off.

        :return: Whether the request has ended; otherwise it may be sent again.
        """
        if not self._is_still_admitted():
            self._send_failure()
            return True
        result = None
        if not self._is_on_detour:
            self._was_sent_elsewhere = True
            result = await self._detours.run(
                self._build_detour,
                self._forward_detoured_stream,
                self._deadline,
                self._route.is_resumable
                if self._route.is_stream
                else self._route.may_repeat,
            )
        if result is None or result.outcome is DetourOutcome.NO_HELPER:
            return self._handle_missing_helper()
        self._record.attempts += result.reply.attempts if result.reply else 1
        reason = result.reason
        if result.outcome is DetourOutcome.ANSWERED:
            reason = self._detour_failure(result.reply)
            if not reason:
                self._deliver_detoured(result)
                return True
        self._selector.reason = reason
        if result.outcome is DetourOutcome.REFUSED:
            self._selector.back_off_s = result.reply.retry_after_s
            if self._responder.is_started or self._has_unknown_outcome:
                self._send_failure()
            else:
                reply = result.reply
                self._reject(reply.reason, reply.status, reply.retry_after_s)
            return True
        if isinstance(result.reply, ServerReply):
            self._splitter.drop_partial()
        is_broken = self._responder.is_started
        outcome = (
            _AttemptOutcome.BROKEN_STREAM if is_broken else _AttemptOutcome.UNKNOWN
        )
        if self._may_retry(outcome):
            return False
        self._send_failure()
        return True

    def _detour_failure(self, reply: ServerReply) -> str:
        """Return why a response from a helper is not the caller's; "" if it is."""
        if reply.is_stream:
            return self._broken_reason(ExchangeOutcome.COMPLETE)
        if self._is_false_promise(reply.status):
            return f"server_said_{reply.status}"
        return NOT_A_STREAM_REASON if self._responder.is_started else ""

    def _handle_missing_helper(self) -> bool:
        """Refuse the request, or try servers if they may be reached after all.

        :return: Whether the request has ended.
        """
        service = self._state.reachability.service(self._selector.service)
        has_data = monotonic_s() - service.data_at < RECENT_DATA_S
        if self._is_on_detour or (service.is_cut_off and not has_data):
            self._selector.reason = CUT_OFF_REASON
            self._send_failure()
            return True
        self._is_helper_sought = self._selector.leaves_if_cut_off = False
        return False

    def _build_detour(self) -> DetourRequest:
        """Return what another host needs to run the request now."""
        request = self._request
        if self._splitter.count:
            request = replace(
                request,
                last_event_id=self._splitter.last_id,
                resumes=request.request_id,
            )
        if request.organisation is not None:
            callers = self._state.adapter.callers
            headers = callers.without_credentials(request.headers)
            request = replace(request, headers=headers)
        return DetourRequest(
            self._state.settings.host,
            self._state.configuration.version,
            self._remaining_s(),
            self._route.attempts - self._record.attempts,
            self._record.attempts > 0 or self._is_retry,
            request,
        )

    def _forward_detoured_stream(
        self,
        reply: ServerReply,
        connection: ClientConnection,
        exchange: Exchange,
        data: bytes,
    ) -> None:
        """Forward a part of a stream that another host passes on."""
        responder, splitter = self._responder, self._splitter
        responder.set_flow_control(
            lambda: connection.pause(exchange), lambda: connection.resume(exchange)
        )
        events = splitter.feed(data)
        if splitter.must_end:
            connection.abandon(exchange)
        if not events:
            return
        if self._origin is None:
            self._has_begun_elsewhere = True
        self._record.record_event(monotonic_s())
        if not responder.is_started:
            responder.start_stream(reply.status, list(reply.headers))
        responder.send(events)

    def _deliver_detoured(self, result: DetourResult) -> None:
        """Complete the response that another host has passed on."""
        reply, fields = result.reply, {}
        if reply.is_stream:
            if not self._responder.is_started:
                self._responder.start_stream(reply.status, list(reply.headers))
            self._responder.end_stream()
            fields["events"] = self._splitter.count
        else:
            self._responder.send_response(
                reply.status, list(reply.headers), result.body
            )
        self.log_end("answered", status=reply.status, helper=result.helper, **fields)

    # Versions of streams

    async def _require_version(self) -> bool:
        """Let the stream go on only at the software version that began it.

        :return: Whether that version is known; otherwise the request has failed.
        """
        if await self._know_version():
            return True
        self._selector.reason = "version_unknown"
        self._send_failure()
        return False

    async def _know_version(self) -> bool:
        """Find the software version at which the stream must go on, if it is known."""
        selector = self._selector
        if selector.required_version is not None:
            return True
        if self._origin is None:
            request = self._request
            stream = (
                request.request_id if self._has_begun_elsewhere else request.resumes
            )
            selector.required_version = await self._until_deadline(
                self._origins.version_of(selector.service, stream, self._arrived_s)
            )
        else:
            origin = self._origin
            if await self._is_certain(origin.server, origin.connected_at):
                selector.required_version = origin.version
        return selector.required_version is not None

    async def _is_certain(self, server: Incarnation, connected_at: float) -> bool:
        """Tell whether a connection certainly leads to a process."""
        certain = self._origins.is_certain(server, connected_at)
        return bool(await self._until_deadline(certain))

    async def _until_deadline(self, step: Coroutine[Any, Any, _T]) -> _T | None:
        """Return a step's result, None if there is none before the deadline."""
        try:
            async with asyncio.timeout(self._remaining_s()):
                return await step
        except TimeoutError:
            return None

    def _note_first_event(
        self, entry: ServerEntry, connection: ClientConnection
    ) -> None:
        """Remember which version began the stream, before its caller gets an event.

        The caller may name this attempt, or an earlier one, when it resumes the stream.
        """
        version = self._selector.required_version or entry.version
        self._origin = StreamOrigin(version, entry.incarnation, connection.opened_at)
        self._origins.record(self._request.request_id, self._origin)
        for stream in self._stream_names():
            self._origins.stored.record(stream, self._selector.service, self._origin)

    def _stream_names(self) -> set[str]:
        """Return the attempts that the caller may name when it resumes the stream."""
        return {self._request.request_id, self._request.resumes} - {""}

    def _note_stream_end(self) -> None:
        """Note that the caller has all of the stream, and will not resume it."""
        for stream in self._stream_names():
            self._origins.stored.complete(stream, self._selector.service)

    # Sending

    async def _connect(
        self, entry: ServerEntry, selector: ServerSelector, attempt_number: int
    ) -> ClientConnection | _AttemptOutcome:
        """Return a connection on which the request may be sent now.

        The server may leave while a connection to it is opened, which can take a
        second; the request then goes back to the choice of a server.
        """
        state = self._state
        pool = state.pools.get_or_create(entry)
        connection = await pool.acquire(
            min(CONNECT_TIMEOUT_S, self._remaining_s()), self._request.request_id
        )
        if isinstance(connection, Failure):
            state.loads.note_connect_failure(entry.incarnation, monotonic_s())
            self._reachability.note_connect_failure(entry.incarnation, monotonic_s())
            state.fleet.note_ended(entry.incarnation, monotonic_s())
            outcome = _AttemptOutcome.NOT_CONNECTED
            self._log_attempt(entry, outcome.value, connection.reason)
            return outcome
        outcome, reason = _AttemptOutcome.SERVER_LEFT, "cancelled"
        try:
            outcome, reason = await self._check_before_sending(
                entry, selector, connection, attempt_number
            )
        finally:
            if reason == LEFT_REASON:
                connection.close()
            elif outcome is not None:
                pool.put_back(connection)
        if outcome is None:
            return connection
        self._log_attempt(entry, outcome.value, reason)
        return outcome

    async def _check_before_sending(
        self,
        entry: ServerEntry,
        selector: ServerSelector,
        connection: ClientConnection,
        attempt_number: int,
    ) -> tuple[_AttemptOutcome | None, str]:
        """Return why the request may not be sent, None as the outcome if it may."""
        if selector.required_version is not None:
            load = self._state.loads.get_or_create(entry.incarnation)
            # The engine may read other prompts meanwhile.
            load.withhold_prompt(attempt_number)
            self._state.wait_queue.notify_capacity(selector.service)
            if not await self._is_certain(entry.incarnation, connection.opened_at):
                selector.connect_failures += 1
                return _AttemptOutcome.SERVER_LEFT, "process_uncertain"
            if not selector.may_send_prompt(entry):
                return _AttemptOutcome.ENGINE_READS, "engine_reads_before_sending"
            load.note_prompt(attempt_number, selector.prompt_tokens)
        now = monotonic_s()
        if not selector.may_send_to(entry, now):
            return _AttemptOutcome.SERVER_LEFT, LEFT_REASON
        if not selector.is_permitted(entry, now):
            return _AttemptOutcome.NOT_PERMITTED, "no_permit_before_sending"
        # What is taken over from a silent server has been sent already.
        if selector is self._selector and not self._may_begin():
            return _AttemptOutcome.HOST_STOPPING, planned_stop.STOPPING_REASON
        if self._rejected_part() is not None:
            return _AttemptOutcome.PROMPT_REJECTED, "rejected_before_sending"
        if self._is_held_back():
            return _AttemptOutcome.SUSPECT, "suspect_before_sending"
        if not self._is_still_admitted():
            return _AttemptOutcome.NOT_ADMITTED, self._rejection.reason
        return None, ""

    def _is_still_admitted(self) -> bool:
        """Tell whether the configuration in force still admits the request.

        The organisation for which it does so becomes that of the request.
        """
        decision = admission.decide_entry(self._state, self._request, self._route)
        if isinstance(decision, Rejected):
            self._rejection = decision
            return False
        if decision.name != self._request.organisation:
            self._request = replace(self._request, organisation=decision.name)
        return True

    async def _attempt(
        self,
        entry: ServerEntry,
        connection: ClientConnection | None,
    ) -> _AttemptOutcome:
        """Make one attempt.

        :param connection: The connection to use, None to open one.
        """
        state = self._state
        load = state.loads.get_or_create(entry.incarnation)
        if connection is None:
            connection = await self._connect(
                entry, self._selector, self._attempt_number
            )
            if isinstance(connection, _AttemptOutcome):
                if connection is _AttemptOutcome.NOT_CONNECTED:
                    self._slot_quality = SlotQuality.UNREACHABLE
                return connection
        elif not self._is_still_admitted():
            # The connection was opened while another server had the request.
            connection.close()
            outcome = _AttemptOutcome.NOT_ADMITTED
            self._log_attempt(entry, outcome.value, self._rejection.reason)
            return outcome
        now = monotonic_s()
        pace = _StreamPace(now, self._route)
        events_before = self._splitter.count
        is_continued = bool(events_before or self._request.last_event_id)
        if self._record.attempts == 0 and not self._is_retry:
            state.retry_window(self._selector.service).record_request(now)
        self._record.attempts += 1
        self._record.version = entry.version
        self._record.limit_per_s = state.limits.per_s(entry.incarnation)
        self._record.slowness = self._relative_time = None
        head = state.adapter.servers.request_head(
            self._request,
            entry,
            self._remaining_s(),
            self._sent_priority(),
            self._splitter.last_id,
        )
        self._head = None
        self._sent_suspects = state.prompt_quarantine.suspects(
            self._request.shared_parts
        )
        sent_at = now
        exchange = connection.send(
            head,
            self._request.body,
            self._response_filter(entry.server, connection),
            self._request.request_id,
        )
        self._reachability.note_sent(entry.incarnation, now)
        try:
            outcome, reason = await self._process_response(
                entry, connection, exchange, pace
            )
        finally:
            self._reachability.note_ended(entry.incarnation, monotonic_s())
            if not exchange.outcome.done():
                connection.close()
        now = monotonic_s()
        if self._head is None and reason in BROKEN_REASONS:
            load.note_broken(now)
            self._reachability.note_connect_failure(entry.incarnation, now)
        if reason != ExchangeOutcome.TIMED_OUT.value:
            load.note_received(now)
        has_ended = reason in BROKEN_REASONS and await self._has_ended(entry)
        if has_ended:
            state.fleet.note_ended(entry.incarnation, monotonic_s())
        # One that fell over for want of room has not crashed because of what it ran.
        has_crashed = has_ended and not state.has_fallen(entry, monotonic_s())
        self._note_health(entry, outcome, reason)
        self._note_suspicion(entry, outcome, reason, has_crashed, sent_at)
        if outcome is _AttemptOutcome.DELIVERED and not reason:
            self._note_work(entry, now - sent_at, pace, now)
            # The last events of a stream that another engine began show little.
            if not is_continued:
                self._clear_parts()
            if self._selector.is_engine:
                state.fleet.note_served(
                    entry, self._request.model, self._request.adapter
                )
        elif has_crashed and self._splitter.count - events_before < ANSWERED_EVENTS:
            self._suspect_parts(entry)
        has_response = self._head is not None
        self._slot_quality = _slot_quality(outcome, reason, pace, has_response)
        if outcome is not _AttemptOutcome.DELIVERED:
            self._selector.reason = reason
            self._log_attempt(entry, outcome.value, reason)
        return outcome

    def _sent_priority(self) -> int | None:
        """Return the priority that an engine is told; None for other servers."""
        if not self._selector.is_engine:
            return None
        return self._state.configuration.sent_priority(self._selector.priority)

    def _response_filter(
        self, server: str, connection: ClientConnection
    ) -> Callable[[int, Headers], bool]:
        """Return a function that tells whether a response belongs to this request.

        It stores the head of the response that does.  One without an id may be a late
        copy of the response to any earlier request on the connection.
        """
        is_first_request = connection.is_unused

        def accepts(status: int, headers: Headers) -> bool:
            head = self._state.adapter.servers.decode_head(status, headers)
            is_own = head.request_id == self._request.request_id
            if not head.request_id:
                connection.forbid_reuse()
                is_own = is_first_request
            if is_own:
                self._head = head
            else:
                self._note_discarded(server, head)
            return is_own

        return accepts

    def _note_discarded(self, server: str, head: ResponseHead) -> None:
        """Log and count a response that is not certainly the one to this request."""
        self._state.metrics.event("response_discarded")
        self._state.log.event(
            "response_discarded",
            server=server,
            request=self._request.request_id,
            response_to=head.request_id,
            status=head.status,
        )

    async def _process_response(
        self,
        entry: ServerEntry,
        connection: ClientConnection,
        exchange: Exchange,
        pace: "_StreamPace",
    ) -> tuple[_AttemptOutcome, str]:
        """Wait for the response of an attempt and process it.

        :return: The outcome and the reason for it, "" for a success.
        """
        response = await self._await_head(exchange, entry)
        if isinstance(response, ExchangeOutcome):
            return _AttemptOutcome.UNKNOWN, response.value
        head = self._head
        now = monotonic_s()
        load = self._state.loads.get_or_create(entry.incarnation)
        load.note_received(now)
        self._reachability.note_received(entry.incarnation, connection.opened_at, now)
        if head.load is not None:
            load.apply_report(head.load, now)
            if head.load.slowness is not None:
                self._record.slowness = head.load.slowness
                self._state.speeds.note_slowness(
                    entry.incarnation, head.load.slowness, now
                )
        source = f"response_{head.status}"
        if head.is_leaving:
            self._state.note_server_leaving(entry, source, now)
        self._state.note_server_limit(entry.incarnation, head.limit_per_s, source, now)
        self._state.note_server_brittle(
            entry.incarnation, head.brittle_per_s, source, now
        )
        if head.status == http.HTTPStatus.SERVICE_UNAVAILABLE and head.retry_after_s:
            self._note_back_off(entry, head.retry_after_s, now)
        self._log_unreadable(entry, head)
        if head.was_not_run:
            if self._selector.is_engine and head.lacks_model:
                self._state.fleet.note_not_held(
                    entry, self._request.model, self._request.adapter, now
                )
                self._state.replan_requested.set()
            if not head.is_wrong_server:
                self._state.note_turned_away(entry.incarnation, now, now)
            return _AttemptOutcome.NOT_RUN, f"server_said_{head.status}"
        is_success = 200 <= head.status < 300
        if head.is_encoded or (is_success and not head.is_signed):
            connection.forbid_reuse()
            return _AttemptOutcome.UNKNOWN, "not_the_servers_answer"
        if is_success and self._route.is_stream:
            if is_event_stream(head.status, head.headers):
                return await self._forward_stream(
                    head, connection, exchange, entry, pace
                )
            if self._is_continuation:
                return _AttemptOutcome.UNKNOWN, NOT_A_STREAM_REASON
        return await self._forward_complete_response(head, exchange, entry)

    @property
    def _is_continuation(self) -> bool:
        """Tell whether a server is asked for a continuation of a stream."""
        return self._responder.is_started or bool(self._request.last_event_id)

    @property
    def _can_resume(self) -> bool:
        """Tell whether another server can go on with the stream.

        Without ids of its events it would begin again.
        """
        has_position = not self._splitter.has_begun or bool(self._splitter.last_id)
        return self._route.is_resumable and has_position

    def _is_end_believed(self) -> bool:
        """Tell whether a stream that goes on without an event was complete before.

        The caller of a stream that is broken off instead resumes it, and learns the
        same from the next server, unless its route allows one attempt only.
        """
        self._ends_without_event += 1
        is_only_attempt = self._route.attempts < CONFIRMED_ENDS
        if is_only_attempt and not self._responder.is_started:
            return True
        return self._ends_without_event >= CONFIRMED_ENDS

    async def _forward_complete_response(
        self, head: ResponseHead, exchange: Exchange, entry: ServerEntry
    ) -> tuple[_AttemptOutcome, str]:
        exchange_outcome = await self._await_until_deadline(
            exchange.outcome, self._remaining_s(), entry
        )
        if exchange_outcome is not ExchangeOutcome.COMPLETE:
            return _AttemptOutcome.UNKNOWN, exchange_outcome.value
        if await self._is_cut_short(entry, exchange):
            return _AttemptOutcome.UNKNOWN, ExchangeOutcome.CLOSED.value
        if self._is_false_promise(head.status):
            return _AttemptOutcome.UNKNOWN, f"server_said_{head.status}"
        is_error = head.status >= 500
        may_repeat = self._route.may_repeat and self._has_attempts_left()
        has_time = waiting.may_send_again(self._remaining_s())
        if is_error and may_repeat and has_time and self._try_acquire_retry():
            self._has_reserved_retry = True
            return _AttemptOutcome.UNKNOWN, f"server_error_{head.status}"
        if self._responder.is_started:
            return _AttemptOutcome.UNKNOWN, f"server_error_{head.status}"
        self._responder.send_response(
            head.status, list(head.headers), exchange.take_body()
        )
        self.log_end("answered", status=head.status, server=entry.server)
        return _AttemptOutcome.DELIVERED, "server_error" if is_error else ""

    def _is_false_promise(self, status: int) -> bool:
        """Tell whether a server's status would tell the caller that nothing was run.

        The server has not stated so itself: it fails requests that it has run with the
        same status.  Callers send a request that may run once again after it.
        """
        return status in NOT_RUN_STATUSES and not self._route.may_repeat

    async def _forward_stream(
        self,
        head: ResponseHead,
        connection: ClientConnection,
        exchange: Exchange,
        entry: ServerEntry,
        pace: "_StreamPace",
    ) -> tuple[_AttemptOutcome, str]:
        responder, splitter = self._responder, self._splitter
        record, reachability = self._record, self._reachability
        server, connected_at = entry.incarnation, connection.opened_at
        load = self._state.loads.get_or_create(server)
        received = asyncio.Event()
        answered_count = splitter.count + ANSWERED_EVENTS

        def forward_events(data: bytes) -> None:
            received.set()
            now = monotonic_s()
            load.note_received(now)
            reachability.note_received(server, connected_at, now)
            events = splitter.feed(data)
            if splitter.must_end:
                connection.abandon(exchange)
            if not events:
                return
            if not pace.has_events:
                if self._origin is None and self._route.is_resumable:
                    self._note_first_event(entry, connection)
                if load.note_first_event(self._attempt_number):
                    self._state.wait_queue.notify_capacity(self._selector.service)
            record.record_event(now)
            pace.record_event(now)
            if not self._are_parts_cleared and splitter.count >= answered_count:
                self._clear_parts()
            if not responder.is_started:
                responder.start_stream(head.status, list(head.headers))
            responder.send(events)

        exchange.on_body = forward_events
        connection.tolerate_silence()

        def resume() -> None:
            # What the server sends is read only from now on.
            received.set()
            connection.resume(exchange)

        responder.set_flow_control(lambda: connection.pause(exchange), resume)
        buffered = exchange.take_body()
        if buffered:
            forward_events(buffered)
        exchange_outcome = await self._await_stream(exchange, received, entry)
        if await self._is_cut_short(entry, exchange):
            exchange_outcome = ExchangeOutcome.CLOSED
        reason = self._broken_reason(exchange_outcome)
        if not reason:
            if not responder.is_started:
                responder.start_stream(head.status, list(head.headers))
            responder.end_stream()
            self._note_stream_end()
            self.log_end(
                "answered",
                status=head.status,
                events=splitter.count,
                server=entry.server,
            )
            return _AttemptOutcome.DELIVERED, ""
        splitter.drop_partial()
        return (
            _AttemptOutcome.BROKEN_STREAM
            if responder.is_started
            else _AttemptOutcome.UNKNOWN,
            reason,
        )

    def _broken_reason(self, outcome: ExchangeOutcome) -> str:
        """Return why a stream is incomplete, "" if it is complete."""
        if self._splitter.is_out_of_order:
            return OUT_OF_ORDER_REASON
        if self._splitter.is_too_long:
            return TOO_LONG_REASON
        if outcome is not ExchangeOutcome.COMPLETE:
            return outcome.value
        if self._splitter.has_partial:
            return "partial_event"
        if self._splitter.is_resuming and not self._is_end_believed():
            return ENDED_WITHOUT_EVENT_REASON
        return ""

    async def _await_stream(
        self, exchange: Exchange, received: asyncio.Event, entry: ServerEntry
    ) -> ExchangeOutcome:
        """Wait for a stream's end.

        It times out ``SERVER_RESPONSE_GRACE_S`` after the deadline.

        A stream that can be resumed on another server also times out if it has
        delivered no data for too long and another server is ready to take it over.
        The time in which its caller does not read does not count.
        """
        ended = exchange.outcome
        idle_timeout_s = max(STREAM_IDLE_TIMEOUT_S, 8 * self._route.max_event_gap_s)
        silence_s = idle_timeout_s
        while not ended.done():
            may_resume = self._can_resume and self._has_attempts_left()
            timeout_s = self._remaining_s() + SERVER_RESPONSE_GRACE_S
            if timeout_s <= 0:
                return ExchangeOutcome.TIMED_OUT
            received.clear()
            await asyncio.wait(
                [ended],
                timeout=min(timeout_s, silence_s) if may_resume else timeout_s,
            )
            silence_s = idle_timeout_s
            if ended.done() or not may_resume or received.is_set():
                continue
            if exchange.is_paused:
                continue
            if await self._replace_silent(entry, ended, received):
                return ExchangeOutcome.TIMED_OUT
            if not received.is_set():
                silence_s = SEARCH_INTERVAL_S
        return ended.result()

    async def _await_head(self, exchange: Exchange, entry: ServerEntry) -> object:
        """Wait for the head of a response, or for a server that takes the request over.

        :return: The head, or why there is none.
        """
        timeout_s = self._head_timeout_s()
        while True:
            head = await self._await_until_deadline(exchange.head, timeout_s, entry)
            if head is not ExchangeOutcome.TIMED_OUT:
                return head
            if not (self._route.may_repeat and self._has_attempts_left()):
                return head
            if self._remaining_s() + SERVER_RESPONSE_GRACE_S <= 0:
                return head
            if await self._replace_silent(entry, exchange.head, asyncio.Event()):
                return head
            timeout_s = min(
                SEARCH_INTERVAL_S, self._remaining_s() + SERVER_RESPONSE_GRACE_S
            )

    async def _replace_silent(
        self, entry: ServerEntry, ended: asyncio.Future, received: asyncio.Event
    ) -> bool:
        """Search a server that takes over from a silent one, until that one goes on.

        The silent server keeps the request meanwhile: it may go on at any moment, and a
        request that it has lost could not be completed if no other can take it.

        :param ended: Is done if the silent server has gone on.
        :param received: Is set if the silent server has gone on.
        :return: Whether another server is ready.
        """
        if self._can_run_elsewhere():
            self._has_reserved_retry = self._try_acquire_retry()
            return self._has_reserved_retry
        search = asyncio.ensure_future(self._find_successor(entry))
        resumed = asyncio.ensure_future(received.wait())
        try:
            await asyncio.wait(
                [search, resumed, ended],
                timeout=max(0.0, self._remaining_s() + SERVER_RESPONSE_GRACE_S),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            resumed.cancel()
            search.cancel()
        if not search.done() or search.cancelled() or not search.result():
            return False
        has_resumed = received.is_set() or ended.done()
        has_time = self._may_leave_silent()
        if has_resumed or not has_time or not self._try_acquire_retry():
            self._discard_successor()
            return False
        self._has_reserved_retry = True
        self._has_left_silent = True
        return True

    def _may_leave_silent(self) -> bool:
        """Tell whether enough time remains to take the request from a silent server.

        One whose response has not begun is answered whatever the next server says.
        """
        remaining_s = self._remaining_s()
        if self._responder.is_started:
            return waiting.may_leave_silent_server(remaining_s, SEARCH_INTERVAL_S)
        return waiting.may_send_again(remaining_s)

    def _can_run_elsewhere(self) -> bool:
        """Tell whether a request may leave a silent server for another host."""
        return (
            self._is_helper_sought
            and self._is_cut_off()
            and self._may_leave_silent()
            and self._detours.has_proven_helper()
        )

    async def _find_successor(self, entry: ServerEntry) -> bool:
        """Prepare a server to take the request over; tell whether there is one now."""
        if not self._may_leave_silent():
            return False
        if not self._is_retry_available():
            return False
        if self._splitter.count and not await self._know_version():
            return False
        selector = self._selector.for_next_attempt(entry.server)
        candidate = await selector.select_instead_of(entry.server)
        if candidate is None:
            return False
        load = self._state.loads.get_or_create(candidate.incarnation)
        # It may have become so while the request waited for it.
        is_avoided = load.is_avoided(monotonic_s())
        number = self._begin_attempt(candidate, selector)
        successor = None
        try:
            if not is_avoided:
                connection = await self._connect(candidate, selector, number)
                # The silent server may still complete the request.
                self._rejection = None
                if not isinstance(connection, _AttemptOutcome):
                    successor = _Successor(candidate, number, selector, connection)
        finally:
            if successor is None:
                self._end_attempt(candidate, number, selector, SlotQuality.UNUSED)
        self._successor = successor
        return successor is not None

    async def _may_search_again(self) -> bool:
        """Tell whether to search a server again, after a pause.

        A stream that was taken from a silent server might have been completed there, so
        it is not broken off because the next server turned it away.
        """
        if not (self._has_left_silent and self._responder.is_started):
            return False
        if not self._has_attempts_left():
            return False
        if not waiting.may_send_again(self._remaining_s()):
            return False
        await asyncio.sleep(SEARCH_INTERVAL_S)
        self._selector.connect_failures = 0
        return True

    def _head_timeout_s(self) -> float:
        remaining_s = self._remaining_s() + SERVER_RESPONSE_GRACE_S
        if not self._route.may_repeat or not self._has_attempts_left():
            return remaining_s
        if self._route.is_stream:
            return min(remaining_s, max(STREAM_IDLE_TIMEOUT_S, 4 * self._route.goal_s))
        return min(
            remaining_s, FIRST_ATTEMPT_SHARE * (self._deadline - self._arrived_s)
        )

    async def _await_until_deadline(
        self, future: asyncio.Future, timeout_s: float, entry: ServerEntry
    ) -> object:
        """Wait for a future.

        On a stream's route the timeout is extended while the server still sends data
        to any request, at most until ``SERVER_RESPONSE_GRACE_S`` after the deadline.

        :param timeout_s: The timeout, in seconds; it may itself include the grace time.
        :return: The future's result, ``ExchangeOutcome.TIMED_OUT`` if there is none.
        """
        while True:
            await asyncio.wait([future], timeout=max(0.0, timeout_s))
            if future.done():
                return future.result()
            now = monotonic_s()
            load = self._state.loads.get_or_create(entry.incarnation)
            if self._deadline + SERVER_RESPONSE_GRACE_S <= now:
                return ExchangeOutcome.TIMED_OUT
            if load.is_silent(now) or not self._route.is_stream:
                return ExchangeOutcome.TIMED_OUT
            timeout_s = min(
                STREAM_IDLE_TIMEOUT_S, self._deadline + SERVER_RESPONSE_GRACE_S - now
            )

    # Retries and rejections

    def _has_attempts_left(self) -> bool:
        return self._record.attempts - self._rejected_attempts < self._route.attempts

    def _try_acquire_retry(self) -> bool:
        state = self._state
        return state.retry_window(self._selector.service).try_acquire(
            monotonic_s(), state.recent_max_host_count
        )

    def _is_retry_available(self) -> bool:
        state = self._state
        return state.retry_window(self._selector.service).is_available(
            monotonic_s(), state.recent_max_host_count
        )

    def _may_retry(self, outcome: _AttemptOutcome) -> bool:
        if outcome is not _AttemptOutcome.NOT_RUN:
            self._has_unknown_outcome = True
            if not self._route.may_repeat:
                return False
        if outcome is _AttemptOutcome.BROKEN_STREAM and not self._can_resume:
            return False
        if not self._has_attempts_left():
            return False
        if self._state.quarantine.is_quarantined(self._quarantine_key, monotonic_s()):
            return False
        if not waiting.may_send_again(self._remaining_s()):
            return False
        if self._has_reserved_retry:
            self._has_reserved_retry = False
        elif not self._try_acquire_retry():
            self._state.metrics.refusal("retry_budget")
            return False
        self._state.metrics.retry(self._selector.reason)
        return True

    # Requests that crash servers

    def _verdict(self) -> Verdict:
        return self._state.quarantine.admit(self._quarantine_key, self, monotonic_s())

    def _is_held_back(self) -> bool:
        """Tell whether nothing may be sent, as servers have crashed with the request.

        A request whose server has crashed is not held back by the probe of another one:
        it may be answered as soon as that one.
        """
        verdict, was_sent = self._verdict(), self._record.attempts > 0
        is_behind = verdict is Verdict.BEHIND_PROBE and not was_sent
        return verdict is Verdict.QUARANTINED or is_behind

    # Parts of prompts that crash engines

    def _rejected_part(self) -> str | None:
        return self._state.prompt_quarantine.rejected_part(self._request.shared_parts)

    def _clear_parts(self) -> None:
        """Note that an engine has answered a request with these parts."""
        if self._are_parts_cleared:
            return
        self._are_parts_cleared = True
        quarantine = self._state.prompt_quarantine
        known = quarantine.rejected
        if quarantine.clear(self._request.shared_parts, monotonic_s()):
            self._state.shared_state_changed()
        if quarantine.rejected != known:
            self._state.apply_rejected_parts(self._state.settings.host)

    async def _is_cut_short(self, entry: ServerEntry, exchange: Exchange) -> bool:
        """Tell whether a response ended as its server crashed, with the connection.

        One that leaves ceases to listen before its last responses end, so nothing is
        known of these, and they count as whole.
        """
        if not exchange.ended_with_connection:
            return False
        fleet, now = self._state.fleet, monotonic_s()
        if not fleet.is_ready(entry) or fleet.leaving_s(entry, now) is not None:
            return False
        return await self._has_ended(entry)

    async def _has_ended(self, entry: ServerEntry) -> bool:
        """Tell whether the server's process has ended, as far as can be seen.

        Nothing listens at its address, while other servers accept connections.  A
        connection that breaks while the server still listens shows no end, nor does one
        that breaks while this host is cut off from all servers.
        """
        pool = self._state.pools.get_or_create(entry)
        if not await pool.refuses_connections(CONNECT_TIMEOUT_S):
            return False
        return await self._reaches_other_servers(entry)

    async def _reaches_other_servers(self, entry: ServerEntry) -> bool:
        """Tell whether a server other than a given one accepts connections."""
        state = self._state
        others = [
            other
            for other in state.fleet.entries.values()
            if other.server != entry.server and state.fleet.is_ready(other)
        ]
        if not others:
            return True
        chosen = state.rng.sample(others, min(REFERENCE_SERVERS, len(others)))
        pools = [state.pools.get_or_create(other) for other in chosen]
        return any(
            await asyncio.gather(
                *(pool.accepts_connections(CONNECT_TIMEOUT_S) for pool in pools)
            )
        )

    def _suspect_parts(self, entry: ServerEntry) -> None:
        """Suspect the parts of the prompt, as the engine crashed with the request."""
        state, parts = self._state, self._request.shared_parts
        if not (parts and self._selector.is_engine):
            return
        quarantine = state.prompt_quarantine
        known = quarantine.rejected
        process = prompt_quarantine.process_number(entry.incarnation)
        suspects = self._sent_suspects
        if quarantine.record_crash(parts, process, monotonic_s(), suspects):
            state.metrics.event("engine_crash_suspects")
            state.log.event(
                "engine_crashed",
                server=entry.server,
                started_ms=entry.started_ms,
                request=self._request.request_id,
                parts=",".join(parts),
                suspects=",".join(suspects),
            )
            state.shared_state_changed()
        if quarantine.rejected != known:
            state.apply_rejected_parts(state.settings.host)

    def _send_failure(self) -> None:
        """Send the caller the final response if no further attempt is allowed."""
        if self._responder.is_started:
            self._responder.abort()
            self.log_end("broken_off", reason=self._selector.reason)
        elif self._has_unknown_outcome:
            self._reject_unknown_outcome()
        elif self._rejection is not None:
            refused = admission.refusal(
                self._state, self._request.request_id, self._rejection
            )
            self._reject(refused.reason, refused.status, refused.retry_after_s)
        elif (verdict := self._verdict()) is Verdict.QUARANTINED:
            self._reject("quarantined", http.HTTPStatus.FORBIDDEN, None)
        elif verdict is Verdict.BEHIND_PROBE:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            self._reject("suspect_probed", status, PROBE_RETRY_AFTER_S)
        elif (part := self._rejected_part()) is not None:
            remaining_s = self._state.prompt_quarantine.remaining_s(part, monotonic_s())
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            self._reject("prompt_rejected", status, remaining_s)
        else:
            self._reject_not_run(self._selector.reason)

    def _reject_not_run(self, reason: str) -> None:
        retry_after_s = self._selector.back_off_s
        if retry_after_s is None:
            retry_after_s = waiting.retry_after_s(
                reason in CAPACITY_REASONS,
                self._state.rng.random(),
                self._selector.predicted_wait_s,
            )
        self._reject(reason, http.HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s)

    def _reject_unknown_outcome(self) -> None:
        has_timed_out = self._remaining_s() < MIN_ATTEMPT_TIME_S
        status = (
            http.HTTPStatus.GATEWAY_TIMEOUT
            if has_timed_out
            else http.HTTPStatus.BAD_GATEWAY
        )
        self._reject(self._selector.reason or "outcome_unknown", status, None)

    def _reject(self, reason: str, status: int, retry_after_s: float | None) -> None:
        self._is_rejected_as_not_run = not (
            self._has_unknown_outcome or status in UNKNOWN_OUTCOME_STATUSES
        )
        reject(
            self._state,
            self._responder,
            self._request.request_id,
            reason,
            status,
            retry_after_s,
            route=self._route.name,
            sends=self._record.attempts,
            waited_ms=round(self._selector.waited_s * 1000),
            remaining_ms=round(self._remaining_s() * 1000),
            **self._record.request_fields(),
            **self._rejection_fields(),
        )

    def _rejection_fields(self) -> dict[str, object]:
        """Return the age of the configuration that no longer admits the request."""
        if self._rejection is None:
            return {}
        return {"configuration_age_s": round(self._state.configuration_age_s(), 2)}

    # Server health and logging

    def _note_health(
        self, entry: ServerEntry, outcome: _AttemptOutcome, reason: str
    ) -> None:
        load = self._state.loads.get_or_create(entry.incarnation)
        is_failure = outcome in (
            _AttemptOutcome.UNKNOWN,
            _AttemptOutcome.BROKEN_STREAM,
        ) or bool(reason)
        if outcome is _AttemptOutcome.NOT_RUN:
            is_failure = reason != MISDIRECTED_REASON
        load.note_outcome(is_failure)

    def _note_suspicion(
        self,
        entry: ServerEntry,
        outcome: _AttemptOutcome,
        reason: str,
        has_crashed: bool,
        sent_at: float,
    ) -> None:
        """Record whether the request was answered, or its server crashed."""
        state, key, now = self._state, self._quarantine_key, monotonic_s()
        quarantine = state.quarantine
        if outcome is _AttemptOutcome.DELIVERED and not reason:
            if quarantine.clear(key, now):
                state.shared_state_changed()
        elif has_crashed:
            crash = crash_name(entry.incarnation)
            if quarantine.record_crash(key, crash, now, sent_at):
                state.log.event(
                    "request_quarantined",
                    request=self._request.request_id,
                    fingerprint=key,
                )
                state.wait_queue.notify()
            state.shared_state_changed()

    def _note_work(
        self, entry: ServerEntry, seconds: float, pace: _StreamPace, now: float
    ) -> None:
        """Record how long the work of a request took, relative to its latency goal.

        The response of a plain server counts if no request waits there: it may
        otherwise have waited for most of the time.
        """
        load = self._head.load
        self._relative_time = pace.relative_time
        is_waiting = load is not None and load.waiting > 0
        if not self._route.is_stream and self._route.goal_s and not is_waiting:
            self._relative_time = seconds / self._route.goal_s
        if self._relative_time is not None:
            self._state.speeds.note_work(entry.incarnation, self._relative_time, now)

    def _note_back_off(self, entry: ServerEntry, seconds: float, now: float) -> None:
        """Send a server nothing for the time that it names as it turns a request away.

        :param seconds: The time, in seconds.
        """
        load = self._state.loads.get_or_create(entry.incarnation)
        load.note_back_off(now + seconds)
        self._state.wait_queue.notify_servers(entry.service, None)
        self._state.metrics.event("server_backs_off")
        self._state.log.event(
            "server_backs_off",
            server=entry.server,
            request=self._request.request_id,
            seconds=seconds,
        )

    def _log_unreadable(self, entry: ServerEntry, head: ResponseHead) -> None:
        """Count headers that could not be read; log each once for a server process."""
        for name in head.unreadable:
            self._state.metrics.event("header_unreadable")
            if self._state.loads.get_or_create(entry.incarnation).note_unreadable(name):
                self._state.log.event(
                    "header_unreadable", server=entry.server, header=name
                )

    def _log_attempt(self, entry: ServerEntry, outcome: str, error: str) -> None:
        self._record.log_attempt(entry, outcome, self._remaining_s(), error)

    def count_attempts(self) -> int:
        """Return how often the request has been sent to servers so far."""
        return self._record.attempts

    def log_end(self, outcome: str, **fields: object) -> None:
        """Log and count the end of the request."""
        if self._selector.allocator:
            fields["allocator"] = self._selector.allocator
        self._record.log_end(outcome, self._selector.waited_s, **fields)

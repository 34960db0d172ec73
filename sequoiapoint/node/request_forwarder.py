"""The sends of one caller's request, and what follows from each.

Only what has certainly not run is refused as such; a request whose outcome is not known
is sent again only where its route says that it may run more than once.
"""

import asyncio
import enum
import http
import itertools

import xxhash

from sequoiapoint.coordination import waiting
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.request_record import RequestRecord, reject
from sequoiapoint.node.server_selector import (
    CAPACITY_REASONS,
    MIN_ATTEMPT_TIME_S,
    ServerSelector,
)
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.event_stream import EventSplitter
from sequoiapoint.protocol.gateway import (
    CallerRequest,
    ResponseHead,
    Route,
    ServerEntry,
)
from sequoiapoint.protocol.ports import Headers
from sequoiapoint.transport.async_http_client import (
    CONNECT_TIMEOUT_S,
    ClientConnection,
    Exchange,
    ExchangeOutcome,
)
from sequoiapoint.transport.async_http_server import Responder
from sequoiapoint.transport.clock import monotonic_s

SERVER_ANSWER_GRACE_S = 0.1
"""Time after the deadline for the server's own word that it was reached."""
FIRST_TRY_SHARE = 0.5
"""Part of its time for the first try of a plain request that may run twice."""
STREAM_SILENCE_S = 1.2
"""Silence of a server from which a stream that may be resumed goes on elsewhere; below
the two seconds after which callers give up."""
MISDIRECTED_REASON = f"server_said_{int(http.HTTPStatus.MISDIRECTED_REQUEST)}"
"""Why a send failed whose server lacks what was asked for, or is another one."""

_request_numbers = itertools.count()


class _Step(enum.Enum):
    """What follows from one send."""

    DELIVERED = "delivered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BROKEN_STREAM = "broken_stream"


class RequestForwarder:
    """The sends of one request."""

    def __init__(
        self,
        state: GatewayState,
        request: CallerRequest,
        route: Route,
        arrived_s: float,
        responder: Responder,
    ) -> None:
        self._state = state
        self._request = request
        self._route = route
        self._responder = responder
        self._arrived_s = arrived_s
        budget_s = route.timeout_s
        if request.budget_s is not None:
            budget_s = min(budget_s, request.budget_s)
        self._deadline = arrived_s + budget_s
        self._picker = ServerSelector(state, request, route, self._deadline)
        self._record = RequestRecord(state, request, route, arrived_s)
        self._splitter = EventSplitter(request.last_event_id)
        self._has_unknown = False
        self._has_resend = False
        self._number = 0
        self._head: ResponseHead | None = None

    def _remaining_s(self) -> float:
        return self._deadline - monotonic_s()

    def _fingerprint(self) -> str:
        digest = xxhash.xxh64(self._request.target.encode())
        digest.update(self._request.model.encode())
        digest.update(self._request.body)
        return digest.hexdigest()

    async def run(self) -> None:
        """Send the request until it is answered or may not be sent again."""
        state = self._state
        fingerprint = self._fingerprint()
        if state.quarantine.is_quarantined(fingerprint, monotonic_s()):
            self._refuse("quarantined", http.HTTPStatus.FORBIDDEN, None)
            return
        if not self._picker.has_model():
            self._refuse_not_run("unknown_model")
            return
        if self._picker.is_engine:
            state.demand.note_request(
                self._picker.demand_key, self._route.goal_s, self._route.priority
            )
        while True:
            entry = await self._picker.select()
            if entry is None:
                self._give_up()
                return
            number = next(_request_numbers)
            load = state.loads.get_or_create(entry.incarnation)
            load.note_sent(number, monotonic_s(), self._picker.prompt_tokens)
            self._number = number
            if self._picker.is_engine:
                state.demand.adjust(self._picker.demand_key, in_work=1)
            try:
                step = await self._send(entry, fingerprint)
            finally:
                load.note_finished(number)
                if self._picker.is_engine:
                    state.demand.adjust(self._picker.demand_key, in_work=-1)
                state.wait_queue.notify()
            if step is _Step.DELIVERED:
                return
            if step is None:
                # No connection was made, so that nothing has been sent.
                self._picker.connect_failures += 1
                continue
            self._picker.tried.add(entry.server)
            if not self._may_send_again(step):
                self._give_up()
                return

    # Sending

    async def _send(self, entry: ServerEntry, fingerprint: str) -> _Step | None:
        """Send once; None where no connection was made."""
        state = self._state
        pool = state.pools.get_or_create(entry)
        load = state.loads.get_or_create(entry.incarnation)
        connection = await pool.acquire(min(CONNECT_TIMEOUT_S, self._remaining_s()))
        now = monotonic_s()
        if isinstance(connection, Failure):
            load.note_connect_failure(now)
            self._log_attempt(entry, "not_connected", connection.reason)
            return None
        if self._record.attempts == 0:
            state.retry_window(self._picker.service).record_request(now)
        self._record.attempts += 1
        head = state.adapter.servers.request_head(
            self._request,
            entry,
            self._remaining_s(),
            self._route.priority if self._picker.is_engine else None,
            self._splitter.last_id,
        )
        exchange = connection.send(head, self._request.body, self._is_own_answer)
        try:
            step, reason = await self._follow(entry, connection, exchange)
        finally:
            if not exchange.outcome.done():
                connection.close()
        now = monotonic_s()
        if reason != ExchangeOutcome.TIMED_OUT.value:
            load.note_received(now)
        self._note_health(entry, step, reason, fingerprint)
        if step is not _Step.DELIVERED:
            self._picker.reason = reason
            self._log_attempt(entry, step.value, reason)
        return step

    def _is_own_answer(self, status: int, headers: Headers) -> bool:
        """Tell whether an answer is this request's, and keep its head."""
        self._head = head = self._state.adapter.servers.decode_head(status, headers)
        return not head.request_id or head.request_id == self._request.request_id

    async def _follow(
        self, entry: ServerEntry, connection: ClientConnection, exchange: Exchange
    ) -> tuple[_Step, str]:
        """Wait for the answer; return what follows and why."""
        answered = await self._await(exchange.head, self._first_patience(), entry)
        if isinstance(answered, ExchangeOutcome):
            return _Step.UNKNOWN, answered.value
        head = self._head
        now = monotonic_s()
        load = self._state.loads.get_or_create(entry.incarnation)
        load.note_received(now)
        if head.load is not None:
            load.apply_report(head.load, now)
        if head.was_not_run:
            if head.is_wrong_server and self._picker.is_engine:
                self._state.fleet.note_not_held(
                    entry, self._request.model, self._request.adapter, now
                )
                self._state.replan_requested.set()
            return _Step.NOT_RUN, f"server_said_{head.status}"
        is_good = 200 <= head.status < 300
        if head.is_encoded or (is_good and not head.is_signed):
            connection.close()
            return _Step.UNKNOWN, "not_the_servers_answer"
        if is_good and self._route.is_stream:
            return await self._follow_stream(head, connection, exchange, entry)
        return await self._follow_whole(head, exchange, entry)

    async def _follow_whole(
        self, head: ResponseHead, exchange: Exchange, entry: ServerEntry
    ) -> tuple[_Step, str]:
        end = await self._await(exchange.outcome, self._remaining_s(), entry)
        if end is not ExchangeOutcome.COMPLETE:
            return _Step.UNKNOWN, end.value
        is_error = head.status >= 500
        may_repeat = self._route.may_repeat and self._has_sends_left()
        has_time = self._remaining_s() > MIN_ATTEMPT_TIME_S
        if is_error and may_repeat and has_time and self._take_resend():
            self._has_resend = True
            return _Step.UNKNOWN, f"server_error_{head.status}"
        if self._responder.is_started:
            return _Step.UNKNOWN, f"server_error_{head.status}"
        self._responder.send_response(
            head.status, list(head.headers), exchange.take_body()
        )
        self.log_end("answered", status=head.status, server=entry.server)
        return _Step.DELIVERED, "server_error" if is_error else ""

    async def _follow_stream(
        self,
        head: ResponseHead,
        connection: ClientConnection,
        exchange: Exchange,
        entry: ServerEntry,
    ) -> tuple[_Step, str]:
        responder, splitter = self._responder, self._splitter
        load = self._state.loads.get_or_create(entry.incarnation)
        heard = asyncio.Event()

        def pass_on(data: bytes) -> None:
            heard.set()
            events = splitter.feed(data)
            if not events:
                return
            if load.note_first_event(self._number):
                self._state.wait_queue.notify()
            self._record.record_event()
            if not responder.is_started:
                responder.start_stream(head.status, list(head.headers))
            responder.send(events)

        exchange.on_body = pass_on
        responder.set_flow_control(connection.pause, connection.resume)
        early = exchange.take_body()
        if early:
            pass_on(early)
        end = await self._await_stream(exchange, heard)
        if end is ExchangeOutcome.COMPLETE and not splitter.has_partial:
            if not responder.is_started:
                responder.start_stream(head.status, list(head.headers))
            responder.end_stream()
            self.log_end(
                "answered",
                status=head.status,
                events=splitter.count,
                server=entry.server,
            )
            return _Step.DELIVERED, ""
        splitter.drop_partial()
        reason = end.value if end is not ExchangeOutcome.COMPLETE else "partial_event"
        return (
            _Step.BROKEN_STREAM if responder.is_started else _Step.UNKNOWN,
            reason,
        )

    async def _await_stream(
        self, exchange: Exchange, heard: asyncio.Event
    ) -> ExchangeOutcome:
        """Wait for a stream's end, its deadline, or a silence that is too long."""
        ended = exchange.outcome
        silence_s = max(STREAM_SILENCE_S, 8 * self._route.max_event_gap_s)
        may_switch = self._route.is_resumable and self._has_sends_left()
        while not ended.done():
            timeout_s = self._remaining_s() + SERVER_ANSWER_GRACE_S
            if timeout_s <= 0:
                return ExchangeOutcome.TIMED_OUT
            heard.clear()
            await asyncio.wait(
                [ended], timeout=min(timeout_s, silence_s) if may_switch else timeout_s
            )
            if not ended.done() and may_switch and not heard.is_set():
                return ExchangeOutcome.TIMED_OUT
        return ended.result()

    def _first_patience(self) -> float:
        remaining_s = self._remaining_s() + SERVER_ANSWER_GRACE_S
        if not self._route.may_repeat or not self._has_sends_left():
            return remaining_s
        if self._route.is_stream:
            return min(remaining_s, max(STREAM_SILENCE_S, 4 * self._route.goal_s))
        return min(remaining_s, FIRST_TRY_SHARE * (self._deadline - self._arrived_s))

    async def _await(
        self, future: asyncio.Future, timeout_s: float, entry: ServerEntry
    ) -> object:
        """Wait for a future, at most until the deadline.

        A late first answer is waited for as long as its server speaks at all.
        """
        while True:
            await asyncio.wait([future], timeout=max(0.0, timeout_s))
            if future.done():
                return future.result()
            now = monotonic_s()
            load = self._state.loads.get_or_create(entry.incarnation)
            if self._deadline + SERVER_ANSWER_GRACE_S <= now:
                return ExchangeOutcome.TIMED_OUT
            if load.is_silent(now) or not self._route.is_stream:
                return ExchangeOutcome.TIMED_OUT
            timeout_s = min(
                STREAM_SILENCE_S, self._deadline + SERVER_ANSWER_GRACE_S - now
            )

    # What follows

    def _has_sends_left(self) -> bool:
        return self._record.attempts < self._route.attempts

    def _take_resend(self) -> bool:
        state = self._state
        return state.retry_window(self._picker.service).try_acquire(
            monotonic_s(), state.recent_max_host_count
        )

    def _may_send_again(self, step: _Step) -> bool:
        if step is not _Step.NOT_RUN:
            self._has_unknown = True
            if not self._route.may_repeat:
                return False
        if step is _Step.BROKEN_STREAM and not self._route.is_resumable:
            return False
        if not self._has_sends_left() or self._remaining_s() < MIN_ATTEMPT_TIME_S:
            return False
        if self._has_resend:
            self._has_resend = False
        elif not self._take_resend():
            self._state.metrics.refusal("retry_budget")
            return False
        self._state.metrics.retry(self._picker.reason)
        return True

    def _give_up(self) -> None:
        """Give the final answer where no further send may bring one."""
        if self._responder.is_started:
            self._responder.abort()
            self.log_end("broken_off", reason=self._picker.reason)
        elif self._has_unknown:
            self._fail()
        else:
            self._refuse_not_run(self._picker.reason)

    def _refuse_not_run(self, reason: str) -> None:
        self._refuse(
            reason,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            waiting.retry_after_s(reason in CAPACITY_REASONS, self._state.rng.random()),
        )

    def _fail(self) -> None:
        is_late = self._remaining_s() < MIN_ATTEMPT_TIME_S
        status = (
            http.HTTPStatus.GATEWAY_TIMEOUT if is_late else http.HTTPStatus.BAD_GATEWAY
        )
        self._refuse(self._picker.reason or "outcome_unknown", status, None)

    def _refuse(self, reason: str, status: int, retry_after_s: float | None) -> None:
        reject(
            self._state,
            self._responder,
            self._request.request_id,
            reason,
            status,
            retry_after_s,
            route=self._route.name,
            sends=self._record.attempts,
            waited_ms=round(self._picker.waited_s * 1000),
            remaining_ms=round(self._remaining_s() * 1000),
        )

    # Health, log

    def _note_health(
        self, entry: ServerEntry, step: _Step, reason: str, fingerprint: str
    ) -> None:
        state = self._state
        load = state.loads.get_or_create(entry.incarnation)
        is_failure = step in (_Step.UNKNOWN, _Step.BROKEN_STREAM) or bool(reason)
        if step is _Step.NOT_RUN:
            is_failure = reason != MISDIRECTED_REASON
        load.note_outcome(is_failure)
        if step is _Step.DELIVERED and not reason:
            state.quarantine.clear(fingerprint)
        elif reason in (ExchangeOutcome.RESET.value, ExchangeOutcome.CLOSED.value):
            death = f"{entry.server}@{entry.started_ms}"
            now = monotonic_s()
            if state.quarantine.record_crash(fingerprint, death, now):
                state.log.event(
                    "request_quarantined",
                    request=self._request.request_id,
                    fingerprint=fingerprint,
                )

    def _log_attempt(self, entry: ServerEntry, outcome: str, error: str) -> None:
        self._record.log_attempt(entry, outcome, self._remaining_s(), error)

    def log_end(self, outcome: str, **fields: object) -> None:
        """Log and count the end of the request."""
        self._record.log_end(outcome, self._picker.waited_s, **fields)

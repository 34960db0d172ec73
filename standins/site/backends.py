"""Simulated plain servers and model engines of the users' platform."""

import asyncio
import http
import json
import time
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from sequoiapoint.transport.async_http_server import (
    AsyncHttpServer,
    InboundRequest,
    Responder,
)
from standins.site.store import JSON, Store

EVENT_INTERVAL_S = 0.02
PAGE = b"<p>id: 98\n\ndata: none\n\n</p>\n"
"""A body that is no stream, with blank lines like those behind events."""
ADAPTER_LOAD_S = 0.01
MODEL_LOAD_S = 0.2
CREDENTIAL_HEADERS = (b"tenant", b"authorization", b"request-prio")
"""Headers that servers record: who a request is from, and how urgent it is."""
FALL_S = 3.0
"""Time for which a brittle server is down after it has turned too many away."""
FALL_WINDOW_S = 1.0
"""Time in which a brittle server counts what it turns away."""


def header(request: InboundRequest, name: bytes) -> str:
    """Return a header's value, "" if it is absent."""
    return next((v.decode() for n, v in request.headers if n == name), "")


@dataclass
class Faults:
    """The faults of a server.

    :param reset_next: The number of next requests that are run and whose connection is
        then reset.
    :param fail_next: The number of next requests that are run and answered with 500.
    :param cut_stream_after: The number of events after which the next stream is reset
        in the middle of an event; 0 for never.
    :param continuation: What the next continuation of a stream is answered with:
        ``no_stream``, ``no_events`` or ``begin_again``; "" for the events that follow.
    :param turn_away_s: The time for which it turns all requests away, named in the
        response; 0 for none.  It begins with the next request.
    :param poison: A request body that crashes the process that begins to run it; empty
        for none.
    :param poison_sender: The only organisation whose requests do so; empty for all.
    """

    reset_next: int = 0
    fail_next: int = 0
    cut_stream_after: int = 0
    continuation: str = ""
    turn_away_s: float = 0.0
    poison: bytes = b""
    poison_sender: str = ""


@dataclass(frozen=True)
class ScriptedResponse:
    """A response that a server sends as it is, before it closes the connection.

    :param content_type: The type of the body; "" for a response that names none.
    :param sent_head_bytes: The number of bytes of its head after which the server
        closes; None to send all.
    :param sent_body_bytes: The same for the body.
    :param pause_s: The time after which it closes, in seconds.
    """

    status: int
    content_type: str = ""
    body: bytes = b""
    sent_head_bytes: int | None = None
    sent_body_bytes: int | None = None
    pause_s: float = 0.0

    def encode(self, headers: list[tuple[bytes, bytes]]) -> bytes:
        """Return what is sent.

        :param headers: The headers of all the server's responses.
        """
        if self.content_type:
            headers = [*headers, (b"Content-Type", self.content_type.encode())]
        if self.status != http.HTTPStatus.NO_CONTENT:
            headers = [*headers, (b"Content-Length", b"%d" % len(self.body))]
        # Without it, the next request on the connection is reset if it is early.
        headers = [*headers, (b"Connection", b"close")]
        lines = [b"HTTP/1.1 %d Scripted" % self.status]
        lines += [name + b": " + value for name, value in headers]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        if self.sent_head_bytes is not None:
            return head[: self.sent_head_bytes]
        return head + self.body[: self.sent_body_bytes]


@dataclass(frozen=True)
class Brittleness:
    """What a brittle server stands.

    :param max_turned_away: The number of requests that it can turn away in a second
        for want of room; it falls over with the next one.
    :param room: The number of requests that it lets wait after ``told_s``.
    :param since: When it has begun to be brittle, in seconds.
    :param told_s: The time from then in which it lets as many wait as before.
    """

    max_turned_away: int
    room: int
    since: float
    told_s: float


@dataclass
class Backend:
    """A server of a service.

    :param slots: The number of requests that it runs concurrently.
    :param work_s: The time that a request takes before its response, in seconds.
    :param adapter_slots: The number of adapters that fit into an engine.
    :param model_slots: The number of models that fit into an engine.
    :param held: An engine's resident models with their resident adapters, empty for a
        plain server.
    :param runs: How often each request began to run here, by its id.
    :param credentials: What the requests that began to run here carried, by their ids:
        the values of each header in ``CREDENTIAL_HEADERS``.
    :param orders: The orders that it accepted, in order of arrival.
    :param violations: The orders that exceeded its slots, one line each.
    :param running: The number of requests that are running.
    :param finished: The number of requests that were run to their end.
    :param cancelled: The number of requests that were cancelled while running.
    :param arrivals: The times at which requests arrived.
    :param is_leaving: Whether all its responses announce that it leaves; its entry in
        the store does not change.
    :param limit_per_s: The limit that all its responses name, in requests a second; ""
        for none.
    :param turned_away: The times at which it turned requests away.
    :param room: The number of requests that it lets wait for a slot.
    :param brittleness: What it stands while it is brittle; None if it is not.
    :param slowness_percent: The slowness that it states; None for none.
    :param falls: The times at which it fell over for want of room.
    :param version: The version of its software, which each event of a stream names.
    :param public_address: The address in its entry, "" for the one it listens at.
    :param scripts: What is sent to the next attempts of a request, by its id, in place
        of this server's own response; several servers may share them.
    """

    store: Store
    server: str
    service: str
    zone: str
    slots: int = 8
    work_s: float = 0.005
    adapter_slots: int = 3
    model_slots: int = 2
    held: dict[str, set[str]] = field(default_factory=dict)
    is_engine: bool = False
    faults: Faults = field(default_factory=Faults)
    runs: Counter = field(default_factory=Counter)
    credentials: dict[str, list[dict[str, list[str]]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    orders: list[dict] = field(default_factory=list)
    rejected_orders: int = 0
    violations: list[str] = field(default_factory=list)
    running: int = 0
    finished: int = 0
    cancelled: int = 0
    arrivals: list[float] = field(default_factory=list)
    is_leaving: bool = False
    limit_per_s: str = ""
    turned_away: list[float] = field(default_factory=list)
    room: int = 0
    slowness_percent: int | None = None
    brittleness: Brittleness | None = None
    falls: list[float] = field(default_factory=list)
    waiting: deque[asyncio.Future[None]] = field(default_factory=deque)
    version: str = "v1"
    public_address: str = ""
    scripts: dict[str, deque[ScriptedResponse]] = field(default_factory=dict)
    is_down: bool = False

    async def start(self, port: int) -> None:
        """Start to listen, and register."""
        self.address = f"127.0.0.1:{port}"
        self.state = "ready"
        self.entry_sequence = 0
        await self.restart()

    async def restart(self) -> None:
        """Start a new process, which has no state of the previous one."""
        self.born = time.time_ns() // 1_000_000
        self.order_count = 0
        self.fence = 0
        self.busy = ""
        self.is_leaving = False
        self.limit_per_s = ""
        self.accepts_from = 0.0
        self.http = AsyncHttpServer(self._handle, lambda status: None)
        await self.http.start(self.address)
        self.register()

    async def crash(self, down_s: float) -> None:
        """Stop the process, and start a new one under the same id after a delay."""
        if self.is_down:
            return
        self.is_down = True
        await self.http.stop()
        self.held = {}
        await asyncio.sleep(down_s)
        await self.restart()
        self.is_down = False

    async def restart_as(self, version: str) -> None:
        """Restart at once under the same id, at another version of the software."""
        await self.http.stop()
        self.version = version
        await self.restart()

    async def leave(self) -> None:
        """Remove the entry from the store and stop the process."""
        self.store.write("keyed.servers", self.server, b"")
        await self.http.stop()

    def register(self, **changes: object) -> None:
        """Write the server's entry to the store.

        :param changes: Fields of the entry that replace the usual ones.
        """
        self.entry_sequence += 1
        entry = {
            "service": self.service,
            "addr": self.public_address or self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold-ms": 0,
            "seq": self.entry_sequence,
            "born": self.born,
        }
        if self.is_engine:
            entry["models"] = self._models()
        self.store.write("keyed.servers", self.server, entry | changes)

    def _models(self) -> list[dict]:
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.held.items()
        ]

    async def _handle(self, request: InboundRequest, responder: Responder) -> None:
        expected = header(request, b"expect-worker")
        if expected and expected != self.server:
            headers = [(b"Worker-Id", self.server.encode()), *self._condition_headers()]
            responder.send_response(421, headers)
        elif request.target == "/sequoiapoint/order":
            await self._handle_order(request, responder)
        elif request.target == "/sequoiapoint/report":
            self._send_report(responder)
        else:
            await self._run(request, responder)

    # Requests

    async def _run(self, request: InboundRequest, responder: Responder) -> None:
        now = time.monotonic()
        self.arrivals.append(now)
        if self.faults.turn_away_s:
            self.accepts_from = now + self.faults.turn_away_s
            self.faults.turn_away_s = 0.0
        if now < self.accepts_from:
            self.turned_away.append(now)
            retry_after = f"{self.accepts_from - now:.3f}".encode()
            responder.send_response(
                503,
                self._response_headers(
                    request, (b"Not-Run", b"1"), (b"Retry-After", retry_after)
                ),
            )
            return
        model, _, adapter = header(request, b"model").partition("/")
        if self.is_engine and not self._is_ready(model, adapter):
            responder.send_response(421, self._response_headers(request))
            return
        if not await self._take_slot():
            responder.send_response(
                503, [*self._response_headers(request), (b"Not-Run", b"1")]
            )
            self._note_turned_away(now)
            return
        try:
            self.runs[header(request, b"request-id")] += 1
            self._record_credentials(request)
            if self._is_poison(request):
                asyncio.get_running_loop().create_task(self.crash(0.3))
                await asyncio.sleep(10)
            await asyncio.sleep(self.work_s)
            await self._respond(request, responder)
            self.finished += 1
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._release_slot()

    def _is_poison(self, request: InboundRequest) -> bool:
        if not self.faults.poison or request.body != self.faults.poison:
            return False
        sender = self.faults.poison_sender
        return not sender or header(request, b"tenant") == sender

    def _record_credentials(self, request: InboundRequest) -> None:
        self.credentials[header(request, b"request-id")].append(
            {
                name.decode(): [v.decode() for n, v in request.headers if n == name]
                for name in CREDENTIAL_HEADERS
            }
        )

    async def _take_slot(self) -> bool:
        """Wait for a slot; return False if there is no room to wait."""
        if self.running < self.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self._current_room():
            return False
        slot = asyncio.get_running_loop().create_future()
        self.waiting.append(slot)
        try:
            await slot
        except asyncio.CancelledError:
            if not slot.cancelled():
                self._release_slot()
            elif slot in self.waiting:
                self.waiting.remove(slot)
            raise
        return True

    def _release_slot(self) -> None:
        """Pass a slot on to the first request that waits."""
        while self.waiting:
            slot = self.waiting.popleft()
            if not slot.cancelled():
                slot.set_result(None)
                return
        self.running -= 1

    def _current_room(self) -> int:
        known = self.brittleness
        if known is None or time.monotonic() < known.since + known.told_s:
            return self.room
        return known.room

    def _note_turned_away(self, now: float) -> None:
        self.turned_away.append(now)
        if self.brittleness is None or self.is_down:
            return
        recent = [t for t in self.turned_away[-200:] if now - t < FALL_WINDOW_S]
        if len(recent) > self.brittleness.max_turned_away:
            self.falls.append(now)
            asyncio.get_running_loop().create_task(self.crash(FALL_S))

    def _is_ready(self, model: str, adapter: str) -> bool:
        return (
            model in self.held
            and self.busy != model
            and (not adapter or adapter in self.held[model])
        )

    def _response_headers(
        self, request: InboundRequest, *extra_headers: tuple[bytes, bytes]
    ) -> list:
        load = f"{self.running},{len(self.waiting)},{self.slots}".encode()
        if self.slowness_percent is not None:
            load += b",%d" % self.slowness_percent
        return [
            (b"Request-Id", header(request, b"request-id").encode()),
            (b"Worker-Load", load),
            (b"Keep-Alive", b"timeout=10"),
            *self._condition_headers(),
            *extra_headers,
        ]

    def _condition_headers(self) -> list[tuple[bytes, bytes]]:
        headers = [(b"Server-Leaving", b"1")] if self.is_leaving else []
        if self.limit_per_s:
            headers.append((b"Server-Limit", self.limit_per_s.encode()))
        if self.brittleness is not None:
            number = str(self.brittleness.max_turned_away).encode()
            headers.append((b"Server-Brittle", number))
        return headers

    async def _respond(self, request: InboundRequest, responder: Responder) -> None:
        seal = (b"Server-Seal", f"{self.server}.seal".encode())
        if self.faults.reset_next > 0:
            self.faults.reset_next -= 1
            responder.abort()
        elif self.faults.fail_next > 0:
            self.faults.fail_next -= 1
            responder.send_response(
                500, self._response_headers(request, seal), b"failed"
            )
        elif script := self.scripts.get(header(request, b"request-id")):
            response = script.popleft()
            # Bytes sent before a stream is started are written as they are.
            responder.send(response.encode(self._response_headers(request, seal)))
            await asyncio.sleep(response.pause_s)
            responder.abort()
        elif self.is_engine:
            await self._stream(request, responder, seal)
        else:
            body = self.server.encode() + b":" + request.body
            responder.send_response(200, self._response_headers(request, seal), body)

    async def _stream(
        self, request: InboundRequest, responder: Responder, seal: tuple[bytes, bytes]
    ) -> None:
        first = int(header(request, b"last-event-id") or 0) + 1
        _, _, events = header(request, b"token-count").partition(",")
        content_type = (b"Content-Type", b"text/event-stream")
        fault = ""
        if first > 1:
            fault, self.faults.continuation = self.faults.continuation, ""
        if fault == "no_stream":
            headers = self._response_headers(
                request, seal, (b"Content-Type", b"text/html")
            )
            responder.send_response(200, headers, PAGE)
            return
        if fault == "no_events":
            events = "0"
        elif fault == "begin_again":
            first = 1
        responder.start_stream(200, self._response_headers(request, seal, content_type))
        for number in range(first, int(events) + 1):
            event = f"id: {number}\ndata: {self.server} {self.version}\n\n"
            responder.send(event.encode())
            if number == self.faults.cut_stream_after:
                self.faults.cut_stream_after = 0
                responder.send(b"id: 99\nda")
                responder.abort()
                return
            await asyncio.sleep(EVENT_INTERVAL_S)
        responder.end_stream()

    # Orders

    async def _handle_order(
        self, request: InboundRequest, responder: Responder
    ) -> None:
        order = json.loads(request.body)
        if order["fence"] < self.fence:
            self.rejected_orders += 1
            responder.send_response(412, [])
            return
        self.fence = order["fence"]
        if self.busy or order["expect"] != self.order_count:
            self.rejected_orders += 1
            responder.send_response(409, [])
            return
        self.order_count += 1
        self.orders.append(order | {"at": time.monotonic()})
        status = self._execute_order(order)
        responder.send_response(status, [*JSON, *self._condition_headers()], b"{}")

    def _execute_order(self, order: dict) -> int:
        model, adapter = order["model"], order.get("adapter", "")
        loop = asyncio.get_running_loop()
        if adapter and order["op"] == "evict":
            self.held.get(model, set()).discard(adapter)
            return 200
        if adapter:
            loop.call_later(ADAPTER_LOAD_S, self._add_adapter, model, adapter)
            return 202
        self.busy = model
        if order["op"] == "load":
            self.held[model] = set()
            if len(self.held) > self.model_slots:
                self.violations.append(f"{self.server} holds {sorted(self.held)}")
            loop.call_later(MODEL_LOAD_S, self._finish_order)
        else:
            self.held.pop(model, None)
            loop.call_later(MODEL_LOAD_S / 10, self._finish_order)
        return 202

    def _add_adapter(self, model: str, adapter: str) -> None:
        if model in self.held:
            self.held[model].add(adapter)
        if sum(len(names) for names in self.held.values()) > self.adapter_slots:
            self.violations.append(f"{self.server} has too many adapters")

    def _finish_order(self) -> None:
        self.busy = ""
        self.register()

    def _send_report(self, responder: Responder) -> None:
        report = {
            "stage": "mixed",
            "models": self._models(),
            "busy": bool(self.busy),
            "seq": self.order_count,
            "queued": len(self.waiting),
            "inflight": self.running,
            "born": self.born,
        }
        headers = [*JSON, *self._condition_headers()]
        responder.send_response(200, headers, json.dumps(report).encode())

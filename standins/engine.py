"""A simulated model engine.

It batches continuously, schedules by priority, streams, resumes and cancels requests,
executes load and unload orders with or without a fencing check, and reports its load
with a lag.  It prints a message and exits when its accelerator memory is overcommitted,
so tests detect overcommitment by its exit code.
"""

import collections
import heapq
import itertools
import json
import os
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from werkzeug.wrappers import Request, Response

from sequoiapoint.transport import http_client
from standins import web
from standins.answers import token_at

OVERCOMMITTED_EXIT_CODE = 3
POISON_EXIT_CODE = 4
BASE_STEP_S = 0.010
STEP_PER_REQUEST_S = 0.0002
PREFILL_S_PER_CHARACTER = 0.00002
MAX_RUNNING = 96
MAX_QUEUED = 400
REPORT_INTERVAL_S = 0.1
EVENT_HISTORY_SIZE = 500
DROPPED_EVENT_INTERVAL = 7
"""Every seventh event is missing from the event list."""


@dataclass
class Holding:
    """A model or adapter that is loading into accelerator memory or resident there.

    :ivar holding: The ID of this copy.
    :ivar mb: The memory that it takes, in megabytes.
    :ivar state: ``loading`` or ``resident``.
    """

    holding: str
    artifact: str
    mb: int
    state: str = "loading"

    def as_json(self) -> dict:
        """Return the entry in a report."""
        return dict(vars(self))


@dataclass
class Faults:
    """Injected faults, set through ``/control`` by attribute name.

    :ivar drop_orders: The number of orders to drop without executing them.
    :ivar drop_order_answers: The number of orders to execute without a response.
    :ivar delay_orders_s: How long orders wait before they are executed, in seconds;
        the connection is closed at once.
    :ivar refuse_requests: The number of requests to refuse as busy.
    :ivar crossed_answers: The number of responses to send under another request's ID.
    :ivar die_after_tokens: The number of tokens until the process exits; 0 for never.
    :ivar freeze_until: The monotonic time until which orders, reports and token
        generation stall.
    :ivar poison: A text in a prompt that makes the process exit; empty for none.
    :ivar report_lag_s: The minimum age of the reports that are returned, in seconds.
    :ivar step_s: The base duration of a decoding step, in seconds.
    """

    drop_orders: int = 0
    drop_order_answers: int = 0
    delay_orders_s: float = 0.0
    refuse_requests: int = 0
    crossed_answers: int = 0
    die_after_tokens: int = 0
    freeze_until: float = 0.0
    poison: str = ""
    report_lag_s: float = 0.2
    step_s: float = BASE_STEP_S


@dataclass
class Slots:
    """The number of running requests and the queue of waiting ones.

    :ivar waiting: A heap of the queued requests, the most urgent first.
    :ivar sequence: Numbers the requests, so that those of the same priority are served
        in the order of their arrival.
    """

    running: int = 0
    waiting: list = field(default_factory=list)
    sequence: itertools.count = field(default_factory=itertools.count)
    changed: threading.Condition = field(default_factory=threading.Condition)


class Engine:
    """A simulated engine and its HTTP handlers.

    :param memory_mb: The memory of all accelerators together, in megabytes.
    :param platform: The address of the weight store, or None for instant loads.
    :param checks_fencing: Whether an order with an old fencing token is refused.
    """

    def __init__(
        self, memory_mb: int, platform: str | None, checks_fencing: bool
    ) -> None:
        self._memory_mb = memory_mb
        self._platform = platform
        self._checks_fencing = checks_fencing
        self._incarnation = f"{os.getpid()}-{time.time_ns()}"
        self._lock = threading.Lock()
        self._holdings: dict[str, Holding] = {}
        self._highest_fence = 0
        self._older_system_mb = 0
        self._leaving = False
        self._faults = Faults()
        self._slots = Slots()
        self._reports: collections.deque = collections.deque(maxlen=200)
        self._events: collections.deque = collections.deque(maxlen=EVENT_HISTORY_SIZE)
        self._cancelled: set[str] = set()
        self._kv: dict[str, dict] = {}
        self._counts: collections.Counter = collections.Counter()
        self._last_run_at = 0.0
        threading.Thread(target=self._record_reports, daemon=True).start()

    def application(self) -> web.Application:
        """Return the WSGI application."""
        return web.Application(
            [
                ("/v1/chat/completions", self._complete),
                ("/v1/requests/<request_id>", self._cancel),
                ("/v1/kv/export/<request_id>", self._export_kv),
                ("/v1/kv/import/<request_id>", self._import_kv),
                ("/orders", self._handle_order),
                ("/report", self._report),
                ("/events", self._list_events),
                ("/control", self._control),
                ("/stats", self._stats),
            ]
        )

    def _pause_while_frozen(self) -> None:
        while time.monotonic() < self._faults.freeze_until:
            time.sleep(0.02)

    # Orders

    def _handle_order(self, request: Request) -> Response:
        order = request.get_json()
        self._pause_while_frozen()
        faults = self._faults
        if faults.drop_orders > 0:
            faults.drop_orders -= 1
            request.environ["sequoiapoint.socket"].shutdown(2)
            return web.json_response({}, 500)
        if faults.delay_orders_s > 0:
            delay_s = faults.delay_orders_s
            threading.Timer(delay_s, self._apply_order, (order,)).start()
            request.environ["sequoiapoint.socket"].shutdown(2)
            return web.json_response({}, 500)
        refusal = self._apply_order(order)
        if faults.drop_order_answers > 0:
            faults.drop_order_answers -= 1
            request.environ["sequoiapoint.socket"].shutdown(2)
        if refusal:
            return web.json_response({"reason": refusal}, 409, X_Not_Executed="1")
        return web.json_response({"result": "accepted"})

    def _apply_order(self, order: dict) -> str:
        """Execute an order; return the reason if it is refused, else an empty text."""
        with self._lock:
            if self._checks_fencing and order["fence"] < self._highest_fence:
                self._counts["fenced_orders"] += 1
                return "old_fence"
            self._highest_fence = max(self._highest_fence, order["fence"])
            self._counts[f"orders_{order['action']}"] += 1
            if order["action"] == "load":
                self._start_load(order)
            elif order["action"] == "unload":
                self._holdings.pop(order["holding"], None)
        return ""

    def _start_load(self, order: dict) -> None:
        """Allocate the memory at once and fetch the weights in the background."""
        if order["holding"] in self._holdings:
            return
        holding = Holding(order["holding"], order["artifact"], order["mb"])
        self._holdings[holding.holding] = holding
        self._exit_if_overcommitted()
        threading.Thread(
            target=self._fetch_weights, args=(holding,), daemon=True
        ).start()

    def _fetch_weights(self, holding: Holding) -> None:
        if self._platform is not None:
            body = json.dumps({"mb": holding.mb}).encode()
            headers = {"Content-Type": "application/json"}
            while not http_client.call(
                "POST",
                self._platform,
                "/weights/fetch",
                step="fetch",
                body=body,
                headers=headers,
                timeout_s=120,
            ):
                time.sleep(0.5)
        with self._lock:
            holding.state = "resident"

    def _used_mb(self) -> int:
        return sum(h.mb for h in self._holdings.values()) + self._older_system_mb

    def _exit_if_overcommitted(self) -> None:
        used_mb = self._used_mb()
        if used_mb > self._memory_mb:
            print(f"OVERCOMMITTED used={used_mb} of={self._memory_mb}", file=sys.stderr)
            sys.stderr.flush()
            os._exit(OVERCOMMITTED_EXIT_CODE)

    # Requests

    def _complete(self, request: Request) -> Response:
        body = request.get_json()
        request_id = request.headers.get("X-Request-Id", "")
        attempt = request.headers.get("X-Attempt", "0")
        model = body["model"]
        prompt = json.dumps(body["messages"], sort_keys=True)
        refusal = self._refusal_reason(model)
        if refusal:
            return web.json_response({"reason": refusal}, 503, X_Not_Executed="1")
        if self._faults.poison and self._faults.poison in prompt:
            print("POISON", file=sys.stderr, flush=True)
            os._exit(POISON_EXIT_CODE)
        if self._faults.crossed_answers > 0:
            self._faults.crossed_answers -= 1
            request_id = "crossed-" + request_id
        self._counts["requests"] += 1
        self._last_run_at = time.time()
        priority = int(request.headers.get("X-Priority", "5"))
        tokens = int(body.get("max_tokens", 32))
        first_position = int(body.get("resume_from", 0))
        events = self._generate(
            request_id, model, prompt, priority, first_position, tokens
        )
        response = Response(events, mimetype="text/event-stream")
        response.headers["X-Request-Id"] = request_id
        response.headers["X-Attempt"] = attempt
        response.headers["X-Server-Incarnation"] = self._incarnation
        return response

    def _refusal_reason(self, model: str) -> str:
        if self._leaving:
            return "leaving"
        if self._faults.refuse_requests > 0:
            self._faults.refuse_requests -= 1
            return "busy"
        with self._lock:
            resident = any(
                h.artifact.rpartition("@")[0] == model and h.state == "resident"
                for h in self._holdings.values()
            )
        if not resident:
            return "not_resident"
        if len(self._slots.waiting) >= MAX_QUEUED:
            return "full"
        return ""

    def _generate(
        self,
        request_id: str,
        model: str,
        prompt: str,
        priority: int,
        first_position: int,
        tokens: int,
    ) -> Iterator[bytes]:
        self._acquire_slot(priority)
        try:
            time.sleep(len(prompt) * PREFILL_S_PER_CHARACTER)
            for position in range(first_position, tokens):
                time.sleep(self._step_s())
                self._pause_while_frozen()
                if request_id in self._cancelled:
                    return
                self._exit_if_die_fault_due()
                text = token_at(model, prompt, position)
                yield _event(request_id, model, position, text, None)
            yield _event(request_id, model, tokens, "", "stop")
            yield b"data: [DONE]\n\n"
            self._counts["finished"] += 1
        finally:
            self._release_slot()
            self._events.append({"prefix": hash(prompt), "model": model})

    def _step_s(self) -> float:
        return self._faults.step_s + STEP_PER_REQUEST_S * self._slots.running

    def _exit_if_die_fault_due(self) -> None:
        if self._faults.die_after_tokens > 0:
            self._faults.die_after_tokens -= 1
            if self._faults.die_after_tokens == 0:
                os._exit(1)

    def _acquire_slot(self, priority: int) -> None:
        slots = self._slots
        with slots.changed:
            entry = (priority, next(slots.sequence))
            heapq.heappush(slots.waiting, entry)
            slots.changed.wait_for(
                lambda: slots.running < MAX_RUNNING and slots.waiting[0] == entry
            )
            heapq.heappop(slots.waiting)
            slots.running += 1
            slots.changed.notify_all()

    def _release_slot(self) -> None:
        with self._slots.changed:
            self._slots.running -= 1
            self._slots.changed.notify_all()

    def _cancel(self, _request: Request, request_id: str) -> Response:
        self._cancelled.add(request_id)
        self._counts["cancelled"] += 1
        return web.json_response({})

    def _export_kv(self, _request: Request, request_id: str) -> Response:
        return web.json_response(self._kv.get(request_id, {"request": request_id}))

    def _import_kv(self, request: Request, request_id: str) -> Response:
        self._kv[request_id] = request.get_json()
        return web.json_response({})

    # Reports

    def _record_reports(self) -> None:
        while True:
            with self._lock:
                report = {
                    "incarnation": self._incarnation,
                    "sequence": time.monotonic_ns(),
                    "running": self._slots.running,
                    "queued": len(self._slots.waiting),
                    "leaving": self._leaving,
                    "highest_fence": self._highest_fence,
                    "used_mb": self._used_mb(),
                    "holdings": [h.as_json() for h in self._holdings.values()],
                }
            self._reports.append((time.monotonic(), report))
            time.sleep(REPORT_INTERVAL_S)

    def _report(self, _request: Request) -> Response:
        self._pause_while_frozen()
        latest = time.monotonic() - self._faults.report_lag_s
        lagged = [report for at, report in list(self._reports) if at <= latest]
        return web.json_response(lagged[-1] if lagged else self._reports[0][1])

    def _list_events(self, request: Request) -> Response:
        start = int(request.args.get("from", "0"))
        events = list(enumerate(self._events))[start:]
        return web.json_response([e for e in events if e[0] % DROPPED_EVENT_INTERVAL])

    # Control

    def _control(self, request: Request) -> Response:
        """Inject the faults in the request body; every key is optional."""
        faults = request.get_json()
        for name, value in faults.items():
            if hasattr(self._faults, name):
                setattr(self._faults, name, value)
        if "freeze_s" in faults:
            self._faults.freeze_until = time.monotonic() + faults["freeze_s"]
        with self._lock:
            self._leaving = faults.get("leaving", self._leaving)
            self._older_system_mb = faults.get("older_mb", self._older_system_mb)
            self._exit_if_overcommitted()
        if faults.get("die"):
            os._exit(1)
        return web.json_response({})

    def _stats(self, _request: Request) -> Response:
        return web.json_response(
            {
                "counts": self._counts,
                "last_run_at": self._last_run_at,
                "running": self._slots.running,
                "used_mb": self._used_mb(),
                "holdings": [h.as_json() for h in self._holdings.values()],
            }
        )


def _event(
    request_id: str, model: str, position: int, text: str, finish: str | None
) -> bytes:
    """Return one server-sent event of a response."""
    event = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "position": position,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish}],
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def main() -> None:
    """Run the simulated engine."""
    parser = web.argument_parser(__doc__.splitlines()[0])
    parser.add_argument("--memory-mb", type=int, required=True)
    parser.add_argument("--platform")
    parser.add_argument("--checks-fencing", action="store_true")
    arguments = parser.parse_args()
    engine = Engine(arguments.memory_mb, arguments.platform, arguments.checks_fencing)
    web.serve_until_terminated(arguments.address, engine.application(), threads=192)


if __name__ == "__main__":
    main()

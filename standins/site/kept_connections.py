"""Callers on kept connections beside disturbances of servers and changes of hosts.

Servers are cut off from hosts, silent, reset or down, some callers read slowly, and
bodies arrive in parts, while the configuration and the settings change and hosts are
stopped.  A request that was sent completely must end with a complete response, unless
its server broke off, or its deadline or its route's timeout was reached.

Further callers send the last byte of a body seconds late, send a request behind another
one, or do not read for seconds, also around a planned stop of their host.
"""

import argparse
import http.client
import io
import json
import random
import re
import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from standins.site.deployment import Gateway, configuration, route
from standins.site.linked_deployment import LinkedDeployment
from standins.soak.judge import MAX_RUNS, NOT_RUN, unknown_stream_data
from standins.soak.link import Cut

GATEWAYS, ENGINES, PLAIN = 4, 3, 3
CALLERS_PER_GATEWAY = 5
MODEL = "oak"
BUDGET_S = 3.0
"""Time budget that each request states; below each of its routes' timeouts."""
GRACE_S = 0.15
"""Time before the end of the budget from which a response counts as ended by it."""
RESPONSE_TIMEOUT_S = BUDGET_S + 2.0
"""Time without data after which a request counts as unanswered."""
CHANGE_INTERVAL_S = 0.7
DISTURBANCE_RANGE_S = (1.0, 2.5)
CALM_S = 0.5
STOP_INTERVAL_S = 12.0
STOP_TIMEOUT_S = 12.0
SMALL_BUFFER_BYTES = 4_096
SLOW_PAUSE_S = 2.0
"""Maximum time for which a slow caller does not read."""
LATE_S = 0.5
"""Time after the end of the budget until which a host must have given a request up."""
LATE_SIZE_BYTES = 3_000_000
"""Size of the responses that some callers do not read for seconds; more than the
buffers of their connections hold."""
LATE_TIMEOUT_MS = 20_000
HABITS = ("late", "behind", "paused")
MAX_PAUSE_S, ALLOWED_PAUSE_S = 1.4, 2.0
"""Longest pause within a body, and the one that hosts allow."""
LOSS_SLACK_S = 0.2
"""Time after the last byte of a request from which its host has read it."""
STOP_END_RANGE_S = (8.0 * 5 / 6, 8.5)
"""Time from a stop signal in which a host may cut requests on which servers still work,
if they were sent within ``STOP_SENT_S``: the last sixth of its drain timeout."""
STOP_SENT_S = 3.0
BROKEN_OFF = ("reset", "closed")
"""Errors of attempts in a host's log that show that the server broke off."""


Stops = Iterable[tuple[str, float]]


class KeptConnectionsSite(LinkedDeployment):
    """A deployment whose engines all hold the same model."""

    def __init__(self) -> None:
        first = with_late_routes(configuration())
        counts = {"gateways": GATEWAYS, "engines": ENGINES, "plain": PLAIN}
        super().__init__(**counts, first_configuration=first)

    async def _start_platform(self, engines: int, plain: int) -> None:
        await super()._start_platform(engines, plain)
        for engine in self.engines:
            engine.held = {MODEL: set()}
            engine.register()


@dataclass
class SentRequest:
    """One request, as its caller saw it.

    :param begun_at: When its first byte was sent.
    :param sent_at: When its last byte was sent, 0 if the connection failed before.
    :param is_whole: Whether a complete response was received.
    :param received_bytes: The size of the received part of the body.
    :param wrong: What is wrong with the response, "" for nothing.
    :param budget_s: The time budget that it states.
    :param pause_s: Time for which its caller did not read, or the longest pause in it.
    :param habit: What its caller does, one of ``HABITS``; "" for a usual one.
    :param before: The request before it on its connection, if it was sent behind it.
    """

    request_id: str
    kind: str
    gateway: str
    is_slow: bool
    begun_at: float = 0.0
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    is_whole: bool = False
    received_bytes: int = 0
    error: str = ""
    wrong: str = ""
    budget_s: float = BUDGET_S
    pause_s: float = 0.0
    habit: str = ""
    before: "SentRequest | None" = field(default=None, repr=False)

    def check(self, data: bytes, body: bytes, events: int) -> None:
        """Check the data of a response with status 200."""
        if self.kind not in ("talk", "once"):
            if self.is_whole and data.partition(b":")[2] != body:
                self.wrong = f"body {data[:50]!r}"
            return
        ids = [int(n) for n in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", data)]
        unknown = unknown_stream_data(data, self.is_whole)
        is_short = self.is_whole and len(ids) != events
        if ids != list(range(1, len(ids) + 1)) or unknown or is_short:
            self.wrong = f"events {ids} of {events}, and {unknown[:50]!r}"


class KeptCaller(threading.Thread):
    """Sends requests to one gateway and keeps its connection until that ends."""

    def __init__(
        self, number: int | str, seed: int, gateway: Gateway, until: float
    ) -> None:
        super().__init__(daemon=True)
        self._rng = random.Random(f"{number}/{seed}/{gateway.name}")
        self._gateway = gateway
        self._number = number
        self._until = until
        self._is_slow = number == 0
        self._connection: http.client.HTTPConnection | None = None
        self.requests: list[SentRequest] = []

    def run(self) -> None:
        """Send requests until the end of the run."""
        while time.monotonic() < self._until:
            kind = self._rng.choice(("read", "write", "talk", "talk", "once"))
            name = f"{self._gateway.name}-{self._number}-{len(self.requests)}"
            request = SentRequest(name, kind, self._gateway.name, self._is_slow)
            self.requests.append(request)
            try:
                self._send(request)
            except (OSError, http.client.HTTPException) as error:
                request.error = repr(error)
                self._close()
                if not request.sent_at:
                    time.sleep(0.1)
            request.ended_at = time.monotonic()
            time.sleep(self._rng.choice((0.0, 0.02, 0.2, 0.45)))

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _open(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self._gateway.ports["front"], timeout=RESPONSE_TIMEOUT_S
        )
        if self._is_slow:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            sock.settimeout(RESPONSE_TIMEOUT_S)
            sock.connect(("127.0.0.1", self._gateway.ports["front"]))
            connection.sock = sock
        return connection

    def _send(self, request: SentRequest) -> None:
        if self._connection is None:
            self._connection = self._open()
        connection = self._connection
        body = request.request_id.encode() + b"x" * self._rng.choice((0, 100, 90_000))
        connection.putrequest("POST", f"/{request.kind}/x", skip_host=True)
        connection.putheader("Host", "site.example")
        connection.putheader("Request-Id", request.request_id)
        connection.putheader("Deadline-Ms", str(int(1000 * BUDGET_S)))
        connection.putheader("Content-Length", str(len(body)))
        if request.kind in ("talk", "once"):
            events = self._rng.randint(1, 60)
            connection.putheader("Model", MODEL)
            connection.putheader("Token-Count", f"10,{events}")
        request.begun_at = time.monotonic()
        connection.endheaders()
        if self._rng.random() < 0.3:
            connection.send(body[:5])
            time.sleep(self._rng.uniform(0.0, 0.5))
            body = body[5:]
        connection.send(body)
        request.sent_at = time.monotonic()
        response = connection.getresponse()
        request.status = response.status
        if self._is_slow:
            time.sleep(self._rng.uniform(0.0, SLOW_PAUSE_S))
        while chunk := response.read1(1_000 if self._is_slow else 65_536):
            request.received_bytes += len(chunk)
        length = response.getheader("Content-Length")
        request.is_whole = length is None or request.received_bytes == int(length)
        response.close()
        if response.getheader("Connection") == "close":
            self._close()


class _SharedFile(io.BufferedReader):
    """Reads the responses of a connection, each of which tries to close it."""

    def makefile(self, *_: object) -> "_SharedFile":
        """Return this file, as sockets do."""
        return self

    def close(self) -> None:
        """Stay open for the next response."""


class LateCaller(KeptCaller):
    """Sends late, sends behind another request, or reads late.

    :param habit: Which of these it does, one of ``HABITS``.
    """

    def __init__(self, habit: str, seed: int, gateway: Gateway, until: float) -> None:
        super().__init__(habit, seed, gateway, until)
        self._is_slow = habit == "paused"

    def _send(self, request: SentRequest) -> None:
        requests = [request]
        if self._number == "behind":
            name, kind = f"{request.request_id}-2", self._rng.choice(tuple(MAX_RUNS))
            behind = SentRequest(name, kind, request.gateway, False, before=request)
            requests.append(behind)
            self.requests.append(behind)
        try:
            self._exchange(requests)
        finally:
            for each in requests:
                each.ended_at = each.ended_at or time.monotonic()

    def _exchange(self, requests: list[SentRequest]) -> None:
        connection = self._connection = self._connection or self._open()
        if connection.sock is None:
            connection.connect()
        connection.sock.settimeout(LATE_TIMEOUT_MS / 1000)
        file = _SharedFile(socket.SocketIO(connection.sock, "rb"))
        sends_at_once = self._rng.random() < 0.5
        contents, closes = [], False
        for number, request in enumerate(requests):
            request.habit = self._number
            request.budget_s = self._rng.uniform(3.0, 12.0)
            if number == 0 or sends_at_once:
                contents.append(self._write(connection.sock, request))
        for number, request in enumerate(requests):
            if number == len(contents):
                break
            if request.is_slow:
                request.pause_s = self._rng.uniform(0.5, 4.0)
                time.sleep(request.pause_s)
            response = http.client.HTTPResponse(file, method="POST")
            response.begin()
            request.status = response.status
            closes |= response.getheader("Connection") == "close"
            if len(contents) < len(requests) and not closes:
                time.sleep(self._rng.uniform(0.0, 1.0))
                contents.append(self._write(connection.sock, requests[-1]))
            self._read(request, response, *contents[number])
        if closes:
            self._close()

    def _write(self, sock: socket.socket, request: SentRequest) -> tuple[bytes, int]:
        """Send a request, and return its body and the number of events asked for."""
        size = LATE_SIZE_BYTES if request.is_slow else 100
        body = request.request_id.encode() + b"x" * size
        events = self._rng.randint(1, 200)
        head = (
            f"POST /late-{request.kind}/x HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {request.request_id}\r\nContent-Length: {len(body)}\r\n"
            f"Deadline-Ms: {int(1000 * request.budget_s)}\r\n"
        )
        if request.kind in ("talk", "once"):
            head += f"Model: {MODEL}\r\nToken-Count: 10,{events}\r\n"
        data = head.encode() + b"\r\n" + body
        request.begun_at = time.monotonic()
        if request.habit == "late":
            for left in range(self._rng.randint(1, 4), 0, -1):
                sock.sendall(data[:-left])
                data, paused_at = data[-left:], time.monotonic()
                time.sleep(self._rng.uniform(0.3, MAX_PAUSE_S))
                paused_s = time.monotonic() - paused_at
                request.pause_s = max(request.pause_s, paused_s)
        sock.sendall(data)
        request.sent_at = time.monotonic()
        return body, events

    @staticmethod
    def _read(
        request: SentRequest,
        response: http.client.HTTPResponse,
        body: bytes,
        events: int,
    ) -> None:
        data = bytearray()
        try:
            while chunk := response.read1(65_536):
                data += chunk
            length = response.getheader("Content-Length")
            request.is_whole = length is None or len(data) == int(length)
        finally:
            request.ended_at = time.monotonic()
            request.received_bytes = len(data)
            if request.status == 200:
                request.check(bytes(data), body, events)


@dataclass
class Result:
    """What a run showed.

    :param lost: The requests without a complete response that nothing excuses, or with
        a wrong one.
    :param excused: The numbers of excused ones, by reason.
    :param actions: The disturbances and changes, in order.
    """

    requests: list[SentRequest]
    lost: list[str]
    excused: Counter
    actions: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    def summary(self) -> str:
        """Return the figures in one line."""
        statuses = Counter(request.status for request in self.requests)
        habits = Counter((r.habit, r.status) for r in self.requests if r.habit)
        by_habit = {f"{h}/{status}": n for (h, status), n in sorted(habits.items())}
        return (
            f"requests={len(self.requests)} "
            f"unsent={sum(not request.sent_at for request in self.requests)} "
            f"statuses={dict(sorted(statuses.items()))} "
            f"by_habit={by_habit} "
            f"lost={len(self.lost)} excused={dict(self.excused)} "
            f"failures={len(self.failures)} actions={dict(Counter(self.actions))}"
        )


def _disturbances(
    site: KeptConnectionsSite, rng: random.Random
) -> list[tuple[str, Callable[[], None]]]:
    """Return the disturbances to choose from, each with its name."""
    servers = [backend.server for backend in site.backends]
    some = rng.sample(site.gateways, rng.choice((1, 2, len(site.gateways))))

    def fall_over() -> None:
        backend = rng.choice(site.backends)
        held = backend.held
        site.run(backend.crash(rng.uniform(0.2, 1.0)))
        backend.held = held
        backend.register()

    def reset() -> None:
        site.call(site.server_links[rng.choice(servers)].reset)

    return [
        *((f"cut_{cut.value}", partial(site.cut_off, some, cut)) for cut in Cut),
        ("silence_one", partial(site.silence, [rng.choice(servers)])),
        ("silence_all", partial(site.silence, servers)),
        ("fall_over", fall_over),
        ("reset", reset),
        ("none", lambda: None),
    ]


class _Changes(threading.Thread):
    """Changes the configuration and the settings of hosts, and stops hosts."""

    def __init__(self, site: KeptConnectionsSite, seed: int, until: float) -> None:
        super().__init__(daemon=True)
        self._site, self._until = site, until
        self._rng = random.Random(f"changes/{seed}")
        self._version = 1
        self._configuration = configuration()
        self._next_stop_at = time.monotonic() + STOP_INTERVAL_S / 2
        self.actions: list[str] = []
        self.stops: list[tuple[str, float]] = []

    def run(self) -> None:
        while time.monotonic() < self._until:
            time.sleep(CHANGE_INTERVAL_S)
            names = ("timeout", "idle", "routes", "big", "hangup")
            name = self._rng.choice(names)
            self.actions.append(name)
            getattr(self, f"_change_{name}")()
            if name != "hangup":
                self._version += 1
                self._configuration["version"] = self._version
                written = with_late_routes(self._configuration)
                self._site.store.write("keyed.op", "config", written)
            has_time = self._until - time.monotonic() > STOP_TIMEOUT_S / 2
            if time.monotonic() > self._next_stop_at and has_time:
                self._stop_one()

    def _change_timeout(self) -> None:
        for each in self._configuration["routes"]:
            each["timeout-ms"] = self._rng.randint(3_500, 6_000)

    def _change_idle(self) -> None:
        limits = self._configuration["limits"]
        limits["idle-timeout-ms"] = self._rng.choice((300, 500, 5_000))

    def _change_routes(self) -> None:
        name = f"more-{self._version}"
        self._configuration["routes"].append(route(name, "idempotent", "web"))

    def _change_big(self) -> None:
        routes = self._configuration["routes"][:4]
        routes += [route(f"big-{n}", "idempotent", "web") for n in range(500)]
        self._configuration["routes"] = routes

    def _change_hangup(self) -> None:
        gateway = self._rng.choice(self._site.gateways)
        settings = gateway.settings.read_text()
        gateway.settings.write_text(settings + f"// {len(self.actions)}\n")
        gateway.signal(signal.SIGHUP)

    def _stop_one(self) -> None:
        """Stop a host as planned, and start it again."""
        self.actions.append("stop")
        gateway = self._rng.choice(self._site.gateways)
        self.stops.append((gateway.name, time.monotonic()))
        gateway.signal(signal.SIGTERM)
        gateway.process.wait(STOP_TIMEOUT_S)
        gateway.start()
        self._site.wait(gateway.is_ready, STOP_TIMEOUT_S)
        self._next_stop_at = time.monotonic() + STOP_INTERVAL_S


def with_late_routes(written: dict) -> dict:
    """Return a configuration with the routes of the late callers behind the others."""
    late = [
        each | {"name": name, "prefix": f"/{name}/", "timeout-ms": LATE_TIMEOUT_MS}
        for each in written["routes"][: len(MAX_RUNS)]
        for name in [f"late-{each['name']}"]
    ]
    limits = written["limits"] | {"max-body-bytes": 2 * LATE_SIZE_BYTES}
    return written | {"routes": written["routes"] + late, "limits": limits}


def _is_cut_at_a_stop(request: SentRequest, stops: Stops) -> bool:
    """Tell whether a request was in progress in the last part of a stop."""
    return any(
        name == request.gateway
        and request.sent_at <= at + STOP_SENT_S
        and at + STOP_END_RANGE_S[0] <= request.ended_at <= at + STOP_END_RANGE_S[1]
        for name, at in stops
    )


def _judge(
    site: KeptConnectionsSite, requests: list[SentRequest], stops: Stops = ()
) -> Result:
    """Find the requests that were sent and lost.

    :param stops: The hosts that were stopped, and when.
    """
    lines_by_request: dict[str, list[str]] = {}
    for gateway in site.gateways:
        for line in gateway.log.read_text().splitlines():
            if match := re.search(r"\brequest=(\S+)", line):
                lines_by_request.setdefault(match[1], []).append(line)
    runs = Counter()
    for backend in site.backends:
        runs.update(backend.runs)
    result = Result(requests, [], Counter())
    for request in requests:
        lines = lines_by_request.get(request.request_id, [])
        ran = runs[request.request_id]
        if request.status in NOT_RUN and ran:
            request.wrong = f"said not to have run, and ran {ran} times"
        elif request.status == 408 and request.pause_s < ALLOWED_PAUSE_S - LOSS_SLACK_S:
            request.wrong = "timed out without a pause that is too long"
        elif ran > MAX_RUNS[request.kind]:
            request.wrong = f"ran {ran} times"
        if not request.wrong and (request.is_whole or not request.sent_at):
            continue
        elapsed_s = request.ended_at - request.begun_at
        pause_s = max(request.pause_s, SLOW_PAUSE_S) if request.is_slow else 0.0
        late_s = LATE_S + pause_s
        budget_s = request.budget_s
        was_read = request.habit in ("late", "behind") and (
            request.ended_at - request.sent_at > LOSS_SLACK_S
        )
        if request.wrong:
            excuse = ""
        elif request.before is not None and not request.before.is_whole and not ran:
            excuse = "behind another one without an answer"
        elif not lines and not ran and not was_read:
            excuse = "closed before it was read"
        elif budget_s - GRACE_S <= elapsed_s <= budget_s + late_s:
            excuse = "deadline"
        elif any(f"error={error} " in line for line in lines for error in BROKEN_OFF):
            excuse = "server broke off"
        elif ran and _is_cut_at_a_stop(request, stops):
            excuse = "in progress at the end of a stop"
        else:
            excuse = ""
        if excuse:
            result.excused[excuse] += 1
        else:
            fields = request.__dict__ | {"before": repr(request.before)}
            described = f"{json.dumps(fields)} {elapsed_s:.2f} s"
            if request.before is not None:
                lines += lines_by_request.get(request.before.request_id, [])
            lines += [f"stop of {name} at {at:.3f}" for name, at in stops]
            result.lost.append("\n  ".join([described, *lines]))
    return result


def run(seed: int, seconds: float, has_changes: bool = True) -> Result:
    """Run all disturbances in a random order, beside changes, and judge what was seen.

    :param has_changes: Whether hosts and their configuration change.
    """
    rng = random.Random(seed)
    with KeptConnectionsSite() as site:
        until = time.monotonic() + seconds
        callers = [
            KeptCaller(number, seed, gateway, until)
            for gateway in site.gateways
            for number in range(CALLERS_PER_GATEWAY)
        ]
        callers += [
            LateCaller(habit, seed, gateway, until)
            for gateway in site.gateways
            for habit in HABITS
        ]
        changes = _Changes(site, seed, until)
        threads = [*callers, changes] if has_changes else callers
        for thread in threads:
            thread.start()
        actions, names = [], []
        while time.monotonic() < until - DISTURBANCE_RANGE_S[1]:
            disturbances = _disturbances(site, rng)
            if not names:
                names = rng.sample(range(len(disturbances)), len(disturbances))
            name, disturb = disturbances[names.pop()]
            actions.append(name)
            disturb()
            time.sleep(rng.uniform(*DISTURBANCE_RANGE_S))
            site.heal()
            time.sleep(CALM_S)
        for thread in threads:
            thread.join()
        time.sleep(0.5)
        result = _judge(
            site, [r for caller in callers for r in caller.requests], changes.stops
        )
        result.actions = actions + changes.actions
        result.failures = site.failures()
    return result


def main() -> None:
    """Run seeds by hand and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--no-changes", action="store_true")
    arguments = parser.parse_args()
    result = run(arguments.seed, arguments.seconds, not arguments.no_changes)
    print(*result.lost, *result.failures, result.summary(), sep="\n")


if __name__ == "__main__":
    main()

"""A small deployment: the store and servers in a thread, the gateways as processes."""

import asyncio
import contextlib
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from standins.site.backends import Backend
from standins.site.store import Store

START_TIMEOUT_S = 15.0
RESPONSE_TIMEOUT_S = 10.0
MODELS = ("oak", "elm", "ash", "fir", "yew")


FIRST_PORT, PORTS_PER_SLICE, SLICE_COUNT = 12_000, 1_200, 16
"""Ports below the kernel's range for outgoing connections, so that a restarted process
finds its own port free.  Each test process uses its own slice of them."""

_ports = itertools.count()
_claims: dict[int, tuple[int, socket.socket]] = {}
"""By process, as one may be forked: the first port of its slice, on which it listens
for as long as it lives, so that no other one uses the slice."""


def _first_port() -> int:
    """Return the first port of this process's slice.

    :raises RuntimeError: If all slices are in use.
    """
    process = os.getpid()
    if process in _claims:
        return _claims[process][0]
    for number in range(SLICE_COUNT):
        first = FIRST_PORT + (process + number) % SLICE_COUNT * PORTS_PER_SLICE
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
            claim.listen()
        except OSError:
            claim.close()
            continue
        _claims[process] = first, claim
        return first
    raise RuntimeError(f"all {SLICE_COUNT} slices of ports are in use")


def free_port() -> int:
    """Return a port that nothing listens on and that was not returned recently."""
    first = _first_port()
    while True:
        port = first + 1 + next(_ports) % (PORTS_PER_SLICE - 1)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def route(name: str, kind: str, service: str, **changes: Any) -> dict:
    """Return a route in the form in which operators write it."""
    return {
        "name": name,
        "host": "site.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 4_000,
        "goal-ms": 300,
        "priority": 1,
        "service": service,
        "attempts": 2,
    } | changes


def configuration(version: int = 1, **changes: Any) -> dict:
    """Return a configuration in the form in which operators write it."""
    stream = {"sticky": True, "can-resume": True, "gap-aim-ms": 150}
    engine = {
        "slots": 8,
        "kv-cap": 10_000,
        "mb": 200.0,
        "adapter-slots": 3,
        "loads-per-s": 5.0,
        "models": [
            {
                "name": name,
                "mb": 90.0,
                "load-s": 0.2,
                "warm-s": 0.2,
                "disk-s": 0.2,
                "adapters": 6,
                "adapter-mb": 1.0,
            }
            for name in MODELS
        ],
    }
    return {
        "version": version,
        "routes": [
            route("read", "idempotent", "web"),
            route("write", "mutating", "web", attempts=1),
            route("talk", "stream", "lm", **stream),
            route("once", "stream", "lm", **(stream | {"can-resume": False})),
        ],
        "services": [
            {"name": "lm", "health-path": "/h", "max-conns": 100, "engine": engine},
            {"name": "web", "health-path": "/h", "max-conns": 100},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 2_000,
            "idle-timeout-ms": 5_000,
        },
    } | changes


def organisation(name: str, *keys: str, **changes: Any) -> dict:
    """Return an organisation in the form in which operators write it."""
    return {"name": name, "api-keys": list(keys)} | changes


def bearer(key: str, **headers: str) -> dict[str, str]:
    """Return the headers of a caller with a key."""
    return {"Authorization": f"Bearer {key}"} | headers


@dataclass
class Reply:
    """The response that a caller received.

    :param is_complete: Whether the body was received to its declared end.
    :param seconds: The time from sending the request to the end of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    seconds: float


@dataclass
class Gateway:
    """One gateway process.

    :param settings: The path of its settings file.
    :param log: The path of its log file.
    :param ports: The ports that it listens on, by purpose.
    :param starts: How often it was started.
    """

    name: str
    zone: str
    settings: Path
    log: Path
    ports: dict[str, int] = field(default_factory=dict)
    process: subprocess.Popen | None = None
    starts: int = 0

    def start(self) -> None:
        """Start the process."""
        self.starts += 1
        command = [sys.executable, "-m", "sequoiapoint", "gateway"]
        with self.log.open("a") as log:
            self.process = subprocess.Popen(
                [*command, "--settings", str(self.settings)], stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def is_ready(self) -> bool:
        """Query the readiness, as the load balancer does."""
        try:
            connection = http.client.HTTPConnection(
                "127.0.0.1", self.ports["ready"], timeout=1
            )
            connection.request("GET", "/sequoiapoint/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def events(self, name: str) -> list[str]:
        """Return the log lines of an event."""
        return [
            line
            for line in self.log.read_text().splitlines()
            if f"event={name} " in line + " "
        ]

    def metrics(self) -> str:
        """Return the metrics in their text format."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports["metrics"], timeout=2
        )
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()

    def send_request(
        self,
        path: str,
        request_id: str,
        body: bytes = b"",
        model: str = "",
        events: int = 5,
        budget_ms: int = 4_000,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request over a new connection and return the response.

        :param model: The model and adapter, "" for a plain request.
        :param events: The number of events to ask for, if a model is given.
        :param headers: Headers that add to the usual ones or replace them.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports["front"], timeout=RESPONSE_TIMEOUT_S
        )
        request_headers = {
            "Host": "site.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(budget_ms),
        }
        if model:
            request_headers |= {"Model": model, "Token-Count": f"10,{events}"}
        started_at = time.monotonic()
        connection.request("POST", path, body, request_headers | (headers or {}))
        response = connection.getresponse()
        is_complete = True
        try:
            data = response.read()
        except http.client.IncompleteRead as error:
            data, is_complete = error.partial, False
        except ConnectionError:
            data, is_complete = b"", False
        connection.close()
        headers_by_name = {name.lower(): value for name, value in response.getheaders()}
        seconds = time.monotonic() - started_at
        return Reply(response.status, headers_by_name, data, is_complete, seconds)


class SiteDeployment:
    """Runs a store, servers and gateways for the duration of a ``with`` block.

    :param plain: The number of plain servers.
    :param zones: The number of zones over which the gateways are distributed.
    :param first_configuration: The configuration in the store when they start.
    :param bounds: The bounds in the gateways' settings that are not the default ones.
    :param settings: Other settings of the gateways that are not the default ones.
    """

    def __init__(
        self,
        gateways: int = 2,
        engines: int = 2,
        plain: int = 2,
        zones: int = 2,
        first_configuration: dict | None = None,
        bounds: dict[str, float] | None = None,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self._first_configuration = first_configuration or configuration()
        self._counts = (gateways, engines, plain)
        self._zones = zones
        self._bounds = bounds or {}
        self._settings = settings or {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._folder = tempfile.TemporaryDirectory()
        self.gateways: list[Gateway] = []
        self.engines: list[Backend] = []
        self.plain: list[Backend] = []

    @property
    def backends(self) -> list[Backend]:
        """Return all servers: engines first, then plain servers."""
        return self.engines + self.plain

    def __enter__(self) -> Self:
        self._thread.start()
        try:
            self._start()
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def _start(self) -> None:
        gateways, engines, plain = self._counts
        self.run(self._start_platform(engines, plain))
        for number in range(gateways):
            zone = f"z{number % self._zones}"
            self.gateways.append(self.add_gateway(f"gw-{number}", zone))
        self.wait(lambda: all(g.is_ready() for g in self.gateways), START_TIMEOUT_S)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.kill()
        self.run(self._stop_platform())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._folder.cleanup()

    def failures(self) -> list[str]:
        """Return the log lines that show an error in the gateways' own code."""
        error_marks = ("event=part_failed", "Traceback", "never retrieved")
        return [
            line
            for gateway in self.gateways
            for line in gateway.log.read_text().splitlines()
            if any(mark in line for mark in error_marks)
        ]

    async def _start_platform(self, engines: int, plain: int) -> None:
        self.store = Store()
        self.store_address = f"127.0.0.1:{free_port()}"
        await self.store.server.start(self.store_address)
        self.store.write("keyed.op", "config", self._first_configuration)
        for number in range(engines):
            held = {MODELS[number % len(MODELS)]: set()}
            engine = Backend(
                self.store, f"lm-{number}", "lm", f"z{number % 2}", held=held
            )
            engine.is_engine = True
            self.engines.append(engine)
        for number in range(plain):
            server = Backend(self.store, f"web-{number}", "web", f"z{number % 2}")
            self.plain.append(server)
        for backend in self.backends:
            await backend.start(free_port())

    async def _stop_platform(self) -> None:
        for server in [self.store.server, *(b.http for b in self.backends)]:
            await server.stop()
        await asyncio.sleep(0)

    def add_gateway(self, name: str, zone: str, store: str = "") -> Gateway:
        """Start one more gateway.

        :param store: The address at which it reaches the store, "" for the store's own.
        """
        ports = {p: free_port() for p in ("front", "ready", "peer", "metrics")}
        folder = Path(self._folder.name)
        gateway = Gateway(
            name, zone, folder / f"{name}.json", folder / f"{name}.log", ports
        )
        settings = {
            "host": name,
            "zone": zone,
            "caller_address": f"127.0.0.1:{ports['front']}",
            "readiness_address": f"127.0.0.1:{ports['ready']}",
            "peer_address": f"127.0.0.1:{ports['peer']}",
            "metrics_address": f"127.0.0.1:{ports['metrics']}",
            "store": store or self.store_address,
            "bounds": self._bounds,
        } | self._settings
        gateway.settings.write_text("// a test's settings\n" + json.dumps(settings))
        gateway.start()
        return gateway

    def run(self, coroutine: Any) -> Any:
        """Run a coroutine in the servers' event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(30)

    def call(self, function: Callable[..., Any], *arguments: Any, **named: Any) -> Any:
        """Call a function in the servers' event loop and return its result."""

        async def coroutine() -> Any:
            return function(*arguments, **named)

        return self.run(coroutine())

    def wait(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Wait for a condition and return the time until it held, in seconds.

        :raises AssertionError: The condition did not hold within the timeout.
        """
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > timeout_s:
                logs = "\n".join(
                    g.log.read_text()[-1500:] for g in self.gateways if g.log.exists()
                )
                raise AssertionError(f"not within {timeout_s} s; logs:\n{logs}")
            time.sleep(0.05)
        return time.monotonic() - started_at

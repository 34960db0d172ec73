"""Starts a small deployment on loopback addresses, and sends consumers' requests.

The gateways are the project's own program, started with the command of the deploy file.
Everything else is a stand-in of this folder.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from http11 import Message, call

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
HOST = "127.0.0.1"
RAM_MB = 300
"""Memory limit of a machine, as on the sheet of crannog-canopy."""
START_TIMEOUT_S = 20.0
RESTART_DELAY_S = 0.5
FIRST_PORT, LAST_PORT = 12_000, 32_000
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 4_194_304,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
}
BOUNDS = {
    "drain_timeout_s": 8,
    "server_drain_s": 2.0,
    "configuration_apply_s": 2.0,
    "order_lease_s": 3.0,
    "is_fence_checked": True,
    "retry_ratio": 0.2,
    "retry_allowance": 52,
    "retry_window_s": 10,
    "store_load_window_s": 5,
    "allowance_window_s": 8,
    "allowance_over_share": 0,
    "allowance_slack": 0,
}
"""What the deploy file's template gives for crannog-canopy."""


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on, below those of outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            if port not in ports:
                ports.append(port)
    return ports


@dataclass
class Answer:
    """What a consumer has seen of one attempt.

    :param status: The status, 0 without an answer.
    :param seconds: The time from sending to the end of the answer, or to giving up.
    """

    request_id: str
    path: str
    sent_at: float
    status: int = 0
    is_complete: bool = False
    seconds: float = 0.0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class Site:
    """A deployment that runs for the duration of a ``with`` block.

    :param folder: The folder of the case, in which the record is written.
    """

    def __init__(self, folder: Path) -> None:
        self._record = (folder / "record.txt").open("w", buffering=1)
        self._processes: list[subprocess.Popen] = []
        self._ids = itertools.count(1)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.gateways: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, dict[str, Any]] = {}
        self.memory_kills: dict[str, int] = {}
        self.store = f"{HOST}:{free_ports(1)[0]}"

    def __enter__(self) -> Self:
        command = [sys.executable, str(STANDINS / "store.py"), "--listen", self.store]
        self._start(command, "store")
        self._wait_for_port(self.store)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._write_runs()
        for name in self.gateways:
            self.keep_log(name)
        self._record.close()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def note(self, line: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.time():.3f} {line}\n")

    def keep_log(self, name: str) -> None:
        """Write the number of lines in a gateway's log for each event."""
        counts: dict[str, int] = {}
        for line in (self.temporary / f"{name}.log").read_text().splitlines():
            event = next((w for w in line.split() if w.startswith("event=")), "")
            counts[event] = counts.get(event, 0) + 1
        self.note(f"log of {name}: {counts}")

    def runs(self) -> dict[str, int]:
        """Return how often each request began to run at a worker, by its id."""
        counts: dict[str, int] = {}
        for path in self.temporary.glob("*.runs"):
            for line in path.read_text().splitlines():
                words = line.split()
                if words[2] == "runs":
                    counts[words[3]] = counts.get(words[3], 0) + 1
        return counts

    def worker_lines(self, text: str) -> list[str]:
        """Return the lines of the workers' logs that contain a text."""
        return [
            line
            for path in sorted(self.temporary.glob("*.runs"))
            for line in path.read_text().splitlines()
            if text in line
        ]

    async def limit_memory(self) -> int:
        """Kill each gateway that exceeds its memory, and start it again.

        :return: Never; the number of such ends is in ``memory_kills``.
        """
        while True:
            await asyncio.sleep(0.05)
            for name, gateway in self.gateways.items():
                used_mb = self.memory_mb(name)
                if used_mb > RAM_MB:
                    self.note(f"{name} uses {used_mb:.0f} MB of {RAM_MB} and is killed")
                    self.memory_kills[name] = self.memory_kills.get(name, 0) + 1
                    gateway["process"].kill()
                    await asyncio.sleep(RESTART_DELAY_S)
                    self.restart_gateway(name)

    def _write_runs(self) -> None:
        for path in sorted(self.temporary.glob("*.runs")):
            self._record.write(path.read_text())

    # Processes

    def _start(self, command: list[str], name: str) -> subprocess.Popen:
        inherited = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in inherited if name in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.temporary / f"{name}.log").open("a") as log:
            process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._processes.append(process)
        return process

    def _wait_for_port(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                socket.create_connection((host, int(port)), 0.2).close()
                return
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.05)

    def add_worker(self, name: str, service: str, zone: str, **options: Any) -> None:
        """Start a worker; options are those of ``worker.py``."""
        arguments = {
            "id": name,
            "service": service,
            "zone": zone,
            "listen": f"{HOST}:{free_ports(1)[0]}",
            "store": self.store,
            "log": str(self.temporary / f"{name}.runs"),
        } | options
        command = [sys.executable, str(STANDINS / "worker.py")]
        for option, value in arguments.items():
            command += [f"--{option.replace('_', '-')}", str(value)]
        process = self._start(command, name)
        self.workers[name] = {"command": command, "process": process}

    def crash_worker(self, name: str) -> None:
        """Kill a worker."""
        self.note(f"worker {name} crashes")
        self.workers[name]["process"].kill()

    def restart_worker(self, name: str) -> None:
        """Start a worker that has crashed again, under the id that it had."""
        self.note(f"worker {name} starts again")
        worker = self.workers[name]
        worker["process"].wait()
        worker["process"] = self._start(worker["command"], name)

    def add_gateway(self, name: str, zone: str) -> None:
        """Start a gateway with the command of the deploy file."""
        front, ready, peer, metrics = (f"{HOST}:{port}" for port in free_ports(4))
        settings = {
            "host": name,
            "zone": zone,
            "caller_address": front,
            "readiness_address": ready,
            "peer_address": peer,
            "metrics_address": metrics,
            "store": self.store,
            "link_mbps": 1000.0,
            "cpu_share": 0.537,
            "cpu_speed": 2,
            "bounds": BOUNDS,
        }
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        run = deploy["roles"]["gateway"]["run"]
        command = run.replace("/etc/sequoiapoint/node.toml", str(path)).split()
        self.gateways[name] = {
            "front": front,
            "ready": ready,
            "command": command,
            "process": self._start(command, name),
        }

    def restart_gateway(self, name: str) -> None:
        """Start a gateway that has ended again, as the platform does."""
        gateway = self.gateways[name]
        gateway["process"].wait()
        gateway["process"] = self._start(gateway["command"], name)

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a gateway, in MB."""
        pid = self.gateways[name]["process"].pid
        try:
            status = Path(f"/proc/{pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    # Operator and platform

    async def write_manifest(
        self, version: int, routes: list[dict], services: list[dict]
    ) -> None:
        """Write a manifest to the store, as the operator does."""
        manifest = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        target = "/write?topic=keyed.op&key=config"
        body = json.dumps(manifest).encode()
        await call(self.store, "POST", target, {"Host": "store"}, body)
        self.note(f"manifest {version} is acknowledged")

    async def is_ready(self, name: str, timeout_s: float = 1.0) -> bool:
        """Ask a gateway whether it is ready, as the platform does every second."""
        address = self.gateways[name]["ready"]
        try:
            async with asyncio.timeout(timeout_s):
                answer = await call(
                    address, "GET", "/sequoiapoint/readyz", {"Host": "x"}, b""
                )
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.start[1] == "200"

    async def wait_until_ready(self) -> None:
        """Wait until all gateways are ready.

        :raises TimeoutError: They are not within ``START_TIMEOUT_S``.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in self.gateways:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.1)
        self.note("all gateways are ready")

    # Consumers

    async def send(
        self,
        gateway: str,
        method: str,
        path: str,
        budget_s: float,
        headers: dict[str, object] | None = None,
        body: bytes = b"",
        patience_s: float | None = None,
    ) -> Answer:
        """Send a request over a new connection, and wait for the answer.

        :param patience_s: For how long to wait; by default for the time budget.
        """
        request_id = f"{next(self._ids):08x}"
        answer = Answer(request_id, path, time.time())
        all_headers = {
            "Host": "site.example",
            "Request-Id": request_id,
            "Deadline-Ms": round(budget_s * 1000),
        } | (headers or {})
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(patience_s or budget_s):
                response = await self._exchange(
                    gateway, method, path, all_headers, body
                )
        except (OSError, TimeoutError):
            response = None
        answer.seconds = time.monotonic() - started_at
        if response is not None:
            answer.status = int(response.start[1])
            answer.is_complete = response.is_complete
            answer.body = response.body
            answer.headers = dict(response.headers)
        outcome = f"{answer.status or 'no answer'} after {answer.seconds:.3f} s"
        if answer.status and not answer.is_complete:
            outcome += ", broken off"
        self.note(f"consumer {request_id} {method} {path} at {gateway}: {outcome}")
        return answer

    async def _exchange(
        self,
        gateway: str,
        method: str,
        path: str,
        headers: dict[str, object],
        body: bytes,
    ) -> Message | None:
        return await call(self.gateways[gateway]["front"], method, path, headers, body)


def plain_route(name: str, service: str, **changes: Any) -> dict:
    """Return an idempotent route in the form in which operators write it."""
    return {
        "name": name,
        "host": "site.example",
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout-ms": 800,
        "goal-ms": 150,
        "priority": 2,
        "service": service,
        "attempts": 2,
    } | changes


def stream_route(name: str, service: str, **changes: Any) -> dict:
    """Return a route of streams in the form in which operators write it."""
    stream = {
        "kind": "stream",
        "timeout-ms": 12_000,
        "goal-ms": 300,
        "priority": 1,
        "sticky": True,
        "can-resume": True,
        "gap-aim-ms": 150,
    }
    return plain_route(name, service) | stream | changes


def plain_service(name: str) -> dict:
    """Return a service without engines."""
    return {"name": name, "health-path": "/healthz", "max-conns": 96}


def engine_service(name: str, model: str) -> dict:
    """Return a service of engines with one model."""
    spec = {"name": model, "mb": 42_700.0, "load-s": 2.6, "adapters": 0}
    spec |= {"adapter-mb": 66.0, "warm-s": 0.44, "disk-s": 0.57}
    engine = {"slots": 64, "kv-cap": 158_621, "mb": 200_000.0, "adapter-slots": 8}
    engine |= {"loads-per-s": 1.6, "models": [spec]}
    return {
        "name": name,
        "health-path": "/healthz",
        "max-conns": 360,
        "engine": engine,
    }


__all__ = [
    "RAM_MB",
    "RESTART_DELAY_S",
    "Answer",
    "Site",
    "engine_service",
    "plain_route",
    "plain_service",
    "stream_route",
]

"""A small deployment for the cases: a store, workers and gateways, all on loopback.

The store is the project's own stand-in; the gateways and workers are processes.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

from standins.site.deployment import SiteDeployment, configuration, free_port

WORKER = Path(__file__).with_name("worker.py")
ENTRY_TTL_S = 3.6
"""Three heartbeats of silence, after which the platform removes a worker's entry."""
CRANNOG_SETTINGS = {
    "link_mbps": 1000.0,
    "memory_mb": 300,
    "max_descriptors": 4200,
    "cpu_share": 0.537,
    "cpu_speed": 2,
}
CRANNOG_BOUNDS = {
    "drain_timeout_s": 8,
    "server_drain_s": 2.0,
    "configuration_apply_s": 2.0,
    "order_lease_s": 3.0,
    "is_fence_checked": True,
    "retry_ratio": 0.2,
    "retry_allowance": 52,
    "retry_window_s": 10,
    "store_load_window_s": 5,
}
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
ANSWER_TIMEOUT_S = 20.0
RECORDED_HEADERS = ("Model", "Prompt-Prefix", "Resumes", "Last-Event-Id")


class Record:
    """What was sent, answered and run; it is written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._started_at = time.time()
        self._lines: list[tuple[float, str]] = []

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line; ``at`` is a Unix time, None for now."""
        self._lines.append((time.time() if at is None else at, text))

    def write(self) -> None:
        """Write all lines in the order of their times."""
        lines = (f"{at - self._started_at:8.3f} {t}" for at, t in sorted(self._lines))
        self._path.write_text("\n".join(lines) + "\n")


class WorkerProcess:
    """A worker: its process, and what all its processes have printed."""

    def __init__(self, store: str, settings: dict[str, Any]) -> None:
        self.settings = settings | {"port": free_port(), "store": store}
        self.lines: list[dict[str, Any]] = []
        self.process: subprocess.Popen | None = None

    @property
    def name(self) -> str:
        """Return the worker's id."""
        return self.settings["name"]

    def start(self, **changes: Any) -> None:
        """Start a process, under the same id and at the same address as before.

        A worker that starts again is empty; its copies on disk are still there.
        """
        if self.process is not None and self.settings.get("held") is not None:
            on_disk = {*self.settings.get("on_disk", ()), *self.settings["held"]}
            changes = {"held": [], "on_disk": sorted(on_disk)} | changes
        self.settings |= changes
        self.process = subprocess.Popen(
            [sys.executable, str(WORKER), json.dumps(self.settings)],
            stdout=subprocess.PIPE,
            text=True,
        )
        threading.Thread(target=self._read, args=(self.process,), daemon=True).start()

    def _read(self, process: subprocess.Popen) -> None:
        self.lines += (json.loads(line) for line in process.stdout)

    @property
    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self.process.poll() is None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        os.kill(self.process.pid, signal.SIGKILL)
        self.process.wait()

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the lines about one kind of event, in order."""
        return [line for line in self.lines if line["event"] == name]


class Site(SiteDeployment):
    """A deployment whose workers are processes.

    :param workers: The settings of the workers' processes, without their ports.
    :param restart_after_s: The time after which a worker that has ended by itself is
        started again; None for never.
    """

    def __init__(
        self,
        record: Record,
        workers: list[dict[str, Any]],
        gateways: int = 2,
        zones: int = 2,
        first_configuration: dict | None = None,
        restart_after_s: float | None = None,
    ) -> None:
        super().__init__(
            gateways,
            0,
            0,
            zones,
            first_configuration or configuration(),
            CRANNOG_BOUNDS,
            CRANNOG_SETTINGS,
        )
        self.record = record
        self._worker_settings = workers
        self._restart_after_s = restart_after_s
        self._ended = threading.Event()
        self.workers: list[WorkerProcess] = []

    def _start(self) -> None:
        self.run(self._start_platform(0, 0))
        for settings in self._worker_settings:
            worker = WorkerProcess(self.store_address, settings)
            self.workers.append(worker)
            worker.start()
        self.wait(lambda: all(w.events("registered") for w in self.workers), 15.0)
        threading.Thread(target=self._watch_workers, daemon=True).start()
        for number in range(self._counts[0]):
            zone = f"z{number % self._zones}"
            self.gateways.append(self.add_gateway(f"gw-{number}", zone))
        self.wait(lambda: all(g.is_ready() for g in self.gateways), 15.0)

    def _watch_workers(self) -> None:
        """Remove the entries of silent workers; start those that ended by themselves.

        Which workers end by a signal is up to the case: it starts them itself.
        """
        ended_at: dict[str, float] = {}
        while not self._ended.wait(0.05):
            now = time.monotonic()
            self.call(self._remove_silent, now)
            for worker in self.workers:
                if worker.is_running or worker.process.returncode < 0:
                    ended_at.pop(worker.name, None)
                elif self._restart_after_s is not None:
                    since = ended_at.setdefault(worker.name, now)
                    if now - since >= self._restart_after_s:
                        worker.start()

    def _remove_silent(self, now: float) -> None:
        topic = self.store.topic("keyed.servers")
        last: dict[str, tuple[float, bytes]] = {}
        for (key, value), at in zip(topic.records, topic.written_at, strict=True):
            last[key] = at, value
        for key, (at, value) in last.items():
            if value and now - at > ENTRY_TTL_S:
                self.store.write("keyed.servers", key, b"")

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes, and record what the workers ran."""
        self._ended.set()
        time.sleep(0.2)
        for worker in self.workers:
            if worker.is_running:
                worker.kill()
            time.sleep(0.05)
            for line in worker.lines:
                fields = {k: v for k, v in line.items() if k not in ("at", "event")}
                text = " ".join(f"{k}={v}" for k, v in fields.items())
                self.record.note(f"worker {line['event']} {text}", line["at"])
        super().__exit__(kind, error, trace)


@dataclass
class Answer:
    """What a consumer received.

    :param status: 0 if there was none.
    :param is_complete: Whether the body was received to the end that its framing says.
    """

    request_id: str
    status: int
    body: bytes
    is_complete: bool

    @property
    def events(self) -> list[bytes]:
        """Return the events of a stream."""
        return [part for part in self.body.split(b"\n\n") if part]


def _decode_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return the body of a chunked message, and whether it is complete."""
    body, position = b"", 0
    while True:
        end = data.find(b"\r\n", position)
        if end < 0:
            return body, False
        size = int(data[position:end], 16)
        if not size:
            return body, data[end:].startswith(b"\r\n\r\n")
        chunk = data[end + 2 : end + 2 + size]
        body += chunk
        if len(chunk) < size:
            return body, False
        position = end + 2 + size + 2


def _decode(request_id: str, data: bytes) -> Answer:
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return Answer(request_id, 0, b"", False)
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body, is_complete = _decode_chunks(rest)
        return Answer(request_id, status, body, is_complete)
    size = int(headers.get("content-length", -1))
    return Answer(request_id, status, rest, len(rest) == size)


class Consumers:
    """Consumers that each send one request on a new channel, in threads."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._threads: list[threading.Thread] = []
        self.answers: list[Answer] = []

    def send(
        self, port: int, path: str, request_id: str, headers: dict[str, str]
    ) -> None:
        """Send a request; its answer is added to ``answers``."""
        self.start(self.request, port, path, request_id, headers)

    def start(self, function: Callable[..., object], *arguments: object) -> None:
        """Call a function in a thread of its own."""
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def stream(
        self, port: int, path: str, request_id: str, events: int, **headers: str
    ) -> None:
        """Send a request for a stream of the model ``oak``."""
        fields = {"Model": "oak", "Token-Count": f"10,{events}"} | headers
        self.send(port, path, request_id, fields)

    def request(
        self, port: int, path: str, request_id: str, headers: dict[str, str]
    ) -> Answer:
        """Send a request, and return its answer."""
        fields = {
            "Host": "site.example",
            "Request-Id": request_id,
            "Deadline-Ms": "12000",
            "Content-Length": "0",
            "Connection": "close",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        sent = {name: fields[name] for name in RECORDED_HEADERS if name in fields}
        self._record.note(f"consumer sends {request_id} POST {path} {sent}")
        data = b""
        try:
            with socket.create_connection(
                ("127.0.0.1", port), ANSWER_TIMEOUT_S
            ) as sock:
                sock.sendall(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode())
                while part := sock.recv(65_536):
                    data += part
        except OSError as error:
            self._record.note(f"consumer of {request_id}: {error!r}")
        answer = _decode(request_id, data)
        self._record.note(
            f"consumer of {request_id} has status {answer.status}, "
            f"{len(answer.events)} events, complete: {answer.is_complete}"
        )
        self.answers.append(answer)
        return answer

    def wait(self) -> None:
        """Wait for all answers."""
        for thread in self._threads:
            thread.join()


def run_case(folder: str, case: Callable[[Record, bool], bool]) -> None:
    """Run a case, and exit with what it shows.

    :param folder: The file of the case; the record is written beside it.
    :param case: Returns whether the rule held; the flag tells whether the disruption
        takes place.
    """
    record = Record(Path(folder).parent)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"begin, with the disruption: {has_trouble}")
    try:
        holds = case(record, has_trouble)
    except Exception as error:  # The case could not run.
        record.note(f"could not run: {error!r}")
        record.write()
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    record.note("the rule held" if holds else "the rule was broken")
    record.write()
    print("held" if holds else "broken")
    sys.exit(HELD if holds else BROKEN)

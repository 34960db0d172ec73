"""Starts and stops the processes of a deployment on loopback addresses.

Only tests and tools use this module; no process of the product starts another.
"""

import hashlib
import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sequoiapoint.protocol.errors import Failure
from sequoiapoint.transport import http_client

OPERATOR_TOKEN = "demo-token"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback interface that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


@dataclass
class Process:
    """A child process and its log file."""

    name: str
    popen: subprocess.Popen
    log: Path

    def stop(self, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal and wait until the process ends.

        A suspended process is resumed first.  A process that does not end within
        STOP_TIMEOUT_S is killed.

        :return: The exit code.
        """
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.send_signal(signal_number)
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


@dataclass
class Deployment:
    """What a cluster consists of.

    :param document: The configuration document; the servers' addresses are filled in
        by the cluster.
    :param hosts_per_zone: The number of entry hosts of each zone.
    :param limits: The ``limits`` section of the hosts' settings.
    :param retention_s: How long the log keeps a record, in seconds.
    :param log_level: The log level of the hosts.
    """

    document: dict[str, Any]
    hosts_per_zone: dict[str, int]
    limits: dict[str, Any] = field(default_factory=dict)
    retention_s: float = 3600.0
    log_level: str = "info"


class Cluster:
    """A context manager that runs the processes of a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="sequoiapoint-")
        self.folder = Path(self._temporary_directory.name)
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.peer_addresses: dict[str, str] = {}
        self.document = json.loads(json.dumps(deployment.document))
        self.zones: dict[str, str] = {}

    def __enter__(self) -> "Cluster":
        self._choose_addresses()
        self._start_platform()
        for server in self.document["servers"]:
            self.start_server(server["name"])
        for host in self.hosts:
            self.start_host(host)
        for name in (*self._servers(), *self.hosts):
            self.wait_for(lambda name=name: self.responds(name), f"{name} to respond")
        return self

    def __exit__(self, *_: object) -> None:
        for name in self.hosts:
            process = self.processes.get(name)
            if process and process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.send_signal(signal.SIGTERM)
        for name in reversed(list(self.processes)):
            self.processes[name].stop()
        self._temporary_directory.cleanup()

    @property
    def hosts(self) -> list[str]:
        """Return the names of the entry hosts."""
        return [
            f"{zone}-{number}"
            for zone, count in self._deployment.hosts_per_zone.items()
            for number in range(count)
        ]

    def _servers(self) -> list[str]:
        return [s["name"] for s in self.document["servers"]]

    def _choose_addresses(self) -> None:
        names = ["platform", *self._servers(), *self.hosts]
        ports = free_ports(len(names) + len(self.hosts))
        for name, port in zip(names, ports, strict=False):
            self.addresses[name] = f"127.0.0.1:{port}"
        for host, port in zip(self.hosts, ports[len(names) :], strict=True):
            self.peer_addresses[host] = f"127.0.0.1:{port}"
            self.zones[host] = host.rpartition("-")[0]
        for server in self.document["servers"]:
            server["address"] = self.addresses[server["name"]]

    def _start(self, name: str, module: str, *arguments: str) -> None:
        log = self.folder / f"{name}.log"
        with log.open("ab") as stream:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=stream, stderr=stream
            )
        self.processes[name] = Process(name, popen, log)

    def _start_platform(self) -> None:
        store = self.document["weight_store"]
        self._start(
            "platform",
            "standins.platform",
            f"--address={self.addresses['platform']}",
            f"--retention-s={self._deployment.retention_s}",
            f"--loads-per-s={store['loads_per_s']}",
            f"--concurrent={store['concurrent']}",
        )
        self.wait_for(lambda: self.responds("platform"), "platform to respond")

    def start_server(self, name: str) -> None:
        """Start a backend server; a restarted one keeps its address."""
        server = next(s for s in self.document["servers"] if s["name"] == name)
        address = f"--address={self.addresses[name]}"
        if server.get("kind") == "service":
            self._start(name, "standins.service", address)
            return
        fencing = ["--checks-fencing"] if server.get("checks_fencing") else []
        self._start(
            name,
            "standins.engine",
            address,
            f"--memory-mb={server['memory_mb']}",
            f"--platform={self.addresses['platform']}",
            *fencing,
        )

    def start_host(self, name: str) -> None:
        """Start an entry host; a restarted one is a new process."""
        path = self.folder / f"{name}.json"
        settings = {
            "host": name,
            "site": "demo",
            "zone": self.zones[name],
            "address": self.addresses[name],
            "peer_address": self.peer_addresses[name],
            "seeds": list(self.peer_addresses.values()),
            "platform": self.addresses["platform"],
            "operators": [
                {
                    "name": "demo",
                    "token_sha256": hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
                }
            ],
            "limits": self._deployment.limits,
            "log_level": self._deployment.log_level,
        }
        path.write_text(json.dumps(settings))
        self._start(name, "sequoiapoint.cli.main", "serve", f"--settings={path}")

    def responds(self, name: str) -> bool:
        """Return whether a process responds to HTTP requests."""
        path = "/healthz" if name in self.hosts else "/stats"
        response = http_client.call(
            "GET",
            self.addresses[name],
            path,
            step="probe",
            timeout_s=1.0,
            single_use=True,
        )
        return not isinstance(response, Failure)

    def get(self, name: str, path: str) -> Any:
        """Return the JSON body of a response, or None if the request fails."""
        response = http_client.call(
            "GET", self.addresses[name], path, step="get", single_use=True
        )
        return None if isinstance(response, Failure) else response.json()

    def post(self, name: str, path: str, value: Any, **headers: str) -> Any:
        """Post JSON to a process and return its response or the failure."""
        return http_client.call(
            "POST",
            self.addresses[name],
            path,
            step="post",
            body=json.dumps(value).encode(),
            headers={"Content-Type": "application/json", **headers},
            timeout_s=20.0,
            single_use=True,
        )

    def control(self, name: str, **faults: Any) -> None:
        """Inject faults into a simulated server or the platform."""
        self.post(name, "/control", faults)

    def submit(
        self, document: dict[str, Any], base_version: int, host: str = ""
    ) -> Any:
        """Submit a document; return the response body, or None if the request fails.

        :param base_version: The version that the document is based on.
        :param host: The entry host to submit to, the first one if empty.
        """
        response = self.post(
            host or self.hosts[0],
            "/admin/config",
            document,
            Authorization=f"Bearer {OPERATOR_TOKEN}",
            **{"X-Base-Version": str(base_version)},
        )
        return None if isinstance(response, Failure) else response.json()

    def status(self, host: str) -> dict[str, Any]:
        """Return a host's status, empty if the request fails."""
        return self.get(host, "/admin/status") or {}

    def wait_for(
        self, condition: Any, description: str, timeout_s: float = 0.0
    ) -> None:
        """Poll until a condition holds.

        :param description: What is waited for, used in the error message.
        :param timeout_s: The time limit, START_TIMEOUT_S if zero.
        :raises TimeoutError: If the condition does not hold in time.
        """
        deadline = time.monotonic() + (timeout_s or START_TIMEOUT_S)
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"timed out waiting for {description}\n{self.log_tails()}"
                )
            time.sleep(POLL_INTERVAL_S)

    def resident_artifacts(self, host: str) -> set[str]:
        """Return the artifacts that a host reports as resident on some server."""
        holdings = self.status(host).get("holdings", [])
        return {h["artifact"] for h in holdings if h["state"] == "resident"}

    def wait_until_loaded(self, timeout_s: float = 180.0) -> None:
        """Wait until every host reports every model and adapter as resident."""
        artifacts = [*self.document["models"], *self.document["adapters"]]
        expected = {f"{a['name']}@{a.get('version', '1')}" for a in artifacts}
        self.wait_for(
            lambda: all(expected <= self.resident_artifacts(h) for h in self.hosts),
            "all models to be loaded",
            timeout_s,
        )

    def log_tails(self) -> str:
        """Return the last log lines of each process, for an error message."""
        tails = []
        for process in self.processes.values():
            lines = process.log.read_text(errors="replace").splitlines()[-3:]
            code = process.popen.poll()
            tails.append(f"[{process.name} exit={code}] " + " | ".join(lines))
        return "\n".join(tails)

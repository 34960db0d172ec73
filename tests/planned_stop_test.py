"""Requests that are under way when a host is told to stop, with real processes.

Guards against a request that a stopping host has read, and that ends without an answer.
"""

import contextlib
import signal
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from standins.site.deployment import SiteDeployment, configuration, route

WORK_S = 4.0
"""Time that a server takes for a request; what is sent to it later than 3.4 s after the
signal is not done before the host stops."""
TIMEOUT_MS = 20_000
STOP_TIMEOUT_S = 8.0
"""Time from the signal until which the process must have ended: its drain timeout."""
BODY = b"b" * 2_000
LARGE_BODY = b"b" * 3_000_000
SMALL_BUFFER_BYTES = 4_096
NOT_RUN = (408, 421, 429, 503)


@dataclass(frozen=True)
class Caller:
    """What one caller does, with times in seconds from the signal.

    :param paths: The path of each request on the connection.
    :param begins_at: When it sends all but the last byte of the first request.
    :param ends_at: When it sends the last byte of each request.
    :param reads_from: When it begins to read.
    """

    paths: tuple[str, ...]
    begins_at: float
    ends_at: tuple[float, ...]
    reads_from: float = 0.0
    body: bytes = BODY


LATE = (3.2, 3.6, 4.1, 5.5, 7.0)
"""Times of a last byte after those at which a host still takes any request."""
CALLERS = {
    f"{path}-late-{last_s:g}": Caller((path,), begins_at, (last_s,))
    for path in ("read", "write")
    for begins_at, last_s in zip((-0.5, 0.5, 1.5, 2.2, 2.6), LATE, strict=True)
}
CALLERS |= {
    f"{path}-early-{last_s:g}": Caller((path,), last_s - 0.1, (last_s,))
    for path in ("read", "write")
    for last_s in (-1.0, 0.5, 2.0)
}
CALLERS |= {
    f"{path}-behind-{last_s:g}": Caller((path, path), 0.9, (1.0, last_s))
    for path in ("read", "write")
    for last_s in (1.2, 3.0, 4.0)
}
CALLERS["read-slow"] = Caller(("read",), 0.5, (1.0,), 7.5, LARGE_BODY)


@dataclass
class Seen:
    """What a caller got: all bytes, and when its connection ended."""

    data: bytes = b""
    ended_at: float = 0.0


def encode(name: str, number: int, path: str, body: bytes) -> bytes:
    head = (
        f"POST /{path}/x HTTP/1.1\r\nHost: site.example\r\n"
        f"Request-Id: {name}-{number}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def play(name: str, caller: Caller, port: int, signal_at: float, seen: Seen) -> None:
    """Send a caller's requests, and read until the connection ends."""
    sock = socket.socket()
    sock.settimeout(15.0)
    if caller.reads_from:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)

    def wait_until(at: float) -> None:
        time.sleep(max(0.0, signal_at + at - time.monotonic()))

    wait_until(caller.begins_at)
    with contextlib.suppress(OSError), sock:
        sock.connect(("127.0.0.1", port))
        sent = False
        for number, (path, at) in enumerate(
            zip(caller.paths, caller.ends_at, strict=True)
        ):
            data = encode(name, number, path, caller.body)
            if not sent:
                sock.sendall(data[:-1])
                data, sent = data[-1:], True
            wait_until(at)
            sock.sendall(data)
        wait_until(caller.reads_from)
        while chunk := sock.recv(65_536):
            seen.data += chunk
    seen.ended_at = time.monotonic() - signal_at


def complete_statuses(data: bytes) -> list[int]:
    """Return the statuses of the complete responses in a connection's bytes."""
    statuses = []
    while data:
        head, end, rest = data.partition(b"\r\n\r\n")
        lengths = [
            int(line.partition(b":")[2])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length:")
        ]
        if not end or not lengths or len(rest) < lengths[0]:
            break
        statuses.append(int(head.split()[1]))
        data = rest[lengths[0] :]
    return statuses


@dataclass
class Stop:
    """One planned stop: what each caller got, which requests ran, and its length."""

    seen: dict[str, Seen]
    runs: dict[str, int]
    seconds: float
    failures: list[str]
    lines: list[str]


@pytest.fixture(scope="module")
def stop() -> Iterator[Stop]:
    routes = [
        route("read", "idempotent", "web", **{"timeout-ms": TIMEOUT_MS}),
        route("write", "mutating", "web", attempts=1, **{"timeout-ms": TIMEOUT_MS}),
    ]
    first = configuration(routes=routes)
    first["limits"] |= {"header-timeout-ms": 6_000, "max-body-bytes": 4_000_000}
    with SiteDeployment(gateways=1, engines=0, first_configuration=first) as site:
        for server in site.plain:
            server.work_s, server.slots = WORK_S, 40
            site.call(server.register)
        time.sleep(1.0)
        gateway, signal_at = site.gateways[0], time.monotonic() + 1.5
        seen = {name: Seen() for name in CALLERS}
        threads = [
            threading.Thread(
                target=play,
                args=(name, caller, gateway.ports["front"], signal_at, seen[name]),
            )
            for name, caller in CALLERS.items()
        ]
        for thread in threads:
            thread.start()
        time.sleep(max(0.0, signal_at - time.monotonic()))
        gateway.signal(signal.SIGTERM)
        gateway.process.wait(15.0)
        seconds = time.monotonic() - signal_at
        for thread in threads:
            thread.join()
        runs = {
            request: count
            for server in site.plain
            for request, count in server.runs.items()
        }
        lines = gateway.log.read_text().splitlines()
        yield Stop(seen, runs, seconds, site.failures(), lines)


@pytest.mark.parametrize("name", CALLERS)
def test_a_request_that_a_stopping_host_has_read_is_answered(stop, name):
    """Late requests were passed on and cut, or dropped behind one in progress."""
    statuses = complete_statuses(stop.seen[name].data)
    assert len(statuses) == len(CALLERS[name].paths), stop.seen[name].data[:300]
    for number, status in enumerate(statuses):
        ran = stop.runs.get(f"{name}-{number}", 0)
        assert ran == (status not in NOT_RUN), (number, status, ran)


@pytest.mark.parametrize("name", [n for n in CALLERS if "early" in n])
def test_a_request_that_can_be_done_before_the_stop_is_done(stop, name):
    assert complete_statuses(stop.seen[name].data) == [200]


@pytest.mark.parametrize(
    "name", [n for n in CALLERS if "late" in n and float(n.rpartition("-")[2]) > 3.4]
)
def test_a_request_that_cannot_be_done_before_the_stop_is_refused_at_once(stop, name):
    """Its caller can send it to another host, as it has not run."""
    assert complete_statuses(stop.seen[name].data) == [503]
    last_s = CALLERS[name].ends_at[-1]
    assert stop.seen[name].ended_at - last_s < 1.0


def test_a_host_that_stops_ends_within_its_time(stop):
    assert stop.seconds < STOP_TIMEOUT_S
    assert stop.failures == []

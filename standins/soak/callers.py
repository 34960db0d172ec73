"""Callers that keep their connections until the process is gone, and what they saw."""

import http.client
import random
import re
import threading
import time
from dataclasses import dataclass, field

REQUEST_KINDS = ("read", "write", "talk", "once")
MODELS = ("oak", "elm", "ash", "fir", "yew", "oak/a1", "elm/a2", "oak/a3")
MAX_EVENTS = 30
DEADLINE_MS = 3_000
PAUSE_RANGE_S = (0.0, 0.15)
"""Pause between a caller's requests, at least and at most."""
RESPONSE_TIMEOUT_S = 4.0
"""Time after which a caller gives an answer up: its budget and a margin."""
DISCONNECT_FRACTION = 0.04
"""Share of the requests whose caller leaves before the answer."""
ABORTED = -1
"""Status of a request that ended without an answer."""


@dataclass
class ObservedRequest:
    """One request as its caller saw it.

    :param client_disconnected: Whether the caller left before the answer.
    """

    request_id: str
    kind: str
    body: bytes
    events: int
    gateway: str
    sent_at: float
    status: int = ABORTED
    response_body: bytes = b""
    is_complete: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    client_disconnected: bool = False
    ended_at: float = 0.0

    @property
    def event_ids(self) -> list[int]:
        """Return the numbers of the whole events that came."""
        return [
            int(n)
            for n in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", self.response_body)
        ]


class Caller(threading.Thread):
    """Sends one request after the other, to one gateway while it answers.

    :param ports: The gateways' ports by name; some gateways may be gone.
    """

    def __init__(self, name: str, seed: int, ports: dict[str, int]) -> None:
        super().__init__(name=name, daemon=True)
        self._rng = random.Random(f"{name}/{seed}")
        self._ports = ports
        self._gateway = self._rng.choice(list(ports))
        self._connection: http.client.HTTPConnection | None = None
        self._has_ended = threading.Event()
        self.requests: list[ObservedRequest] = []

    def stop(self) -> None:
        """Let the thread end after its current request."""
        self._has_ended.set()

    def run(self) -> None:
        """Send until told to end."""
        number = 0
        while not self._has_ended.is_set():
            number += 1
            kind = self._rng.choice(REQUEST_KINDS)
            request_id = f"{self.name}-{number}"
            seen = ObservedRequest(
                request_id,
                kind,
                request_id.encode(),
                self._rng.randint(1, MAX_EVENTS),
                self._gateway,
                time.monotonic(),
            )
            self.requests.append(seen)
            self._ask(seen)
            seen.ended_at = time.monotonic()
            pause_s = self._rng.uniform(*PAUSE_RANGE_S)
            if "retry-after" in seen.headers:
                pause_s = float(seen.headers["retry-after"])
            self._has_ended.wait(pause_s)

    def _ask(self, seen: ObservedRequest) -> None:
        headers = {
            "Host": "site.example",
            "Request-Id": seen.request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if seen.kind in ("talk", "once"):
            headers["Model"] = self._rng.choice(MODELS)
            headers["Token-Count"] = f"10,{seen.events}"
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(
                    "127.0.0.1", self._ports[self._gateway], timeout=RESPONSE_TIMEOUT_S
                )
            self._connection.request("POST", f"/{seen.kind}/x", seen.body, headers)
            if self._rng.random() < DISCONNECT_FRACTION:
                seen.client_disconnected = True
                self._drop()
                return
            response = self._connection.getresponse()
            names = {n.lower(): v for n, v in response.getheaders()}
            seen.status, seen.headers = response.status, names
            self._read(seen, response)
            if names.get("connection") == "close":
                self._drop()
        except (OSError, http.client.HTTPException):
            self._drop()
            self._gateway = self._rng.choice(list(self._ports))

    def _read(self, seen: ObservedRequest, response: http.client.HTTPResponse) -> None:
        try:
            while piece := response.read1():
                seen.response_body += piece
            length = seen.headers.get("content-length")
            seen.is_complete = length is None or len(seen.response_body) == int(length)
            response.close()
        except http.client.IncompleteRead as error:
            seen.response_body += error.partial
            raise

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

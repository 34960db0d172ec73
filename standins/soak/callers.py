"""Callers that send over persistent connections and record what they observe."""

import http.client
import random
import re
import threading
import time
from dataclasses import dataclass, field

REQUEST_KINDS = ("read", "write", "talk", "once")
MODELS = ("oak", "elm", "ash", "fir", "yew", "oak/a1", "elm/a2", "oak/a3")
MAX_EVENTS = 30
BUDGET_MS = 3_000
"""Time budget that each request states."""
PAUSE_RANGE_S = (0.0, 0.15)
"""Minimum and maximum pause between the requests of a caller."""
RESPONSE_TIMEOUT_S = 4.0
"""Time that a caller waits for response data: its budget and a margin."""
DISCONNECT_FRACTION = 0.04
"""Fraction of requests whose caller disconnects before the response."""
ABORTED = -1
"""Status of a request that ended without a response."""


@dataclass
class ObservedRequest:
    """One request and its response, as the caller observed them.

    :param events: The number of events that a stream was asked for.
    :param is_complete: Whether the response body was received to its end.
    :param client_disconnected: Whether the caller disconnected before the response.
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
        """Return the ids of the complete events that were received."""
        return [
            int(n)
            for n in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", self.response_body)
        ]


class Caller(threading.Thread):
    """Sends requests one after the other, to the same gateway while it responds.

    A caller whose connection fails chooses a gateway at random for the next request.

    :param ports: The gateways' ports by name; some gateways may be down.
    :ivar requests: The requests sent so far.
    """

    def __init__(self, name: str, seed: int, ports: dict[str, int]) -> None:
        super().__init__(name=name, daemon=True)
        self._rng = random.Random(f"{name}/{seed}")
        self._ports = ports
        self._gateway = self._rng.choice(list(ports))
        self._connection: http.client.HTTPConnection | None = None
        self._stop_requested = threading.Event()
        self.requests: list[ObservedRequest] = []

    def stop(self) -> None:
        """Tell the thread to end after its current request."""
        self._stop_requested.set()

    def run(self) -> None:
        """Send requests until told to stop."""
        number = 0
        while not self._stop_requested.is_set():
            number += 1
            kind = self._rng.choice(REQUEST_KINDS)
            request_id = f"{self.name}-{number}"
            request = ObservedRequest(
                request_id,
                kind,
                request_id.encode(),
                self._rng.randint(1, MAX_EVENTS),
                self._gateway,
                time.monotonic(),
            )
            self.requests.append(request)
            self._send(request)
            request.ended_at = time.monotonic()
            pause_s = self._rng.uniform(*PAUSE_RANGE_S)
            if "retry-after" in request.headers:
                pause_s = float(request.headers["retry-after"])
            self._stop_requested.wait(pause_s)

    def _send(self, request: ObservedRequest) -> None:
        headers = {
            "Host": "site.example",
            "Request-Id": request.request_id,
            "Deadline-Ms": str(BUDGET_MS),
        }
        if request.kind in ("talk", "once"):
            headers["Model"] = self._rng.choice(MODELS)
            headers["Token-Count"] = f"10,{request.events}"
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(
                    "127.0.0.1", self._ports[self._gateway], timeout=RESPONSE_TIMEOUT_S
                )
            self._connection.request(
                "POST", f"/{request.kind}/x", request.body, headers
            )
            if self._rng.random() < DISCONNECT_FRACTION:
                request.client_disconnected = True
                self._close_connection()
                return
            response = self._connection.getresponse()
            headers_by_name = {n.lower(): v for n, v in response.getheaders()}
            request.status, request.headers = response.status, headers_by_name
            self._read_body(request, response)
            if headers_by_name.get("connection") == "close":
                self._close_connection()
        except (OSError, http.client.HTTPException):
            self._close_connection()
            self._gateway = self._rng.choice(list(self._ports))

    def _read_body(
        self, request: ObservedRequest, response: http.client.HTTPResponse
    ) -> None:
        try:
            while chunk := response.read1():
                request.response_body += chunk
            length = request.headers.get("content-length")
            request.is_complete = length is None or len(request.response_body) == int(
                length
            )
            response.close()
        except http.client.IncompleteRead as error:
            request.response_body += error.partial
            raise

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

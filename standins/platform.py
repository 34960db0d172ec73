"""A stand-in for the platform: an append-only log, a host list, a weight store.

The log gives a total order of each stream and nothing else.  It has a rate, a
limited retention and outages, and it can lose an answer after the append took effect.
"""

import collections
import threading
import time
from dataclasses import dataclass, field

from werkzeug.wrappers import Request, Response

from standins import web

MAX_APPENDS_PER_S = 300
APPEND_BURST = 300
MAX_RECORDS_PER_READ = 500


@dataclass
class Stream:
    """One stream of the log."""

    records: collections.deque = field(default_factory=collections.deque)
    first: int = 0
    next: int = 0


class Platform:
    """The state of the stand-in.

    :param retention_s: How long a record is kept, in seconds.
    :param loads_per_s: How many loads the weight store starts a second.
    :param concurrent: How many loads run at full speed at the same time.
    :param mb_per_s: The speed of one load, in megabytes a second.
    """

    def __init__(
        self,
        retention_s: float = 3600.0,
        loads_per_s: float = 2.0,
        max_concurrent_loads: int = 6,
        mb_per_s: float = 20_000.0,
    ) -> None:
        self._retention_s = retention_s
        self._loads_per_s = loads_per_s
        self._concurrent = max_concurrent_loads
        self._mb_per_s = mb_per_s
        self._streams: dict[str, Stream] = {}
        self._changed = threading.Condition()
        self._outage_until = 0.0
        self._answers_to_lose = 0
        self._append_delay_s = 0.0
        self._cut_zones: set[str] = set()
        self._hosts: dict[str, dict] = {}
        self._tokens = float(APPEND_BURST)
        self._tokens_at = time.monotonic()
        self._appends = 0
        self._loads = 0
        self._over_budget = 0
        self._running_loads = 0
        self._next_load_at = 0.0

    def application(self) -> web.Application:
        """Return the WSGI application."""
        return web.Application(
            [
                ("/streams/<name>/append", self._append),
                ("/streams/<name>/records", self._read),
                ("/hosts", self._list_hosts),
                ("/weights/fetch", self._fetch_weights),
                ("/control", self._control),
                ("/stats", self._stats),
            ]
        )

    def _unavailable(self, request: Request) -> bool:
        cut = request.headers.get("X-Zone") in self._cut_zones
        return cut or time.monotonic() < self._outage_until

    def _append(self, request: Request, name: str) -> Response:
        data = request.get_data(as_text=True)
        if self._unavailable(request):
            return web.json_response({"reason": "outage"}, 503)
        if self._append_delay_s:
            time.sleep(self._append_delay_s)
        with self._changed:
            if not self._take_token():
                return web.json_response({"reason": "rate"}, 429, Retry_After="1")
            stream = self._streams.setdefault(name, Stream())
            offset = stream.next
            stream.records.append((offset, data, time.monotonic()))
            stream.next += 1
            self._appends += 1
            self._changed.notify_all()
            if self._answers_to_lose > 0:
                self._answers_to_lose -= 1
                return web.json_response({"reason": "timeout"}, 504)
        return web.json_response({"offset": offset})

    def _take_token(self) -> bool:
        now = time.monotonic()
        earned = (now - self._tokens_at) * MAX_APPENDS_PER_S
        self._tokens = min(APPEND_BURST, self._tokens + earned)
        self._tokens_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _read(self, request: Request, name: str) -> Response:
        start = int(request.args.get("from", "0"))
        wait_s = min(10.0, int(request.args.get("wait_ms", "0")) / 1000)
        if self._unavailable(request):
            return web.json_response({"reason": "outage"}, 503)
        with self._changed:
            stream = self._streams.setdefault(name, Stream())
            self._changed.wait_for(
                lambda: stream.next > start or self._unavailable(request), wait_s
            )
            if self._unavailable(request):
                return web.json_response({"reason": "outage"}, 503)
            self._expire(stream)
            skip = max(0, start - stream.first)
            end = min(len(stream.records), skip + MAX_RECORDS_PER_READ)
            records = [list(stream.records[i][:2]) for i in range(skip, end)]
            return web.json_response(
                {"first": stream.first, "next": stream.next, "records": records}
            )

    def _expire(self, stream: Stream) -> None:
        horizon = time.monotonic() - self._retention_s
        while stream.records and stream.records[0][2] < horizon:
            stream.records.popleft()
            stream.first += 1

    def _list_hosts(self, request: Request) -> Response:
        if self._unavailable(request):
            return web.json_response({"reason": "outage"}, 503)
        return web.json_response(list(self._hosts.values()))

    def _fetch_weights(self, request: Request) -> Response:
        """Hold a load for as long as the transfer takes."""
        size_mb = float(request.get_json()["mb"])
        with self._changed:
            now = time.monotonic()
            if now < self._next_load_at - 0.25:
                self._over_budget += 1
            start = max(now, self._next_load_at)
            self._next_load_at = start + 1.0 / self._loads_per_s
            self._loads += 1
            self._running_loads += 1
            slowdown = max(1.0, self._running_loads / self._concurrent)
        time.sleep(start - now + slowdown * size_mb / self._mb_per_s)
        with self._changed:
            self._running_loads -= 1
        return web.json_response({"mb": size_mb})

    def _control(self, request: Request) -> Response:
        """Inject a fault; every key is optional."""
        order = request.get_json()
        with self._changed:
            if "outage_s" in order:
                self._outage_until = time.monotonic() + order["outage_s"]
            self._answers_to_lose = order.get("lose_answers", self._answers_to_lose)
            self._append_delay_s = order.get("append_delay_s", self._append_delay_s)
            self._cut_zones = set(order.get("cut_zones", self._cut_zones))
            for entry in order.get("hosts", []):
                self._hosts[entry["address"]] = entry
            self._changed.notify_all()
        return web.json_response({})

    def _stats(self, _request: Request) -> Response:
        return web.json_response(
            {
                "appends": self._appends,
                "loads": self._loads,
                "loads_over_budget": self._over_budget,
                "streams": {
                    name: {
                        "records": stream.next,
                        "bytes": sum(len(record[1]) for record in stream.records),
                    }
                    for name, stream in self._streams.items()
                },
            }
        )


def main() -> None:
    """Run the stand-in."""
    parser = web.argument_parser(__doc__.splitlines()[0])
    parser.add_argument("--retention-s", type=float, default=3600.0)
    parser.add_argument("--loads-per-s", type=float, default=2.0)
    parser.add_argument("--concurrent", type=int, default=6)
    arguments = parser.parse_args()
    platform = Platform(
        arguments.retention_s, arguments.loads_per_s, arguments.concurrent
    )
    web.serve_until_terminated(arguments.address, platform.application(), threads=128)


if __name__ == "__main__":
    main()

"""A simulated platform: an append-only log, a host list and a weight store.

The log guarantees a total order of the records of each stream and nothing else.  It has
a rate limit, a limited retention and outages, and it can lose the response to an append
that took effect.
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
    """One stream of the log.

    :ivar records: The kept records: offset, data and time of the append.
    :ivar first: The offset of the oldest kept record.
    :ivar next: The offset of the next record.
    """

    records: collections.deque = field(default_factory=collections.deque)
    first: int = 0
    next: int = 0


class Platform:
    """A simulated platform and its HTTP handlers.

    :param retention_s: How long a record is kept, in seconds.
    :param loads_per_s: The number of loads that the weight store starts per second.
    :param max_concurrent_loads: The number of loads that run at full speed at the same
        time.
    :param mb_per_s: The speed of one load, in megabytes per second.
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
        self._max_concurrent_loads = max_concurrent_loads
        self._mb_per_s = mb_per_s
        self._streams: dict[str, Stream] = {}
        self._changed = threading.Condition()
        self._outage_until = 0.0
        self._responses_to_lose = 0
        self._append_delay_s = 0.0
        self._partitioned_zones: set[str] = set()
        self._hosts: dict[str, dict] = {}
        self._append_tokens = float(APPEND_BURST)
        self._append_tokens_at = time.monotonic()
        self._append_count = 0
        self._load_count = 0
        self._loads_over_budget = 0
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

    def _is_unavailable(self, request: Request) -> bool:
        is_partitioned = request.headers.get("X-Zone") in self._partitioned_zones
        return is_partitioned or time.monotonic() < self._outage_until

    def _append(self, request: Request, name: str) -> Response:
        data = request.get_data(as_text=True)
        if self._is_unavailable(request):
            return web.json_response({"reason": "outage"}, 503)
        if self._append_delay_s:
            time.sleep(self._append_delay_s)
        with self._changed:
            if not self._try_take_append_token():
                return web.json_response({"reason": "rate"}, 429, Retry_After="1")
            stream = self._streams.setdefault(name, Stream())
            offset = stream.next
            stream.records.append((offset, data, time.monotonic()))
            stream.next += 1
            self._append_count += 1
            self._changed.notify_all()
            if self._responses_to_lose > 0:
                self._responses_to_lose -= 1
                return web.json_response({"reason": "timeout"}, 504)
        return web.json_response({"offset": offset})

    def _try_take_append_token(self) -> bool:
        now = time.monotonic()
        earned = (now - self._append_tokens_at) * MAX_APPENDS_PER_S
        self._append_tokens = min(APPEND_BURST, self._append_tokens + earned)
        self._append_tokens_at = now
        if self._append_tokens < 1:
            return False
        self._append_tokens -= 1
        return True

    def _read(self, request: Request, name: str) -> Response:
        start = int(request.args.get("from", "0"))
        wait_s = min(10.0, int(request.args.get("wait_ms", "0")) / 1000)
        if self._is_unavailable(request):
            return web.json_response({"reason": "outage"}, 503)
        with self._changed:
            stream = self._streams.setdefault(name, Stream())
            self._changed.wait_for(
                lambda: stream.next > start or self._is_unavailable(request), wait_s
            )
            if self._is_unavailable(request):
                return web.json_response({"reason": "outage"}, 503)
            self._expire(stream)
            skip = max(0, start - stream.first)
            end = min(len(stream.records), skip + MAX_RECORDS_PER_READ)
            records = [list(stream.records[i][:2]) for i in range(skip, end)]
            return web.json_response(
                {"first": stream.first, "next": stream.next, "records": records}
            )

    def _expire(self, stream: Stream) -> None:
        oldest_kept = time.monotonic() - self._retention_s
        while stream.records and stream.records[0][2] < oldest_kept:
            stream.records.popleft()
            stream.first += 1

    def _list_hosts(self, request: Request) -> Response:
        if self._is_unavailable(request):
            return web.json_response({"reason": "outage"}, 503)
        return web.json_response(list(self._hosts.values()))

    def _fetch_weights(self, request: Request) -> Response:
        """Block for as long as the transfer takes."""
        size_mb = float(request.get_json()["mb"])
        with self._changed:
            now = time.monotonic()
            # A load that starts less than 0.25 s early counts as within the budget.
            if now < self._next_load_at - 0.25:
                self._loads_over_budget += 1
            start = max(now, self._next_load_at)
            self._next_load_at = start + 1.0 / self._loads_per_s
            self._load_count += 1
            self._running_loads += 1
            slowdown = max(1.0, self._running_loads / self._max_concurrent_loads)
        time.sleep(start - now + slowdown * size_mb / self._mb_per_s)
        with self._changed:
            self._running_loads -= 1
        return web.json_response({"mb": size_mb})

    def _control(self, request: Request) -> Response:
        """Inject the faults in the request body; every key is optional."""
        faults = request.get_json()
        with self._changed:
            if "outage_s" in faults:
                self._outage_until = time.monotonic() + faults["outage_s"]
            self._responses_to_lose = faults.get(
                "lose_answers", self._responses_to_lose
            )
            self._append_delay_s = faults.get("append_delay_s", self._append_delay_s)
            self._partitioned_zones = set(
                faults.get("cut_zones", self._partitioned_zones)
            )
            for entry in faults.get("hosts", []):
                self._hosts[entry["address"]] = entry
            self._changed.notify_all()
        return web.json_response({})

    def _stats(self, _request: Request) -> Response:
        return web.json_response(
            {
                "appends": self._append_count,
                "loads": self._load_count,
                "loads_over_budget": self._loads_over_budget,
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
    """Run the simulated platform."""
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

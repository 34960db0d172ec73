"""Measures the processor time of a gateway host, idle and per request, among many.

The site resembles a large deployment on loopback: its servers write their entries about
once a second and hold many models, and the hosts are so many that slots are allocated.
The figures exclude the simulated store, servers and callers.  New connections are
counted at the servers.
"""

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from typing import Any

import psutil

from sequoiapoint.transport import async_http_server
from standins.site import deployment
from standins.site.backends import Backend
from standins.site.deployment import Gateway, SiteDeployment

MODELS = [f"m{number}" for number in range(126)]
ENGINES, PLAIN_SERVERS, ZONES = 45, 4, 4
ENTRY_INTERVAL_S = (0.9, 1.1)
STREAM_SHARE, EVENTS = 0.55, 8
SETTLE_S = 8.0
"""Time in which the hosts find each other and idle connections of the start end."""
START_TIMEOUT_S = 60.0


def configuration() -> dict:
    """Return a configuration with many models and adapters."""
    document = deployment.configuration()
    engine = document["services"][0]["engine"]
    model = engine["models"][0]
    engine |= {"slots": 12, "mb": 400.0, "adapter-slots": 16}
    engine["models"] = [
        model | {"name": name, "adapters": 3 + number % 2}
        for number, name in enumerate(MODELS)
    ]
    for service in document["services"]:
        service["max-conns"] = 400
    return document


class LargeSite(SiteDeployment):
    """A site with many servers, which write their entries all the time.

    :ivar opened: The number of connections opened to servers.
    """

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways, ENGINES, PLAIN_SERVERS, ZONES)
        self._rng = random.Random(7)
        self._tasks: list[asyncio.Task] = []
        self.opened = 0

    async def _start_platform(self, engines: int, plain: int) -> None:
        await super()._start_platform(engines, plain)
        self.store.write("keyed.op", "config", configuration() | {"version": 2})
        for number, engine in enumerate(self.engines):
            engine.slots, engine.adapter_slots, engine.model_slots = 12, 16, 4
            names = (MODELS[(4 * number + n) % len(MODELS)] for n in range(3))
            engine.held = {name: {"a1", "a2"} for name in names}
        for server in self.plain:
            server.slots, server.room = 6, 24
        for number, backend in enumerate(self.backends):
            backend.zone = f"z{number % ZONES}"
            self._tasks.append(asyncio.create_task(self._write_entries(backend)))

    async def _stop_platform(self) -> None:
        for task in self._tasks:
            task.cancel()
        await super()._stop_platform()

    async def _write_entries(self, backend: Backend) -> None:
        while True:
            backend.register()
            await asyncio.sleep(self._rng.uniform(*ENTRY_INTERVAL_S))

    def count_connections(self) -> None:
        """Count from now on the connections that servers accept."""
        servers = {backend.http for backend in self.backends}
        connection_made = async_http_server.ServerConnection.connection_made

        def count(connection: Any, transport: asyncio.Transport) -> None:
            self.opened += connection._server in servers
            connection_made(connection, transport)

        async_http_server.ServerConnection.connection_made = count

    async def send_requests(self, seconds: float, per_host_s: float) -> Counter:
        """Send requests to all hosts; return their number by status."""
        rate = per_host_s * len(self.gateways)
        weights = [1.0 / (rank + 1) for rank in range(len(MODELS))]
        tasks, started_at = [], time.monotonic()
        while (elapsed_s := time.monotonic() - started_at) < seconds:
            while len(tasks) < elapsed_s * rate:
                gateway = self._rng.choice(self.gateways)
                model = ""
                if self._rng.random() < STREAM_SHARE:
                    adapter = self._rng.choice(["", "", "/a1", "/a2", "/a3"])
                    model = self._rng.choices(MODELS, weights)[0] + adapter
                tasks.append(asyncio.create_task(_send(gateway, len(tasks), model)))
            await asyncio.sleep(0.5 / rate)
        return Counter(await asyncio.gather(*tasks))


async def _send(gateway: Gateway, number: int, model: str) -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["front"])
    path = "/talk/x" if model else "/read/x"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r{number}\r\n"
        "Deadline-Ms: 4000\r\nContent-Length: 600\r\nConnection: close\r\n"
    )
    if model:
        head += f"Model: {model}\r\nToken-Count: 10,{EVENTS}\r\n"
    writer.write(head.encode() + b"\r\n" + 600 * b"q")
    response = await reader.read()
    writer.close()
    return response[9:12].decode()


class Meter:
    """Measures the hosts' processor time and wake-ups from its creation on."""

    def __init__(self, gateways: list[Gateway]) -> None:
        self._processes = [psutil.Process(g.process.pid) for g in gateways]
        self._started_at = time.monotonic()
        self._before = self._read()

    def _read(self) -> list[tuple[float, int]]:
        return [
            (sum(p.cpu_times()[:2]), p.num_ctx_switches().voluntary)
            for p in self._processes
        ]

    def rates(self) -> tuple[float, float, float]:
        """Return a host's mean and median time in ms a second, and its wake-ups."""
        seconds = time.monotonic() - self._started_at
        pairs = list(zip(self._before, self._read(), strict=True))
        times = sorted((b[0] - a[0]) / seconds * 1000 for a, b in pairs)
        wake_ups = sum(b[1] - a[1] for a, b in pairs) / seconds / len(pairs)
        return sum(times) / len(times), times[len(times) // 2], wake_ups


def main() -> int:
    """Print the measurements."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, default=17)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--per-host", type=float, default=7.0)
    options = parser.parse_args()
    deployment.START_TIMEOUT_S = START_TIMEOUT_S
    with LargeSite(options.hosts) as site:
        site.count_connections()
        time.sleep(SETTLE_S)
        meter = Meter(site.gateways)
        time.sleep(options.seconds)
        idle = meter.rates()
        site.run(site.send_requests(4.0, options.per_host))
        site.opened, meter = 0, Meter(site.gateways)
        statuses = site.run(site.send_requests(options.seconds, options.per_host))
        busy = meter.rates()
    count = sum(statuses.values())
    for name, (mean, median, wake_ups) in (("idle", idle), ("loaded", busy)):
        print(f"{name}: mean {mean:.1f}, median {median:.1f} ms of processor time a "
              f"second of a host; {wake_ups:.0f} wake-ups a second")  # fmt: skip
    per_request = (busy[0] - idle[0]) * options.seconds * options.hosts / count
    print(f"{per_request:.2f} ms a request of {count}: {dict(statuses)}")
    print(f"{site.opened / count:.3f} new connections to servers a request")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Kills hosts that have taken few requests; looks which services run the next ones.

Six gateways in two zones stand before two plain services, whose servers say that they
are brittle.  Each gateway that allocates no slots takes its first requests, for either
service, and then more of them.  With the disruption, its process is killed while the
first ones run, and started again at once, one gateway after the other.
"""

import concurrent.futures
import contextlib
import os
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from standins.site.backends import Backend, Brittleness, header  # noqa: E402
from standins.site.deployment import (  # noqa: E402
    SiteDeployment,
    configuration,
    free_port,
    route,
)

SERVICES = {"ledger": "/key/", "web": "/tile/"}
"""The path that each service's only route begins with."""
MAX_TURNED_AWAY = 20
"""What the servers say in ``Server-Brittle``; they never turn so many away here."""
WORK_S = 0.4
SLOTS = 8
GATEWAYS, ZONES = 6, 2
REQUESTS = 12
"""Requests that are under way when a host is killed, its first ones."""
KILL_AFTER_S = 0.1
RETURN_S = 1.6
"""Time for which callers send requests to a host after it is back."""
RETURN_RATE = 30.0
PAUSE_S = 3.0
"""Time between two hosts."""


@dataclass
class RecordingServer(Backend):
    """A plain server that keeps the paths of the requests that it begins to run."""

    paths: list[tuple[str, str]] = field(default_factory=list)

    def _record_credentials(self, request) -> None:
        super()._record_credentials(request)
        self.paths.append((header(request, b"request-id"), request.target))


class TwoServices(SiteDeployment):
    """Gateways before two servers of each service, one in each zone."""

    async def _start_platform(self, engines: int, plain: int) -> None:
        await super()._start_platform(0, 0)
        for service in SERVICES:
            for number in range(2):
                name, zone = f"{service}-{number}", f"z{number % ZONES}"
                server = RecordingServer(self.store, name, service, zone, slots=SLOTS)
                server.work_s = WORK_S
                server.room = SLOTS
                server.brittleness = Brittleness(
                    MAX_TURNED_AWAY, SLOTS, time.monotonic(), 3600.0
                )
                self.plain.append(server)
                await server.start(free_port())


def site_configuration() -> dict:
    """Return a configuration with one route to each service."""
    routes = [
        route("key", "mutating", "ledger", attempts=1),
        route("tile", "mutating", "web", attempts=1),
    ]
    services = [
        {"name": name, "health-path": "/h", "max-conns": 100} for name in SERVICES
    ]
    return configuration(routes=routes, services=services)


class Play:
    """Sends requests, and records what became of them."""

    def __init__(self, site: TwoServices) -> None:
        self._site = site
        self._pool = concurrent.futures.ThreadPoolExecutor(100)
        self._rng = random.Random(1)
        self._count = 0
        self.sent: dict[str, str] = {}
        self.lines: list[str] = []

    def send(self, gateway) -> concurrent.futures.Future:
        """Send a request for either service through a gateway."""
        self._count += 1
        path = self._rng.choice(list(SERVICES.values())) + "x"
        request_id = f"r{self._count:05d}"
        self.sent[request_id] = path
        return self._pool.submit(self._send, gateway, path, request_id)

    def _send(self, gateway, path: str, request_id: str) -> None:
        outcome = "no answer"
        with contextlib.suppress(OSError):
            reply = gateway.send_request(path, request_id, b"body")
            outcome = f"{reply.status} {reply.body.decode()}"
        self.lines.append(f"{request_id} {path} through {gateway.name}: {outcome}")

    def burst(self, gateway, seconds: float, rate: float) -> list:
        """Send requests at a steady rate."""
        started_at, futures = time.monotonic(), []
        while time.monotonic() - started_at < seconds:
            futures.append(self.send(gateway))
            time.sleep(1.0 / rate)
        return futures

    def close(self) -> None:
        """Wait for the requests that are under way."""
        self._pool.shutdown()


def is_allocator(gateway) -> bool:
    """Tell whether a gateway has begun to allocate the slots of its zone."""
    events = gateway.events("slot_allocator")
    return bool(events) and "outcome=started" in events[-1]


def main() -> int:
    """Play the case; return the status to exit with."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with TwoServices(
        gateways=GATEWAYS,
        zones=ZONES,
        first_configuration=site_configuration(),
    ) as site:
        play = Play(site)
        time.sleep(PAUSE_S)
        allocators = [g for g in site.gateways if is_allocator(g)]
        for allocator in allocators:
            concurrent.futures.wait(play.burst(allocator, 1.0, 10.0))
        time.sleep(PAUSE_S)
        for host in [g for g in site.gateways if g not in allocators]:
            futures = [play.send(host) for _ in range(REQUESTS)]
            time.sleep(KILL_AFTER_S)
            if has_trouble:
                play.lines.append(f"{host.name} is killed, and started again")
                host.kill()
                host.start()
            site.wait(host.is_ready, 15.0)
            play.lines.append(f"{host.name} is ready")
            futures += play.burst(host, RETURN_S, RETURN_RATE)
            concurrent.futures.wait(futures)
            time.sleep(PAUSE_S)
        play.close()
        wrong = []
        for server in site.plain:
            for request_id, target in server.paths:
                play.lines.append(f"{server.server} runs {request_id} {target}")
                if not target.startswith(SERVICES[server.service]):
                    wrong.append(f"{server.server} ran {request_id}, sent to {target}")
        answered = sum(" 200 " in line for line in play.lines)
        falls = sum(len(server.falls) for server in site.plain)
        play.lines += site.failures()
    verdict = [f"{answered} of {len(play.sent)} requests were answered; falls: {falls}"]
    verdict += wrong or ["each request was run by its own service"]
    record = Path(__file__).with_name("record.txt")
    record.write_text("\n".join(play.lines + verdict) + "\n")
    print("\n".join(verdict))
    if not answered:
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())

"""Hosts that are killed after their first requests, and started again at once.

Guards against requests run by servers of another service: a host that had just started
got the slots of its former process, for whatever service those had been.
"""

import concurrent.futures
import contextlib
import itertools
import time

from standins.site.backends import Backend, Brittleness
from standins.site.deployment import SiteDeployment, configuration, free_port, route

SERVICES = {"key": "ledger", "tile": "web"}
"""The route to each service."""
GATEWAYS, ZONES = 6, 2
WORK_S, SLOTS = 0.4, 8
FIRST_REQUESTS = 12
"""Requests that run when a host is killed."""
KILL_AFTER_S, RETURN_S, INTERVAL_S = 0.1, 1.6, 0.03
"""When a host is killed, and for how long and how often it gets requests after that."""
SETTLE_S = 3.0
"""Time after which the allocators have the reports of all hosts."""


class TwoServices(SiteDeployment):
    """Gateways before servers of two services that have room, and say they may fall."""

    async def _start_platform(self, engines, plain):
        await super()._start_platform(0, 0)
        for service, number in itertools.product(SERVICES.values(), range(ZONES)):
            name, zone = f"{service}-{number}", f"z{number}"
            server = Backend(self.store, name, service, zone, slots=SLOTS)
            server.work_s, server.room = WORK_S, SLOTS
            server.brittleness = Brittleness(20, SLOTS, time.monotonic(), 3600.0)
            self.plain.append(server)
            await server.start(free_port())


def is_allocator(gateway):
    """Tell whether a gateway allocates slots."""
    events = gateway.events("slot_allocator")
    return bool(events) and "outcome=started" in events[-1]


def send(gateway, number):
    """Send a request; return its path, and the service that has answered it."""
    path = f"/{list(SERVICES)[number % 2]}/x"
    with contextlib.suppress(OSError):
        reply = gateway.send_request(path, f"r-{number}", b"body")
        if reply.status == 200:
            return path, reply.body.decode().partition("-")[0]
    return path, ""


def test_requests_at_a_restarted_host_are_run_by_their_own_service():
    routes = [
        route(name, "mutating", service, attempts=1)
        for name, service in SERVICES.items()
    ]
    services = [
        {"name": name, "health-path": "/h", "max-conns": 100}
        for name in SERVICES.values()
    ]
    numbers = itertools.count()
    with (
        TwoServices(
            GATEWAYS,
            zones=ZONES,
            first_configuration=configuration(routes=routes, services=services),
        ) as site,
        concurrent.futures.ThreadPoolExecutor(100) as pool,
    ):
        time.sleep(SETTLE_S)
        hosts = [gateway for gateway in site.gateways if not is_allocator(gateway)]
        answers = []
        for host in hosts:
            for _ in range(FIRST_REQUESTS):
                pool.submit(send, host, next(numbers))
            time.sleep(KILL_AFTER_S)
            host.kill()
            host.start()
            site.wait(host.is_ready, 15.0)
            return_until = time.monotonic() + RETURN_S
            while time.monotonic() < return_until:
                answers.append(pool.submit(send, host, next(numbers)))
                time.sleep(INTERVAL_S)
            concurrent.futures.wait(answers)
            time.sleep(SETTLE_S)
        assert site.failures() == []
    served = [answer.result() for answer in answers if answer.result()[1]]
    assert len(served) >= len(answers) / 2
    wrong = [(p, s) for p, s in served if SERVICES[p.split("/")[1]] != s]
    assert wrong == []

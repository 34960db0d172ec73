"""What the gateway itself costs: processor time a stream and a plain request.

Real processes on loopback; only the gateway's own processor time counts, without that
of the callers and servers, which are stand-ins in this process, and without what the
gateway uses while nothing is asked of it, which is printed by itself.
"""

import concurrent.futures
import sys
import time
from collections.abc import Callable

import psutil

from standins.site.deployment import Gateway, SiteDeployment

EVENTS_PER_STREAM = 47
"""Events of a stream: the users' most frequent kind of request."""
STREAM_REQUESTS = 400
PLAIN_REQUESTS = 2_000
CALLERS = 8
IDLE_S = 5.0
"""How long the idle gateway is looked at."""
MAX_MS_PER_STREAM = 2.0
"""The bound on one stream, from the project's plan."""
THREADED_MS_PER_EVENT = 1000.0 / 251 / 24
"""The path of threads: 251 requests of 24 tokens a second and core by its benchmark,
run right after this one on the same machine."""
MAX_EVENT_COST_RATIO = 0.2
"""The bound on the cost of an event, against the path of threads."""


def cpu_time_ms(gateway: Gateway) -> float:
    """Return the processor time that a gateway has used, in milliseconds."""
    times = psutil.Process(gateway.process.pid).cpu_times()
    return 1000.0 * (times.user + times.system)


def idle_cpu_fraction(gateway: Gateway) -> float:
    """Return the share of a core that an idle gateway uses."""
    began = cpu_time_ms(gateway)
    time.sleep(IDLE_S)
    return (cpu_time_ms(gateway) - began) / 1000.0 / IDLE_S


def cpu_ms_per_request(
    gateway: Gateway, count: int, send: Callable[[int], bool], idle_fraction: float
) -> float:
    """Return the processor time for each request, in milliseconds.

    :param idle: The share of a core that the idle gateway uses.
    """
    began, began_at = cpu_time_ms(gateway), time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        served = sum(pool.map(send, range(count)))
    if served < count:
        raise RuntimeError(f"{count - served} of {count} requests were not served")
    idle_ms = 1000.0 * idle_fraction * (time.monotonic() - began_at)
    return (cpu_time_ms(gateway) - began - idle_ms) / count


def main() -> int:
    """Measure, print and compare with the bounds."""
    with SiteDeployment(gateways=1) as site:
        gateway = site.gateways[0]

        def stream(number: int) -> bool:
            reply = gateway.ask(
                "/talk/x", f"s-{number}", b"q" * 1400, "oak", EVENTS_PER_STREAM
            )
            return reply.status == 200 and reply.is_whole

        def plain(number: int) -> bool:
            return gateway.ask("/read/x", f"p-{number}", b"q" * 600).status == 200

        idle = idle_cpu_fraction(gateway)
        stream_ms = cpu_ms_per_request(gateway, STREAM_REQUESTS, stream, idle)
        plain_ms = cpu_ms_per_request(gateway, PLAIN_REQUESTS, plain, idle)
        memory_mb = psutil.Process(gateway.process.pid).memory_info().rss / 1e6
    ratio = stream_ms / EVENTS_PER_STREAM / THREADED_MS_PER_EVENT
    print(
        f"a stream of {EVENTS_PER_STREAM} events {stream_ms:.2f} ms "
        f"(at most {MAX_MS_PER_STREAM})"
    )
    print(f"an event against the path of threads {ratio:.3f} (at most "
          f"{MAX_EVENT_COST_RATIO})")  # fmt: skip
    print(f"a plain request {plain_ms:.2f} ms")
    print(f"idle {100 * idle:.2f} % of a core")
    print(f"resident memory {memory_mb:.0f} MB")
    return int(stream_ms > MAX_MS_PER_STREAM or ratio > MAX_EVENT_COST_RATIO)


if __name__ == "__main__":
    sys.exit(main())

"""Shares of servers' connections and the queue of requests, without a network."""

import asyncio
from types import SimpleNamespace

import pytest

from sequoiapoint.node.gateway_state import KEPT_SHARE, GatewayState, WaitQueue
from sequoiapoint.protocol.gateway import (
    CallerLimits,
    GatewayConfiguration,
    ServerEntry,
    ServerState,
    ServiceSpec,
)

ENTRY = ServerEntry("s-1", "web", "10.0.0.1:80", "z", ServerState.READY, 1, 6)


def share_of(host, hosts, max_connections):
    services = {"web": ServiceSpec("web", max_connections)}
    settings = SimpleNamespace(host=host)
    state = GatewayState(settings, None, None, None, 1)
    state.configuration = GatewayConfiguration(1, (), services, CallerLimits())
    state.recent_max_host_count = hosts
    state.fleet.put(ENTRY)
    return state.connection_share(ENTRY.incarnation)


@pytest.mark.parametrize(
    ("hosts", "max_connections"), [(79, 96), (79, 360), (400, 96), (3, 100), (1, 64)]
)
def test_what_all_hosts_keep_leaves_room_at_a_server(hosts, max_connections):
    # Guards against idle connections that make a server refuse new ones.
    kept = sum(share_of(f"h-{n}", hosts, max_connections) for n in range(hosts))
    assert 0.6 * max_connections < kept <= 0.95 * max_connections
    assert abs(kept / max_connections - KEPT_SHARE) < 0.15


def test_nothing_is_kept_at_an_unknown_server():
    settings = SimpleNamespace(host="h")
    assert GatewayState(settings, None, None, None, 1).connection_share(("s", 1)) == 0


WAITING = {
    "granted": {"service": "lm", "model": "oak", "needs_capacity": False},
    "choosing": {"service": "lm", "model": "elm"},
    "plain": {"service": "web"},
    "any": {},
}
"""Requests that wait, by the name of what they wait for."""


@pytest.mark.parametrize(
    ("notify", "woken"),
    [
        (lambda q: q.notify(), {"granted", "choosing", "plain", "any"}),
        (lambda q: q.notify_capacity("lm"), {"choosing", "any"}),
        (lambda q: q.notify_capacity("web"), {"plain", "any"}),
        (lambda q: q.notify_servers("lm", {"oak"}), {"granted"}),
        (lambda q: q.notify_servers("lm", None), {"granted", "choosing", "any"}),
        (lambda q: q.wake(1), {"granted"}),
        (lambda q: None, set()),
    ],
)
def test_waiting_requests_are_woken_by_what_concerns_them(notify, woken):
    """30 waiting requests looked at 41 engines whenever any request had ended."""
    queue, ended = WaitQueue(), []

    async def wait(number, name):
        await queue.wait(number, 0.0, 9.0, 0.05, number, **WAITING[name])
        ended.append(name)

    async def run():
        tasks = [asyncio.ensure_future(wait(*w)) for w in enumerate(WAITING, 1)]
        await asyncio.sleep(0)
        notify(queue)
        await asyncio.sleep(0.01)
        at_once = list(ended)
        await asyncio.wait_for(asyncio.gather(*tasks), 1.0)
        return at_once

    assert asyncio.run(run()) == [name for name in WAITING if name in woken]
    assert len(ended) == len(WAITING)

"""Shares of servers' connections, without a network."""

from types import SimpleNamespace

import pytest

from sequoiapoint.node.gateway_state import KEPT_SHARE, GatewayState
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

import resource

import pytest

from sequoiapoint.node.host_capacity import (
    ConnectionLimits,
    caller_memory_bytes,
    connection_limits,
)
from sequoiapoint.protocol.gateway_settings import GatewaySettings

ADDRESS = "127.0.0.1:1"


def settings(**changes):
    addresses = ("caller_address", "readiness_address", "peer_address")
    names = (*addresses, "metrics_address", "store")
    return GatewaySettings(
        host="h", zone="z", **dict.fromkeys(names, ADDRESS), **changes
    )


@pytest.mark.parametrize(
    ("descriptors", "expected"),
    [
        (4_200, ConnectionLimits(2_000, 500, 32)),
        (600, ConnectionLimits(200, 50, 8)),
        (100, ConnectionLimits(1, 1, 1)),
    ],
)
def test_connections_from_outside_leave_descriptors_for_others(descriptors, expected):
    assert connection_limits(settings(max_descriptors=descriptors)) == expected


def test_limits_that_are_not_set_are_those_of_the_process_and_the_machine(monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (1_200, 1_200))
    assert connection_limits(settings()).callers == 500
    monkeypatch.setattr(resource, "getrlimit", lambda _: (resource.RLIM_INFINITY,) * 2)
    assert connection_limits(settings()).callers > 1_000_000
    assert caller_memory_bytes(settings(memory_mb=300)) == 75_000_000
    assert caller_memory_bytes(settings()) > 0
